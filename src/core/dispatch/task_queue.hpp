// Queue of the tasks that wait at a holder, in the order of their starts.
//
// Tasks are ordered by priority, urgent ones first. Within a priority, tasks
// that can still finish in time come first, ordered by their latest start
// time; late tasks follow, oldest first.
//
// Tasks of the same need (see `task_queue::need_key`) are kept together, each
// group in start order. A pass over the queue merges the groups, and leaves a
// group at the first task that finds no room: its cost depends on the number
// of different needs and of tasks that start, not on the length of the queue.
#ifndef FIGRIDGE_CORE_DISPATCH_TASK_QUEUE_HPP
#define FIGRIDGE_CORE_DISPATCH_TASK_QUEUE_HPP

#include <array>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <tuple>

#include <boost/intrusive/set.hpp>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// A waiting task, with the fields that determine its order.
struct queued_task {
    task_run run;
    task_need need;
    std::vector<std::string> avoid;
    process_id coordinator;
    std::shared_ptr<const std::string> payload;
    std::string pool;
    std::string queue; // of the job; empty if not known
    std::uint32_t priority = 0;
    std::uint32_t crashes = 0; // certain or suspected, when it was assigned
    timestamp queued_at{0};
    timestamp answer_by{0}; // latest answer that is in time
    timestamp caller_deadline{0};
};

// What became of a task in a pass over the queue.
enum class queue_verdict {
    taken,   // it is removed from the queue
    kept,    // it stays; the next task of the same need may be taken
    no_room, // it stays, and so do all later tasks of the same need
    // It stays for a reason that depends on its times, such as that it would
    // be late on the only endpoint with room. After some of them the later
    // tasks of the same need are left for the next pass.
    unsuited,
};

// Owned by an `endpoint_holder`. Not thread-safe.
class task_queue {
public:
    using visitor = std::function<queue_verdict(const queued_task&)>;
    using predicate = std::function<bool(const queued_task&)>;

    task_queue() = default;
    task_queue(const task_queue&) = delete;
    task_queue& operator=(const task_queue&) = delete;

    void push(queued_task task);

    // Calls `visit` for the tasks in start order, as far as its verdicts and
    // `largest_free_cpu` ask for more. The latter is the largest share of
    // processor time that a task may still be given, in thousandths of a core;
    // it is called before the first task, and after each one that was not
    // refused for room. Neither may change the queue.
    void visit_tasks(timestamp now,
                     const std::function<std::uint32_t()>& largest_free_cpu,
                     const visitor& visit);

    // Remove and return tasks, in start order as of the last pass.
    std::vector<queued_task> extract(const process_id& coordinator,
                                     const std::string& job);
    std::vector<queued_task> extract(const process_id& coordinator);
    std::vector<queued_task> extract_all();

    // Removes the tasks whose callers have given up.
    void drop_expired(timestamp now);

    [[nodiscard]] bool empty() const { return tasks_.empty(); }
    [[nodiscard]] std::size_t size() const { return tasks_.size(); }
    // Smallest processor share that a waiting task asks for, in thousandths of
    // a core; the largest value of the type if the queue is empty.
    [[nodiscard]] std::uint32_t smallest_cpu_request() const;
    // Whether a task of a job of this queue is waiting. Not thread-safe.
    [[nodiscard]] bool has_tasks_of(const std::string& queue) const {
        return tasks_by_queue_.contains(queue);
    }
    // Adds the coordinators of waiting tasks. Not thread-safe.
    void add_coordinators(std::set<process_id>& found) const;
    // The tasks that may have crashed an endpoint, in start order as of the
    // last pass. Not thread-safe.
    [[nodiscard]] std::vector<const queued_task*> suspects() const;

    // Waiting tasks, and their estimated processor time in milliseconds by
    // priority; see `advert::queued_cpu_ms_by_priority`.
    struct demand {
        std::size_t tasks = 0;
        std::array<std::uint64_t, 4> cpu_ms_by_priority{};
    };
    // Of all tasks but suspects. Not thread-safe.
    [[nodiscard]] const demand& unsuspected_demand() const {
        return unsuspected_;
    }
    // Of the needs that `counts` is true for. It is called with one task of
    // each need. Not thread-safe.
    [[nodiscard]] demand demand_of(const predicate& counts) const;

    // Number of tasks that passes, extractions and the passage of time have
    // touched, for tests of the costs. Not thread-safe.
    [[nodiscard]] std::uint64_t touched() const { return touched_; }

private:
    struct need_group;
    // What determines where a task may start, except its times. Ordered by the
    // processor share first.
    struct need_key {
        resources room;
        bool suspect = false;
        std::string pool;
        std::string queue;
        std::string label;
        std::string rack;
        std::vector<std::string> avoid;
    };
    struct need_order {
        using is_transparent = void;
        static auto fields(const need_key& key) {
            return std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, bool,
                              const std::string&, const std::string&,
                              const std::string&, const std::string&,
                              const std::vector<std::string>&>(
                key.room.cpu_millis, key.room.memory_mb, key.room.accelerators,
                key.suspect, key.pool, key.queue, key.label, key.rack,
                key.avoid);
        }
        static auto fields(const queued_task& task) {
            const auto& need = task.need;
            return std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, bool,
                              const std::string&, const std::string&,
                              const std::string&, const std::string&,
                              const std::vector<std::string>&>(
                need.room.cpu_millis, need.room.memory_mb,
                need.room.accelerators, task.crashes > 0, task.pool, task.queue,
                need.required_label, need.preferred_rack, task.avoid);
        }
        template <class A, class B>
        bool operator()(const A& a, const B& b) const {
            return fields(a) < fields(b);
        }
    };
    using group_map = std::map<need_key, need_group, need_order>;

    using hook = boost::intrusive::set_member_hook<
        boost::intrusive::link_mode<boost::intrusive::normal_link>>;
    struct entry {
        queued_task task;
        std::uint64_t number = 0; // in the order of arrival
        timestamp latest_start{0};
        bool late = false;
        need_group* group = nullptr;
        std::list<entry>::iterator position;
        hook by_start;
        hook by_latest_start; // linked while the task is in time
        hook by_owner;
        hook by_deadline;
    };
    struct start_order {
        bool operator()(const entry& a, const entry& b) const;
    };
    struct latest_start_order {
        bool operator()(const entry& a, const entry& b) const {
            return std::tie(a.latest_start, a.number) <
                   std::tie(b.latest_start, b.number);
        }
    };
    struct deadline_order {
        bool operator()(const entry& a, const entry& b) const {
            return std::tie(a.task.caller_deadline, a.number) <
                   std::tie(b.task.caller_deadline, b.number);
        }
    };
    // The first task of a coordinator, or of one of its jobs, at or after it.
    struct owner_key {
        const process_id& coordinator;
        const std::string& job;
    };
    struct owner_order {
        bool operator()(const entry& a, const entry& b) const {
            return std::tie(a.task.coordinator, a.task.run.task.job, a.number) <
                   std::tie(b.task.coordinator, b.task.run.task.job, b.number);
        }
        bool operator()(const entry& a, const owner_key& b) const {
            return std::tie(a.task.coordinator, a.task.run.task.job) <
                   std::tie(b.coordinator, b.job);
        }
    };
    struct coordinator_order {
        bool operator()(const process_id& a, const entry& b) const {
            return a < b.task.coordinator;
        }
        bool operator()(const entry& a, const process_id& b) const {
            return a.task.coordinator < b;
        }
    };
    template <hook entry::*Hook, class Order>
    using index =
        boost::intrusive::set<entry,
                              boost::intrusive::member_hook<entry, hook, Hook>,
                              boost::intrusive::compare<Order>>;

    struct need_group {
        index<&entry::by_start, start_order> tasks;
        demand waiting;
        group_map::iterator position;
    };

    // Moves the tasks over that have become late.
    void move_late(timestamp now);
    queued_task remove(entry& removed);
    std::vector<queued_task> extract_entries(std::vector<entry*> found);
    static void count(demand& sum, const queued_task& task, bool added);

    std::list<entry> tasks_;
    group_map groups_;
    index<&entry::by_latest_start, latest_start_order> in_time_;
    index<&entry::by_owner, owner_order> by_owner_;
    index<&entry::by_deadline, deadline_order> by_deadline_;
    std::map<std::string, std::size_t> tasks_by_queue_;
    std::set<const entry*> suspects_;
    demand unsuspected_;
    std::uint64_t last_number_ = 0;
    std::uint64_t touched_ = 0;
};

} // namespace figridge::dispatch

#endif
