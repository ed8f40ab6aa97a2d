// Starts that may still be carried out, as their holders have told.
//
// Each host has a ledger. A holder tells of a start that its endpoint left
// unanswered, so that a host to which the job is submitted again does not place
// the task beside it.
//
//     doubts.record(now, doubt);
//     doubts.handle_adoption(now, adoption);
//     if (!doubts.is_open(task)) { ... }       // the task may be placed
#ifndef FIGRIDGE_CORE_DISPATCH_DOUBT_LEDGER_HPP
#define FIGRIDGE_CORE_DISPATCH_DOUBT_LEDGER_HPP

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/dispatch/messages.hpp"
#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {

// Owned by a `dispatcher`. Not thread-safe.
class doubt_ledger {
public:
    // `settings` must outlive the ledger.
    explicit doubt_ledger(const dispatch_settings& settings)
        : settings_(settings) {}

    // Applies a report, or ends an earlier one. One with `over` and without a
    // job ends all that its holder has told. Not thread-safe.
    void record(timestamp now, const start_doubt& doubt);
    // The endpoint has answered a call under the adoption's token and listed
    // its runs. Starts under lower tokens are not carried out any more. Not
    // thread-safe.
    void handle_adoption(timestamp now, const endpoint_adoption& adoption);
    // The same without the list of runs. Not thread-safe.
    void handle_fence(timestamp now, const endpoint_fence& fence);
    // The platform lists the endpoint (again). Not thread-safe.
    void handle_listed(const std::string& endpoint);
    // The platform does not list the endpoint any more. Not thread-safe.
    void handle_removed(timestamp now, const std::string& endpoint);
    // Forgets what is over, and what no submission of its job can refer to any
    // more. `may_start_late` tells whether a start of a lost holder may still
    // be carried out. Not thread-safe.
    void
    tick(timestamp now,
         const std::function<bool(const start_doubt& doubt)>& may_start_late);

    // Whether a start of the task may still be carried out, or its run go on.
    // Not thread-safe.
    [[nodiscard]] bool is_open(const task_key& task) const;
    // Whether that holds for any task of the job. Not thread-safe.
    [[nodiscard]] bool is_open_for_job(const std::string& job) const;
    // Whether an endpoint has listed a run of the task, whoever sent it, that
    // may still go on. Not thread-safe.
    [[nodiscard]] bool is_listed(timestamp now, const task_key& task) const;
    // The open doubts that this holder has told. Not thread-safe.
    [[nodiscard]] std::vector<start_doubt> of(const process_id& holder) const;
    // All open doubts, told by whomever. Not thread-safe.
    [[nodiscard]] std::vector<start_doubt> all() const;
    // Number of open doubts. Not thread-safe.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        start_doubt doubt;
        timestamp at{0};
        // When its run has ended, by a higher token and by the platform's list.
        std::optional<timestamp> fenced_by;
        std::optional<timestamp> gone_by;
        // Without an endpoint: when the run that an adoption lists has ended.
        timestamp listed_run_ends_by{0};
    };
    // What an endpoint has answered under its highest known token.
    struct answered_call {
        std::uint64_t token = 0;
        timestamp at{0};
        // The tasks with a run on the list; empty if the list is not known.
        std::optional<std::set<task_key>> running;
    };

    // Time from an adoption that lists a run which nobody claims until that run
    // has ended.
    [[nodiscard]] duration run_limit() const;
    // Ends the doubts about starts on the endpoint under lower tokens.
    void apply_answer(timestamp now, const std::string& endpoint,
                      answered_call answer);
    // When the run of a doubt that `answer` fences has ended; nothing if there
    // is none.
    [[nodiscard]] std::optional<timestamp> run_end(const answered_call& answer,
                                                   const task_key& task) const;
    void erase_if(const std::function<bool(const entry& known)>& is_over);

    const dispatch_settings& settings_;
    std::map<task_key, std::vector<entry>> tasks_;
    std::map<std::string, answered_call> answers_; // by endpoint
    // The endpoints with doubts that the platform has stopped to list.
    std::set<std::string> gone_;
};

} // namespace figridge::dispatch

#endif
