// Records all runs on the simulated endpoints and checks the invariants.
#ifndef FIGRIDGE_TESTING_PLATFORM_RUN_JUDGE_HPP
#define FIGRIDGE_TESTING_PLATFORM_RUN_JUDGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "figridge/ports.hpp"

namespace figridge::testing {

// Shared by the endpoints and callers of one process. Not thread-safe.
class run_judge {
public:
    // Ends the runs that are over by the endpoints' clocks. Called before each
    // start, so that a run that a real endpoint would have ended isn't counted
    // as concurrent because this process was delayed.
    std::function<void()> end_due_runs;
    // Receives the events of endpoints and callers, for tracing failures.
    std::function<void(const char* event, const log_fields& fields)> log_sink;

    void log(const char* event, const log_fields& fields) const {
        if (log_sink) {
            log_sink(event, fields);
        }
    }
    void record_start(const std::string& task) {
        ++starts_;
        started_jobs_.insert(task.substr(0, task.find('.')));
        if (++running_[task] > 1) {
            record_violation("two runs at the same time: " + task);
        }
    }

    void record_end(const std::string& task, bool done = false) {
        if (done) {
            done_tasks_[task.substr(0, task.find('.'))].insert(task);
        }
        if (--running_[task] <= 0) {
            running_.erase(task);
        }
    }

    void record_violation(std::string text) {
        log("complaint", {{"text", text}});
        violations_.push_back(std::move(text));
    }

    [[nodiscard]] bool has_started(const std::string& job) const {
        return started_jobs_.contains(job);
    }
    // Number of tasks of a job that have completed.
    [[nodiscard]] std::size_t done_tasks(const std::string& job) const {
        const auto found = done_tasks_.find(job);
        return found == done_tasks_.end() ? 0 : found->second.size();
    }
    [[nodiscard]] std::uint64_t starts() const { return starts_; }
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] const std::vector<std::string>& violations() const {
        return violations_;
    }

private:
    std::map<std::string, int> running_;
    std::set<std::string> started_jobs_;
    std::map<std::string, std::set<std::string>> done_tasks_;
    std::vector<std::string> violations_;
    std::uint64_t starts_ = 0;
};

} // namespace figridge::testing

#endif
