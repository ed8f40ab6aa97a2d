#include "core/dispatch/task_queue.hpp"

#include <algorithm>
#include <limits>

namespace figridge::dispatch {
namespace {

// Bounds the work of a pass. A slow endpoint with room refuses tasks that
// would be late on it, and one of the next few is often short enough.
constexpr std::size_t max_unsuited_per_need = 32;

} // namespace

bool task_queue::start_order::operator()(const entry& a, const entry& b) const {
    const auto order = [](const entry& item) {
        return std::tuple<std::uint32_t, bool, timestamp, const std::string&,
                          std::uint64_t>(item.task.priority, item.late,
                                         item.late ? item.task.queued_at
                                                   : item.latest_start,
                                         item.task.run.task.job, item.number);
    };
    return order(a) < order(b);
}

void task_queue::count(demand& sum, const queued_task& task, bool added) {
    const auto level =
        std::min<std::size_t>(task.priority, sum.cpu_ms_by_priority.size() - 1);
    const auto cpu_ms =
        std::uint64_t{task.need.room.cpu_millis} * task.need.estimate_ms / 1000;
    if (added) {
        sum.tasks += 1;
        sum.cpu_ms_by_priority[level] += cpu_ms;
    } else {
        sum.tasks -= 1;
        sum.cpu_ms_by_priority[level] -= cpu_ms;
    }
}

void task_queue::push(queued_task task) {
    auto& added = tasks_.emplace_back();
    added.position = std::prev(tasks_.end());
    added.task = std::move(task);
    added.number = ++last_number_;
    added.latest_start = added.task.answer_by -
                         std::chrono::milliseconds(added.task.need.estimate_ms);
    const auto& waiting = added.task;
    auto group = groups_.find(waiting);
    if (group == groups_.end()) {
        group = groups_
                    .try_emplace({waiting.need.room, waiting.crashes > 0,
                                  waiting.pool, waiting.queue,
                                  waiting.need.required_label,
                                  waiting.need.preferred_rack, waiting.avoid})
                    .first;
        group->second.position = group;
    }
    added.group = &group->second;
    group->second.tasks.insert(added);
    count(group->second.waiting, waiting, true);
    in_time_.insert(added);
    by_owner_.insert(added);
    by_deadline_.insert(added);
    tasks_by_queue_[waiting.queue] += 1;
    if (waiting.crashes > 0) {
        suspects_.insert(&added);
    } else {
        count(unsuspected_, waiting, true);
    }
}

queued_task task_queue::remove(entry& removed) {
    const auto& task = removed.task;
    auto& group = *removed.group;
    group.tasks.erase(group.tasks.iterator_to(removed));
    count(group.waiting, task, false);
    if (!removed.late) {
        in_time_.erase(in_time_.iterator_to(removed));
    }
    by_owner_.erase(by_owner_.iterator_to(removed));
    by_deadline_.erase(by_deadline_.iterator_to(removed));
    if (const auto found = tasks_by_queue_.find(task.queue);
        --found->second == 0) {
        tasks_by_queue_.erase(found);
    }
    if (task.crashes > 0) {
        suspects_.erase(&removed);
    } else {
        count(unsuspected_, task, false);
    }
    if (group.tasks.empty()) {
        groups_.erase(group.position);
    }
    auto taken = std::move(removed.task);
    tasks_.erase(removed.position);
    return taken;
}

void task_queue::move_late(timestamp now) {
    while (!in_time_.empty() && now > in_time_.begin()->latest_start) {
        touched_ += 1;
        auto& moved = *in_time_.begin();
        in_time_.erase(in_time_.begin());
        auto& tasks = moved.group->tasks;
        tasks.erase(tasks.iterator_to(moved));
        moved.late = true;
        tasks.insert(moved);
    }
}

void task_queue::visit_tasks(
    timestamp now, const std::function<std::uint32_t()>& largest_free_cpu,
    const visitor& visit) {
    if (empty()) {
        return;
    }
    auto free_cpu = largest_free_cpu();
    if (free_cpu < smallest_cpu_request()) {
        return;
    }
    move_late(now);
    // The next task of each group, and how many were unsuited.
    struct cursor {
        entry* next = nullptr;
        std::size_t unsuited = 0;
    };
    // A heap whose top is the first task in start order.
    const auto later = [](const cursor& a, const cursor& b) {
        return start_order()(*b.next, *a.next);
    };
    std::vector<cursor> heads;
    for (auto& [key, group] : groups_) {
        if (key.room.cpu_millis > free_cpu) {
            break;
        }
        touched_ += 1;
        heads.push_back({&*group.tasks.begin(), 0});
    }
    std::make_heap(heads.begin(), heads.end(), later);
    while (!heads.empty()) {
        std::pop_heap(heads.begin(), heads.end(), later);
        auto& head = heads.back();
        auto& visited = *head.next;
        if (visited.task.need.room.cpu_millis > free_cpu) {
            heads.pop_back();
            continue;
        }
        touched_ += 1;
        const auto verdict = visit(visited.task);
        auto& group = *visited.group;
        const auto following = std::next(group.tasks.iterator_to(visited));
        head.next = following == group.tasks.end() ? nullptr : &*following;
        if (verdict == queue_verdict::unsuited) {
            head.unsuited += 1;
        }
        if (verdict == queue_verdict::taken) {
            remove(visited);
        }
        if (verdict == queue_verdict::taken || verdict == queue_verdict::kept) {
            free_cpu = largest_free_cpu();
        }
        if (head.next == nullptr || verdict == queue_verdict::no_room ||
            head.unsuited >= max_unsuited_per_need) {
            heads.pop_back();
        } else {
            std::push_heap(heads.begin(), heads.end(), later);
        }
        if (free_cpu < smallest_cpu_request()) {
            return;
        }
    }
}

std::vector<queued_task>
task_queue::extract_entries(std::vector<entry*> found) {
    std::sort(found.begin(), found.end(), [](const entry* a, const entry* b) {
        return start_order()(*a, *b);
    });
    std::vector<queued_task> taken;
    taken.reserve(found.size());
    for (auto* item : found) {
        touched_ += 1;
        taken.push_back(remove(*item));
    }
    return taken;
}

std::vector<queued_task> task_queue::extract(const process_id& coordinator,
                                             const std::string& job) {
    std::vector<entry*> found;
    for (auto item =
             by_owner_.lower_bound(owner_key{coordinator, job}, owner_order());
         item != by_owner_.end() && item->task.coordinator == coordinator &&
         item->task.run.task.job == job;
         ++item) {
        found.push_back(&*item);
    }
    return extract_entries(std::move(found));
}

std::vector<queued_task> task_queue::extract(const process_id& coordinator) {
    const std::string first_job;
    std::vector<entry*> found;
    for (auto item = by_owner_.lower_bound(owner_key{coordinator, first_job},
                                           owner_order());
         item != by_owner_.end() && item->task.coordinator == coordinator;
         ++item) {
        found.push_back(&*item);
    }
    return extract_entries(std::move(found));
}

std::vector<queued_task> task_queue::extract_all() {
    std::vector<entry*> found;
    for (auto& item : tasks_) {
        found.push_back(&item);
    }
    return extract_entries(std::move(found));
}

void task_queue::drop_expired(timestamp now) {
    while (!by_deadline_.empty() &&
           now > by_deadline_.begin()->task.caller_deadline) {
        touched_ += 1;
        remove(*by_deadline_.begin());
    }
}

std::uint32_t task_queue::smallest_cpu_request() const {
    return groups_.empty() ? std::numeric_limits<std::uint32_t>::max()
                           : groups_.begin()->first.room.cpu_millis;
}

void task_queue::add_coordinators(std::set<process_id>& found) const {
    auto item = by_owner_.begin();
    while (item != by_owner_.end()) {
        const auto& coordinator = item->task.coordinator;
        found.insert(coordinator);
        item = by_owner_.upper_bound(coordinator, coordinator_order());
    }
}

std::vector<const queued_task*> task_queue::suspects() const {
    std::vector<const entry*> found(suspects_.begin(), suspects_.end());
    std::sort(found.begin(), found.end(), [](const entry* a, const entry* b) {
        return start_order()(*a, *b);
    });
    std::vector<const queued_task*> tasks;
    tasks.reserve(found.size());
    for (const auto* item : found) {
        tasks.push_back(&item->task);
    }
    return tasks;
}

task_queue::demand task_queue::demand_of(const predicate& counts) const {
    demand sum;
    for (const auto& [key, group] : groups_) {
        if (!counts(group.tasks.begin()->task)) {
            continue;
        }
        sum.tasks += group.waiting.tasks;
        for (std::size_t level = 0; level < sum.cpu_ms_by_priority.size();
             ++level) {
            sum.cpu_ms_by_priority[level] +=
                group.waiting.cpu_ms_by_priority[level];
        }
    }
    return sum;
}

} // namespace figridge::dispatch
