#include "core/dispatch/run_index.hpp"

#include <algorithm>

namespace figridge::dispatch {

bool run_index::contains(const task_key& task) const {
    const auto found = by_task_.lower_bound({task_run{task, 0}, {}});
    return found != by_task_.end() && found->first.task == task;
}

std::vector<run_place> run_index::of_job(const std::string& job) const {
    std::vector<run_place> found;
    task_run first;
    first.task.job = job;
    first.run = 0;
    for (auto item = by_task_.lower_bound({first, {}});
         item != by_task_.end() && item->first.task.job == job; ++item) {
        found.push_back({item->second, item->first});
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::vector<run_place>
run_index::of_coordinator(const process_id& coordinator) const {
    std::vector<run_place> found;
    const auto [first, last] = by_coordinator_.equal_range(coordinator);
    for (auto item = first; item != last; ++item) {
        found.push_back(item->place);
    }
    return found;
}

void run_index::add_coordinators(std::set<process_id>& found) const {
    auto item = by_coordinator_.begin();
    while (item != by_coordinator_.end()) {
        found.insert(item->coordinator);
        item = by_coordinator_.upper_bound(item->coordinator);
    }
}

} // namespace figridge::dispatch
