// Decides where waiting tasks start, with reservations for those that do not
// fit yet.
//
// A task that fits nowhere now gets a reservation on the endpoint where it can
// start soonest; its expected start then is the promised time. A later task may
// start there if it is expected to end by the promised time, or if it leaves
// the reserved room free at that time. So the reserved task waits at most until
// runs that were expected to end by the promised time have ended. Reservations
// hold against tasks of the same or a lower priority, and an endpoint has one
// for each priority at most.
//
// Usage: `begin()` once for each pass over the queue, then `choose()` for each
// task in queue order; `take()` for what is to start, and `note_started()` once
// it was started.
// docs/design/look-ahead.md compares the alternatives.
#ifndef FIGRIDGE_CORE_DISPATCH_START_PLANNER_HPP
#define FIGRIDGE_CORE_DISPATCH_START_PLANNER_HPP

#include <functional>
#include <map>
#include <optional>
#include <tuple>

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

// A run on an endpoint, and when it is expected to end.
struct planned_run {
    resources room;
    timestamp ends_at{0};
    timestamp began{0};
};

// An endpoint that accepts tasks now or once its runs have ended.
struct planned_endpoint {
    std::string id;
    std::string rack;
    resources free;
    resources capacity;
    double slowness = 1.0; // ratio of run times to estimates
    bool one_task = false; // accepts a single task at a time
    std::vector<planned_run> runs;
};

// A waiting task. `group` and `need` determine its kind.
struct planned_task {
    task_key key;
    // Tasks of one group are admitted to the same endpoints, apart from labels.
    std::string group;
    task_need need;
    std::uint32_t priority = 0; // 0 is the highest
    timestamp queued_at{0};
    timestamp caller_deadline{0}; // 0: not known
};

enum class plan_action { start, wait, reserve };

// `endpoint` is empty for `wait`. `at` is the expected start.
struct plan_decision {
    plan_action action = plan_action::wait;
    std::string endpoint;
    timestamp at{0};
};

enum class reservation_event {
    made,
    used,     // the task started there
    given_up, // the task started elsewhere, or the reservation can't be kept
    // Another task started there before the reserved one; `task` is that one,
    // and `at` the time of its start.
    started_ahead,
};

struct reservation_change {
    reservation_event event = reservation_event::made;
    task_key task;
    std::string endpoint;
    timestamp at{0}; // expected start of the task
};

// Why a task does not start on an endpoint now.
enum class pass_over_reason {
    chosen,       // it starts there
    not_admitted, // wrong pool or label, avoided, isolated or slow
    too_small,    // the endpoint, if it were idle
    no_room,      // until runs have ended
    reserved,     // the room is reserved for another task
    costlier,     // it fits, but another endpoint is preferred
};

struct planner_limits {
    // For the first tasks in queue order that do not fit. One more is for the
    // task that has waited longest. 0: none at all.
    std::size_t reservations = 4;
    // Tasks of one kind that are compared with the endpoints in a pass without
    // being started; later ones wait, as the same room was refused before.
    std::size_t tasks_per_kind = 4;
    // The same for tasks of all kinds.
    std::size_t tasks_per_pass = 128;
};

// Owned by an `endpoint_holder`. Not thread-safe. Results depend only on the
// arguments of the calls so far.
class start_planner {
public:
    // Whether the task may run on the endpoint, apart from room.
    using admission = std::function<bool(const std::string& endpoint)>;

    explicit start_planner(const planner_limits& limits) : limits_(limits) {}

    // Begins a pass. Gives up reservations whose endpoint is not listed, and
    // those whose task was not asked for in the last two passes. A task runs
    // `far_factor` times as long away from its preferred rack.
    // Precondition: `ends_at` of all runs is later than `now`.
    void begin(timestamp now, double far_factor,
               std::vector<planned_endpoint> endpoints);

    // Decides for the next task in queue order; may make a reservation, but
    // does not take room for a start. Precondition: `begin()` was called.
    plan_decision choose(const planned_task& task, const admission& admits);

    // Takes the room for the task, whether it was decided by `choose()` or not.
    // Does nothing if the endpoint is not listed.
    void take(const planned_task& task, const std::string& endpoint);

    // The task was started there; ends its reservation.
    void note_started(const task_key& task, const std::string& endpoint);

    // Gives up the reservation of the task, if it has one.
    void give_up(const task_key& task);

    // Gives up all reservations.
    void clear();

    // Why each endpoint would or would not be chosen, in the order of
    // `begin()`. Makes no reservation.
    [[nodiscard]] std::vector<std::pair<std::string, pass_over_reason>>
    explain(const planned_task& task, const admission& admits) const;

    // Returns the changes of reservations since the last call.
    std::vector<reservation_change> take_changes();

    // Whether `choose()` still compares tasks that fit nowhere in this pass.
    [[nodiscard]] bool looks_further() const {
        return refused_ < limits_.tasks_per_pass;
    }
    [[nodiscard]] std::size_t reservations() const {
        return reservations_.size();
    }
    // Endpoints compared with a task so far; the cost of the decisions.
    [[nodiscard]] std::uint64_t steps() const { return steps_; }

private:
    struct reservation {
        task_key task;
        task_need need;
        std::uint32_t priority = 0;
        std::string endpoint;
        timestamp made_at{0};
        timestamp at{0};       // expected start, updated in each pass
        timestamp promised{0}; // expected start when it was made
        // Room that was expected to be left beside the task then.
        resources spare;
        std::uint64_t asked_in_pass = 0;
        bool for_oldest = false;
    };
    // Group, label, rack, processor share, memory, accelerators and estimate,
    // the quantities in classes.
    using task_kind =
        std::tuple<std::string, std::string, std::string, std::uint32_t,
                   std::uint32_t, std::uint32_t, std::uint32_t>;
    struct waiting_task {
        task_key key;
        timestamp queued_at{0};
    };
    struct option {
        const planned_endpoint* endpoint = nullptr;
        timestamp at{0};
        double cost = 0.0;
    };

    static task_kind kind_of(const planned_task& task);
    [[nodiscard]] duration run_time(const planned_endpoint& endpoint,
                                    const task_need& need) const;
    // The lower, the better; see `leftover_weight_ms`.
    [[nodiscard]] double start_cost(const planned_endpoint& endpoint,
                                    const task_need& need) const;
    // Whether a reservation keeps the task from starting there now.
    [[nodiscard]] bool is_blocked(const planned_endpoint& endpoint,
                                  const planned_task& task) const;
    // Whether another task has a reservation there that holds against the
    // priority.
    [[nodiscard]] bool is_reserved(const planned_endpoint& endpoint,
                                   const task_key& task,
                                   std::uint32_t priority) const;
    [[nodiscard]] std::optional<option> cheapest_start(const planned_task& task,
                                                       const admission& admits);
    [[nodiscard]] std::optional<option> soonest_start(const planned_task& task,
                                                      const admission& admits);
    [[nodiscard]] bool may_reserve(const planned_task& task) const;
    // Gives up the last reservation on an endpoint that could run this task.
    bool give_up_latest(const planned_task& task, const admission& admits);
    plan_decision reserve(const planned_task& task, const admission& admits);
    reservation* find_reservation(const task_key& task);
    planned_endpoint* find_endpoint(const std::string& id);
    void note_change(reservation_event event, const reservation& about);
    void note_waiting(const planned_task& task);

    planner_limits limits_;
    double far_factor_ = 1.0;
    timestamp now_{0};
    std::uint64_t pass_ = 0;
    std::uint64_t steps_ = 0;
    std::vector<planned_endpoint> endpoints_;
    std::vector<reservation> reservations_; // in the order they were made
    std::map<task_kind, std::size_t> refused_by_kind_; // in this pass
    std::size_t refused_ = 0;                          // in this pass
    // The longest waiting task without a reservation, in this pass and in the
    // last one.
    std::optional<waiting_task> oldest_;
    std::optional<waiting_task> oldest_of_last_pass_;
    std::vector<reservation_change> changes_;
};

std::string_view to_string(plan_action action);
std::string_view to_string(reservation_event event);
std::string_view to_string(pass_over_reason reason);

} // namespace figridge::dispatch

#endif
