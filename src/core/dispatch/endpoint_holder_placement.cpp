// Placement of queued tasks on a holder's endpoints, and the advert of its
// free resources.
#include <algorithm>
#include <limits>
#include <numeric>

#include "core/dispatch/endpoint_holder.hpp"

namespace figridge::dispatch {
namespace {

// Cost in milliseconds of run time for each thousandth of a core left unused:
// prefers tight fits, but not on a slow endpoint.
constexpr double leftover_weight_ms = 0.002;
// A run is moved if its remaining time exceeds this many times a whole run
// elsewhere, plus the time for the stop and the second start.
constexpr int min_move_gain = 2;
constexpr duration move_cost = 80ms;

// Precondition: the need fits.
void take_room(resources& room, const resources& need) {
    room.cpu_millis -= need.cpu_millis;
    room.memory_mb -= need.memory_mb;
    room.accelerators -= need.accelerators;
}

} // namespace

bool endpoint_holder::is_open(timestamp now,
                              const endpoint_session& session) const {
    const auto& health = session.health();
    return is_admitted(session) && session.accepts_tasks() &&
           !session.awaits_revocation() && health.accepts_tasks(now) &&
           !(health.is_on_probation() && !session.ledger().empty());
}

std::vector<endpoint_holder::available_endpoint>
endpoint_holder::list_available(timestamp now) {
    std::vector<available_endpoint> available;
    for (auto& [id, session] : sessions_) {
        if (!is_open(now, *session)) {
            continue;
        }
        if (const auto room = usable_room(*session); room.cpu_millis > 0) {
            available.push_back({session.get(), room});
        }
    }
    return available;
}

std::vector<endpoint_holder::available_endpoint>&
endpoint_holder::available_endpoints(timestamp now) {
    if (!available_ || now >= available_until_) {
        available_ = list_available(now);
        open_starts_ = open_starts();
        available_until_ = timestamp::max();
        for (const auto& [id, session] : sessions_) {
            // An ejection ends without an input.
            if (!session->health().accepts_tasks(now)) {
                available_until_ = now;
            }
        }
    }
    return *available_;
}

std::size_t endpoint_holder::open_starts() const {
    return std::accumulate(sessions_.begin(), sessions_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& item) {
                               return sum + item.second->ledger().starting();
                           });
}

resources endpoint_holder::usable_room(const endpoint_session& session) const {
    auto room = session.free_resources();
    const auto share = evacuation_.usable_share(session.endpoint().id);
    if (share < 1.0 && !session.ledger().empty()) {
        const auto withheld = static_cast<std::uint32_t>(
            session.ledger().capacity().cpu_millis * (1.0 - share));
        room.cpu_millis -= std::min(room.cpu_millis, withheld);
    }
    return room;
}

void endpoint_holder::return_evacuated() {
    if (evacuation_.admits_all() || queue_.empty()) {
        return;
    }
    std::vector<const endpoint_record*> usable;
    std::vector<const endpoint_record*> evacuated;
    for (const auto& [id, session] : sessions_) {
        if (!session->is_gone() && session->phase() != session_phase::fenced) {
            (is_admitted(*session) ? usable : evacuated)
                .push_back(&session->endpoint());
        }
    }
    if (evacuated.empty() && !usable.empty()) {
        return;
    }
    const auto any_runs = [](const std::vector<const endpoint_record*>& among,
                             const queued_task& task) {
        return std::any_of(among.begin(), among.end(),
                           [&task](const auto* endpoint) {
                               return could_run(*endpoint, task);
                           });
    };
    const auto any_room = [] {
        return std::numeric_limits<std::uint32_t>::max();
    };
    queue_.visit_tasks(now_, any_room, [&](const queued_task& task) {
        if (any_runs(usable, task) ||
            (!usable.empty() && !any_runs(evacuated, task))) {
            return queue_verdict::no_room;
        }
        if (has_run_of(task.run.task)) {
            return queue_verdict::kept;
        }
        return_task(task);
        return queue_verdict::taken;
    });
}

void endpoint_holder::dispatch(timestamp now) {
    now_ = now;
    update_isolation();
    return_evacuated();
    if (queue_.empty()) {
        return;
    }
    place_queued(now);
    reserve_for_suspects();
}

void endpoint_holder::place_queued(timestamp now) {
    auto& available = available_endpoints(now);
    bool is_reusable = true;
    const auto largest_free_cpu = [this, &available] {
        // Tasks that fit nowhere yet may get a reservation.
        if (settings_.look_ahead && planner_.looks_further()) {
            return std::numeric_limits<std::uint32_t>::max();
        }
        std::uint32_t largest = 0;
        for (const auto& option : available) {
            if (may_send_start(*option.session)) {
                largest = std::max(largest, option.room.cpu_millis);
            }
        }
        return largest;
    };
    const bool confined_waits = queue_.has_tasks_of(compartment_.queue());
    begin_look_ahead(now);
    queue_.visit_tasks(now, largest_free_cpu, [&](const queued_task& task) {
        auto* chosen = choose_ahead(available, task, confined_waits);
        if (chosen == nullptr) {
            // A shorter task of the same need may end before a reservation.
            return settings_.look_ahead
                       ? queue_verdict::unsuited
                       : refusal_of(available, task, confined_waits);
        }
        // The task may have come from another coordinator, or again after the
        // bound for the end of its last run.
        if (has_run_of(task.run.task)) {
            return queue_verdict::kept;
        }
        if (!chosen->session->confirm_instance(now)) {
            // The answer is an input, after which it is placed again. The room
            // is kept, so that other endpoints are asked for other tasks.
            take_room(chosen->room, task.need.room);
            is_reusable = false;
            return queue_verdict::kept;
        }
        observer_.record(latency_metric::queue_time, now - task.queued_at);
        if (task.run.run > 1) {
            log_repeated_run(*chosen->session, task);
        }
        run_entry entry;
        entry.run = task.run;
        entry.need = task.need;
        entry.queue = task.queue;
        entry.crashes = task.crashes;
        entry.coordinator = task.coordinator;
        entry.answer_by = task.answer_by;
        entry.caller_deadline = task.caller_deadline;
        chosen->session->start(now, std::move(entry), *task.payload);
        ++open_starts_;
        planner_.note_started(task.run.task, chosen->session->endpoint().id);
        events_.note_start(task.coordinator, task.run,
                           chosen->session->endpoint().id,
                           chosen->session->token());
        chosen->room = chosen->session->health().is_on_probation()
                           ? resources{}
                           : usable_room(*chosen->session);
        if (is_suspect(task)) {
            note_suspect_started(*chosen->session, task);
        }
        return queue_verdict::taken;
    });
    if (!is_reusable) {
        available_.reset();
    }
    report_reservations();
}

void endpoint_holder::log_repeated_run(const endpoint_session& session,
                                       const queued_task& task) {
    observer_.log(
        log_level::info, "repeated_run_started",
        {{"job", task.run.task.job},
         {"task", std::to_string(task.run.task.step) + "." +
                      std::to_string(task.run.task.index)},
         {"run", std::to_string(task.run.run)},
         {"endpoint", session.endpoint().id},
         {"token", std::to_string(session.token())},
         {"coordinator", task.coordinator.address},
         {"queued_ms", std::to_string(to_ms(now_ - task.queued_at))}});
}

bool endpoint_holder::has_run_of(const task_key& task) const {
    return runs_.contains(task);
}

bool endpoint_holder::is_slow_outlier(timestamp now,
                                      const endpoint_session& session) const {
    return !most_are_slow_ && session.health().is_slow(now);
}

// A task starts on a slow endpoint if it ends in time there, or if it would be
// late on any endpoint but still ends before its caller gives up.
bool endpoint_holder::may_start_on_slow_endpoint(const queued_task& task,
                                                 double run_ms) const {
    const auto ends =
        now_ + duration(static_cast<std::int64_t>(run_ms * 1000.0));
    const bool late_anywhere =
        now_ + std::chrono::milliseconds(task.need.estimate_ms) >
        task.answer_by;
    return ends <= (late_anywhere ? task.caller_deadline : task.answer_by);
}

// Stops runs on slow endpoints that would finish sooner if restarted on a free
// endpoint; their coordinators place them again.
void endpoint_holder::move_from_slow_endpoints(timestamp now) {
    std::vector<available_endpoint> available;
    bool listed = false;
    for (auto& [id, session] : sessions_) {
        if (!is_slow_outlier(now, *session)) {
            continue;
        }
        if (!std::exchange(listed, true)) {
            available = list_available(now);
            std::erase_if(available, [&](const available_endpoint& option) {
                const auto& endpoint = option.session->endpoint();
                return option.session->health().is_slow(now) ||
                       is_isolated(*option.session) ||
                       compartment_.contains(endpoint.id);
            });
        }
        std::vector<task_run> moved;
        for (const auto& [run, entry] : session->ledger().entries()) {
            // A suspect would wait for another idle endpoint, a task of the
            // confined queue for one of the few in its compartment.
            const bool may_start_elsewhere =
                entry.crashes == 0 && (compartment_.queue().empty() ||
                                       entry.queue != compartment_.queue());
            if (may_start_elsewhere && finishes_sooner_elsewhere(now, entry) &&
                reserve(available, session->endpoint().pool, entry.need.room)) {
                moved.push_back(run);
            }
        }
        for (const auto& run : moved) {
            session->stop(now, run);
        }
    }
}

bool endpoint_holder::finishes_sooner_elsewhere(timestamp now,
                                                const run_entry& entry) {
    const auto multiple = projected_multiple(now, entry);
    const duration run_time_elsewhere =
        std::chrono::milliseconds(entry.need.estimate_ms);
    if (!multiple || now + run_time_elsewhere > entry.caller_deadline) {
        return false;
    }
    const auto projected_run_time = duration(static_cast<std::int64_t>(
        static_cast<double>(run_time_elsewhere.count()) * *multiple));
    const auto remaining = projected_run_time - (now - entry.confirmed_at);
    return remaining > min_move_gain * run_time_elsewhere + move_cost;
}

bool endpoint_holder::reserve(std::vector<available_endpoint>& available,
                              const std::string& pool, const resources& need) {
    for (auto& option : available) {
        if (option.session->endpoint().pool == pool &&
            fits(need, option.room)) {
            take_room(option.room, need);
            return true;
        }
    }
    return false;
}

bool endpoint_holder::could_run(const endpoint_record& endpoint,
                                const queued_task& task) {
    const auto& label = task.need.required_label;
    const auto& labels = endpoint.labels;
    return endpoint.pool == task.pool &&
           fits(task.need.room, endpoint.capacity) &&
           (label.empty() ||
            std::find(labels.begin(), labels.end(), label) != labels.end()) &&
           std::find(task.avoid.begin(), task.avoid.end(), endpoint.id) ==
               task.avoid.end();
}

endpoint_holder::available_endpoint*
endpoint_holder::choose(std::vector<available_endpoint>& available,
                        const queued_task& task, bool confined_waits) const {
    const auto zone = zone_of(task);
    auto* chosen = choose_in(zone, available, task);
    const bool may_enter =
        zone == placement_zone::outside_compartment && !confined_waits &&
        compartment_.tolerates(
            std::chrono::milliseconds(task.need.estimate_ms));
    return chosen == nullptr && may_enter
               ? choose_in(placement_zone::inside_compartment, available, task)
               : chosen;
}

queue_verdict
endpoint_holder::refusal_of(const std::vector<available_endpoint>& available,
                            const queued_task& task,
                            bool confined_waits) const {
    // An endpoint may be reserved for this very task.
    if (is_suspect(task)) {
        return queue_verdict::kept;
    }
    const auto zone = zone_of(task);
    const bool may_enter =
        zone == placement_zone::outside_compartment && !confined_waits;
    const bool has_room = std::any_of(
        available.begin(), available.end(), [&](const auto& option) {
            const auto& endpoint = option.session->endpoint();
            return (may_enter || is_in(zone, endpoint)) &&
                   may_send_start(*option.session) &&
                   could_run(endpoint, task) &&
                   fits(task.need.room, option.room) &&
                   isolation_admits(*option.session, task);
        });
    // It was refused for its run time: by a slow endpoint, or the compartment.
    return has_room ? queue_verdict::unsuited : queue_verdict::no_room;
}

endpoint_holder::available_endpoint*
endpoint_holder::choose_in(placement_zone zone,
                           std::vector<available_endpoint>& available,
                           const queued_task& task) const {
    available_endpoint* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (auto& option : available) {
        const auto& endpoint = option.session->endpoint();
        if (!may_send_start(*option.session) || !is_in(zone, endpoint) ||
            !could_run(endpoint, task) || !fits(task.need.room, option.room) ||
            !isolation_admits(*option.session, task)) {
            continue;
        }
        const bool far = !task.need.preferred_rack.empty() &&
                         task.need.preferred_rack != endpoint.rack;
        const auto& health = option.session->health();
        const double run_ms = task.need.estimate_ms * health.slowness(now_) *
                              (far ? settings_.far_factor : 1.0);
        if (is_slow_outlier(now_, *option.session) &&
            !may_start_on_slow_endpoint(task, run_ms)) {
            continue;
        }
        const double leftover =
            option.room.cpu_millis - task.need.room.cpu_millis;
        const double cost = run_ms + leftover * leftover_weight_ms;
        if (cost < best_cost) {
            best = &option;
            best_cost = cost;
        }
    }
    return best;
}

void endpoint_holder::fill(advert& about) const {
    // Only suspects are held back unless a queue is confined.
    const auto next = compartment_.queue().empty()
                          ? queue_.unsuspected_demand()
                          : queue_.demand_of([this](const queued_task& task) {
                                return !is_held_back(task);
                            });
    about.queued_cpu_ms_by_priority.assign(next.cpu_ms_by_priority.begin(),
                                           next.cpu_ms_by_priority.end());
    about.queued_cpu_ms = std::accumulate(
        about.queued_cpu_ms_by_priority.begin(),
        about.queued_cpu_ms_by_priority.end(), std::uint64_t{0});
    about.queued_tasks = static_cast<std::uint32_t>(next.tasks);
    about.task_room = settings_.max_held_tasks -
                      static_cast<std::uint32_t>(std::min<std::size_t>(
                          held_tasks(), settings_.max_held_tasks));
    about.endpoints_held = static_cast<std::uint32_t>(sessions_.size());
    for (const auto& [id, session] : sessions_) {
        if (!is_admitted(*session) || !session->accepts_tasks()) {
            continue;
        }
        const auto& capacity = session->ledger().capacity();
        const auto slowness = std::max(1.0, session->health().slowness(now_));
        const auto usable_cpu = static_cast<std::uint32_t>(
            capacity.cpu_millis * evacuation_.usable_share(id));
        about.capacity_cpu += static_cast<std::uint32_t>(
            session->health().is_slow(now_) ? usable_cpu / slowness
                                            : usable_cpu);
        about.largest_cpu = std::max(about.largest_cpu, capacity.cpu_millis);
        about.largest_memory_mb =
            std::max(about.largest_memory_mb, capacity.memory_mb);
        if (!session->health().is_on_probation() &&
            !is_slow_outlier(now_, *session) && !is_isolated(*session) &&
            !compartment_.contains(id)) {
            about.free_cpu.push_back(
                std::min(usable_room(*session).cpu_millis, usable_cpu));
        }
    }
}

} // namespace figridge::dispatch
