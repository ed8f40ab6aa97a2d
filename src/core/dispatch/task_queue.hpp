// Queue of the tasks that wait at a holder, in the order of their starts.
//
// Tasks are ordered by priority, urgent ones first. Within a priority, tasks
// that can still finish in time come first, ordered by their latest start
// time; late tasks follow, oldest first.
#ifndef FIGRIDGE_CORE_DISPATCH_TASK_QUEUE_HPP
#define FIGRIDGE_CORE_DISPATCH_TASK_QUEUE_HPP

#include <functional>
#include <memory>

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

// Owned by an `endpoint_holder`. Not thread-safe.
class task_queue {
public:
    void push(queued_task task) { tasks_.push_back(std::move(task)); }

    // Calls `place` for every task in start order; removes those for which it
    // returns true.
    void place_tasks(timestamp now,
                     const std::function<bool(const queued_task&)>& place);

    // Removes and returns the tasks that match, keeping the others' order.
    std::vector<queued_task>
    extract(const std::function<bool(const queued_task&)>& matches);

    [[nodiscard]] bool empty() const { return tasks_.empty(); }
    [[nodiscard]] std::size_t size() const { return tasks_.size(); }
    [[nodiscard]] const std::vector<queued_task>& tasks() const {
        return tasks_;
    }
    // Smallest processor share that a waiting task asks for, in thousandths of
    // a core; the largest value of the type if the queue is empty.
    [[nodiscard]] std::uint32_t smallest_cpu_request() const;
    // Estimated processor time of the waiting tasks that `counts` is true for,
    // in milliseconds, by priority; see `advert::queued_cpu_ms_by_priority`.
    [[nodiscard]] std::vector<std::uint64_t> queued_cpu_ms_by_priority(
        const std::function<bool(const queued_task&)>& counts) const;

private:
    std::vector<queued_task> tasks_;
};

} // namespace figridge::dispatch

#endif
