#include "core/dispatch/task_queue.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace figridge::dispatch {
namespace {

// Queues rarely use more than three priorities.
constexpr std::size_t advertised_priorities = 4;

auto order_of(timestamp now, const queued_task& task) {
    const auto latest_start =
        task.answer_by - std::chrono::milliseconds(task.need.estimate_ms);
    const bool late = now > latest_start;
    return std::tuple(task.priority, late, late ? task.queued_at : latest_start,
                      task.run.task.job);
}

} // namespace

void task_queue::place_tasks(
    timestamp now, const std::function<bool(const queued_task&)>& place) {
    std::stable_sort(tasks_.begin(), tasks_.end(),
                     [now](const queued_task& a, const queued_task& b) {
                         return order_of(now, a) < order_of(now, b);
                     });
    std::erase_if(tasks_,
                  [&place](const queued_task& task) { return place(task); });
}

std::vector<queued_task>
task_queue::extract(const std::function<bool(const queued_task&)>& matches) {
    std::vector<queued_task> taken;
    std::erase_if(tasks_, [&](const queued_task& task) {
        if (!matches(task)) {
            return false;
        }
        taken.push_back(task);
        return true;
    });
    return taken;
}

std::uint32_t task_queue::smallest_cpu_request() const {
    std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
    for (const auto& task : tasks_) {
        least = std::min(least, task.need.room.cpu_millis);
    }
    return least;
}

std::vector<std::uint64_t> task_queue::queued_cpu_ms_by_priority(
    const std::function<bool(const queued_task&)>& counts) const {
    std::vector<std::uint64_t> sums(advertised_priorities, 0);
    for (const auto& task : tasks_) {
        if (!counts(task)) {
            continue;
        }
        const auto level =
            std::min<std::size_t>(task.priority, advertised_priorities - 1);
        sums[level] += std::uint64_t{task.need.room.cpu_millis} *
                       task.need.estimate_ms / 1000;
    }
    return sums;
}

} // namespace figridge::dispatch
