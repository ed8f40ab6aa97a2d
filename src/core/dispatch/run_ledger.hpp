// The runs that occupy an endpoint.
//
// A run is entered before its start is sent and removed only when its end is
// certain, so the ledger never reports more free resources than the endpoint
// has. It keeps count of what each answer of the endpoint is checked against,
// so that an answer costs the same beside few runs and beside thousands.
#ifndef FIGRIDGE_CORE_DISPATCH_RUN_LEDGER_HPP
#define FIGRIDGE_CORE_DISPATCH_RUN_LEDGER_HPP

#include <limits>
#include <map>
#include <optional>
#include <set>

#include "core/dispatch/run_index.hpp"

namespace figridge::dispatch {

enum class run_state {
    starting,  // the start is not answered yet
    uncertain, // the start got no answer; it may still be carried out
    running,
    unclaimed, // found on the endpoint; not claimed by a coordinator
};

// Deadline of a run that was started on the clock of a former instance: only
// an answered stop makes its end certain.
constexpr auto unknown_deadline = std::numeric_limits<std::int64_t>::max();

// One run on one endpoint, from before its start is sent until its end is
// certain. Call numbers count the hold calls sent, whose replies list the runs.
struct run_entry {
    task_run run;
    task_need need;
    std::string queue; // of the job; empty if not known
    // Of its task, certain or suspected, when it was assigned; 0 if not known.
    std::uint32_t crashes = 0;
    process_id coordinator;
    run_state state = run_state::starting;
    timestamp entered_at{0};
    timestamp confirmed_at{0};           // when the start was answered
    std::uint64_t confirmed_at_call = 0; // last call sent by then
    std::int64_t lease_deadline_ms = 0;  // sent with the start
    bool listed = false;                 // on a run list of the known instance
    bool reported_lost = false;          // with an instance that has ended
    // Other hosts were told that the run may outlast its lease, or its start be
    // carried out late.
    bool doubt_told = false;
    bool stop_wanted = false;
    // The task may be placed again once the lease must have ended.
    bool revoked = false;
    bool stop_in_flight = false;
    // The stop in flight was sent before a later instance, or another address,
    // was noticed.
    bool stop_outdated = false;
    // Last call sent when the stop was answered.
    std::optional<std::uint64_t> stop_answered_at_call;
    timestamp next_stop{0};
    std::uint32_t percent = 0;
    timestamp progress_at{0};
    timestamp answer_by{0};       // latest answer that is in time
    timestamp caller_deadline{0}; // 0: not known
};

// Whether the start of the run got no answer, or not yet. Thread-safe.
bool is_unanswered(const run_entry& entry);

// Projected run time as a multiple of the estimate, from the percent done as
// listed at `now`; nothing if it is too early for a projection.
std::optional<double> projected_multiple(timestamp now, const run_entry& entry);

// Owned by an `endpoint_session`. Not thread-safe.
class run_ledger {
public:
    run_ledger() = default;
    ~run_ledger() { clear(); }
    run_ledger(const run_ledger&) = delete;
    run_ledger& operator=(const run_ledger&) = delete;

    // Enters the runs of this ledger, which is the endpoint's, in `index` too.
    // Preconditions: the ledger is empty, and `index` outlives it. Not
    // thread-safe.
    void keep_index(run_index& index, const std::string& endpoint) {
        index_ = &index;
        endpoint_ = endpoint;
    }

    void set_capacity(const resources& capacity) { capacity_ = capacity; }
    [[nodiscard]] const resources& capacity() const { return capacity_; }

    // Resources that no run occupies; zero while any run is unclaimed, because
    // its needs are not known.
    [[nodiscard]] resources free() const;

    // Replaces the entry of the same run, if there is one.
    run_entry& enter(run_entry entry);
    void remove(const task_run& run);
    // Sets the coordinator of an entered run. Precondition: `entry` is of this
    // ledger. Not thread-safe.
    void set_coordinator(run_entry& entry, const process_id& coordinator);
    // Calls `change` with the entry, which may change any field but its run,
    // crashes and coordinator. Precondition: `entry` is of this ledger. Not
    // thread-safe.
    template <class Change>
    void modify(run_entry& entry, Change change) {
        count(entry, -1);
        change(entry);
        count(entry, 1);
    }
    // The same with each entry. Not thread-safe.
    template <class Change>
    void modify_all(Change change) {
        for (auto& [run, entry] : entries_) {
            modify(entry, change);
        }
    }
    void clear();
    run_entry* find(const task_run& run);
    [[nodiscard]] const run_entry* find(const task_run& run) const {
        const auto found = entries_.find(run);
        return found == entries_.end() ? nullptr : &found->second;
    }
    // Whether any run of the task is entered.
    [[nodiscard]] bool contains(const task_key& task) const {
        const auto found = entries_.lower_bound({task, 0});
        return found != entries_.end() && found->first.task == task;
    }
    [[nodiscard]] bool empty() const { return entries_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    // Entered runs of tasks that may have crashed an endpoint. Not thread-safe.
    [[nodiscard]] std::size_t suspects() const { return suspects_; }

    // Runs whose start is not answered yet. Not thread-safe.
    [[nodiscard]] std::size_t starting() const { return counts_.starting; }
    // Runs whose stop is in flight. Not thread-safe.
    [[nodiscard]] std::size_t stopping() const { return counts_.stopping; }
    // Runs that no coordinator has claimed. Not thread-safe.
    [[nodiscard]] std::size_t unclaimed() const { return counts_.unclaimed; }
    // Revoked runs whose stop is not answered. Not thread-safe.
    [[nodiscard]] std::size_t revocations() const {
        return counts_.revocations;
    }
    // Unanswered starts on the clock of a former instance. Not thread-safe.
    [[nodiscard]] std::size_t former_starts() const {
        return counts_.former_starts;
    }
    // Uncertain runs whose stop is answered: a list shows whether they are
    // there. Not thread-safe.
    [[nodiscard]] std::size_t awaiting_list() const {
        return counts_.awaiting_list;
    }
    // The run whose stop is due first, if one is due by `now`. Not thread-safe.
    run_entry* find_due_stop(timestamp now);

    // For changes of fields that no count depends on: `reported_lost`,
    // `doubt_told`, `stop_outdated`, `listed` and those of the progress.
    [[nodiscard]] std::map<task_run, run_entry>& entries() { return entries_; }
    [[nodiscard]] const std::map<task_run, run_entry>& entries() const {
        return entries_;
    }

private:
    // Sums over all entries.
    struct run_counts {
        std::int64_t cpu_millis = 0;
        std::int64_t memory_mb = 0;
        std::int64_t accelerators = 0;
        std::size_t starting = 0;
        std::size_t stopping = 0;
        std::size_t unclaimed = 0;
        std::size_t revocations = 0;
        std::size_t former_starts = 0;
        std::size_t awaiting_list = 0;
    };

    // Adds the entry to the counts (`sign` 1), or takes it out of them (-1).
    void count(const run_entry& entry, int sign);

    resources capacity_;
    run_counts counts_;
    // Runs to be stopped, by when; without those whose stop is in flight or
    // answered, or whose start is not answered yet.
    std::set<std::pair<timestamp, task_run>> stops_;
    std::map<task_run, run_entry> entries_;
    std::size_t suspects_ = 0;
    run_index* index_ = nullptr; // optional
    std::string endpoint_;       // in `index_`
};

} // namespace figridge::dispatch

#endif
