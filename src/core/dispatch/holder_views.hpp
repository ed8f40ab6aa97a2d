// What a host believes of every holder: adverts, less what was sent since.
//
// `place()` chooses the holder for a task: the one in the host's own failure
// domain if the task can start there, else any where it can, else the one
// whose queue is the shortest for its capacity.
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

    // Chooses a holder and takes the task's room from its view; nothing if
    // no holder has an endpoint large enough.
    std::optional<process_id> place(timestamp now, const task_need& need);

    [[nodiscard]] bool empty() const { return views_.empty(); }
    // Whether any known endpoint is large enough for the task.
    [[nodiscard]] bool fits_any_endpoint(const task_need& need) const;
    // Unused processor share of each endpoint of the holders other than
    // `self` that have no queue.
    [[nodiscard]] std::vector<std::uint32_t>
    free_cpu_elsewhere(const process_id& self) const;
    // The least time a task would wait behind the work that is queued.
    [[nodiscard]] duration min_wait() const;

private:
    struct view {
        std::string failure_domain;
        advert advertised;
        // Assignments that the advert may not know of yet.
        std::deque<std::pair<timestamp, task_need>> sent;
    };

    static void deduct(advert& advertised, const task_need& need);
    static bool can_start_now(const advert& advertised, const task_need& need);
    static double wait_ms(const advert& advertised);

    std::string failure_domain_;
    std::map<process_id, view> views_;
};

} // namespace figridge::dispatch

#endif
