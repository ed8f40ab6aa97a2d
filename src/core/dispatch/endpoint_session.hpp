// Holder's side of one endpoint: renews its lease, starts and stops runs, and
// receives their ends.
//
// A session begins with a takeover: its first call carries the new token and
// renews no lease, so the runs that an earlier holder left are known before
// anything is started. After that, one long poll at a time renews the lease
// and returns the ended runs.
//
// An endpoint that restarts under the same id is a new instance; it knows
// neither the runs nor the tokens of the former one, and may have other labels.
// Its own answers show that it began, its entry in the platform's list what it
// is: tasks wait for both. A start goes only to the instance whose clock was
// read, on a connection on which that has answered.
#ifndef FIGRIDGE_CORE_DISPATCH_ENDPOINT_SESSION_HPP
#define FIGRIDGE_CORE_DISPATCH_ENDPOINT_SESSION_HPP

#include "core/dispatch/endpoint_clock.hpp"
#include "core/dispatch/endpoint_health.hpp"
#include "core/dispatch/ports.hpp"
#include "core/dispatch/run_ledger.hpp"
#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {

// Time for coordinators to claim their runs after an adoption: a round trip
// between failure domains plus their wake-up time.
constexpr duration claim_window = 60ms;

enum class session_phase {
    adopting, // waiting for the answer to the first call
    claiming, // waiting for coordinators to claim the runs found
    active,
    fenced, // the endpoint has, or may have, another holder
};

// Why a session was fenced.
enum class fence_cause {
    refused,     // the endpoint refused the token
    paused,      // a later instance was noticed after a pause of the process
    isolated,    // the same while this process heard no other host
    peer_silent, // the same while it did not hear one of them
};

class endpoint_session;

// A run that was, or may be, lost with an instance of its endpoint.
struct lost_run {
    task_run run;
    std::string queue;
    // A list or the clock of the instance has shown the run there, or it has
    // refused connections since. Any other run may be on a later instance.
    bool on_instance = false;
};

// Callbacks of sessions, made from within the session's inputs.
class session_events {
public:
    virtual ~session_events() = default;
    virtual void on_adopted(endpoint_session& session,
                            const endpoint_adoption& found) = 0;
    virtual void on_run_finished(endpoint_session& session,
                                 const run_entry& entry, update_kind kind) = 0;
    virtual void on_started(endpoint_session& session,
                            const run_entry& entry) = 0;
    virtual void on_fenced(endpoint_session& session) = 0;
    // What is known of the endpoint on which these runs were lost has changed.
    // They were lost with the instance that started at `instance_started_ms`.
    virtual void on_crash_evidence(endpoint_session& session,
                                   const std::vector<lost_run>& runs,
                                   crash_evidence evidence,
                                   std::int64_t instance_started_ms) = 0;
    // A later instance was noticed. `runs` are those on the ledger.
    virtual void on_instance_began(endpoint_session& session,
                                   std::size_t runs) = 0;
    // The latest time at which the coordinator is known to have heard this
    // process; the largest value for this process itself, zero for a process
    // that is not known.
    [[nodiscard]] virtual timestamp
    last_contact(const process_id& coordinator) const = 0;
};

// Owned by an `endpoint_holder`. Not thread-safe.
class endpoint_session {
public:
    // `calls_before`: hold calls up to this number belong to former sessions of
    // the endpoint, which may have had the same token.
    endpoint_session(const dispatch_settings& settings, endpoint_port& port,
                     session_events& events, const endpoint_record& endpoint,
                     std::uint64_t token, process_id former,
                     std::uint64_t calls_before = 0);

    // --- inputs ---
    void begin(timestamp now);
    // Applies the entry of the platform's list, unless it is of an instance
    // before the present one. Not thread-safe.
    void update(timestamp now, const endpoint_record& endpoint);
    void handle_hold(timestamp now, const hold_reply& reply);
    void handle_start(timestamp now, const task_run& run,
                      const call_reply& reply);
    void handle_stop(timestamp now, const task_run& run,
                     const call_reply& reply);
    void tick(timestamp now);

    // --- commands ---
    // Preconditions: `accepts_tasks()`, not `awaits_revocation()`,
    // `may_send_start()`, and the need fits `free_resources()`.
    void start(timestamp now, run_entry entry, const std::string& payload);
    void stop(timestamp now, const task_run& run);
    // Stops a run whose task may be placed again without a report of its end,
    // once its lease must have ended. Until the stop is confirmed, nothing
    // extends the lease of the endpoint.
    void revoke(timestamp now, const task_run& run);
    // Applies one coordinator's claims to the runs found at the takeover.
    void claim(timestamp now, const process_id& coordinator,
               const adoption_claim& claim);
    // The platform no longer lists the endpoint.
    void mark_gone(timestamp now);
    // This process was paused, so another may have taken the endpoint over.
    // The endpoint gets tasks again only after the known instance has
    // answered. A later instance knows no tokens, so it counts as taken over.
    void suspend(timestamp now);
    // This process does not hear one of the hosts, or any, so that one may have
    // taken the endpoint over. The known instance stays in use; a later one is
    // fenced, until the known one has answered a call sent after
    // `accept_later_instances()`. Not thread-safe.
    void reject_later_instances(fence_cause why = fence_cause::isolated);
    // This process hears all hosts again. Asks the endpoint for a list of its
    // runs, so that it is in normal use soon. Not thread-safe.
    void accept_later_instances(timestamp now);
    // Whether a start may be sent now: a connection to the known instance is
    // free, and if later instances are rejected, that one has answered in this
    // input. If not, asks for a list of its runs, whose answer is an input: its
    // connection leads to the instance that has answered.
    // Precondition: `accepts_tasks()`. Not thread-safe.
    bool confirm_instance(timestamp now);
    // Whether a start needs an answer in the same input. Not thread-safe.
    [[nodiscard]] bool confirms_starts() const {
        return isolated_ || isolated_at_call_;
    }
    // The list can't be read: uses the present instance as the former one was,
    // but for its labels. Precondition: `awaits_entry()`. Not thread-safe.
    void use_without_entry();
    // Reports the runs on an endpoint that refuses connections as possibly lost
    // by a crash, once.
    void report_suspected_crash();

    // --- state ---
    [[nodiscard]] const endpoint_record& endpoint() const { return endpoint_; }
    [[nodiscard]] std::uint64_t token() const { return token_; }
    [[nodiscard]] session_phase phase() const { return phase_; }
    [[nodiscard]] bool accepts_tasks() const;
    // Whether the platform's list has not shown the present instance yet.
    [[nodiscard]] bool awaits_entry() const {
        return entry_awaited_since_.has_value();
    }
    // Since when. Precondition: `awaits_entry()`.
    [[nodiscard]] timestamp entry_awaited_since() const {
        return *entry_awaited_since_;
    }
    // Whether a revoked run may still run. The lease is not extended then,
    // neither by renewals nor by starts.
    [[nodiscard]] bool awaits_revocation() const;
    // Whether a start that was sent to a former instance may still be carried
    // out. Its deadline is of another clock, so it may extend the lease of all
    // runs of the present instance. Not thread-safe.
    [[nodiscard]] bool awaits_former_start() const;
    // Whether the ledger has all runs of the endpoint.
    [[nodiscard]] bool knows_runs() const {
        return phase_ == session_phase::claiming ||
               phase_ == session_phase::active;
    }
    // Whether that holds, and each run that was found at the takeover has
    // ended or was claimed.
    [[nodiscard]] bool runs_resolved() const;
    // Whether one more start may be sent before another one is answered. Not
    // thread-safe.
    [[nodiscard]] bool may_send_start() const {
        return ledger_.starting() < settings_.max_open_starts;
    }
    // Zero for a while after a start was refused for room.
    [[nodiscard]] resources free_resources() const {
        return full_since_ ? resources{} : ledger_.free();
    }
    [[nodiscard]] const run_ledger& ledger() const { return ledger_; }
    [[nodiscard]] run_ledger& ledger() { return ledger_; }
    [[nodiscard]] endpoint_health& health() { return health_; }
    [[nodiscard]] const endpoint_health& health() const { return health_; }
    [[nodiscard]] bool is_gone() const { return gone_; }
    // Precondition: the session is fenced.
    [[nodiscard]] fence_cause fenced_for() const { return fenced_for_; }
    [[nodiscard]] bool is_unresponsive() const { return failed_calls_ > 0; }
    // Since when the endpoint refuses connections; empty if it does not.
    [[nodiscard]] std::optional<timestamp> refusing_since() const {
        return refusing_since_;
    }

    // Whether a run of a suspect was lost with the endpoint, which has not
    // answered since. A suspect is a task that may have crashed an endpoint.
    [[nodiscard]] bool is_lost_under_suspect() const {
        return lost_under_suspect_;
    }

private:
    [[nodiscard]] call_target target() const;
    // The deadline of a renewal; nothing if the lease must not be extended.
    std::optional<std::int64_t> renew_deadline(timestamp now);
    // Time on the endpoint's clock until which the lease may last for the runs
    // of this coordinator.
    [[nodiscard]] std::int64_t
    latest_lease(timestamp now, const process_id& coordinator) const;
    // The ends that the next poll acknowledges. None after a failed call, or a
    // start whose run has not been listed: they may be about an instance that
    // has not been noticed, whose ends have the same numbers.
    [[nodiscard]] std::uint64_t acknowledgement() const;
    void poll(timestamp now);
    // Requests a run list beside the long poll if an uncertain run is waiting
    // for one.
    void request_run_list(timestamp now);
    void process_ended_runs(const hold_reply& reply);
    void process_running_list(timestamp now, const hold_reply& reply);
    void evaluate_progress(timestamp now);
    void adopt(timestamp now, const hold_reply& reply);
    void end_instance(timestamp now);
    void begin_instance(timestamp now);
    void begin_address(timestamp now);
    [[nodiscard]] duration silent_instance_limit() const;
    // When the start of an answered run was sent, or if its answer was read
    // late, the latest time that it can have been sent for an answer in time.
    [[nodiscard]] timestamp latest_start(const run_entry& entry) const;
    void check_lease_expiry(timestamp now);
    void check_departure(timestamp now);
    void send_stops(timestamp now);
    void fence(fence_cause why);
    // Adds a run to those that may have been lost with this instance.
    void record_lost_run(const run_entry& entry);
    // Of the runs that were lost with the former instance, or are on the
    // present one: those that the reply shows are there; those whose entry is
    // over without that were lost.
    void resolve_open_losses(const hold_reply& reply);
    // All of them were lost: the present instance has ended as well.
    void confirm_open_losses();
    // Reports the runs as lost with an instance that has ended.
    void report_crash(const std::vector<lost_run>& runs,
                      std::int64_t instance_started_ms);
    // The instance has answered a call sent after its runs may have been lost.
    void withdraw_suspected_crash();
    // Whether another process may have taken the endpoint over since the known
    // instance answered, and why this one would not know; empty if none may
    // have. A later instance does not know that one's token.
    [[nodiscard]] std::optional<fence_cause>
    rejects_later_instances(timestamp now) const;
    // Precondition: no such call is open.
    void request_list(timestamp now);
    // Call while `endpoint_` still names the former instance.
    void note_later_instance();
    // The present instance is the one that began then; its entry may not have
    // been read.
    void set_instance(timestamp now, std::int64_t instance_started_ms);
    // The instance has ended, and the runs that it had with it.
    void confirm_crash();
    // Removes a run from the ledger and reports its end.
    void over(const run_entry& entry, update_kind kind);
    // Whether a call sent then can't have been answered by a former instance,
    // or at a former address.
    [[nodiscard]] bool is_of_instance(timestamp sent_at) const;
    [[nodiscard]] bool is_of_instance(std::uint64_t call) const;
    // `of_present_instance`: the call was sent after the present instance and
    // address were noticed.
    // Returns whether the endpoint answered and is still held.
    bool process_call_reply(timestamp now, const call_reply& reply,
                            bool of_present_instance);
    // Delay before the poll that has just failed is repeated.
    duration next_retry_delay();

    const dispatch_settings& settings_;
    endpoint_port& port_;
    session_events& events_;
    // Of the present instance: it may be a later one than that of the entry.
    endpoint_record endpoint_;
    // When the instances of the entry and of the last answer started, 0 if
    // unknown. An odd entry may name a start in the future.
    std::int64_t entry_started_ms_;
    std::int64_t answered_started_ms_ = 0;
    std::optional<timestamp> entry_awaited_since_;
    bool used_without_entry_ = false;
    std::uint64_t token_;
    process_id former_;
    session_phase phase_ = session_phase::adopting;
    endpoint_clock clock_;
    endpoint_health health_;
    run_ledger ledger_;
    // When the endpoint refused a start for room; cleared when a run has ended,
    // its capacity has changed, or after a while.
    std::optional<timestamp> full_since_;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t acknowledged_sent_ = 0;
    std::int64_t latest_deadline_ms_ = 0;
    // Numbers of the hold calls that are not answered yet, and by when an
    // answer to them is in time.
    std::optional<std::uint64_t> poll_call_;
    std::optional<std::uint64_t> list_call_;
    timestamp poll_answer_by_{0};
    timestamp list_answer_by_{0};
    std::uint64_t calls_before_;
    std::uint64_t calls_sent_;      // number of the last hold call
    std::uint64_t newest_list_ = 0; // call number of the newest run list
    // The last call sent before the process was suspended or isolated. Answers
    // to later calls confirm that the instance is the same.
    std::optional<std::uint64_t> suspended_at_call_;
    std::optional<std::uint64_t> isolated_at_call_;
    bool isolated_ = false; // between reject_ and accept_later_instances()
    fence_cause isolated_for_ = fence_cause::isolated;
    fence_cause fenced_for_ = fence_cause::refused;
    timestamp began_at_{0};
    timestamp answered_at_{0}; // when the known instance last listed its runs
    timestamp next_poll_{0};
    timestamp idle_since_{0};
    timestamp claims_until_{0};
    std::uint32_t failed_calls_ = 0;
    // Delay before the next failed poll is repeated; 0 if the last one was
    // answered, or any call since.
    duration poll_delay_{0};
    // The last poll that renewed the lease, and that poll if it got no answer
    // and no later one did; 0: none. It may still be carried out.
    std::uint64_t last_renewal_ = 0;
    std::uint64_t unanswered_renewal_ = 0;
    bool gone_ = false;
    timestamp gone_since_{0};
    std::optional<timestamp> refusing_since_;
    bool last_call_refused_ = false;
    bool crash_suspected_ = false; // and reported
    bool lost_under_suspect_ = false;
    // Runs that may have been lost with the present instance, and the last call
    // sent when the newest of them was added.
    std::map<task_run, lost_run> lost_runs_;
    std::uint64_t lost_runs_at_call_ = 0;
    // Runs that were lost with the former instance unless the present one shows
    // them, and when the former one started.
    std::map<task_run, lost_run> open_losses_;
    std::int64_t former_started_ms_ = 0;
    // Until when a start of a former instance's clock that is over, but was not
    // answered, may still be carried out or refused by a later one.
    std::optional<timestamp> former_start_until_;
    // When a new instance of the endpoint was noticed, if any was.
    std::optional<timestamp> instance_began_at_;
    // The last call sent before that; the former instance may have answered it.
    std::optional<std::uint64_t> last_call_before_instance_;
    // The same for the present address, if it has changed.
    std::optional<timestamp> address_began_at_;
    std::optional<std::uint64_t> last_call_before_address_;
    // The endpoint has answered at the present address. Until then, another
    // endpoint's answer there says nothing of the runs: the entry may be wrong.
    bool answered_at_address_ = true;
};

std::string_view to_string(session_phase phase);
std::string_view to_string(fence_cause why);

} // namespace figridge::dispatch

#endif
