// Keeps tasks that crash endpoints apart from others.
//
// Suspects: a task that may have crashed an endpoint starts only where nothing
// else runs, and nothing else starts there until it has ended. Compartment: a
// queue whose tasks crash endpoints is confined to some of them.
#include <algorithm>

#include <absl/strings/str_cat.h>

#include "core/dispatch/endpoint_holder.hpp"

namespace figridge::dispatch {
namespace {

// At most one in this many held endpoints is isolated at a time, so that
// suspects take no failure domain.
constexpr std::size_t endpoints_per_isolated = 8;
constexpr duration load_interval = 100ms;

bool runs_suspect(const endpoint_session& session) {
    return session.ledger().suspects() > 0;
}

std::string task_name(const task_key& task) {
    return std::to_string(task.step) + "." + std::to_string(task.index);
}

bool is_reserved_for(const std::map<std::string, task_key>& reserved,
                     const task_key& task) {
    return std::any_of(
        reserved.begin(), reserved.end(),
        [&task](const auto& item) { return item.second == task; });
}

// When the runs there have probably ended.
timestamp idle_at(timestamp now, const endpoint_session& session) {
    auto latest = now;
    for (const auto& [run, entry] : session.ledger().entries()) {
        latest =
            std::max(latest, entry.entered_at + std::chrono::milliseconds(
                                                    entry.need.estimate_ms));
    }
    return latest;
}

} // namespace

void endpoint_holder::update_isolation() {
    suspect_endpoints_.clear();
    for (const auto& [id, session] : sessions_) {
        if (session->is_lost_under_suspect() || runs_suspect(*session)) {
            suspect_endpoints_.insert(id);
        }
    }
    if (reserved_.empty()) {
        return;
    }
    const auto queued = queue_.suspects();
    std::erase_if(reserved_, [this, &queued](const auto& item) {
        const auto& [endpoint, task] = item;
        const auto session = sessions_.find(endpoint);
        return session == sessions_.end() ||
               !session->second->accepts_tasks() ||
               !is_admitted(*session->second) ||
               std::none_of(queued.begin(), queued.end(),
                            [&key = task](const queued_task* waiting) {
                                return waiting->run.task == key;
                            });
    });
}

bool endpoint_holder::may_isolate_another() const {
    const auto limit =
        std::max<std::size_t>(1, sessions_.size() / endpoints_per_isolated);
    return suspect_endpoints_.size() + reserved_.size() < limit;
}

bool endpoint_holder::is_isolated(const endpoint_session& session) const {
    return reserved_.contains(session.endpoint().id) || runs_suspect(session);
}

bool endpoint_holder::isolation_admits(const endpoint_session& session,
                                       const queued_task& task) const {
    const auto reserved = reserved_.find(session.endpoint().id);
    if (reserved != reserved_.end() && reserved->second != task.run.task) {
        return false;
    }
    if (!is_suspect(task)) {
        return !runs_suspect(session);
    }
    return session.ledger().empty() &&
           (is_reserved_for(reserved_, task.run.task) || may_isolate_another());
}

void endpoint_holder::note_suspect_started(const endpoint_session& session,
                                           const queued_task& task) {
    const auto& endpoint = session.endpoint().id;
    const bool was_reserved = reserved_.contains(endpoint);
    std::erase_if(reserved_, [&task](const auto& item) {
        return item.second == task.run.task;
    });
    suspect_endpoints_.insert(endpoint);
    observer_.log(
        log_level::info, "suspect_started",
        {{"job", task.run.task.job},
         {"task", task_name(task.run.task)},
         {"run", std::to_string(task.run.run)},
         {"crashes", std::to_string(task.crashes)},
         {"endpoint", endpoint},
         {"reserved", was_reserved ? "yes" : "no"},
         {"isolated",
          std::to_string(suspect_endpoints_.size() + reserved_.size())},
         {"held", std::to_string(sessions_.size())},
         {"queued_ms", std::to_string(to_ms(now_ - task.queued_at))}});
}

void endpoint_holder::reserve_for_suspects() {
    for (const auto* waiting : queue_.suspects()) {
        const auto& task = *waiting;
        if (!may_isolate_another()) {
            return;
        }
        if (is_reserved_for(reserved_, task.run.task) ||
            has_run_of(task.run.task)) {
            continue;
        }
        if (const auto* session = choose_to_reserve(task)) {
            reserved_.emplace(session->endpoint().id, task.run.task);
            observer_.log(
                log_level::info, "endpoint_reserved",
                {{"endpoint", session->endpoint().id},
                 {"job", task.run.task.job},
                 {"task", task_name(task.run.task)},
                 {"runs", std::to_string(session->ledger().size())},
                 {"idle_in_ms",
                  std::to_string(to_ms(idle_at(now_, *session) - now_))}});
        }
    }
}

endpoint_session* endpoint_holder::choose_to_reserve(const queued_task& task) {
    endpoint_session* best = nullptr;
    const auto zone = zone_of(task);
    const auto estimate = std::chrono::milliseconds(task.need.estimate_ms);
    auto best_idle_at = task.caller_deadline - estimate;
    for (auto& [id, session] : sessions_) {
        const bool usable = is_admitted(*session) && session->accepts_tasks() &&
                            !session->awaits_revocation() &&
                            session->health().accepts_tasks(now_) &&
                            !is_slow_outlier(now_, *session) &&
                            !is_isolated(*session) &&
                            is_in(zone, session->endpoint()) &&
                            could_run(session->endpoint(), task);
        if (!usable) {
            continue;
        }
        if (const auto idle = idle_at(now_, *session); idle <= best_idle_at) {
            best = session.get();
            best_idle_at = idle;
        }
    }
    return best;
}

// --- compartment ------------------------------------------------------------

void endpoint_holder::record_crash(timestamp now, const crash_report& report) {
    compartment_.record_crash(now, report, holds(report.endpoint));
}

void endpoint_holder::update_compartment(timestamp now) {
    if (now - load_recorded_at_ >= load_interval) {
        load_recorded_at_ = now;
        std::vector<endpoint_load> held;
        for (const auto& [id, session] : sessions_) {
            const auto& endpoint = session->endpoint();
            if (endpoint.state == endpoint_state::draining) {
                continue;
            }
            auto& load = held.emplace_back();
            load.endpoint = id;
            load.pool = endpoint.pool;
            load.is_lost = session->is_gone() || session->is_unresponsive();
            for (const auto& [run, entry] : session->ledger().entries()) {
                if (!entry.queue.empty()) {
                    load.cpu_millis[entry.queue] += entry.need.room.cpu_millis;
                }
            }
        }
        compartment_.record_load(now, held);
    }
    const auto change = compartment_.tick(now);
    if (!change) {
        return;
    }
    const bool confined = change->event == confinement_event::confined;
    observer_.count("queue_confinements", to_string(change->event));
    observer_.log(log_level::warning,
                  confined ? "queue_confined" : "queue_released",
                  {{"queue", change->queue},
                   {"crashes", std::to_string(change->crashes)},
                   {"with_queue", std::to_string(change->with_queue)},
                   {"log_likelihood", absl::StrCat(change->likelihood)},
                   {"presence", absl::StrCat(change->presence)},
                   {"load_share", absl::StrCat(change->load_share)},
                   {"endpoints", std::to_string(change->endpoints)},
                   {"held", std::to_string(sessions_.size())},
                   {"after_ms", std::to_string(to_ms(change->confined_for))}});
}

endpoint_holder::placement_zone
endpoint_holder::zone_of(const queued_task& task) const {
    const auto& confined = compartment_.queue();
    if (confined.empty() || task.pool != compartment_.pool()) {
        return placement_zone::any;
    }
    const auto wanted = is_suspect(task) || task.queue == confined
                            ? placement_zone::inside_compartment
                            : placement_zone::outside_compartment;
    return could_run_in(wanted, task) ? wanted : placement_zone::any;
}

bool endpoint_holder::is_in(placement_zone zone,
                            const endpoint_record& endpoint) const {
    return zone == placement_zone::any ||
           compartment_.contains(endpoint.id) ==
               (zone == placement_zone::inside_compartment);
}

bool endpoint_holder::could_run_in(placement_zone zone,
                                   const queued_task& task) const {
    return std::any_of(
        sessions_.begin(), sessions_.end(), [&](const auto& item) {
            const auto& endpoint = item.second->endpoint();
            return is_admitted(*item.second) && is_in(zone, endpoint) &&
                   could_run(endpoint, task);
        });
}

bool endpoint_holder::is_held_back(const queued_task& task) const {
    return is_suspect(task) ||
           zone_of(task) == placement_zone::inside_compartment;
}

} // namespace figridge::dispatch
