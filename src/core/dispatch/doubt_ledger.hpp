// Starts that may still be carried out, as their holders have told.
//
// Each host has a ledger. A holder tells of a start that its endpoint left
// unanswered, so that a host to which the job is submitted again does not place
// the task beside it.
//
//     doubts.record(now, doubt);
//     doubts.handle_adoption(now, adoption);
//     if (!doubts.is_open(task)) { ... }       // the task may be placed
//
// The cost of each call grows with the doubts that it concerns, not with the
// number of all: they are indexed by task, holder, endpoint and end.
#ifndef FIGRIDGE_CORE_DISPATCH_DOUBT_LEDGER_HPP
#define FIGRIDGE_CORE_DISPATCH_DOUBT_LEDGER_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
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
    // be carried out; it is asked about a doubt every `ask_interval` at most,
    // and about `max_asked` doubts in one call. Not thread-safe.
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
    // Calls `use` with each process that is the holder of an open doubt, told
    // by whomever. Not thread-safe.
    void visit_holders(
        const std::function<void(const process_id& holder)>& use) const;
    // Calls `use` with each open doubt of the holder, told by whomever, that
    // was recorded after the one with this number (0: with all of them). Not
    // thread-safe.
    void visit(const process_id& holder, std::uint64_t after,
               const std::function<void(const start_doubt& doubt)>& use) const;
    // The number of the doubt that was recorded last; it never decreases. Not
    // thread-safe.
    [[nodiscard]] std::uint64_t last_number() const { return last_number_; }
    // Number of open doubts. Not thread-safe.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    // How many doubts all calls have visited so far, as a measure of their
    // cost. Not thread-safe.
    [[nodiscard]] std::size_t visited() const { return visited_; }

    static constexpr duration ask_interval = 100ms;
    static constexpr std::size_t max_asked = 256;

private:
    using due_entries = std::set<std::pair<timestamp, std::uint64_t>>;
    struct entry {
        start_doubt doubt;
        timestamp at{0};
        // When its run has ended, by a higher token and by the platform's list.
        std::optional<timestamp> fenced_by;
        std::optional<timestamp> gone_by;
        // Without an endpoint: when the run that an adoption lists has ended.
        timestamp listed_run_ends_by{0};
        timestamp ends_at{0};  // its place in `ends_`
        timestamp asked_at{0}; // its place in `asks_`, if its holder is lost
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
    void insert(entry added);
    void erase(std::uint64_t number);
    // Ends the doubts whose end has come.
    void erase_ended(timestamp now);
    // Moves the entry in `ends_` to its earliest end.
    void schedule_end(std::uint64_t number, entry& known);
    // The numbers of the doubts about starts on the endpoint.
    [[nodiscard]] std::vector<std::uint64_t>
    numbers_at(const std::string& endpoint) const;
    // Makes `is_listed()` find the tasks of the list, or no longer.
    void index_list(const std::string& endpoint, const answered_call& answer);
    void remove_list(const std::string& endpoint, answered_call& answer);

    const dispatch_settings& settings_;
    // By number, in the order in which they were recorded.
    std::map<std::uint64_t, entry> entries_;
    std::uint64_t last_number_ = 0;
    // The numbers of the entries.
    std::map<task_key, std::vector<std::uint64_t>> tasks_;
    std::map<process_id, std::set<std::uint64_t>> holders_;
    std::map<std::string, std::set<std::uint64_t>> endpoints_;
    due_entries ends_; // by the time at which they end, unless it changes
    due_entries asks_; // by the time at which `may_start_late` is asked next
    std::map<std::string, answered_call> answers_; // by endpoint
    // The endpoints whose present list has a run of the task.
    std::map<task_key, std::set<std::string>> listed_on_;
    // Endpoints by the time of a list, which may have been replaced since.
    std::deque<std::pair<timestamp, std::string>> lists_;
    // The endpoints with doubts that the platform has stopped to list.
    std::set<std::string> gone_;
    mutable std::size_t visited_ = 0;
};

} // namespace figridge::dispatch

#endif
