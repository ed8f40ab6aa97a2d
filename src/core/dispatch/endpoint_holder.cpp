#include "core/dispatch/endpoint_holder.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include <absl/strings/str_join.h>

namespace figridge::dispatch {
namespace {

// Endpoints that begin to refuse connections within this time of each other
// probably do so for the same cause.
constexpr duration common_cause_window = 100ms;
// Shorter refusals are more often cuts than crashes, after which the platform
// needs seconds to start an endpoint again.
constexpr duration min_refusal_time = 1s;
// The platform's list is read again within this time if it can be read.
constexpr duration list_read_limit = 1500ms;
// A task crashes one endpoint at a time, a cut or a lost rack takes more.
constexpr std::size_t max_crashes_at_once = 2;

// Whether the start may be carried out late, or a late one of another task may
// extend the lease of the run: see `task_update::known_instance`.
bool may_outlast_lease(const endpoint_session& session,
                       const run_entry& entry) {
    return entry.state == run_state::starting ||
           entry.state == run_state::uncertain || !entry.listed ||
           session.awaits_former_start();
}

} // namespace

endpoint_holder::endpoint_holder(const dispatch_settings& settings,
                                 endpoint_port& port, observer_port& observer,
                                 holder_events& events, evacuation& evacuated)
    : settings_(settings), port_(port), observer_(observer), events_(events),
      evacuation_(evacuated), planner_(planner_limits{}) {}

void endpoint_holder::begin_change(timestamp now) {
    now_ = now;
    available_.reset();
}

// --- held endpoints ---------------------------------------------------------

void endpoint_holder::take(timestamp now, const endpoint_record& endpoint,
                           std::uint64_t token, const process_id& former) {
    begin_change(now);
    if (const auto found = sessions_.find(endpoint.id);
        found != sessions_.end()) {
        if (found->second->token() >= token) {
            return;
        }
        disown(*found->second);
        sessions_.erase(found);
    }
    session_events& events = *this;
    // Far more than the calls of any session.
    constexpr std::uint64_t call_numbers = std::uint64_t{1} << 40U;
    auto session = std::make_unique<endpoint_session>(
        settings_, port_, events, endpoint, token, former,
        call_numbers * sessions_begun_++);
    session->ledger().keep_index(runs_, endpoint.id);
    auto& added = *session;
    sessions_[endpoint.id] = std::move(session);
    added.begin(now);
    if (unheard_successors_) {
        added.reject_later_instances(*unheard_successors_);
    }
}

void endpoint_holder::release(timestamp now, const std::string& endpoint) {
    begin_change(now);
    if (const auto found = sessions_.find(endpoint); found != sessions_.end()) {
        disown(*found->second);
        sessions_.erase(found);
    }
    if (sessions_.empty()) {
        return_all();
    }
}

void endpoint_holder::disown(endpoint_session& session) {
    // The coordinator of an unanswered start may be lost before the endpoint
    // answers the next holder.
    for (auto& [run, entry] : session.ledger().entries()) {
        if (may_outlast_lease(session, entry) && !entry.doubt_told) {
            tell_doubt(session, entry);
        }
    }
    const auto entries = session.ledger().entries();
    for (const auto& [run, entry] : entries) {
        report(session, entry, update_kind::disowned);
    }
    session.ledger().clear();
}

void endpoint_holder::tell_doubts(timestamp now, endpoint_session& session) {
    for (auto& [run, entry] : session.ledger().entries()) {
        // Of a start that is not needed, a host that lost this one counts on
        // being told in time, so that it is sent no later than 250 ms and a
        // tick after the start, collected or not.
        const auto delay =
            entry.revoked
                ? doubt_delay - doubt_collect_interval
                : doubt_delay + (is_late_ ? late_doubt_delay : duration{0});
        const bool is_late = entry.state == run_state::uncertain &&
                             now - entry.entered_at >= delay;
        // The next list ends a start whose stop was answered. If none comes,
        // it is told after `delay`.
        const bool may_end_soon = entry.state == run_state::uncertain &&
                                  entry.stop_answered_at_call.has_value();
        const bool is_given_up = entry.state != run_state::starting &&
                                 entry.revoked && !may_end_soon &&
                                 may_outlast_lease(session, entry);
        if ((is_late || is_given_up) && !entry.doubt_told) {
            tell_doubt(session, entry);
        }
    }
}

void endpoint_holder::tell_doubt(const endpoint_session& session,
                                 run_entry& entry) {
    entry.doubt_told = true;
    observer_.count("start_doubts", "told");
    announce_doubt(session, entry, false);
}

void endpoint_holder::announce_doubt(const endpoint_session& session,
                                     const run_entry& entry, bool over) {
    observer_.log(log_level::info, over ? "start_resolved" : "start_in_doubt",
                  {{"job", entry.run.task.job},
                   {"task", std::to_string(entry.run.task.step) + "." +
                                std::to_string(entry.run.task.index)},
                   {"run", std::to_string(entry.run.run)},
                   {"endpoint", session.endpoint().id},
                   {"token", std::to_string(session.token())},
                   {"coordinator", entry.coordinator.address},
                   {"revoked", entry.revoked ? "yes" : "no"},
                   {"age_ms", std::to_string(to_ms(now_ - entry.entered_at))}});
    events_.announce_doubt({entry.run,
                            settings_.self,
                            session.endpoint().id,
                            session.token(),
                            over,
                            false,
                            {},
                            {}});
}

bool endpoint_holder::is_untold_start(const std::string& endpoint,
                                      std::uint64_t token,
                                      const task_run& run) const {
    const auto found = sessions_.find(endpoint);
    if (found == sessions_.end() || found->second->token() != token) {
        return false;
    }
    const auto& session = *found->second;
    const auto* entry = session.ledger().find(run);
    return entry != nullptr && !entry->doubt_told &&
           may_outlast_lease(session, *entry);
}

void endpoint_holder::report(const endpoint_session& session,
                             const run_entry& entry, update_kind kind) {
    if (!entry.coordinator.address.empty()) {
        events_.send_update(entry.coordinator,
                            {entry.run, kind, session.endpoint().id,
                             session.token(),
                             !may_outlast_lease(session, entry)});
    }
}

void endpoint_holder::update_endpoint(timestamp now,
                                      const endpoint_record& endpoint) {
    begin_change(now);
    if (const auto found = sessions_.find(endpoint.id);
        found != sessions_.end()) {
        found->second->update(now, endpoint);
    }
}

std::vector<std::pair<std::string, std::int64_t>>
endpoint_holder::awaited_entries() const {
    std::vector<std::pair<std::string, std::int64_t>> found;
    for (const auto& [id, session] : sessions_) {
        if (session->awaits_entry()) {
            found.emplace_back(id, session->endpoint().instance_started_ms);
        }
    }
    return found;
}

void endpoint_holder::use_without_entries(timestamp now,
                                          timestamp list_read_at) {
    for (auto& [id, session] : sessions_) {
        if (session->awaits_entry() && now - list_read_at > list_read_limit &&
            now - session->entry_awaited_since() > list_read_limit) {
            session->use_without_entry();
            available_.reset();
        }
    }
}

void endpoint_holder::mark_gone(timestamp now, const std::string& endpoint) {
    begin_change(now);
    if (const auto found = sessions_.find(endpoint); found != sessions_.end()) {
        found->second->mark_gone(now);
    }
}

bool endpoint_holder::holds(const std::string& endpoint) const {
    return sessions_.contains(endpoint);
}

std::uint64_t endpoint_holder::token_of(const std::string& endpoint) const {
    const auto found = sessions_.find(endpoint);
    return found == sessions_.end() ? 0 : found->second->token();
}

std::vector<std::pair<std::string, std::uint64_t>>
endpoint_holder::take_fenced() {
    return std::exchange(fenced_, {});
}

// --- coordinators -----------------------------------------------------------

void endpoint_holder::assign(timestamp now, const process_id& coordinator,
                             const task_assignment& assignment) {
    const auto payload =
        std::make_shared<const std::string>(assignment.payload);
    for (const auto& item : assignment.items) {
        queued_task task;
        task.run = item.run;
        task.need = item.need;
        task.avoid = item.avoid;
        task.crashes = item.crashes;
        task.coordinator = coordinator;
        task.payload = payload;
        task.pool = assignment.pool;
        task.queue = assignment.queue;
        task.priority = assignment.priority;
        task.queued_at = now;
        task.answer_by = now + limit_wait(duration(assignment.objective_us));
        task.caller_deadline =
            now + limit_wait(duration(assignment.patience_us));
        if (held_tasks() >= settings_.max_held_tasks) {
            return_task(task);
            continue;
        }
        queue_.push(std::move(task));
    }
    if (sessions_.empty()) {
        return_all();
    }
}

void endpoint_holder::withdraw(timestamp now, const process_id& coordinator,
                               const std::string& job) {
    begin_change(now);
    queue_.extract(coordinator, job);
    for (const auto& [endpoint, run] : runs_.of_job(job)) {
        auto& session = *sessions_.at(endpoint);
        if (const auto* entry = session.ledger().find(run);
            entry != nullptr && entry->coordinator == coordinator) {
            session.revoke(now, run);
        }
    }
}

void endpoint_holder::recall(const process_id& coordinator,
                             const std::string& job) {
    const auto returned = queue_.extract(coordinator, job);
    for (const auto& task : returned) {
        return_task(task);
    }
}

void endpoint_holder::abandon(timestamp now, const process_id& coordinator) {
    begin_change(now);
    std::size_t stopped = 0;
    const auto dropped = queue_.extract(coordinator);
    for (const auto& task : dropped) {
        return_task(task); // takes effect if the coordinator is heard again
    }
    for (const auto& [endpoint, run] : runs_.of_coordinator(coordinator)) {
        auto& session = *sessions_.at(endpoint);
        if (const auto* entry = session.ledger().find(run)) {
            stopped += entry->stop_wanted ? 0 : 1;
            session.revoke(now, run);
        }
    }
    if (!dropped.empty() || stopped > 0) {
        observer_.log(log_level::warning, "coordinator_abandoned",
                      {{"coordinator", coordinator.address},
                       {"dropped", std::to_string(dropped.size())},
                       {"stopped", std::to_string(stopped)}});
    }
}

void endpoint_holder::claim(timestamp now, const process_id& coordinator,
                            const adoption_claim& claim) {
    begin_change(now);
    const auto found = sessions_.find(claim.endpoint);
    if (found == sessions_.end()) {
        return;
    }
    auto& session = *found->second;
    session.claim(now, coordinator, claim);
    for (const auto& item : claim.items) {
        // The run ended before its coordinator was known, so its end could not
        // be reported.
        if (session.knows_runs() &&
            session.ledger().find(item.run) == nullptr) {
            events_.send_update(coordinator, {item.run, update_kind::lost,
                                              claim.endpoint, session.token()});
        }
    }
}

void endpoint_holder::return_task(const queued_task& task) {
    events_.send_update(task.coordinator,
                        {task.run, update_kind::returned, {}, 0});
}

void endpoint_holder::return_queued(std::vector<std::uint32_t> free_cpu) {
    const auto any_room = [] {
        return std::numeric_limits<std::uint32_t>::max();
    };
    queue_.visit_tasks(now_, any_room, [&](const queued_task& task) {
        // Another holder would have to empty an endpoint for it as well, or
        // confines its queue as well.
        if (is_held_back(task)) {
            return queue_verdict::no_room;
        }
        const auto cpu = task.need.room.cpu_millis;
        const auto room =
            std::find_if(free_cpu.begin(), free_cpu.end(),
                         [cpu](std::uint32_t free) { return free >= cpu; });
        if (room == free_cpu.end() && fits_held_endpoint(task)) {
            return queue_verdict::no_room;
        }
        if (has_run_of(task.run.task)) {
            return queue_verdict::kept;
        }
        if (room != free_cpu.end()) {
            // Another host would start it at once.
            *room -= cpu;
        }
        return_task(task);
        return queue_verdict::taken;
    });
}

bool endpoint_holder::fits_held_endpoint(const queued_task& task) const {
    return std::any_of(
        sessions_.begin(), sessions_.end(), [this, &task](const auto& item) {
            const auto& session = *item.second;
            return is_admitted(session) &&
                   session.endpoint().pool == task.pool &&
                   fits(task.need.room, session.ledger().capacity());
        });
}

void endpoint_holder::handle_process_pause(timestamp now) {
    begin_change(now);
    return_all();
    for (auto& [id, session] : sessions_) {
        session->suspend(now);
    }
}

void endpoint_holder::set_unheard_successors(std::optional<fence_cause> why) {
    unheard_successors_ = why;
    available_.reset();
    for (auto& [id, session] : sessions_) {
        if (why) {
            session->reject_later_instances(*why);
        } else {
            session->accept_later_instances(now_);
        }
    }
}

bool endpoint_holder::confirms_starts() const {
    return std::any_of(
        sessions_.begin(), sessions_.end(),
        [](const auto& item) { return item.second->confirms_starts(); });
}

void endpoint_holder::return_all() {
    for (const auto& task : queue_.extract_all()) {
        return_task(task);
    }
}

// --- endpoints' replies -----------------------------------------------------

endpoint_session* endpoint_holder::find(const std::string& endpoint,
                                        std::uint64_t token) {
    const auto found = sessions_.find(endpoint);
    const bool current =
        found != sessions_.end() && found->second->token() == token;
    return current ? found->second.get() : nullptr;
}

void endpoint_holder::handle_hold(timestamp now, const std::string& endpoint,
                                  std::uint64_t token,
                                  const hold_reply& reply) {
    begin_change(now);
    if (auto* session = find(endpoint, token)) {
        session->handle_hold(now, reply);
    }
}

void endpoint_holder::log_not_confirmed(std::string_view event,
                                        const endpoint_session& session,
                                        const task_run& run,
                                        const call_reply& reply) {
    observer_.log(log_level::info, event,
                  {{"job", run.task.job},
                   {"task", std::to_string(run.task.step) + "." +
                                std::to_string(run.task.index)},
                   {"run", std::to_string(run.run)},
                   {"endpoint", session.endpoint().id},
                   {"token", std::to_string(session.token())},
                   {"outcome", std::string(to_string(reply.status))}});
}

void endpoint_holder::handle_start(timestamp now, const std::string& endpoint,
                                   std::uint64_t token, const task_run& run,
                                   const call_reply& reply) {
    begin_change(now);
    if (auto* session = find(endpoint, token)) {
        if (reply.status != call_status::ok) {
            log_not_confirmed("start_not_confirmed", *session, run, reply);
        }
        session->handle_start(now, run, reply);
    }
}

void endpoint_holder::handle_stop(timestamp now, const std::string& endpoint,
                                  std::uint64_t token, const task_run& run,
                                  const call_reply& reply) {
    begin_change(now);
    if (auto* session = find(endpoint, token)) {
        if (reply.status != call_status::ok) {
            log_not_confirmed("stop_not_confirmed", *session, run, reply);
        }
        session->handle_stop(now, run, reply);
    }
}

void endpoint_holder::tick(timestamp now) {
    begin_change(now);
    std::size_t slow = 0;
    for (auto& [id, session] : sessions_) {
        session->tick(now);
        tell_doubts(now, *session);
        slow += session->health().is_slow(now) ? 1 : 0;
    }
    report_suspected_crashes(now);
    update_compartment(now);
    most_are_slow_ = slow * 2 > sessions_.size();
    std::erase_if(sessions_, [](const auto& item) {
        const auto& session = *item.second;
        return session.phase() == session_phase::fenced ||
               (session.is_gone() && session.ledger().empty());
    });
    move_from_slow_endpoints(now);
    queue_.drop_expired(now);
}

// --- state ------------------------------------------------------------------

std::size_t endpoint_holder::running_tasks() const {
    return runs_.size();
}

std::size_t
endpoint_holder::running_tasks_in(const std::string& failure_domain) const {
    std::size_t count = 0;
    for (const auto& [id, session] : sessions_) {
        if (session->endpoint().failure_domain == failure_domain) {
            count += session->ledger().size();
        }
    }
    return count;
}

std::set<process_id> endpoint_holder::coordinators() const {
    std::set<process_id> found;
    queue_.add_coordinators(found);
    runs_.add_coordinators(found);
    return found;
}

// --- sessions' events -------------------------------------------------------

void endpoint_holder::on_adopted(endpoint_session& /*session*/,
                                 const endpoint_adoption& found) {
    events_.announce(found);
}

void endpoint_holder::on_run_finished(endpoint_session& session,
                                      const run_entry& entry,
                                      update_kind kind) {
    auto& health = session.health();
    const auto run_time = now_ - entry.confirmed_at;
    observer_.count("runs", to_string(kind));
    if (kind == update_kind::done) {
        health.record_done(now_, run_time,
                           std::chrono::milliseconds(entry.need.estimate_ms));
        observer_.record(latency_metric::task_time, run_time);
        const auto& rack = entry.need.preferred_rack;
        const bool far = !rack.empty() && rack != session.endpoint().rack;
        evacuation_.record_done(
            session.endpoint().id, run_time,
            scale_wait(std::chrono::milliseconds(entry.need.estimate_ms),
                       far ? settings_.far_factor : 1.0));
    } else if (kind == update_kind::failed) {
        health.record_fault(now_);
    }
    if (kind != update_kind::done && !entry.coordinator.address.empty()) {
        observer_.log(
            log_level::info, "run_over",
            {{"job", entry.run.task.job},
             {"task", std::to_string(entry.run.task.index)},
             {"run", std::to_string(entry.run.run)},
             {"endpoint", session.endpoint().id},
             {"outcome", std::string(to_string(kind))},
             {"age_ms", std::to_string(to_ms(now_ - entry.entered_at))},
             {"faults", std::to_string(health.consecutive_faults())}});
    }
    if (entry.doubt_told) {
        observer_.count("start_doubts", "over");
        announce_doubt(session, entry, true);
    }
    report(session, entry, kind);
}

void endpoint_holder::on_started(endpoint_session& session,
                                 const run_entry& entry) {
    report(session, entry, update_kind::started);
}

void endpoint_holder::report_suspected_crashes(timestamp now) {
    std::vector<std::pair<timestamp, endpoint_session*>> refusing;
    for (auto& [id, session] : sessions_) {
        if (const auto since = session->refusing_since()) {
            refusing.emplace_back(*since, session.get());
        }
    }
    for (const auto& [since, session] : refusing) {
        const auto at_once =
            std::count_if(refusing.begin(), refusing.end(),
                          [began = since](const auto& other) {
                              return std::chrono::abs(other.first - began) <=
                                     common_cause_window;
                          });
        if (now - since >= min_refusal_time &&
            static_cast<std::size_t>(at_once) <= max_crashes_at_once) {
            session->report_suspected_crash();
        }
    }
}

void endpoint_holder::on_crash_evidence(endpoint_session& session,
                                        const std::vector<lost_run>& runs,
                                        crash_evidence evidence,
                                        std::int64_t instance_started_ms) {
    const auto& endpoint = session.endpoint();
    std::set<std::string> queues;
    for (const auto& lost : runs) {
        queues.insert(lost.queue.empty() ? "unknown" : lost.queue);
        events_.announce_crash(
            {lost.run, lost.queue, endpoint.id, instance_started_ms, evidence});
    }
    observer_.count("endpoint_crashes", to_string(evidence));
    observer_.log(log_level::warning, "endpoint_crash",
                  {{"endpoint", endpoint.id},
                   {"evidence", std::string(to_string(evidence))},
                   {"runs", std::to_string(runs.size())},
                   {"queues", absl::StrJoin(queues, ",")},
                   {"token", std::to_string(session.token())}});
}

void endpoint_holder::on_instance_began(endpoint_session& session,
                                        std::size_t runs) {
    const auto& endpoint = session.endpoint();
    observer_.log(log_level::info, "endpoint_instance_began",
                  {{"endpoint", endpoint.id},
                   {"token", std::to_string(session.token())},
                   {"runs", std::to_string(runs)},
                   {"phase", std::string(to_string(session.phase()))}});
}

void endpoint_holder::on_fenced(endpoint_session& session) {
    observer_.log(log_level::warning, "endpoint_fenced",
                  {{"endpoint", session.endpoint().id},
                   {"token", std::to_string(session.token())},
                   {"why", std::string(to_string(session.fenced_for()))}});
    disown(session);
    fenced_.emplace_back(session.endpoint().id, session.token());
}

} // namespace figridge::dispatch
