// The endpoints that this host holds: occupancy and health.
//
// A holder counts its own tasks on each endpoint, and learns of others from
// the endpoint's status and refusals. An endpoint is ejected when several jobs
// fail there while the rest of the pool does well; it comes back on probation.
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

// What other hosts report: ejections in the own domain, for the cap, and how
// tasks ended anywhere, to tell a bad endpoint from bad jobs.
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

    // Replaces the set of endpoints held. One that still runs tasks of this
    // host is kept for them, without new work.
    void assign(const std::vector<endpoint_info>& endpoints,
                const std::map<std::string, bool>& leaving);

    // Returns the endpoint with most free slots that fits the task, or null.
    held_endpoint* pick(const task_spec& spec);

    // True if some held endpoint that is not leaving could ever fit the task.
    [[nodiscard]] bool fits(const task_spec& spec) const;

    void task_started(const std::string& endpoint);
    void task_ended(const std::string& endpoint, const submission_id& job,
                    const std::string& owner, bool failed,
                    const peer_health& others);
    // The endpoint refused a start: stop trying for a growing while.
    void start_refused(const std::string& endpoint);
    void task_vanished(const std::string& endpoint);

    // Takes in the occupancy that the endpoint reports.
    void record_probe(const probe_reply& reply);
    void probe_due_endpoints();

    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] std::uint32_t total_slots() const;
    // How the last tasks at endpoints in good health ended, but for one.
    [[nodiscard]] peer_health recent_outcomes(const std::string& but_for) const;
    [[nodiscard]] std::uint32_t held_count() const;
    [[nodiscard]] std::uint32_t ejected_count() const;
    [[nodiscard]] const std::map<std::string, held_endpoint>& all() const {
        return endpoints_;
    }

private:
    [[nodiscard]] bool others_do_well(const std::string& endpoint,
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
