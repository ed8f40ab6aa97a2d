// The queue of tasks that wait for a slot at their holder.
//
// Urgent tasks precede normal ones, but after `max_urgent_streak` consecutive
// urgent tasks a waiting normal task is picked. Within a class, tasks of the
// owner with the least task time used go first, then those of the oldest job.
// Usage is compared in units of `fairness_quantum`: at one holder, owners get
// equal shares over seconds, and jobs of owners in the same unit are ordered by
// age.
#ifndef FIGRIDGE_CORE_FAIR_QUEUE_HPP
#define FIGRIDGE_CORE_FAIR_QUEUE_HPP

#include <array>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "figridge/job.hpp"
#include "figridge/submission_id.hpp"
#include "figridge/time.hpp"

namespace figridge {

struct queued_task {
    task_ref ref;
    std::string entry;
    std::string owner;
    priority_class priority = priority_class::normal;
    task_spec spec;
    std::uint32_t task_deadline_ms = 0;
    timestamp received{0};
    timestamp submitted{0}; // on this host's clock, from the job's age
    timestamp start_by{0};
};

// Owned by `slot_holder`. Not thread-safe.
class fair_queue {
public:
    void push(queued_task task);

    // Removes and returns the next task, or nothing if the queue is empty.
    std::optional<queued_task> pop();

    // Reinserts a popped task by its time of submission.
    void put_back(queued_task task) { push(std::move(task)); }

    // Removes up to `max_count` tasks from the back: those that would wait
    // longest.
    std::vector<queued_task> take_from_back(std::size_t max_count);

    // Removes and returns the tasks that satisfy the predicate.
    std::vector<queued_task>
    remove_if(const std::function<bool(const queued_task&)>& predicate);

    // Charges task time to an owner.
    void charge(const std::string& owner, duration used);

    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }

private:
    using order_key = std::pair<timestamp, std::uint64_t>;
    struct owner_queue {
        std::map<order_key, queued_task> tasks;
    };
    using class_queue = std::map<std::string, owner_queue>;

    [[nodiscard]] std::size_t choose_class() const;
    [[nodiscard]] class_queue::iterator choose_owner(class_queue& queue);
    [[nodiscard]] duration min_usage_of_waiting_owners() const;

    std::array<class_queue, 2> classes_;
    std::unordered_map<std::string, duration> used_;
    std::size_t size_ = 0;
    std::uint64_t next_number_ = 0;
    std::uint32_t urgent_streak_ = 0;
};

} // namespace figridge

#endif
