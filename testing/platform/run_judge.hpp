// What the stand-ins saw of all runs: the evidence for the promises.
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

// Shared by the endpoints of one process. Not thread-safe.
class run_judge {
public:
    // Ends what is over by the endpoints' clocks. Called before each start, so
    // that a process that is late itself sees no runs that an endpoint would
    // have ended.
    std::function<void()> end_due_runs;
    // Writes a line of the log: what each endpoint and caller saw, for traces.
    std::function<void(const char* event, const log_fields& fields)> log_sink;

    void log(const char* event, const log_fields& fields) const {
        if (log_sink) {
            log_sink(event, fields);
        }
    }
    void started(const std::string& task) {
        ++starts_;
        started_jobs_.insert(task.substr(0, task.find('.')));
        if (++running_[task] > 1) {
            record_violation("two runs at the same time: " + task);
        }
    }

    void ended(const std::string& task, bool done = false) {
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
    // How many tasks of a job have ended done.
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
