#include "fair_queue.hpp"

#include <algorithm>

namespace figridge {
namespace {

constexpr std::uint32_t max_urgent_streak = 16;
constexpr duration fairness_quantum = 20s;
constexpr std::size_t normal_index = 0;
constexpr std::size_t urgent_index = 1;

std::size_t class_index(const queued_task& task) {
    return task.priority == priority_class::urgent ? urgent_index
                                                   : normal_index;
}

} // namespace

duration fair_queue::min_usage_of_waiting_owners() const {
    duration least = duration::max();
    for (const auto& owners : classes_) {
        for (const auto& [owner, queue] : owners) {
            const auto found = used_.find(owner);
            if (found != used_.end()) {
                least = std::min(least, found->second);
            }
        }
    }
    return least == duration::max() ? duration{0} : least;
}

void fair_queue::push(queued_task task) {
    const auto owner = task.owner;
    auto& owners = classes_[class_index(task)];
    if (!owners.contains(owner)) {
        // Raises an idle owner to the lowest usage among waiting owners, so
        // that idle time earns no credit.
        auto& used = used_[owner];
        used = std::max(used, min_usage_of_waiting_owners());
    }
    const order_key key{task.submitted, next_number_++};
    owners[owner].tasks.emplace(key, std::move(task));
    ++size_;
}

std::size_t fair_queue::choose_class() const {
    if (classes_[urgent_index].empty()) {
        return normal_index;
    }
    const bool normal_is_due =
        urgent_streak_ >= max_urgent_streak && !classes_[normal_index].empty();
    return normal_is_due ? normal_index : urgent_index;
}

fair_queue::class_queue::iterator fair_queue::choose_owner(class_queue& queue) {
    return std::min_element(
        queue.begin(), queue.end(),
        [this](const auto& left, const auto& right) {
            const auto left_used = used_[left.first] / fairness_quantum;
            const auto right_used = used_[right.first] / fairness_quantum;
            return std::tie(left_used, left.second.tasks.begin()->first) <
                   std::tie(right_used, right.second.tasks.begin()->first);
        });
}

std::optional<queued_task> fair_queue::pop() {
    if (size_ == 0) {
        return std::nullopt;
    }
    const auto chosen = choose_class();
    urgent_streak_ = chosen == urgent_index ? urgent_streak_ + 1 : 0;
    auto& owners = classes_[chosen];
    const auto owner = choose_owner(owners);
    auto& tasks = owner->second.tasks;
    auto task = std::move(tasks.begin()->second);
    tasks.erase(tasks.begin());
    if (tasks.empty()) {
        owners.erase(owner);
    }
    --size_;
    return task;
}

std::vector<queued_task> fair_queue::take_from_back(std::size_t max_count) {
    std::vector<queued_task> taken;
    for (auto& owners : classes_) {
        while (taken.size() < max_count && !owners.empty()) {
            const auto owner = std::max_element(
                owners.begin(), owners.end(),
                [](const auto& left, const auto& right) {
                    return left.second.tasks.size() < right.second.tasks.size();
                });
            auto& tasks = owner->second.tasks;
            const auto last = std::prev(tasks.end());
            taken.push_back(std::move(last->second));
            tasks.erase(last);
            --size_;
            if (tasks.empty()) {
                owners.erase(owner);
            }
        }
    }
    return taken;
}

std::vector<queued_task> fair_queue::remove_if(
    const std::function<bool(const queued_task&)>& predicate) {
    std::vector<queued_task> removed;
    for (auto& owners : classes_) {
        for (auto owner = owners.begin(); owner != owners.end();) {
            auto& tasks = owner->second.tasks;
            for (auto task = tasks.begin(); task != tasks.end();) {
                if (!predicate(task->second)) {
                    ++task;
                    continue;
                }
                removed.push_back(std::move(task->second));
                task = tasks.erase(task);
                --size_;
            }
            owner = tasks.empty() ? owners.erase(owner) : std::next(owner);
        }
    }
    return removed;
}

void fair_queue::charge(const std::string& owner, duration used) {
    used_[owner] += used;
}

} // namespace figridge
