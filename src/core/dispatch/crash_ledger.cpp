#include "core/dispatch/crash_ledger.hpp"

#include <set>

namespace figridge::dispatch {
namespace {

// Callers that got no answer submit a job again within seconds of their time
// limit.
constexpr duration entry_retention = 60s;

} // namespace

void crash_ledger::record(timestamp now, const crash_report& report) {
    const instance key{report.endpoint, report.instance_started_ms};
    if (report.evidence == crash_evidence::none) {
        const auto task = tasks_.find(report.run.task);
        if (task == tasks_.end()) {
            return;
        }
        const auto found = task->second.find(key);
        if (found == task->second.end() ||
            found->second.evidence == crash_evidence::ended) {
            return;
        }
        task->second.erase(found);
        if (task->second.empty()) {
            tasks_.erase(task);
        }
        ++generation_;
        return;
    }
    auto& known = tasks_[report.run.task][key];
    if (known.evidence != crash_evidence::ended) {
        known.evidence = report.evidence;
    }
    known.run = report.run.run;
    known.at = now;
    ++generation_;
}

void crash_ledger::handle_listed(const std::string& endpoint,
                                 std::int64_t instance_started_ms) {
    for (auto& [task, instances] : tasks_) {
        for (auto& [key, known] : instances) {
            if (key.endpoint == endpoint &&
                key.started_ms < instance_started_ms &&
                known.evidence == crash_evidence::refusing) {
                known.evidence = crash_evidence::ended;
                ++generation_;
            }
        }
    }
}

void crash_ledger::handle_removed(const std::string& endpoint) {
    for (auto& [task, instances] : tasks_) {
        for (auto& [key, known] : instances) {
            if (key.endpoint == endpoint &&
                known.evidence == crash_evidence::refusing) {
                known.evidence = crash_evidence::ended;
                ++generation_;
            }
        }
    }
}

void crash_ledger::handle_adoption(const endpoint_adoption& adoption) {
    std::set<task_run> found(adoption.running.begin(), adoption.running.end());
    for (const auto& ended : adoption.ended) {
        found.insert(ended.run);
    }
    std::set<instance> answering;
    for (const auto& [task, instances] : tasks_) {
        for (const auto& [key, known] : instances) {
            if (key.endpoint == adoption.endpoint &&
                found.contains({task, known.run})) {
                answering.insert(key);
            }
        }
    }
    if (answering.empty()) {
        return;
    }
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        generation_ += std::erase_if(task->second, [&](const auto& item) {
            return item.second.evidence == crash_evidence::refusing &&
                   answering.contains(item.first);
        });
        task = task->second.empty() ? tasks_.erase(task) : std::next(task);
    }
}

void crash_ledger::tick(timestamp now) {
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        const auto erased =
            std::erase_if(task->second, [now](const auto& item) {
                return now - item.second.at > entry_retention;
            });
        generation_ += erased;
        task = task->second.empty() ? tasks_.erase(task) : std::next(task);
    }
}

task_crashes crash_ledger::of(const task_key& task) const {
    task_crashes crashes;
    if (const auto found = tasks_.find(task); found != tasks_.end()) {
        for (const auto& [key, known] : found->second) {
            if (known.evidence == crash_evidence::ended) {
                crashes.certain.push_back(key.endpoint);
            } else {
                ++crashes.suspected;
            }
        }
    }
    return crashes;
}

std::vector<task_key> crash_ledger::tasks_of(const std::string& job) const {
    std::vector<task_key> found;
    for (auto task = tasks_.lower_bound({job, 0, 0});
         task != tasks_.end() && task->first.job == job; ++task) {
        found.push_back(task->first);
    }
    return found;
}

} // namespace figridge::dispatch
