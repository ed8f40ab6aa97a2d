// Confines the queue whose tasks crash endpoints to some of the endpoints.
//
// For each queue, it keeps the log-likelihood ratio of two explanations of the
// recent crashes: that tasks of the queue cause them, and that they are
// independent of the queue. The queue of the highest ratio is confined once
// the ratio passes a threshold, and released once no crash with a run of the
// queue is recent, or independence is more likely.
#ifndef FIGRIDGE_CORE_DISPATCH_CRASH_COMPARTMENT_HPP
#define FIGRIDGE_CORE_DISPATCH_CRASH_COMPARTMENT_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// What the runs on a held endpoint occupy, by queue.
struct endpoint_load {
    std::string endpoint;
    std::string pool;
    // Lost, or possibly lost, by a crash.
    bool is_lost = false;
    std::map<std::string, std::uint32_t> cpu_millis;
};

enum class confinement_event { confined, released };

// A queue was confined or released, and the figures that decided it.
struct confinement_change {
    confinement_event event = confinement_event::confined;
    std::string queue;
    double likelihood = 0.0; // natural logarithm of the ratio
    std::size_t crashes = 0; // recent ones, with or without the queue
    std::size_t with_queue = 0;
    double presence = 0.0;     // share of the occupied endpoints
    double load_share = 0.0;   // of the processor time in use in its pool
    std::size_t endpoints = 0; // in the compartment
    duration confined_for{0};
};

// Owned by an `endpoint_holder`. Not thread-safe.
class crash_compartment {
public:
    // The runs on all endpoints held now. May be called with each tick.
    void record_load(timestamp now, const std::vector<endpoint_load>& held);
    // Applies a report of this or another holder. The reports of one instance
    // count as one crash, from the first that says `refusing`; `none` takes it
    // back. `is_held`: this host holds the endpoint.
    void record_crash(timestamp now, const crash_report& report, bool is_held);
    // Forgets what is no longer recent. Returns whether a queue was confined or
    // released.
    std::optional<confinement_change> tick(timestamp now);

    // The confined queue; empty if there is none, or if its pool has too few
    // endpoints here to keep any for the other queues.
    [[nodiscard]] const std::string& queue() const;
    // The pool of the confined queue.
    [[nodiscard]] const std::string& pool() const { return pool_; }
    [[nodiscard]] bool contains(const std::string& endpoint) const {
        return members_.contains(endpoint);
    }
    [[nodiscard]] const std::set<std::string>& members() const {
        return members_;
    }
    // Whether a run of another queue is short enough that it probably ends
    // before its endpoint in the compartment crashes.
    [[nodiscard]] bool tolerates(duration run_time) const;
    // Logarithm of the likelihood ratio for the queue, see above.
    [[nodiscard]] double likelihood(const std::string& queue) const;

private:
    struct instance {
        std::string endpoint;
        std::int64_t started_ms = 0;

        auto operator<=>(const instance&) const = default;
    };
    struct crash {
        timestamp at{0};
        bool is_held = false;
        bool has_unknown_queue = false;
        std::set<std::string> queues;
    };
    // Averages over time.
    struct queue_load {
        std::string pool;
        double cpu_millis = 0.0;
        double presence = 0.0; // share of the occupied endpoints
    };

    [[nodiscard]] bool is_of_pool(const crash& crash,
                                  const std::string& pool) const;
    [[nodiscard]] std::size_t crashes_with(const std::string& queue) const;
    [[nodiscard]] double load_share(const std::string& queue) const;
    [[nodiscard]] confinement_change describe(confinement_event event,
                                              const std::string& queue) const;
    std::optional<confinement_change> confine_most_suspected(timestamp now);
    void choose_members(const std::vector<endpoint_load>& held);

    std::map<instance, crash> crashes_; // recent ones
    std::map<std::string, queue_load> loads_;
    std::optional<timestamp> load_recorded_at_;
    std::optional<std::string> confined_;
    std::string pool_;
    double confined_share_ = 0.0; // of the load, when it was confined
    timestamp confined_at_{0};
    std::set<std::string> members_;
    std::vector<endpoint_load> held_; // as last recorded
};

std::string_view to_string(confinement_event event);

} // namespace figridge::dispatch

#endif
