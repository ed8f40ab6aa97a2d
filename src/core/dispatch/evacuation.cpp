#include "core/dispatch/evacuation.hpp"

#include <algorithm>
#include <iterator>

namespace figridge::dispatch {
namespace {

// A cold endpoint may run its tasks several times slower; this
// limits the tasks that it delays to a quarter of its capacity.
constexpr double first_share = 0.25;
constexpr double step_factor = 2.0;
// Tasks that run at normal speed before the next step. One may have been short
// by chance: estimates are off by 40%.
constexpr std::uint32_t runs_per_step = 4;
// A run of up to this many times its estimate is normal: 1.4 for the error of
// the estimate, divided by 0.8 for the slowest endpoints.
constexpr double normal_multiple = 1.75;
// A row read within this time may have been written before the domain was taken
// back: workers write theirs every 1.5 s, and it is polled every 0.7 s.
constexpr duration outdated_row_limit = 2500ms;

} // namespace

bool evacuation::is_outdated(std::uint64_t version) {
    if (was_read_ && version < version_) {
        return true;
    }
    version_ = version;
    return false;
}

evacuation_change evacuation::replace(std::uint64_t version,
                                      std::set<std::string> domains) {
    evacuation_change change;
    if (is_outdated(version)) {
        return change;
    }
    was_read_ = true;
    std::set_difference(domains.begin(), domains.end(), domains_.begin(),
                        domains_.end(), std::back_inserter(change.evacuated));
    std::set_difference(domains_.begin(), domains_.end(), domains.begin(),
                        domains.end(), std::back_inserter(change.taken_back));
    domains_ = std::move(domains);
    return change;
}

evacuation_change evacuation::apply(std::uint64_t version,
                                    const std::string& domain, bool evacuated) {
    evacuation_change change;
    if (!was_read_ || is_outdated(version)) {
        return change;
    }
    if (evacuated && domains_.insert(domain).second) {
        change.evacuated.push_back(domain);
    } else if (!evacuated && domains_.erase(domain) > 0) {
        change.taken_back.push_back(domain);
    }
    return change;
}

void evacuation::begin_return(timestamp now, const std::string& endpoint) {
    returning_[endpoint] = {now, std::nullopt, first_share, 0};
}

void evacuation::record_row(timestamp now, const std::string& endpoint,
                            duration cold_left) {
    const auto found = returning_.find(endpoint);
    if (found == returning_.end()) {
        return;
    }
    auto& state = found->second;
    if (cold_left > duration{0} ||
        now - state.taken_back_at >= outdated_row_limit) {
        state.warm_at = now + cold_left;
    }
}

void evacuation::record_done(const std::string& endpoint, duration run_time,
                             duration expected) {
    const auto found = returning_.find(endpoint);
    if (found == returning_.end()) {
        return;
    }
    auto& state = found->second;
    if (static_cast<double>(run_time.count()) >
        normal_multiple * static_cast<double>(expected.count())) {
        state.normal_runs = 0;
        return;
    }
    if (++state.normal_runs < runs_per_step) {
        return;
    }
    state.normal_runs = 0;
    state.share *= step_factor;
    if (state.share >= 1.0) {
        returning_.erase(found);
    }
}

void evacuation::tick(timestamp now) {
    std::erase_if(returning_, [now](const auto& item) {
        const auto& warm_at = item.second.warm_at;
        return warm_at && *warm_at <= now;
    });
}

double evacuation::usable_share(const std::string& endpoint) const {
    const auto found = returning_.find(endpoint);
    return found == returning_.end() ? 1.0 : found->second.share;
}

} // namespace figridge::dispatch
