#include "core/dispatch/endpoint_session.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "core/name_table.hpp"

namespace figridge::dispatch {
namespace {

// Delay before a failed call is repeated.
constexpr duration retry_delay = 100ms;
// Upper bound of the growing retry delay: an endpoint that answers again is
// used within this time.
constexpr duration max_retry_delay = 500ms;
// An endpoint that refused a start for room is tried again after this, if
// nothing has shown before that it has room.
constexpr duration full_retry_delay = 500ms;
// Ended runs are acknowledged with the next renewal, or after this delay if
// the endpoint is idle.
constexpr duration idle_acknowledgement_delay = 300ms;
// Limits how far the clock of an idle endpoint can be behind the expected one,
// so that no start is carried out later than a lease lasts.
constexpr duration clock_reading_interval = 20s;
// The clock of an instance that began after the last reading is behind that of
// the former one if this was read from it: a reading is at most
// `clock_reading_interval` old, on a clock 2% slow, and a call takes 150 ms.
constexpr duration min_distinct_reading = 1s;
// A lease ends this long before the callers of a coordinator that has ended
// resend their jobs: the time of a tick and a request.
constexpr duration resend_margin = 30ms;
// Added to the end of a lease before the runs of a silent endpoint count as
// over.
constexpr std::int64_t expiry_margin_ms = 20;

constexpr name_table<session_phase, 4> session_phase_names{{
    {session_phase::adopting, "adopting"},
    {session_phase::claiming, "claiming"},
    {session_phase::active, "active"},
    {session_phase::fenced, "fenced"},
}};

constexpr name_table<fence_cause, 4> fence_cause_names{{
    {fence_cause::refused, "refused"},
    {fence_cause::paused, "paused"},
    {fence_cause::isolated, "isolated"},
    {fence_cause::peer_silent, "peer_silent"},
}};

// Whether the reply to a call sent then, with this clock, must be from the
// instance that `known` was read from: the clock of a later one began anew.
// `late`: how much longer than its time limit the call took.
bool is_clock_of_instance(const endpoint_clock& known, timestamp sent_at,
                          duration late, std::int64_t clock_ms) {
    if (!known.is_known()) {
        return false;
    }
    const auto last_reading =
        known.expected(sent_at) - to_ms(known.age(sent_at));
    return last_reading >= to_ms(min_distinct_reading + late) &&
           clock_ms >= known.lower_bound(sent_at);
}

update_kind to_update(end_kind kind) {
    switch (kind) {
    case end_kind::done:
        return update_kind::done;
    case end_kind::failed:
        return update_kind::failed;
    case end_kind::stopped:
        return update_kind::stopped;
    case end_kind::lapsed:
        break;
    }
    return update_kind::lost;
}

} // namespace

std::string_view to_string(session_phase phase) {
    return find_name(session_phase_names, phase);
}

std::string_view to_string(fence_cause why) {
    return find_name(fence_cause_names, why);
}

endpoint_session::endpoint_session(const dispatch_settings& settings,
                                   endpoint_port& port, session_events& events,
                                   const endpoint_record& endpoint,
                                   std::uint64_t token, process_id former,
                                   std::uint64_t calls_before)
    : settings_(settings), port_(port), events_(events), endpoint_(endpoint),
      entry_started_ms_(endpoint.instance_started_ms), token_(token),
      former_(std::move(former)), clock_(settings.clock_drift),
      calls_before_(calls_before), calls_sent_(calls_before) {
    ledger_.set_capacity(endpoint.capacity);
}

call_target endpoint_session::target() const {
    return {endpoint_.id, endpoint_.address, token_};
}

void endpoint_session::begin(timestamp now) {
    began_at_ = now;
    poll(now);
}

void endpoint_session::update(timestamp now, const endpoint_record& endpoint) {
    gone_ = false;
    const bool of_former_instance =
        endpoint.instance_started_ms != 0 &&
        endpoint.instance_started_ms < endpoint_.instance_started_ms;
    if (of_former_instance) {
        return;
    }
    const bool later_instance =
        endpoint.instance_started_ms > endpoint_.instance_started_ms;
    const bool restarted = later_instance && endpoint_.instance_started_ms != 0;
    const auto rejected_for = rejects_later_instances(now);
    if (later_instance && rejected_for) {
        fence(*rejected_for);
    }
    const auto instance_started_ms =
        std::max(endpoint.instance_started_ms, endpoint_.instance_started_ms);
    const bool moved = endpoint.address != endpoint_.address;
    if (restarted) {
        note_later_instance();
    }
    endpoint_ = endpoint;
    entry_started_ms_ = endpoint.instance_started_ms;
    set_instance(now, instance_started_ms);
    if (endpoint.capacity != ledger_.capacity()) {
        full_since_.reset();
    }
    ledger_.set_capacity(endpoint.capacity);
    if (moved) {
        begin_address(now);
    }
    if (restarted) {
        begin_instance(now);
    }
}

void endpoint_session::set_instance(timestamp now,
                                    std::int64_t instance_started_ms) {
    endpoint_.instance_started_ms = instance_started_ms;
    used_without_entry_ = false;
    const bool of_former_instance = entry_started_ms_ < instance_started_ms ||
                                    entry_started_ms_ == answered_started_ms_;
    const bool entry_known = entry_started_ms_ == 0 ||
                             entry_started_ms_ == instance_started_ms ||
                             !of_former_instance;
    if (entry_known) {
        entry_awaited_since_.reset();
        return;
    }
    if (!entry_awaited_since_) {
        entry_awaited_since_ = now;
    }
    endpoint_.labels.clear();
}

void endpoint_session::use_without_entry() {
    used_without_entry_ = true;
}

void endpoint_session::mark_gone(timestamp now) {
    if (!gone_) {
        gone_since_ = now;
    }
    gone_ = true;
    if (refusing_since_) {
        confirm_open_losses();
        confirm_crash();
    }
}

void endpoint_session::suspend(timestamp now) {
    suspended_at_call_ = calls_sent_;
    next_poll_ = now;
    poll(now);
}

void endpoint_session::reject_later_instances(fence_cause why) {
    isolated_ = true;
    isolated_for_ = why;
    isolated_at_call_ = calls_sent_;
}

void endpoint_session::accept_later_instances(timestamp now) {
    if (!std::exchange(isolated_, false)) {
        return;
    }
    isolated_at_call_ = calls_sent_;
    if (phase_ == session_phase::active && !list_call_) {
        request_list(now); // an idle endpoint is polled only rarely
    }
}

std::optional<fence_cause>
endpoint_session::rejects_later_instances(timestamp now) const {
    if (suspended_at_call_) {
        return fence_cause::paused;
    }
    // The instance that answers a takeover may be one that the platform's list
    // does not show yet. The first call is too recent for another takeover and
    // a restart.
    const bool taken_now =
        newest_list_ == 0 && now - began_at_ <= settings_.call_timeout;
    const bool rejects = (isolated_ || isolated_at_call_) && !taken_now;
    return rejects ? std::optional(isolated_for_) : std::nullopt;
}

bool endpoint_session::confirm_instance(timestamp now) {
    const bool confirmed = (!confirms_starts() || answered_at_ == now) &&
                           port_.is_connected(target(), answered_started_ms_);
    if (!confirmed && !list_call_) {
        request_list(now);
    }
    return confirmed;
}

bool endpoint_session::accepts_tasks() const {
    return phase_ == session_phase::active && !gone_ && failed_calls_ == 0 &&
           !suspended_at_call_ && clock_.is_known() &&
           (!awaits_entry() || used_without_entry_) &&
           endpoint_.state == endpoint_state::ready;
}

bool endpoint_session::awaits_revocation() const {
    return ledger_.revocations() > 0;
}

bool endpoint_session::awaits_former_start() const {
    return former_start_until_ || ledger_.former_starts() > 0;
}

bool endpoint_session::runs_resolved() const {
    return phase_ == session_phase::active && ledger_.unclaimed() == 0;
}

std::int64_t
endpoint_session::latest_lease(timestamp now,
                               const process_id& coordinator) const {
    const auto contact = events_.last_contact(coordinator);
    if (now <= contact) {
        return clock_.lower_bound(now) + to_ms(settings_.lease_limit);
    }
    const auto left = settings_.resend_after - resend_margin - (now - contact);
    const auto on_slow_clock = std::chrono::duration_cast<duration>(
        left * (1.0 - settings_.clock_drift));
    return clock_.lower_bound(now) +
           to_ms(std::min(settings_.lease_limit, on_slow_clock));
}

std::optional<std::int64_t> endpoint_session::renew_deadline(timestamp now) {
    if (awaits_revocation()) {
        return std::nullopt;
    }
    auto deadline = clock_.lower_bound(now) + to_ms(settings_.lease_limit);
    for (const auto& [run, entry] : ledger_.entries()) {
        if (entry.state != run_state::unclaimed &&
            !entry.stop_answered_at_call) {
            deadline = std::min(deadline, latest_lease(now, entry.coordinator));
        }
    }
    if (deadline <= clock_.lower_bound(now)) {
        return std::nullopt;
    }
    latest_deadline_ms_ = std::max(latest_deadline_ms_, deadline);
    return deadline;
}

// --- long poll ------------------------------------------------------------

std::uint64_t endpoint_session::acknowledgement() const {
    const bool unlisted = std::any_of(
        ledger_.entries().begin(), ledger_.entries().end(),
        [](const auto& item) {
            const auto& entry = item.second;
            return entry.state == run_state::uncertain ||
                   (entry.state == run_state::running && !entry.listed);
        });
    return unlisted || failed_calls_ > 0 ? 0 : acknowledged_;
}

void endpoint_session::poll(timestamp now) {
    if (poll_call_ || now < next_poll_ || phase_ == session_phase::fenced ||
        phase_ == session_phase::claiming) {
        return;
    }
    hold_call call{target(), acknowledgement(), std::nullopt, 0};
    if (phase_ == session_phase::active) {
        const bool occupied = ledger_.size() > ledger_.starting();
        const bool acknowledge =
            ledger_.empty() && acknowledged_ > acknowledged_sent_ &&
            now - idle_since_ >= idle_acknowledgement_delay;
        // If no other call is due, only a poll shows that the endpoint answers
        // again.
        const bool silent = failed_calls_ > 0;
        const bool reading_due =
            !clock_.is_known() || clock_.age(now) >= clock_reading_interval;
        if (!occupied && !acknowledge && !silent && !suspended_at_call_ &&
            !reading_due) {
            return;
        }
        // The lease of an endpoint that may be unreachable is not renewed, so
        // that its expiry can be awaited. The same goes for the lease of a
        // revoked run, whose end its coordinator takes from a bound.
        if (occupied && failed_calls_ == 0 && clock_.is_known()) {
            call.lease_deadline_ms = renew_deadline(now);
            if (call.lease_deadline_ms) {
                call.wait_ms =
                    static_cast<std::uint32_t>(to_ms(settings_.renew_interval));
            } else {
                next_poll_ = now + retry_delay;
            }
        }
        if (reading_due) {
            // The reading may be ignored, and the next one is then due at once.
            next_poll_ = now + retry_delay;
        }
    }
    acknowledged_sent_ = std::max(acknowledged_sent_, call.acknowledged);
    call.number = ++calls_sent_;
    poll_call_ = call.number;
    poll_answer_by_ =
        now + settings_.call_timeout + std::chrono::milliseconds(call.wait_ms);
    if (call.lease_deadline_ms) {
        last_renewal_ = call.number;
    }
    port_.hold(call);
}

// A task whose start got no answer can be placed again only when a run list
// requested after its stop shows that the run is not there. A long poll that is
// already in flight was requested too early for that.
void endpoint_session::request_run_list(timestamp now) {
    if (!list_call_ && phase_ == session_phase::active &&
        ledger_.awaiting_list() > 0) {
        request_list(now);
    }
}

void endpoint_session::request_list(timestamp now) {
    list_call_ = ++calls_sent_;
    list_answer_by_ = now + settings_.call_timeout;
    port_.hold({target(), 0, std::nullopt, 0, *list_call_});
}

bool endpoint_session::is_of_instance(timestamp sent_at) const {
    return (!instance_began_at_ || sent_at > *instance_began_at_) &&
           (!address_began_at_ || sent_at > *address_began_at_);
}

bool endpoint_session::is_of_instance(std::uint64_t call) const {
    return (!last_call_before_instance_ ||
            call > *last_call_before_instance_) &&
           (!last_call_before_address_ || call > *last_call_before_address_);
}

bool endpoint_session::process_call_reply(timestamp now,
                                          const call_reply& reply,
                                          bool of_present_instance) {
    switch (reply.status) {
    case call_status::stale_token:
        fence(fence_cause::refused);
        return false;
    case call_status::other_instance:
        // A former instance may have had another address.
        if (of_present_instance && answered_at_address_) {
            end_instance(now);
        }
        last_call_refused_ = false;
        // Counts, so that calls to an address where another endpoint answers
        // are repeated with growing pauses.
        ++failed_calls_;
        return false;
    case call_status::not_sent:
        if (!refusing_since_) {
            refusing_since_ = now;
        }
        last_call_refused_ = true;
        ++failed_calls_;
        return false;
    case call_status::unanswered:
        last_call_refused_ = false;
        ++failed_calls_;
        return false;
    case call_status::not_connected:
        return false; // says nothing about the endpoint
    default:
        failed_calls_ = 0;
        refusing_since_.reset();
        lost_under_suspect_ = false;
        last_call_refused_ = false;
        if (std::exchange(poll_delay_, duration{0}) > duration{0}) {
            next_poll_ = now; // the lease may be about to end
        }
        // The answer to a start or stop may be from a later instance, so it
        // does not set a clock that is not known.
        if (reply.clock_ms >= 0 && clock_.is_known() && of_present_instance) {
            clock_.read(now, reply.clock_ms);
        }
        return true;
    }
}

// The first failed poll is repeated at once, so that leases can still be
// renewed in time.
duration endpoint_session::next_retry_delay() {
    if (failed_calls_ == 0) {
        return retry_delay;
    }
    return std::exchange(poll_delay_,
                         std::min(poll_delay_ + retry_delay, max_retry_delay));
}

void endpoint_session::handle_hold(timestamp now, const hold_reply& reply) {
    if (reply.number != 0 && reply.number <= calls_before_) {
        return;
    }
    const bool is_list_call = list_call_ == reply.number;
    const bool is_late =
        now > (is_list_call ? list_answer_by_ : poll_answer_by_);
    (is_list_call ? list_call_ : poll_call_).reset();
    if (phase_ == session_phase::fenced) {
        return;
    }
    if (reply.call.status != call_status::ok) {
        if (reply.call.status == call_status::unanswered &&
            reply.number == last_renewal_) {
            unanswered_renewal_ = last_renewal_;
        }
        process_call_reply(now, reply.call, is_of_instance(reply.number));
        if (is_list_call) {
            return;
        }
        next_poll_ = now + next_retry_delay();
        return;
    }
    const bool other_instance =
        reply.instance_started_ms != 0 &&
        reply.instance_started_ms != endpoint_.instance_started_ms;
    const bool later_instance = other_instance && is_of_instance(reply.number);
    if (other_instance && !later_instance) {
        // The former instance answered before it ended. Its lists and its clock
        // say nothing of the present one.
        next_poll_ = now;
        return poll(now);
    }
    if (reply.number > unanswered_renewal_) {
        unanswered_renewal_ = 0;
    }
    answered_at_address_ |= is_of_instance(reply.number);
    const auto rejected_for = rejects_later_instances(now);
    if (later_instance && rejected_for) {
        return fence(*rejected_for);
    }
    // The instance may have ended since it gave an answer that was read late,
    // and a renewal that was carried out late extends the lease of a later one.
    if (!is_late) {
        answered_at_ = now;
    } else if (reply.number == last_renewal_) {
        unanswered_renewal_ = last_renewal_;
    }
    if (isolated_at_call_ && reply.number > *isolated_at_call_) {
        isolated_at_call_.reset();
    }
    if (!is_late && suspended_at_call_ && reply.number > *suspended_at_call_) {
        suspended_at_call_.reset();
    }
    if (later_instance) {
        if (endpoint_.instance_started_ms != 0) {
            note_later_instance();
            begin_instance(now);
        }
        set_instance(now, reply.instance_started_ms);
    } else if (reply.number > lost_runs_at_call_) {
        withdraw_suspected_crash();
    }
    answered_started_ms_ = reply.instance_started_ms;
    const bool first_of_instance = !clock_.is_known();
    process_call_reply(now, reply.call, true);
    if (first_of_instance) {
        clock_.read(now, reply.call.clock_ms);
        // The lease of a run that was started before this reply ends at most
        // `lease_limit` after the reply's clock reading.
        latest_deadline_ms_ =
            std::max(latest_deadline_ms_,
                     reply.call.clock_ms + to_ms(settings_.lease_limit));
    }
    if (phase_ == session_phase::adopting) {
        adopt(now, reply);
    } else {
        process_ended_runs(reply);
        if (reply.number >= newest_list_) {
            process_running_list(now, reply);
        }
        resolve_open_losses(reply);
    }
    newest_list_ = std::max(newest_list_, reply.number);
    if (ledger_.empty()) {
        idle_since_ = now;
    }
    poll(now);
}

void endpoint_session::process_ended_runs(const hold_reply& reply) {
    for (const auto& ended : reply.ended) {
        if (ended.number <= acknowledged_) {
            continue;
        }
        acknowledged_ = ended.number;
        if (const auto* entry = ledger_.find(ended.run)) {
            over(*entry, to_update(ended.kind));
        }
    }
}

void endpoint_session::process_running_list(timestamp now,
                                            const hold_reply& reply) {
    std::set<task_run> listed;
    for (const auto& running : reply.running) {
        listed.insert(running.run);
        auto* entry = ledger_.find(running.run);
        if (entry == nullptr) {
            run_entry found;
            found.run = running.run;
            found.state = run_state::unclaimed;
            found.entered_at = now;
            found.stop_wanted = true;
            found.revoked = true;
            found.listed = true;
            ledger_.enter(found);
            continue;
        }
        entry->listed = true;
        if (entry->state == run_state::uncertain) {
            ledger_.modify(*entry, [this, now](run_entry& found) {
                found.state = run_state::running;
                found.confirmed_at = now;
                found.confirmed_at_call = calls_sent_;
            });
        }
        if (running.percent != entry->percent) {
            entry->percent = running.percent;
            entry->progress_at = now;
        }
    }
    std::vector<run_entry> missing;
    for (const auto& [run, entry] : ledger_.entries()) {
        if (listed.contains(run) || entry.state == run_state::starting) {
            continue;
        }
        // A run that is not listed after its stop was answered will not start.
        const bool stopped_before = entry.stop_answered_at_call &&
                                    *entry.stop_answered_at_call < reply.number;
        const bool cannot_start =
            reply.call.clock_ms > entry.lease_deadline_ms &&
            entry.state == run_state::uncertain;
        const bool was_there = entry.state != run_state::uncertain &&
                               entry.confirmed_at_call < reply.number;
        if (stopped_before || cannot_start || was_there) {
            missing.push_back(entry);
        }
    }
    for (const auto& entry : missing) {
        over(entry, update_kind::lost);
    }
    evaluate_progress(now);
    send_stops(now);
}

void endpoint_session::evaluate_progress(timestamp now) {
    std::size_t tasks = 0;
    double min_multiple = std::numeric_limits<double>::max();
    for (const auto& [run, entry] : ledger_.entries()) {
        if (const auto multiple = projected_multiple(now, entry)) {
            ++tasks;
            min_multiple = std::min(min_multiple, *multiple);
        }
    }
    if (tasks > 0) {
        health_.record_progress(now, tasks, min_multiple);
    }
}

// --- takeover -------------------------------------------------------------

void endpoint_session::adopt(timestamp now, const hold_reply& reply) {
    endpoint_adoption found{endpoint_.id, former_, token_, {}, {}};
    for (const auto& running : reply.running) {
        run_entry entry;
        entry.run = running.run;
        entry.state = run_state::unclaimed;
        entry.entered_at = now;
        entry.confirmed_at = now;
        entry.confirmed_at_call = reply.number;
        entry.progress_at = now;
        entry.listed = true;
        ledger_.enter(entry);
        found.running.push_back(running.run);
    }
    for (const auto& ended : reply.ended) {
        acknowledged_ = std::max(acknowledged_, ended.number);
        found.ended.push_back(
            {ended.run, to_update(ended.kind), endpoint_.id, token_});
    }
    phase_ = ledger_.empty() ? session_phase::active : session_phase::claiming;
    claims_until_ = now + claim_window;
    idle_since_ = now;
    events_.on_adopted(*this, found);
}

void endpoint_session::claim(timestamp now, const process_id& coordinator,
                             const adoption_claim& claim) {
    for (const auto& item : claim.items) {
        auto* entry = ledger_.find(item.run);
        if (entry == nullptr || entry->state != run_state::unclaimed) {
            continue;
        }
        ledger_.set_coordinator(*entry, coordinator);
        ledger_.modify(*entry, [&item](run_entry& claimed) {
            claimed.need = item.need;
            claimed.state = run_state::running;
        });
    }
    if (ledger_.unclaimed() == 0 && phase_ == session_phase::claiming) {
        phase_ = session_phase::active;
        poll(now);
    }
}

// The instance is gone, and later instances do not accept calls meant for it,
// so all its runs are lost.
void endpoint_session::end_instance(timestamp now) {
    note_later_instance();
    confirm_open_losses();
    auto entries = ledger_.entries();
    for (const auto& [run, entry] : entries) {
        over(entry, update_kind::lost);
    }
    begin_instance(now);
    if (phase_ != session_phase::fenced) {
        phase_ = session_phase::adopting;
        next_poll_ = now;
    }
}

// The endpoint has restarted under its id. The runs of the former instance are
// gone, but starts may already have reached the new one: the next run list
// shows which.
void endpoint_session::begin_instance(timestamp now) {
    refusing_since_.reset();
    lost_under_suspect_ = false;
    acknowledged_ = 0;
    acknowledged_sent_ = 0;
    latest_deadline_ms_ = 0;
    clock_.reset();
    instance_began_at_ = now;
    last_call_before_instance_ = calls_sent_;
    next_poll_ = now;
    ledger_.modify_all([now](run_entry& entry) {
        // Clock readings and stops of the former instance do not apply.
        entry.lease_deadline_ms = unknown_deadline;
        entry.stop_answered_at_call.reset();
        entry.listed = false;
        entry.stop_outdated = entry.stop_in_flight;
        entry.next_stop = now;
    });
}

void endpoint_session::begin_address(timestamp now) {
    address_began_at_ = now;
    last_call_before_address_ = calls_sent_;
    answered_at_address_ = false;
    next_poll_ = now;
    for (auto& [run, entry] : ledger_.entries()) {
        entry.stop_outdated = entry.stop_in_flight;
    }
}

void endpoint_session::record_lost_run(const run_entry& entry) {
    // An unanswered start may not have been carried out. A planned stop of the
    // endpoint is no crash.
    if (entry.state != run_state::uncertain &&
        endpoint_.state == endpoint_state::ready && !entry.reported_lost &&
        !open_losses_.contains(entry.run)) {
        auto& lost = lost_runs_[entry.run];
        lost = {entry.run, entry.queue, lost.on_instance || entry.listed};
        lost_runs_at_call_ = calls_sent_;
    }
}

void endpoint_session::note_later_instance() {
    events_.on_instance_began(*this, ledger_.size());
    confirm_open_losses();
    for (auto& [run, entry] : ledger_.entries()) {
        // A start that is not answered yet may have reached the new instance.
        if (entry.state != run_state::starting) {
            record_lost_run(entry);
        }
    }
    // So may any run that was not shown on the former instance. Each run is on
    // one instance only.
    std::erase_if(lost_runs_, [this](const auto& item) {
        return !item.second.on_instance && open_losses_.insert(item).second;
    });
    for (auto& [run, entry] : ledger_.entries()) {
        entry.reported_lost |= entry.listed || lost_runs_.contains(run);
    }
    former_started_ms_ = endpoint_.instance_started_ms;
    confirm_crash();
}

void endpoint_session::resolve_open_losses(const hold_reply& reply) {
    if (open_losses_.empty()) {
        return;
    }
    for (const auto& running : reply.running) {
        open_losses_.erase(running.run);
    }
    for (const auto& ended : reply.ended) {
        open_losses_.erase(ended.run);
    }
    std::vector<lost_run> runs;
    std::erase_if(open_losses_, [this, &runs](const auto& item) {
        if (ledger_.find(item.first) != nullptr) {
            return false;
        }
        runs.push_back(item.second);
        return true;
    });
    report_crash(runs, former_started_ms_);
}

void endpoint_session::confirm_open_losses() {
    std::vector<lost_run> runs;
    for (const auto& [run, lost] : std::exchange(open_losses_, {})) {
        runs.push_back(lost);
        if (auto* entry = ledger_.find(run)) {
            entry->reported_lost = true;
        }
    }
    report_crash(runs, former_started_ms_);
}

void endpoint_session::report_suspected_crash() {
    if (crash_suspected_ || !refusing_since_) {
        return;
    }
    std::vector<lost_run> runs;
    for (const auto& [run, entry] : ledger_.entries()) {
        if (entry.state != run_state::starting) {
            record_lost_run(entry);
        }
    }
    for (auto& [run, lost] : lost_runs_) {
        lost.on_instance = true;
        runs.push_back(lost);
    }
    if (!runs.empty()) {
        crash_suspected_ = true;
        events_.on_crash_evidence(*this, runs, crash_evidence::refusing,
                                  endpoint_.instance_started_ms);
    }
}

void endpoint_session::withdraw_suspected_crash() {
    std::vector<lost_run> runs;
    for (const auto& [run, lost] : std::exchange(lost_runs_, {})) {
        runs.push_back(lost);
    }
    if (std::exchange(crash_suspected_, false)) {
        events_.on_crash_evidence(*this, runs, crash_evidence::none,
                                  endpoint_.instance_started_ms);
    }
}

void endpoint_session::confirm_crash() {
    std::vector<lost_run> runs;
    for (const auto& [run, lost] : std::exchange(lost_runs_, {})) {
        runs.push_back(lost);
    }
    crash_suspected_ = false;
    report_crash(runs, endpoint_.instance_started_ms);
}

void endpoint_session::report_crash(const std::vector<lost_run>& runs,
                                    std::int64_t instance_started_ms) {
    if (!runs.empty()) {
        events_.on_crash_evidence(*this, runs, crash_evidence::ended,
                                  instance_started_ms);
    }
}

void endpoint_session::fence(fence_cause why) {
    if (phase_ == session_phase::fenced) {
        return;
    }
    fenced_for_ = why;
    phase_ = session_phase::fenced;
    events_.on_fenced(*this);
}

// --- runs -----------------------------------------------------------------

void endpoint_session::start(timestamp now, run_entry entry,
                             const std::string& payload) {
    entry.state = run_state::starting;
    entry.entered_at = now;
    entry.lease_deadline_ms =
        std::min(clock_.expected(now) + to_ms(settings_.start_window),
                 latest_lease(now, entry.coordinator));
    latest_deadline_ms_ =
        std::max(latest_deadline_ms_, entry.lease_deadline_ms);
    const auto& entered = ledger_.enter(std::move(entry));
    port_.start({target(), entered.run, payload, entered.lease_deadline_ms,
                 answered_started_ms_});
}

void endpoint_session::handle_start(timestamp now, const task_run& run,
                                    const call_reply& reply) {
    auto* entry = ledger_.find(run);
    const bool answered = process_call_reply(
        now, reply, entry != nullptr && is_of_instance(entry->entered_at));
    entry = ledger_.find(run);
    if (entry == nullptr) {
        return;
    }
    switch (reply.status) {
    case call_status::ok:
        ledger_.modify(*entry, [](run_entry& started) {
            started.state = run_state::running;
        });
        entry->confirmed_at = now;
        entry->confirmed_at_call = calls_sent_;
        entry->progress_at = now;
        entry->listed |= is_clock_of_instance(
            clock_, entry->entered_at, latest_start(*entry) - entry->entered_at,
            reply.clock_ms);
        events_.on_started(*this, *entry);
        break;
    case call_status::unanswered:
        ledger_.modify(*entry, [](run_entry& unanswered) {
            if (unanswered.state == run_state::starting) {
                unanswered.state = run_state::uncertain;
            }
            unanswered.stop_wanted = true;
        });
        health_.record_fault(now);
        break;
    case call_status::outdated_run:
        over(*entry, update_kind::outdated);
        break;
    case call_status::no_room:
        // Its row is behind, or other runs take more than they said; the
        // endpoint works well.
        over(*entry, update_kind::refused);
        full_since_ = now;
        break;
    default:
        if (answered || reply.status == call_status::not_sent) {
            health_.record_fault(now);
        }
        over(*entry, update_kind::refused);
        break;
    }
    send_stops(now);
    poll(now);
}

void endpoint_session::stop(timestamp now, const task_run& run) {
    if (auto* entry = ledger_.find(run)) {
        ledger_.modify(*entry,
                       [](run_entry& stopped) { stopped.stop_wanted = true; });
        send_stops(now);
    }
}

void endpoint_session::revoke(timestamp now, const task_run& run) {
    if (auto* entry = ledger_.find(run)) {
        ledger_.modify(*entry,
                       [](run_entry& revoked) { revoked.revoked = true; });
        stop(now, run);
    }
}

void endpoint_session::send_stops(timestamp now) {
    if (phase_ == session_phase::fenced || phase_ == session_phase::adopting) {
        return;
    }
    while (ledger_.stopping() < settings_.max_open_stops) {
        auto* due = ledger_.find_due_stop(now);
        if (due == nullptr) {
            return;
        }
        ledger_.modify(*due, [](run_entry& entry) {
            entry.stop_in_flight = true;
            entry.stop_outdated = false;
        });
        port_.stop({target(), due->run});
    }
}

void endpoint_session::handle_stop(timestamp now, const task_run& run,
                                   const call_reply& reply) {
    auto* entry = ledger_.find(run);
    process_call_reply(now, reply, entry != nullptr && !entry->stop_outdated);
    entry = ledger_.find(run);
    if (entry == nullptr) {
        return;
    }
    const bool awaited = awaits_revocation();
    ledger_.modify(*entry, [this, now, &reply](run_entry& stopped) {
        stopped.stop_in_flight = false;
        if (stopped.stop_outdated) {
            // A later instance has not seen this stop.
            stopped.next_stop = now;
        } else if (reply.status == call_status::ok) {
            stopped.stop_answered_at_call = calls_sent_;
        } else {
            stopped.next_stop = now + retry_delay;
        }
    });
    if (awaited && !awaits_revocation()) {
        next_poll_ = now; // the other runs need their lease renewed
    }
    send_stops(now);
    request_run_list(now);
    poll(now);
}

void endpoint_session::over(const run_entry& entry, update_kind kind) {
    const run_entry ended = entry;
    if (kind == update_kind::lost && is_unanswered(ended) &&
        ended.lease_deadline_ms == unknown_deadline) {
        // Its stop keeps the run from starting, but the refused start extends
        // the lease of all runs there as if it had been carried out.
        former_start_until_ = std::max(
            former_start_until_.value_or(timestamp{0}),
            ended.entered_at + settings_.gone_limit + silent_instance_limit());
    }
    ledger_.remove(ended.run);
    full_since_.reset();
    events_.on_run_finished(*this, ended, kind);
}

// --- time -----------------------------------------------------------------

// Time from the sending of an answered start, or from the detection of a new
// instance while it was in flight, until its run on a new instance has ended.
duration endpoint_session::silent_instance_limit() const {
    const auto drift_allowance = std::chrono::duration_cast<duration>(
        settings_.lease_limit * settings_.clock_drift);
    return settings_.lease_limit + drift_allowance + settings_.call_timeout;
}

timestamp endpoint_session::latest_start(const run_entry& entry) const {
    return std::max(entry.entered_at,
                    entry.confirmed_at - settings_.call_timeout);
}

void endpoint_session::check_lease_expiry(timestamp now) {
    const bool expired =
        clock_.is_known()
            ? clock_.has_passed(now, latest_deadline_ms_ + expiry_margin_ms)
            : instance_began_at_ &&
                  now - *instance_began_at_ > silent_instance_limit();
    if (ledger_.empty() || !expired) {
        return;
    }
    // An instance that has not been noticed counts a whole lease from the
    // arrival of a call, whatever deadline that names.
    const bool renewals_over =
        !clock_.is_known() ||
        clock_.has_passed(now, latest_deadline_ms_ + expiry_margin_ms +
                                   to_ms(settings_.call_timeout));
    timestamp newest_start{0};
    // An unanswered call may be carried out seconds later, by an instance that
    // its deadline's clock is not of, and then extends the lease of all runs
    // there. So no time ends an unanswered start or a run beside it.
    bool may_extend_unlisted = unanswered_renewal_ != 0;
    const bool may_extend_listed = awaits_former_start();
    for (const auto& [run, entry] : ledger_.entries()) {
        newest_start = std::max(newest_start, latest_start(entry));
        may_extend_unlisted |= is_unanswered(entry);
    }
    const bool starts_over = now - newest_start > silent_instance_limit();
    auto entries = ledger_.entries();
    for (const auto& [run, entry] : entries) {
        // Until it is listed, the run may be on a next instance.
        const bool may_run = entry.listed ? may_extend_listed
                                          : may_extend_unlisted ||
                                                !renewals_over || !starts_over;
        if (!is_unanswered(entry) && !may_run) {
            record_lost_run(entry);
            lost_under_suspect_ |= entry.crashes > 0;
            over(entry, update_kind::lost);
        }
    }
}

// An endpoint that the platform does not list is to be treated as gone, so no
// stop will be answered. If it refuses connections, no process is at its
// address; a silent one may only be cut off, and its late calls are waited for.
void endpoint_session::check_departure(timestamp now) {
    const bool refuses = last_call_refused_ && refusing_since_ &&
                         now - *refusing_since_ > silent_instance_limit();
    const bool silent =
        failed_calls_ > 0 && now - gone_since_ > settings_.gone_limit;
    if (ledger_.empty() || !gone_ || !(refuses || silent)) {
        return;
    }
    confirm_open_losses();
    const auto entries = ledger_.entries();
    for (const auto& [run, entry] : entries) {
        if (entry.state != run_state::starting &&
            now - latest_start(entry) > silent_instance_limit()) {
            over(entry, update_kind::lost);
        }
    }
}

void endpoint_session::tick(timestamp now) {
    if (phase_ == session_phase::fenced) {
        return;
    }
    if (phase_ == session_phase::claiming && now >= claims_until_) {
        phase_ = session_phase::active;
        ledger_.modify_all([](run_entry& entry) {
            entry.stop_wanted |= entry.state == run_state::unclaimed;
            entry.revoked |= entry.state == run_state::unclaimed;
        });
    }
    if (full_since_ && now - *full_since_ >= full_retry_delay) {
        full_since_.reset();
    }
    if (former_start_until_ && now > *former_start_until_) {
        former_start_until_.reset();
    }
    check_lease_expiry(now);
    check_departure(now);
    send_stops(now);
    request_run_list(now);
    poll(now);
}

} // namespace figridge::dispatch
