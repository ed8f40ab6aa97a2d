// Tracks occupancy and health of the endpoints that this host holds.
//
// A holder counts its own tasks on each endpoint and learns of other tasks from
// probes and refused starts. An endpoint is ejected when several jobs fail on
// it while the rest of the pool is healthy, or when the failures span enough
// jobs and owners by themselves; it returns on probation.
#ifndef FIGRIDGE_CORE_ENDPOINT_POOL_HPP
#define FIGRIDGE_CORE_ENDPOINT_POOL_HPP

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core_context.hpp"

namespace figridge {

enum class endpoint_health { good, ejected, probation };

std::string_view to_string(endpoint_health health);

struct held_endpoint {
    endpoint_info info;
    bool held = true;
    bool leaving = false;
    endpoint_health health = endpoint_health::good;
    std::uint32_t own_running = 0;
    std::uint32_t foreign_running = 0;
    timestamp probed_at{-1};
    timestamp blocked_until{0};
    duration block_backoff{0};
    timestamp ejected_until{0};
    duration eject_backoff{0};
    struct ended_task {
        submission_id job;
        std::string owner;
        bool failed = false;
    };
    std::deque<ended_task> recent;

    [[nodiscard]] std::uint32_t free_slots(timestamp now) const;
};

// Totals reported by other hosts. `held` and `ejected` count endpoints of this
// host's domain and limit the share that is ejected; `ended` and `failed` count
// tasks of all domains and distinguish a faulty endpoint from faulty jobs.
struct peer_health {
    std::uint32_t held = 0;
    std::uint32_t ejected = 0;
    std::uint32_t ended = 0;
    std::uint32_t failed = 0;
};

// Owned by `slot_holder`. Not thread-safe.
class endpoint_pool {
public:
    explicit endpoint_pool(core_context& context) : context_(context) {}

    // Replaces the set of held endpoints. An endpoint that still runs tasks of
    // this host is kept until they end, but receives no new ones.
    void assign(const std::vector<endpoint_info>& endpoints,
                const std::map<std::string, bool>& leaving);

    // Returns the endpoint with the most free slots whose capacity covers the
    // task, or null.
    held_endpoint* pick(const task_spec& spec);

    // True if the capacity of a held endpoint that is not leaving covers the
    // task, whether or not a slot is free.
    [[nodiscard]] bool fits(const task_spec& spec) const;

    void task_started(const std::string& endpoint);
    void task_ended(const std::string& endpoint, const submission_id& job,
                    const std::string& owner, bool failed,
                    const peer_health& others);
    // Called when the endpoint refused a start. Blocks further starts there
    // with exponential backoff.
    void start_refused(const std::string& endpoint);
    void release_slot(const std::string& endpoint);

    // Updates the occupancy from a probe.
    void record_probe(const probe_reply& reply);
    void probe_due_endpoints();

    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::uint32_t total_slots() const;
    // Outcomes of recent tasks on endpoints in good health, without those on
    // `excluded`.
    [[nodiscard]] peer_health
    recent_outcomes(const std::string& excluded) const;
    [[nodiscard]] std::uint32_t held_count() const;
    [[nodiscard]] std::uint32_t ejected_count() const;
    [[nodiscard]] const std::map<std::string, held_endpoint>& all() const {
        return endpoints_;
    }

private:
    [[nodiscard]] bool rest_of_pool_is_healthy(const std::string& endpoint,
                                               const peer_health& others) const;
    [[nodiscard]] bool should_eject(const held_endpoint& endpoint,
                                    const peer_health& others) const;
    void eject(held_endpoint& endpoint);
    held_endpoint* find(const std::string& endpoint);
    void drop_if_unused(const std::string& endpoint);

    core_context& context_;
    std::map<std::string, held_endpoint> endpoints_;
};

// True if the endpoint's declared capacity covers the task's declared size.
bool endpoint_fits(const endpoint_info& endpoint, const task_spec& spec);

} // namespace figridge

#endif
