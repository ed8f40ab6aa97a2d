// Placement with reservations: connects an endpoint holder to its planner.
#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "core/dispatch/endpoint_holder.hpp"

namespace figridge::dispatch {
namespace {

// The least remaining time of a run that has outlasted its estimate.
constexpr duration min_remaining_time = 10ms;

duration run_time_on(const endpoint_session& session, const task_need& need,
                     timestamp now, double far_factor) {
    const bool far = !need.preferred_rack.empty() &&
                     need.preferred_rack != session.endpoint().rack;
    return scale_wait(std::chrono::milliseconds(need.estimate_ms),
                      session.health().slowness(now) *
                          (far ? far_factor : 1.0));
}

// When the run is expected to end: by its progress if that is known, otherwise
// by its estimate and the endpoint's slowness.
timestamp expected_end(const endpoint_session& session, const run_entry& entry,
                       timestamp now, double far_factor) {
    const bool is_confirmed = entry.state == run_state::running;
    const auto began = is_confirmed ? entry.confirmed_at : entry.entered_at;
    const auto multiple = projected_multiple(now, entry);
    const auto time =
        multiple ? scale_wait(std::chrono::milliseconds(entry.need.estimate_ms),
                              *multiple)
                 : run_time_on(session, entry.need, now, far_factor);
    return std::max(began + time, now + min_remaining_time);
}

bool has_unclaimed_runs(const endpoint_session& session) {
    const auto& entries = session.ledger().entries();
    return std::any_of(entries.begin(), entries.end(), [](const auto& item) {
        return item.second.state == run_state::unclaimed;
    });
}

// The group has what isolation, compartments and the rule on slow endpoints
// tell tasks apart by.
planned_task plan_of(const queued_task& task, timestamp now) {
    const bool is_late =
        now + std::chrono::milliseconds(task.need.estimate_ms) > task.answer_by;
    return {task.run.task,
            absl::StrCat(task.pool, "/", task.queue, is_late ? "/late/" : "//",
                         absl::StrJoin(task.avoid, ",")),
            task.need,
            task.priority,
            task.queued_at,
            task.caller_deadline};
}

} // namespace

void endpoint_holder::begin_look_ahead(timestamp now) {
    if (!settings_.look_ahead) {
        if (planner_.reservations() > 0) {
            planner_.clear();
        }
        return;
    }
    std::vector<planned_endpoint> endpoints;
    for (const auto& [id, session] : sessions_) {
        // The needs of unclaimed runs are not known, so nothing can be planned.
        if (!is_open(now, *session) || has_unclaimed_runs(*session)) {
            continue;
        }
        auto& endpoint = endpoints.emplace_back();
        endpoint.id = id;
        endpoint.rack = session->endpoint().rack;
        endpoint.free = usable_room(*session);
        endpoint.capacity = session->ledger().capacity();
        endpoint.slowness = session->health().slowness(now);
        endpoint.one_task = session->health().is_on_probation();
        for (const auto& [run, entry] : session->ledger().entries()) {
            endpoint.runs.push_back(
                {entry.need.room,
                 expected_end(*session, entry, now, settings_.far_factor),
                 entry.entered_at});
        }
    }
    planner_.begin(now, settings_.far_factor, std::move(endpoints));
}

bool endpoint_holder::admits_in(placement_zone zone,
                                const endpoint_session& session,
                                const queued_task& task) const {
    const auto& endpoint = session.endpoint();
    if (!may_send_start(session) || !is_in(zone, endpoint) ||
        !could_run(endpoint, task) || !isolation_admits(session, task)) {
        return false;
    }
    const auto time =
        run_time_on(session, task.need, now_, settings_.far_factor);
    return !is_slow_outlier(now_, session) ||
           may_start_on_slow_endpoint(task, to_seconds(time) * 1000.0);
}

endpoint_holder::available_endpoint*
endpoint_holder::choose_ahead(std::vector<available_endpoint>& available,
                              const queued_task& task, bool confined_waits) {
    if (!settings_.look_ahead) {
        return choose(available, task, confined_waits);
    }
    const auto plan = plan_of(task, now_);
    available_endpoint* chosen = nullptr;
    if (is_suspect(task)) {
        // Suspects wait for idle endpoints, which are reserved for them apart
        // from the planner.
        chosen = choose(available, task, confined_waits);
    } else {
        const auto zone = zone_of(task);
        const auto admits = [&](const std::string& id) {
            const auto found = sessions_.find(id);
            return found != sessions_.end() &&
                   admits_in(zone, *found->second, task);
        };
        const auto decision = planner_.choose(plan, admits);
        if (decision.action != plan_action::wait && has_run_of(task.run.task)) {
            // It can't start before that run has ended.
            planner_.give_up(task.run.task);
            return nullptr;
        }
        if (decision.action == plan_action::start) {
            const auto found = std::find_if(
                available.begin(), available.end(), [&](const auto& option) {
                    return option.session->endpoint().id == decision.endpoint;
                });
            chosen = found == available.end() ? nullptr : &*found;
        } else if (zone == placement_zone::outside_compartment &&
                   !confined_waits &&
                   compartment_.tolerates(
                       std::chrono::milliseconds(task.need.estimate_ms))) {
            // No task waits for the endpoints of the compartment, so nothing
            // is reserved there.
            chosen =
                choose_in(placement_zone::inside_compartment, available, task);
        }
    }
    if (chosen != nullptr) {
        planner_.take(plan, chosen->session->endpoint().id);
    }
    return chosen;
}

void endpoint_holder::report_reservations() {
    for (const auto& change : planner_.take_changes()) {
        observer_.count("look_ahead", to_string(change.event));
        observer_.log(log_level::debug, "start_reserved",
                      {{"change", std::string(to_string(change.event))},
                       {"job", change.task.job},
                       {"task", std::to_string(change.task.step) + "." +
                                    std::to_string(change.task.index)},
                       {"endpoint", change.endpoint},
                       {"in_ms", std::to_string(to_ms(change.at - now_))}});
    }
}

} // namespace figridge::dispatch
