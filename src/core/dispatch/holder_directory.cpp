#include "core/dispatch/holder_directory.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

#include "core/rendezvous.hpp"

namespace figridge::dispatch {
namespace {

// Endpoints that one core can serve: 16 endpoints at 10 tasks/s each use 0.025
// cores, and three times that in short bursts.
constexpr double endpoints_per_core = 72.0;
// A holder with more than this multiple of its share gives endpoints away.
constexpr double overload_factor = 1.5;
// An endpoint that changes holder again within the window is not taken over
// during a cooldown, which doubles each time.
constexpr duration change_window = 5s;
constexpr duration min_cooldown = 250ms;
constexpr duration max_cooldown = 4s;

// Chooses the hosts that share the endpoints of a failure domain: as few as
// have the capacity. Hosts that already hold some come first, since only they
// follow the endpoint list closely, then those with the largest processor
// share.
std::vector<candidate> choose_holders(const std::string& failure_domain,
                                      const std::vector<candidate>& live,
                                      const std::set<process_id>& holding,
                                      std::size_t endpoints) {
    std::vector<candidate> local;
    std::vector<candidate> remote;
    for (const auto& host : live) {
        if (!host.draining && !host.silent) {
            (host.failure_domain == failure_domain ? local : remote)
                .push_back(host);
        }
    }
    auto order = local.empty() ? remote : local;
    const auto rank = [&](const candidate& host) {
        return std::tuple(!holding.contains(host.id), -host.cpu_share,
                          ~rendezvous_weight(failure_domain, host.id.address));
    };
    std::sort(order.begin(), order.end(),
              [&rank](const candidate& a, const candidate& b) {
                  return rank(a) < rank(b);
              });
    double capacity = 0;
    std::size_t count = 0;
    while (count < order.size() && capacity < static_cast<double>(endpoints)) {
        capacity += order[count++].cpu_share * endpoints_per_core;
    }
    order.resize(count);
    return order;
}

// Rendezvous hashing, weighted by the processor share of each host.
std::string pick_by_share(const std::string& key,
                          const std::vector<candidate>& hosts) {
    constexpr double hash_range = 18446744073709551616.0; // 2^64
    const candidate* best = nullptr;
    double best_score = 0;
    for (const auto& host : hosts) {
        const auto weight = rendezvous_weight(key, host.id.address);
        const double uniform = (static_cast<double>(weight) + 1.0) / hash_range;
        const double score = -host.cpu_share / std::log(uniform);
        if (best == nullptr || score > best_score) {
            best = &host;
            best_score = score;
        }
    }
    return best == nullptr ? std::string{} : best->id.address;
}

} // namespace

void holder_directory::set_endpoint(const endpoint_record& endpoint) {
    auto& known = endpoints_[endpoint.id];
    if (known.id.empty() || known.failure_domain != endpoint.failure_domain) {
        ++generation_;
    }
    known = endpoint;
}

void holder_directory::remove_endpoint(const std::string& endpoint) {
    generation_ += endpoints_.erase(endpoint);
}

void holder_directory::set_holder(timestamp now, const holder_record& record) {
    auto& known = rows_[record.endpoint];
    if (record.token < known.record.token) {
        return;
    }
    if (record.holder != known.record.holder) {
        const bool soon = known.changed_at != timestamp{0} &&
                          now - known.changed_at < change_window;
        known.cooldown =
            soon ? std::clamp(known.cooldown * 2, min_cooldown, max_cooldown)
                 : duration{0};
        known.changed_at = now;
        known.former = known.record.holder;
    }
    known.record = record;
    ++generation_;
}

void holder_directory::set_version(const std::string& endpoint,
                                   std::uint64_t version) {
    auto& known = rows_[endpoint].record.version;
    known = std::max(known, version);
}

void holder_directory::remove_holder(const std::string& endpoint) {
    const auto found = rows_.find(endpoint);
    if (found == rows_.end()) {
        return;
    }
    auto& known = found->second;
    known.former = std::exchange(known.record.holder, {});
    known.record.version = 0;
    ++generation_;
}

process_id holder_directory::former_holder_of(const std::string& id) const {
    const auto found = rows_.find(id);
    return found == rows_.end() ? process_id{} : found->second.former;
}

const holder_record* holder_directory::holder_of(const std::string& id) const {
    const auto found = rows_.find(id);
    return found == rows_.end() ? nullptr : &found->second.record;
}

std::map<std::string, std::uint64_t>
holder_directory::held_by(const process_id& holder) const {
    std::map<std::string, std::uint64_t> held;
    for (const auto& [id, row] : rows_) {
        if (row.record.holder == holder) {
            held[id] = row.record.token;
        }
    }
    return held;
}

bool holder_directory::cooldown_passed(timestamp now,
                                       const row& current) const {
    return now - current.changed_at >= current.cooldown;
}

bool holder_directory::keeps_holder(const row& current,
                                    const endpoint_record& endpoint,
                                    const std::vector<candidate>& live,
                                    const std::vector<candidate>& chosen,
                                    std::size_t held) const {
    const auto& record = current.record;
    const auto holder = std::find_if(
        live.begin(), live.end(),
        [&record](const candidate& host) { return host.id == record.holder; });
    if (holder == live.end() || holder->draining) {
        return false;
    }
    const bool local_chosen =
        chosen.front().failure_domain == endpoint.failure_domain;
    if (holder->failure_domain != endpoint.failure_domain && local_chosen) {
        return false;
    }
    const auto max_held =
        holder->cpu_share * endpoints_per_core * overload_factor;
    return static_cast<double>(held) <= max_held || chosen.size() < 2;
}

std::optional<process_id>
holder_directory::successor(const std::string& id,
                            const std::vector<candidate>& live) const {
    const auto endpoint = endpoints_.find(id);
    if (endpoint == endpoints_.end()) {
        return std::nullopt;
    }
    const auto& failure_domain = endpoint->second.failure_domain;
    std::size_t size = 0;
    std::set<process_id> holding;
    for (const auto& [other, record] : endpoints_) {
        if (record.failure_domain != failure_domain) {
            continue;
        }
        ++size;
        if (const auto row = rows_.find(other); row != rows_.end()) {
            holding.insert(row->second.record.holder);
        }
    }
    const auto chosen = choose_holders(failure_domain, live, holding, size);
    const auto address = pick_by_share(id, chosen);
    const auto found = std::find_if(chosen.begin(), chosen.end(),
                                    [&address](const candidate& host) {
                                        return host.id.address == address;
                                    });
    return found == chosen.end() ? std::nullopt
                                 : std::optional<process_id>(found->id);
}

std::vector<std::string>
holder_directory::endpoints_to_take(timestamp now, const process_id& self,
                                    const std::vector<candidate>& live) const {
    std::map<std::string, std::size_t> sizes;
    std::map<std::string, std::set<process_id>> holding;
    for (const auto& [id, endpoint] : endpoints_) {
        ++sizes[endpoint.failure_domain];
        if (const auto row = rows_.find(id); row != rows_.end()) {
            holding[endpoint.failure_domain].insert(row->second.record.holder);
        }
    }
    std::map<process_id, std::size_t> held;
    for (const auto& [id, row] : rows_) {
        ++held[row.record.holder];
    }
    std::map<std::string, std::vector<candidate>> holders;
    for (const auto& [failure_domain, size] : sizes) {
        holders[failure_domain] =
            choose_holders(failure_domain, live, holding[failure_domain], size);
    }
    std::vector<std::string> to_take;
    for (const auto& [id, endpoint] : endpoints_) {
        const auto& chosen = holders[endpoint.failure_domain];
        if (chosen.empty()) {
            continue;
        }
        const auto row = rows_.find(id);
        const bool settled = row != rows_.end() &&
                             (row->second.record.holder == self ||
                              !cooldown_passed(now, row->second) ||
                              keeps_holder(row->second, endpoint, live, chosen,
                                           held[row->second.record.holder]));
        if (!settled && pick_by_share(id, chosen) == self.address) {
            to_take.push_back(id);
        }
    }
    return to_take;
}

} // namespace figridge::dispatch
