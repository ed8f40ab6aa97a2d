#include "core/dispatch/holder_directory.hpp"

#include <algorithm>
#include <set>

#include "core/rendezvous.hpp"

namespace figridge::dispatch {
namespace {

// One holder keeps up with about this many endpoints on a quarter of a core.
constexpr std::size_t endpoints_per_holder = 64;
// An endpoint that changes hands again within the window is left alone for a
// time that doubles.
constexpr duration change_window = 5s;
constexpr duration first_calm_time = 250ms;
constexpr duration longest_calm_time = 4s;

// The hosts that share the endpoints of a failure domain. Those that hold some
// of them already come first: only they follow the list of endpoints closely.
std::vector<std::string> choose_holders(const std::string& failure_domain,
                                        const std::vector<candidate>& live,
                                        const std::set<process_id>& holding,
                                        std::size_t endpoints) {
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const auto& host : live) {
        if (!host.draining) {
            (host.failure_domain == failure_domain ? local : remote)
                .push_back(host.id.address);
        }
    }
    auto order =
        rendezvous_order(failure_domain, local.empty() ? remote : local);
    std::stable_partition(
        order.begin(), order.end(), [&](const std::string& address) {
            return std::any_of(live.begin(), live.end(),
                               [&](const candidate& host) {
                                   return host.id.address == address &&
                                          holding.contains(host.id);
                               });
        });
    const auto holders =
        (endpoints + endpoints_per_holder - 1) / endpoints_per_holder;
    if (order.size() > holders) {
        order.resize(holders);
    }
    return order;
}

} // namespace

void holder_directory::set_endpoint(const endpoint_record& endpoint) {
    endpoints_[endpoint.id] = endpoint;
}

void holder_directory::remove_endpoint(const std::string& endpoint) {
    endpoints_.erase(endpoint);
}

void holder_directory::set_holder(timestamp now, const holder_record& record) {
    auto& known = rows_[record.endpoint];
    if (record.token < known.record.token) {
        return;
    }
    if (record.holder != known.record.holder) {
        const bool soon = known.changed_at != timestamp{0} &&
                          now - known.changed_at < change_window;
        known.calm_time = soon ? std::clamp(known.calm_time * 2,
                                            first_calm_time, longest_calm_time)
                               : duration{0};
        known.changed_at = now;
        known.former = known.record.holder;
    }
    known.record = record;
}

void holder_directory::remove_holder(const std::string& endpoint) {
    rows_.erase(endpoint);
}

process_id holder_directory::former_holder_of(const std::string& id) const {
    const auto found = rows_.find(id);
    return found == rows_.end() ? process_id{} : found->second.former;
}

const holder_record* holder_directory::holder_of(const std::string& id) const {
    const auto found = rows_.find(id);
    return found == rows_.end() ? nullptr : &found->second.record;
}

std::vector<std::string>
holder_directory::held_by(const process_id& holder) const {
    std::vector<std::string> held;
    for (const auto& [id, row] : rows_) {
        if (row.record.holder == holder) {
            held.push_back(id);
        }
    }
    return held;
}

std::vector<holder_record> holder_directory::orphans() const {
    std::vector<holder_record> found;
    for (const auto& [id, row] : rows_) {
        if (!endpoints_.contains(id)) {
            found.push_back(row.record);
        }
    }
    return found;
}

bool holder_directory::may_change(timestamp now, const row& current) const {
    return now - current.changed_at >= current.calm_time;
}

std::vector<std::string>
holder_directory::wanted(timestamp now, const process_id& self,
                         const std::vector<candidate>& live) const {
    std::map<std::string, std::size_t> sizes;
    std::map<std::string, std::set<process_id>> holding;
    for (const auto& [id, endpoint] : endpoints_) {
        ++sizes[endpoint.failure_domain];
        if (const auto row = rows_.find(id); row != rows_.end()) {
            holding[endpoint.failure_domain].insert(row->second.record.holder);
        }
    }
    std::map<std::string, std::vector<std::string>> holders;
    for (const auto& [failure_domain, size] : sizes) {
        holders[failure_domain] =
            choose_holders(failure_domain, live, holding[failure_domain], size);
    }
    std::vector<std::string> taken;
    for (const auto& [id, endpoint] : endpoints_) {
        const auto& chosen = holders[endpoint.failure_domain];
        if (chosen.empty()) {
            continue;
        }
        const auto row = rows_.find(id);
        if (row != rows_.end()) {
            const auto& record = row->second.record;
            if (record.holder == self || !may_change(now, row->second)) {
                continue;
            }
            const auto current = std::find_if(
                live.begin(), live.end(), [&record](const candidate& host) {
                    return host.id == record.holder;
                });
            const bool local_chosen = std::any_of(
                live.begin(), live.end(), [&](const candidate& host) {
                    return host.id.address == chosen.front() &&
                           host.failure_domain == endpoint.failure_domain;
                });
            const bool stays =
                current != live.end() && !current->draining &&
                (current->failure_domain == endpoint.failure_domain ||
                 !local_chosen);
            if (stays) {
                continue;
            }
        }
        if (rendezvous_pick(id, chosen) == self.address) {
            taken.push_back(id);
        }
    }
    return taken;
}

} // namespace figridge::dispatch
