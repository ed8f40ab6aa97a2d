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
//     tenures.find_unproved(pool);             // of processes never heard
#ifndef FIGRIDGE_CORE_DISPATCH_TENURE_LEDGER_HPP
#define FIGRIDGE_CORE_DISPATCH_TENURE_LEDGER_HPP

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

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
    void set_endpoint(const endpoint_record& endpoint);
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
    // is told of later starts. Precondition: the rows and the endpoints were
    // read. Not thread-safe.
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

    // The endpoints of the pool that are not proved. Labels don't count, as an
    // earlier instance may have had others. Not thread-safe.
    [[nodiscard]] std::vector<std::string>
    find_unproved(const std::string& pool) const;
    // Whether any endpoint is not proved. Not thread-safe.
    [[nodiscard]] bool has_unproved() const;
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

        // Whether the endpoint has answered under its newest row, and the runs
        // that it listed then have ended or are known.
        [[nodiscard]] bool has_answered(timestamp now) const;
    };

    // Notes a time at which `tick()` has something to forget.
    void note_end(timestamp ends_by);

    std::map<std::string, known_endpoint> endpoints_;
    bool rows_read_ = false;
    std::optional<timestamp> next_end_; // of a tenure or an endpoint
};

} // namespace figridge::dispatch

#endif
