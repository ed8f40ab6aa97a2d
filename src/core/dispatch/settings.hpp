// Settings of the dispatcher; the daemon fills them from its INI file.
#ifndef FIGRIDGE_CORE_DISPATCH_SETTINGS_HPP
#define FIGRIDGE_CORE_DISPATCH_SETTINGS_HPP

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

// A holder tells all hosts of a start that stays unanswered for this time. Most
// runs of unanswered starts are stopped, and known to be over, before.
constexpr duration doubt_delay = 250ms;
// A holder that is late itself tells of it this much later, so that it reads
// the answers that have come in first.
constexpr duration late_doubt_delay = 75ms;
// What a holder tells beyond `telling_budget` is collected for this time at
// most.
constexpr duration doubt_collect_interval = 75ms;

struct dispatch_settings {
    process_id self;
    std::string failure_domain;
    double cpu_share = 1.0;
    std::vector<std::string> seeds; // addresses of the first peers

    // Longest lease an endpoint grants (the platform's bound).
    duration lease_limit = 1000ms;
    // Fraction by which an endpoint's clock may be slow (the platform's bound).
    double clock_drift = 0.02;
    // Time an endpoint takes to stop a task (the platform's bound).
    duration stop_limit = 50ms;
    // A caller that was killed resends its job after this (the platform's
    // bound).
    duration resend_after = 1300ms;

    // Two intervals and one unanswered call leave a quarter of a 1 s lease for
    // the call that renews it.
    duration renew_interval = 300ms;
    duration heartbeat_interval = 150ms;
    duration suspect_after = 450ms;
    // Between hosts of different failure domains without shared work. Must be
    // less than `abandon_after`: a payload is fresh only if its sender heard
    // the receiver within that time.
    duration idle_heartbeat_interval = 400ms;
    duration idle_suspect_after = 1300ms;
    // A host not heard for this long counts as replaced: it is sent no more
    // heartbeats, and its row is removed. If it returns, it registers again.
    duration forget_after = 10min;
    // Two hosts count as sharing work for this long after the last payload
    // between them; longer than most tasks run.
    duration shared_work_window = 5s;
    // A holder stops the tasks of a coordinator after this time without
    // contact, well before its callers resend their jobs (`resend_after`).
    duration abandon_after = 700ms;
    // Covers a round trip between failure domains and the wake-up delays of a
    // host slowed down by a factor of ten.
    duration call_timeout = 150ms;
    // An endpoint refuses a start that it would carry out later than this, so a
    // task can be placed elsewhere soon after an unanswered start.
    duration start_window = 300ms;
    // The platform lists no endpoint that is there for this long, and calls
    // without an answer are carried out within seconds: the end of unanswered
    // starts on an endpoint that is gone and silent.
    duration gone_limit = 15s;
    // Calls to one endpoint that are open at a time. Its further starts wait in
    // the holder's queue, its further stops in the ledger.
    std::uint32_t max_open_starts = 16;
    std::uint32_t max_open_stops = 8;
    // Starts that are open at a time at all endpoints of a holder.
    std::uint32_t max_open_starts_in_all = 512;
    // A task counts for at least this much processor time, in thousandths of a
    // core, so that the capacity of an endpoint bounds its runs.
    std::uint32_t min_task_cpu = 50;
    // Tasks that a holder takes, queued and running. The daemon derives it from
    // the memory of the machine.
    std::uint32_t max_held_tasks = 7680;
    // Factor by which a task runs longer away from its data (the platform's
    // bound).
    double far_factor = 3.0;
    // Holders reserve room for queued tasks that do not fit yet.
    bool look_ahead = false;
    // Time after the start of this process until holders that it has not heard
    // count as lost.
    duration settle_time = 500ms;
    // Jobs wait this long for a holder when none is known. Covers
    // `suspect_after` or `settle_time`, and a takeover.
    duration takeover_limit = 1500ms;
};

} // namespace figridge::dispatch

#endif
