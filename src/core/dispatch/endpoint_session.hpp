// The holder's side of one endpoint: lease, starts, stops and ends.
//
// A session begins by taking the endpoint over: its first call carries the
// new token and renews nothing, so what an earlier holder left is known
// before anything is started. From then on one long poll at a time renews the
// lease and brings the ends.
#ifndef FIGRIDGE_CORE_DISPATCH_ENDPOINT_SESSION_HPP
#define FIGRIDGE_CORE_DISPATCH_ENDPOINT_SESSION_HPP

#include "core/dispatch/endpoint_clock.hpp"
#include "core/dispatch/endpoint_health.hpp"
#include "core/dispatch/ports.hpp"
#include "core/dispatch/run_ledger.hpp"
#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {

enum class session_phase {
    adopting, // the first call is not answered yet
    claiming, // waits until the runs found are claimed
    active,
    fenced, // another holder has used a higher token
};

class endpoint_session;

// Told by sessions. Calls come from inside the session's inputs.
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
};

// Owned by an `endpoint_holder`. Not thread-safe.
class endpoint_session {
public:
    endpoint_session(const dispatch_settings& settings, endpoint_port& port,
                     session_events& events, const endpoint_record& endpoint,
                     std::uint64_t token, process_id former);

    // --- inputs ---
    void begin(timestamp now);
    void update(timestamp now, const endpoint_record& endpoint);
    void handle_hold(timestamp now, const hold_reply& reply);
    void handle_start(timestamp now, const task_run& run,
                      const call_reply& reply);
    void handle_stop(timestamp now, const task_run& run,
                     const call_reply& reply);
    void tick(timestamp now);

    // --- orders ---
    // Precondition: `accepts_tasks()` and the need fits `free_resources()`.
    void start(timestamp now, run_entry entry, const std::string& payload);
    void stop(timestamp now, const task_run& run);
    // The claims of one coordinator for runs that were found here.
    void claim(timestamp now, const process_id& coordinator,
               const adoption_claim& claim);
    // The endpoint has left the platform's list.
    void mark_gone();
    // The process stood still: others may have taken the endpoint over. It is
    // used again only once it has answered in the life that was known. A later
    // life knows no token, so it counts as taken over.
    void suspend(timestamp now);
    // The process hears no other host, so one of them may have taken the
    // endpoint over. It is used on, but not a later life of it.
    void reject_later_instances() { isolated_at_call_ = calls_sent_; }

    // --- state ---
    [[nodiscard]] const endpoint_record& endpoint() const { return endpoint_; }
    [[nodiscard]] std::uint64_t token() const { return token_; }
    [[nodiscard]] session_phase phase() const { return phase_; }
    [[nodiscard]] bool accepts_tasks() const;
    // Whether all that runs on the endpoint is in the ledger.
    [[nodiscard]] bool knows_runs() const {
        return phase_ == session_phase::claiming ||
               phase_ == session_phase::active;
    }
    [[nodiscard]] resources free_resources() const { return ledger_.free(); }
    [[nodiscard]] const run_ledger& ledger() const { return ledger_; }
    [[nodiscard]] run_ledger& ledger() { return ledger_; }
    [[nodiscard]] endpoint_health& health() { return health_; }
    [[nodiscard]] const endpoint_health& health() const { return health_; }
    [[nodiscard]] bool is_gone() const { return gone_; }
    [[nodiscard]] bool is_unresponsive() const { return failed_calls_ > 0; }

private:
    [[nodiscard]] call_target target() const;
    std::int64_t renew_deadline(timestamp now);
    void poll(timestamp now);
    // Asks for a list beside the long poll if a run has to be judged.
    void request_run_list();
    void process_ended_runs(const hold_reply& reply);
    void process_running_list(timestamp now, const hold_reply& reply);
    void evaluate_progress(timestamp now);
    void adopt(timestamp now, const hold_reply& reply);
    void end_instance(timestamp now);
    void begin_instance(timestamp now);
    [[nodiscard]] duration silent_instance_limit() const;
    void check_lease_expiry(timestamp now);
    void send_stops(timestamp now);
    void fence();
    void over(const run_entry& entry, update_kind kind);
    bool process_call_reply(timestamp now, const call_reply& reply);

    const dispatch_settings& settings_;
    endpoint_port& port_;
    session_events& events_;
    endpoint_record endpoint_;
    std::uint64_t token_;
    process_id former_;
    session_phase phase_ = session_phase::adopting;
    endpoint_clock clock_;
    endpoint_health health_;
    run_ledger ledger_;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t acknowledged_sent_ = 0;
    std::int64_t latest_deadline_ms_ = 0;
    // Numbers of the calls for lists that are not answered yet.
    std::optional<std::uint64_t> poll_call_;
    std::optional<std::uint64_t> list_call_;
    std::uint64_t calls_sent_ = 0;  // for lists
    std::uint64_t newest_list_ = 0; // number of its call
    // Lists asked for later than this call tell whether the life goes on.
    std::optional<std::uint64_t> suspended_at_call_;
    std::optional<std::uint64_t> isolated_at_call_;
    timestamp next_poll_{0};
    timestamp idle_since_{0};
    timestamp claims_until_{0};
    std::uint32_t failed_calls_ = 0;
    bool gone_ = false;
    // When another life of the endpoint was noticed; nothing if none was.
    std::optional<timestamp> instance_began_at_;
};

std::string_view to_string(session_phase phase);

} // namespace figridge::dispatch

#endif
