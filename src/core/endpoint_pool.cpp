#include "endpoint_pool.hpp"

#include <algorithm>
#include <set>

#include "name_table.hpp"

namespace figridge {
namespace {

constexpr std::size_t recent_window = 8;
constexpr std::size_t min_failures = 4;
constexpr std::size_t min_failed_jobs = 3;
constexpr std::size_t conclusive_failed_jobs = 5;
constexpr std::size_t conclusive_failed_owners = 2;
constexpr std::size_t min_probation_successes = 3;
constexpr duration initial_block_backoff = 20ms;
constexpr duration max_block_backoff = 5s;
constexpr duration initial_ejection_backoff = 2s;
constexpr duration max_ejection_backoff = 60s;
constexpr duration occupied_probe_interval = 150ms;

constexpr name_table<endpoint_health, 3> endpoint_health_names{{
    {endpoint_health::good, "good"},
    {endpoint_health::ejected, "ejected"},
    {endpoint_health::probation, "probation"},
}};

std::size_t count_failures(const held_endpoint& endpoint) {
    return std::count_if(endpoint.recent.begin(), endpoint.recent.end(),
                         [](const auto& ended) { return ended.failed; });
}

duration next_backoff(duration backoff, duration first, duration longest) {
    return backoff == duration{0} ? first : std::min(backoff * 2, longest);
}

} // namespace

std::string_view to_string(endpoint_health health) {
    return find_name(endpoint_health_names, health);
}

bool endpoint_fits(const endpoint_info& endpoint, const task_spec& spec) {
    return spec.cpu_millis <= endpoint.cpu_millis &&
           spec.memory_mb <= endpoint.memory_mb &&
           spec.accelerators <= endpoint.accelerators;
}

std::uint32_t held_endpoint::free_slots(timestamp now) const {
    if (!held || leaving || now < blocked_until) {
        return 0;
    }
    if (health == endpoint_health::ejected) {
        return 0;
    }
    const auto usable = health == endpoint_health::probation ? 1U : info.slots;
    const auto used = own_running + foreign_running;
    return usable > used ? usable - used : 0;
}

void endpoint_pool::assign(const std::vector<endpoint_info>& endpoints,
                           const std::map<std::string, bool>& leaving) {
    std::set<std::string> wanted;
    for (const auto& info : endpoints) {
        wanted.insert(info.address);
        auto& endpoint = endpoints_[info.address];
        endpoint.info = info;
        endpoint.held = true;
        const auto mark = leaving.find(info.address);
        endpoint.leaving = mark != leaving.end() && mark->second;
    }
    std::vector<std::string> unused;
    for (auto& [address, endpoint] : endpoints_) {
        if (!wanted.contains(address)) {
            endpoint.held = false;
            unused.push_back(address);
        }
    }
    for (const auto& address : unused) {
        drop_if_unused(address);
    }
}

void endpoint_pool::drop_if_unused(const std::string& endpoint) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end() && !found->second.held &&
        found->second.own_running == 0) {
        endpoints_.erase(found);
    }
}

held_endpoint* endpoint_pool::find(const std::string& endpoint) {
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

held_endpoint* endpoint_pool::pick(const task_spec& spec) {
    held_endpoint* best = nullptr;
    std::uint32_t best_free = 0;
    for (auto& [address, endpoint] : endpoints_) {
        const auto free = endpoint.free_slots(context_.now);
        if (free > best_free && endpoint_fits(endpoint.info, spec)) {
            best = &endpoint;
            best_free = free;
        }
    }
    return best;
}

bool endpoint_pool::fits(const task_spec& spec) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&spec](const auto& item) {
                           return item.second.held && !item.second.leaving &&
                                  endpoint_fits(item.second.info, spec);
                       });
}

void endpoint_pool::task_started(const std::string& endpoint) {
    if (auto* found = find(endpoint); found != nullptr) {
        ++found->own_running;
    }
}

void endpoint_pool::release_slot(const std::string& endpoint) {
    auto* found = find(endpoint);
    if (found == nullptr || found->own_running == 0) {
        return;
    }
    --found->own_running;
    drop_if_unused(endpoint);
}

void endpoint_pool::start_refused(const std::string& endpoint) {
    if (auto* found = find(endpoint); found != nullptr) {
        found->block_backoff = next_backoff(
            found->block_backoff, initial_block_backoff, max_block_backoff);
        found->blocked_until = context_.now + found->block_backoff;
    }
    release_slot(endpoint);
}

peer_health endpoint_pool::recent_outcomes(const std::string& excluded) const {
    peer_health sum;
    for (const auto& [address, other] : endpoints_) {
        if (address != excluded && other.health == endpoint_health::good) {
            sum.ended += static_cast<std::uint32_t>(other.recent.size());
            sum.failed += static_cast<std::uint32_t>(count_failures(other));
        }
    }
    return sum;
}

bool endpoint_pool::rest_of_pool_is_healthy(const std::string& endpoint,
                                            const peer_health& others) const {
    const auto own = recent_outcomes(endpoint);
    const auto ended = own.ended + others.ended;
    const auto failed = own.failed + others.failed;
    return ended > 0 && failed * 2 < ended;
}

bool endpoint_pool::should_eject(const held_endpoint& endpoint,
                                 const peer_health& others) const {
    const auto failures = count_failures(endpoint);
    if (failures < min_failures || failures * 5 < endpoint.recent.size() * 4) {
        return false;
    }
    std::set<submission_id> jobs;
    std::set<std::string> owners;
    for (const auto& ended : endpoint.recent) {
        if (ended.failed) {
            jobs.insert(ended.job);
            owners.insert(ended.owner);
        }
    }
    if (jobs.size() < min_failed_jobs) {
        return false;
    }
    const bool conclusive = jobs.size() >= conclusive_failed_jobs &&
                            owners.size() >= conclusive_failed_owners;
    return conclusive || rest_of_pool_is_healthy(endpoint.info.address, others);
}

void endpoint_pool::eject(held_endpoint& endpoint) {
    endpoint.health = endpoint_health::ejected;
    endpoint.eject_backoff = next_backoff(
        endpoint.eject_backoff, initial_ejection_backoff, max_ejection_backoff);
    endpoint.ejected_until = context_.now + endpoint.eject_backoff;
    endpoint.recent.clear();
    context_.log(log_level::warning, "endpoint_ejected",
                 {{"endpoint", endpoint.info.address},
                  {"for_ms", std::to_string(to_ms(endpoint.eject_backoff))}});
}

void endpoint_pool::task_ended(const std::string& endpoint,
                               const submission_id& job,
                               const std::string& owner, bool failed,
                               const peer_health& others) {
    auto* found = find(endpoint);
    if (found == nullptr) {
        return;
    }
    found->block_backoff = duration{0};
    found->recent.push_back({job, owner, failed});
    if (found->recent.size() > recent_window) {
        found->recent.pop_front();
    }
    if (found->health == endpoint_health::probation) {
        if (failed) {
            eject(*found);
        } else if (found->recent.size() >= min_probation_successes) {
            found->health = endpoint_health::good;
            found->eject_backoff = duration{0};
        }
    } else if (found->health == endpoint_health::good && failed &&
               should_eject(*found, others)) {
        const auto held = held_count() + others.held;
        const auto ejected = ejected_count() + others.ejected;
        if ((ejected + 1) * 2 <= held) {
            eject(*found);
        }
    }
    release_slot(endpoint);
}

void endpoint_pool::record_probe(const probe_reply& reply) {
    auto* found = find(reply.endpoint);
    if (found == nullptr || !reply.reachable) {
        return;
    }
    found->foreign_running = reply.running > found->own_running
                                 ? reply.running - found->own_running
                                 : 0;
}

void endpoint_pool::probe_due_endpoints() {
    for (auto& [address, endpoint] : endpoints_) {
        if (endpoint.health == endpoint_health::ejected &&
            context_.now >= endpoint.ejected_until) {
            endpoint.health = endpoint_health::probation;
        }
        const auto interval = endpoint.foreign_running > 0
                                  ? occupied_probe_interval
                                  : context_.settings.endpoint_probe_interval;
        if (endpoint.held && (endpoint.probed_at < timestamp{0} ||
                              context_.now - endpoint.probed_at >= interval)) {
            endpoint.probed_at = context_.now;
            context_.counters.sent(message_kind::probe);
            context_.ports.endpoints.probe(address);
        }
    }
}

std::uint32_t endpoint_pool::free_slots() const {
    std::uint32_t free = 0;
    for (const auto& [address, endpoint] : endpoints_) {
        free += endpoint.free_slots(context_.now);
    }
    return free;
}

std::uint32_t endpoint_pool::total_slots() const {
    std::uint32_t total = 0;
    for (const auto& [address, endpoint] : endpoints_) {
        const bool usable = endpoint.held && !endpoint.leaving &&
                            endpoint.health != endpoint_health::ejected;
        total += usable ? endpoint.info.slots : 0;
    }
    return total;
}

std::uint32_t endpoint_pool::held_count() const {
    return std::count_if(endpoints_.begin(), endpoints_.end(),
                         [](const auto& item) { return item.second.held; });
}

std::uint32_t endpoint_pool::ejected_count() const {
    return std::count_if(
        endpoints_.begin(), endpoints_.end(), [](const auto& item) {
            return item.second.held &&
                   item.second.health == endpoint_health::ejected;
        });
}

} // namespace figridge
