// Estimates the free capacity of each holder: its last advert, less the tasks
// assigned to it since.
//
// `place()` chooses the holder for a task by the lowest cost: a penalty for
// another failure domain plus the expected wait if the task cannot start at
// once.
#ifndef FIGRIDGE_CORE_DISPATCH_HOLDER_VIEWS_HPP
#define FIGRIDGE_CORE_DISPATCH_HOLDER_VIEWS_HPP

#include <deque>
#include <map>
#include <optional>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// Owned by a `dispatcher`. Not thread-safe.
class holder_views {
public:
    explicit holder_views(std::string failure_domain)
        : failure_domain_(std::move(failure_domain)) {}

    void update(timestamp now, const process_id& holder,
                const std::string& failure_domain, const advert& advertised);
    void remove(const process_id& holder);

    // Chooses a holder and deducts the task's resources from its view. Empty if
    // no holder that takes further tasks has an endpoint that is large enough.
    // `returned_by`, the holder that gave the task back, is not chosen while
    // another one has free room.
    std::optional<process_id> place(timestamp now, const task_need& need,
                                    const process_id& returned_by = {});

    [[nodiscard]] bool empty() const { return views_.empty(); }
    // Further tasks that all holders together take. Not thread-safe.
    [[nodiscard]] std::uint64_t task_room() const;
    // Whether any known endpoint is large enough for the task.
    [[nodiscard]] bool fits_any_endpoint(const task_need& need) const;
    // Unused processor share, in thousandths of a core, of each endpoint of the
    // holders without queued tasks, except `self`.
    [[nodiscard]] std::vector<std::uint32_t>
    free_cpu_elsewhere(const process_id& self) const;
    // Shortest time that a task of this priority would wait behind the queued
    // work of a holder: that of the same or a higher priority.
    [[nodiscard]] duration min_queue_wait(std::uint32_t priority) const;

private:
    struct assigned_task {
        timestamp at{0};
        std::uint32_t cpu_millis = 0;
        std::uint32_t estimate_ms = 0;
    };

    struct view {
        std::string failure_domain;
        advert advertised;
        // Assignments that the advert may not reflect yet.
        std::deque<assigned_task> sent;
    };

    static void deduct(advert& advertised, const assigned_task& assigned);
    static bool can_start_now(const advert& advertised, const task_need& need);
    // Until a task starts behind the queued work. A holder that is late reads
    // the task late.
    static double wait_ms(const advert& advertised);

    std::string failure_domain_;
    std::map<process_id, view> views_;
};

} // namespace figridge::dispatch

#endif
