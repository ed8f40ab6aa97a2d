// Settings of the dispatcher; the daemon fills them from its INI file.
#ifndef FIGRIDGE_CORE_DISPATCH_SETTINGS_HPP
#define FIGRIDGE_CORE_DISPATCH_SETTINGS_HPP

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

struct dispatch_settings {
    process_id self;
    std::string failure_domain;
    double cpu_share = 1.0;
    std::vector<std::string> seeds; // peer addresses to begin with

    // Longest lease an endpoint grants (the platform's bound).
    duration lease_limit = 1000ms;
    // An endpoint's clock may run this much slow (the platform's bound).
    double clock_drift = 0.02;
    // Time an endpoint takes to stop a task (the platform's bound).
    duration stop_limit = 50ms;
    // A killed caller comes again after this (the platform's bound).
    duration resend_after = 1300ms;

    // Two intervals and a call without an answer leave a quarter of a lease of
    // one second for the call that renews it after all.
    duration renew_interval = 300ms;
    duration heartbeat_interval = 150ms;
    duration suspect_after = 450ms;
    // Between hosts of two failure domains that have no work in common. A
    // payload counts as fresh only within `abandon_after` of what its sender
    // heard, so this is shorter.
    duration idle_heartbeat_interval = 400ms;
    duration idle_suspect_after = 1300ms;
    // A host not heard for so long is taken for replaced: it is not greeted any
    // more, and its row is removed. One that comes back registers again.
    duration forget_after = 10min;
    // Two hosts have work in common for this long after their last payload;
    // longer than most tasks run.
    duration shared_work_window = 5s;
    // Tasks of a coordinator that is not heard are stopped well before its
    // callers come again.
    duration abandon_after = 700ms;
    // A round trip between failure domains and the wake-ups of a host that is
    // ten times slowed.
    duration call_timeout = 150ms;
    // A start that is carried out later than this is refused by the endpoint,
    // so the task may go elsewhere soon after a start without an answer.
    duration start_window = 300ms;
    // A task runs this much longer away from its data (the platform's bound).
    double far_factor = 3.0;
    // Rows not confirmed by a live process are judged after this.
    duration settle_time = 500ms;
    // Jobs wait this long for a holder when none is known: the time of
    // suspicion or settling, and of a takeover.
    duration takeover_limit = 1500ms;
};

} // namespace figridge::dispatch

#endif
