// The endpoints that have, or may have, crashed while a task ran there.
//
// Each host has a ledger. Holders report runs that were lost with their
// endpoint to all hosts, so the counts survive another holder, another
// coordinator of the job, and a job that is submitted again. What is only
// suspected becomes certain, or is withdrawn, as the platform's list of
// endpoints and later reports tell.
#ifndef FIGRIDGE_CORE_DISPATCH_CRASH_LEDGER_HPP
#define FIGRIDGE_CORE_DISPATCH_CRASH_LEDGER_HPP

#include <map>
#include <string>
#include <vector>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// Endpoint instances that were lost under a task.
struct task_crashes {
    std::vector<std::string> certain; // ids of endpoints that have crashed
    std::size_t suspected = 0;        // endpoints that may have crashed

    [[nodiscard]] std::size_t total() const {
        return certain.size() + suspected;
    }
};

// Owned by a `dispatcher`. Not thread-safe.
class crash_ledger {
public:
    // Applies a report. One with evidence `none` withdraws the suspicion, but
    // not what is certain: `ended` stands for good.
    void record(timestamp now, const crash_report& report);
    // The platform lists the endpoint with an instance that began at
    // `instance_started_ms` (Unix time; 0 if not known). Earlier instances
    // have ended.
    void handle_listed(const std::string& endpoint,
                       std::int64_t instance_started_ms);
    // The platform no longer lists the endpoint. An instance that refused
    // connections has ended.
    void handle_removed(const std::string& endpoint);
    // A holder has adopted the endpoint. An instance that lists a run, or its
    // end, has not crashed under it, nor under the runs beside it; its former
    // holder can't withdraw what it suspected.
    void handle_adoption(const endpoint_adoption& adoption);
    // Forgets entries that no submission of their job can refer to any more.
    void tick(timestamp now);

    [[nodiscard]] task_crashes of(const task_key& task) const;
    // The tasks of the job under which endpoints have, or may have, crashed.
    [[nodiscard]] std::vector<task_key> tasks_of(const std::string& job) const;
    [[nodiscard]] bool empty() const { return tasks_.empty(); }
    // Number of tasks with entries.
    [[nodiscard]] std::size_t size() const { return tasks_.size(); }
    // Changes with each change of what `of()` returns.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

private:
    struct instance {
        std::string endpoint;
        std::int64_t started_ms = 0;

        auto operator<=>(const instance&) const = default;
    };
    struct entry {
        std::uint32_t run = 0; // of the task, there
        crash_evidence evidence = crash_evidence::refusing;
        timestamp at{0};
    };

    std::map<task_key, std::map<instance, entry>> tasks_;
    std::uint64_t generation_ = 0;
};

} // namespace figridge::dispatch

#endif
