// The processes whose starts may still be carried out at each endpoint.
//
// A tenure is the time in which a process holds an endpoint under one token. A
// start that got no answer may be carried out at any time until the endpoint
// has answered a call under a higher token: that fences the earlier tenures.
//
//     tenures.set_holder(row);                 // each known holder
//     tenures.fence(endpoint, token, now);     // an adoption was announced
//     tenures.may_start(lost_holder, pool, label);
//     tenures.note_proofs(now, tells);
//     tenures.note_instance(now, endpoint, instance, began_by, by, token);
//     tenures.find_unproved(pool, first_sent); // of processes never heard
#ifndef FIGRIDGE_CORE_DISPATCH_TENURE_LEDGER_HPP
#define FIGRIDGE_CORE_DISPATCH_TENURE_LEDGER_HPP

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

// A holder sends starts to an endpoint only if it has read its clock within
// this time, 20 s and a call, before. 2 s are for answers that it reads late: a
// process that is later than that has given up its jobs.
constexpr duration clock_reading_limit = 20s + 150ms + 2s;

// That an instance was heard after its holder had ended counts for this long:
// the holder may have been taken for ended in a cut. So does that an endpoint
// has answered a successor: its failure domain is not cut off.
constexpr duration evidence_validity = 10s;

// Callers give a job up, and send it again, sooner than this after it was sent
// first.
constexpr duration longest_job_age = 60s;

// Owned by a `dispatcher`. Not thread-safe.
class tenure_ledger {
public:
    // The process holds the endpoint under this token. Rows with a lower token
    // than the highest known one are ignored. Not thread-safe.
    void set_holder(const holder_record& record);
    // The endpoint has answered a call under `token`. Runs of earlier tenures
    // that it may have listed then have ended by `runs_end_by`. Ignored if it
    // has answered under a higher token. Not thread-safe.
    void fence(const std::string& endpoint, std::uint64_t token,
               timestamp runs_end_by);
    // The same for the tenures of one process. Precondition: `fence()` was
    // called for this endpoint and token.
    void fence_holder(const std::string& endpoint, std::uint64_t token,
                      const process_id& holder, timestamp runs_end_by);
    // This host knows the runs that the endpoint listed under this token.
    // Precondition: `fence()` was called for this endpoint and token. Not
    // thread-safe.
    void note_listed(const std::string& endpoint, std::uint64_t token);
    // The platform lists the endpoint (again). Not thread-safe.
    void set_endpoint(timestamp now, const endpoint_record& endpoint);
    // The platform does not list the endpoint any more: what was sent to it
    // has ended by `runs_end_by`, unless it is listed again before. Not
    // thread-safe.
    void remove_endpoint(const std::string& endpoint, timestamp runs_end_by);
    // The rows of all endpoints were passed to `set_holder()`: one without a
    // row was never held. Not thread-safe.
    void note_rows_read();
    // Forgets the endpoints that are not listed. Not thread-safe.
    void forget_unlisted();
    // Forgets the tenures that have ended. Not thread-safe.
    void tick(timestamp now);
    // Notes which endpoints are proved: no start of which this host was never
    // told can be carried out there, nor its run go on. The endpoint has
    // answered under its newest row, as earlier rows can't be read any more,
    // and the holder of each open tenure is heard (`tells`). Runs that an
    // adoption has listed don't count. A proved endpoint stays so, as this host
    // is told of later starts, unless it restarts; see `awaits_answer()`.
    // Precondition: the rows and the endpoints were read. Not thread-safe.
    void note_proofs(timestamp now,
                     const std::function<bool(const process_id&)>& tells);

    // Whether a start that the process sent may still be carried out, or its
    // run go on, at an endpoint of the pool that has the label (any endpoint
    // if the label is empty). Not thread-safe.
    [[nodiscard]] bool may_start(const process_id& process,
                                 const std::string& pool,
                                 const std::string& label) const;
    // The same at one endpoint, for a start under this token. False if nothing
    // is known of the endpoint. Not thread-safe.
    [[nodiscard]] bool may_start_at(const std::string& endpoint,
                                    std::uint64_t token) const;
    // The process has ended, and others that would have told of its starts may
    // have ended as well: the endpoints that it may have sent starts to are not
    // proved any more. Not thread-safe.
    void withdraw_proofs(const process_id& process);
    // The instance of the endpoint that began at `instance_started_ms` of its
    // own clock, and at `began_by` at the latest, is the present one. `by` is
    // the holder under `token`, which reads no clock of an earlier instance
    // from `now` on; or it has heard the instance after that holder had ended,
    // which counts for `evidence_validity`. Returns false, and changes nothing,
    // if no such tenure is known.
    // Where another instance is known that began later, either may be the
    // present one, as the endpoint's time of day may have gone back: nothing
    // counts as known then. Precondition: `instance_started_ms` is above 0. Not
    // thread-safe.
    bool note_instance(timestamp now, const std::string& endpoint,
                       std::int64_t instance_started_ms, timestamp began_by,
                       const process_id& by, std::uint64_t token);

    // The endpoints of the pool that are not proved for starts sent at
    // `first_sent` or later; see `needs_no_proof_from()`. Labels don't count,
    // as an earlier instance may have had others. Not thread-safe.
    [[nodiscard]] std::vector<std::string>
    find_unproved(const std::string& pool, timestamp first_sent) const;
    // The process has not ended after all: what was heard of the endpoints that
    // it holds proves nothing about its starts. Not thread-safe.
    void withdraw_end(const process_id& process);
    // What is known of the endpoint's present instance, for logs. Not
    // thread-safe.
    [[nodiscard]] std::string
    describe_instance(timestamp now, const std::string& endpoint) const;
    // No start that was sent at this time or later is carried out late at an
    // endpoint of the pool; the highest time if that is not known, the lowest
    // if all are proved. The present instance must have been heard after the
    // holder under the newest token had ended. A start whose sender has read
    // the clock of this instance has a deadline on it. That is so if the
    // instance began `clock_reading_limit` before the start, or that holder had
    // told of it by then: earlier holders are refused there. Not thread-safe.
    [[nodiscard]] timestamp needs_no_proof_from(const std::string& pool) const;
    // When the platform first listed the last restart of an endpoint that is
    // not proved for starts sent before; the lowest time if there is none. Not
    // thread-safe.
    [[nodiscard]] timestamp last_awaited_restart() const {
        return last_awaited_restart_;
    }
    // Whether any endpoint is not proved for starts sent at `first_sent` or
    // later. Not thread-safe.
    [[nodiscard]] bool has_unproved(timestamp first_sent) const;
    // The highest token under which the endpoint is known to have answered, 0
    // if there is none. Not thread-safe.
    [[nodiscard]] std::uint64_t
    answered_token(const std::string& endpoint) const;

private:
    struct tenure {
        process_id holder;
        std::uint64_t token = 0;
        // When its last run has ended; empty until it is fenced.
        std::optional<timestamp> ends_by;
        // Labels that the endpoint had before in this tenure: it may have
        // restarted as another kind.
        std::vector<std::string> former_labels;

        void end_by(timestamp runs_end_by);
    };
    struct known_endpoint {
        std::string pool;
        std::string failure_domain;
        std::vector<std::string> labels;
        std::vector<tenure> tenures; // by token
        // The highest token under which the endpoint has answered, and when the
        // runs of the tenures before it have ended.
        std::uint64_t answered_token = 0;
        timestamp earlier_runs_end_by{0};
        std::optional<timestamp> gone_by;
        // Whether this host knows the runs that it listed then.
        bool runs_known = false;
        // The highest token of a tenure, and whether `tenures` has all that are
        // not fenced.
        std::uint64_t newest_token = 0;
        bool tenures_known = false;
        bool proved = false;
        // The present instance as it says itself, 0 if it is not known, and the
        // latest time at which it can have begun.
        std::int64_t instance_started_ms = 0;
        timestamp began_by = timestamp::max();
        // The instance whose clock the holder under `used_token` reads, and
        // since when.
        std::int64_t used_instance_ms = 0;
        std::uint64_t used_token = 0;
        timestamp used_since = timestamp::max();
        // The highest token whose holder had ended when the present instance
        // was heard; 0 if there is none.
        std::uint64_t heard_after_token = 0;
        timestamp heard_at{0};
        // When the platform first listed a later instance than the one known
        // before, and whether starts that were sent before that may be carried
        // out by it.
        std::optional<timestamp> restart_listed_at;
        bool awaits_answer = false;

        // See `needs_no_proof_from()`.
        [[nodiscard]] timestamp safe_from() const;

        // Whether the endpoint has answered under its newest row, and the runs
        // that it listed then have ended or are known.
        [[nodiscard]] bool has_answered(timestamp now) const;
    };

    // Whether the endpoint has restarted, and a holder from before that is not
    // heard: a start that it had sent to the former instance may be carried out
    // by the present one at any time, as its deadline is on another clock. Once
    // the endpoint answers a successor, it refuses such a start. Nobody waits
    // for the endpoints of a failure domain that may be cut off, where no other
    // one answers either.
    [[nodiscard]] bool
    awaits_answer(timestamp now, const std::string& id,
                  const known_endpoint& known,
                  const std::function<bool(const process_id&)>& tells) const;
    // Whether another endpoint of the failure domain has answered a successor
    // within `evidence_validity`.
    [[nodiscard]] bool domain_answers(timestamp now,
                                      const std::string& id) const;
    // Notes a time at which `tick()` has something to forget.
    void note_end(timestamp ends_by);

    std::map<std::string, known_endpoint> endpoints_;
    bool rows_read_ = false;
    std::optional<timestamp> next_end_; // of a tenure or an endpoint
    timestamp last_awaited_restart_ = timestamp::min();
};

} // namespace figridge::dispatch

#endif
