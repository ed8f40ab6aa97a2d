#include "core/dispatch/start_witness.hpp"

#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {
namespace {

// A holder tells a start that stays unanswered for `doubt_delay`, or a while
// longer if it is late, with its next tick, and collects what it tells beyond
// its budget. What is left allows for a late tick.
constexpr duration self_told_limit =
    doubt_delay + late_doubt_delay + doubt_collect_interval + 225ms;

} // namespace

void start_witness::record(const process_id& holder, std::int64_t stamp_us,
                           const start_notice& notice) {
    if (notice.job.empty()) {
        holders_.erase(holder);
        return;
    }
    holders_[holder].push_back({stamp_us, notice});
}

void start_witness::forget_told(std::deque<entry>& entries,
                                std::int64_t stamp_us) {
    while (!entries.empty() &&
           stamp_us - entries.front().stamp_us >= self_told_limit.count()) {
        entries.pop_front();
    }
}

std::vector<start_doubt> start_witness::take(const process_id& holder,
                                             std::int64_t stamp_us) {
    std::vector<start_doubt> doubts;
    auto found = holders_.extract(holder);
    if (found.empty()) {
        return doubts;
    }
    forget_told(found.mapped(), stamp_us);
    for (const auto& [told_at, notice] : found.mapped()) {
        for (const auto& item : notice.items) {
            auto& doubt = doubts.emplace_back();
            doubt.run = {{notice.job, item.step, item.index}, item.run};
            doubt.holder = holder;
            doubt.endpoint = item.endpoint;
            doubt.token = item.token;
            doubt.holder_lost = true;
        }
    }
    return doubts;
}

void start_witness::tick(
    const std::function<std::int64_t(const process_id& holder)>& last_stamp) {
    for (auto& [holder, entries] : holders_) {
        forget_told(entries, last_stamp(holder));
    }
    std::erase_if(holders_,
                  [](const auto& item) { return item.second.empty(); });
}

std::size_t start_witness::size() const {
    std::size_t count = 0;
    for (const auto& [holder, entries] : holders_) {
        count += entries.size();
    }
    return count;
}

} // namespace figridge::dispatch
