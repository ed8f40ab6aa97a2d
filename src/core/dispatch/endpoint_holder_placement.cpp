// Where a holder starts the queued tasks, and what it offers to others.
#include <algorithm>
#include <limits>

#include "core/dispatch/endpoint_holder.hpp"

namespace figridge::dispatch {
namespace {

// A thousandth of a core left over on an endpoint weighs as much as this many
// milliseconds of run time: tight fits first, but not on a slow endpoint.
constexpr double leftover_weight_ms = 0.002;
// A run is moved if what is left of it is this many times a whole run
// elsewhere, and the stop and the second start besides.
constexpr int moving_gain = 2;
constexpr duration moving_cost = 80ms;

} // namespace

std::vector<endpoint_holder::available_endpoint>
endpoint_holder::available_endpoints(timestamp now) {
    std::vector<available_endpoint> available;
    for (auto& [id, session] : sessions_) {
        const auto& health = session->health();
        const bool open =
            session->accepts_tasks() && health.accepts_tasks(now) &&
            !(health.is_on_probation() && !session->ledger().empty());
        if (open && session->room().cpu_millis > 0) {
            available.push_back({session.get(), session->room()});
        }
    }
    return available;
}

void endpoint_holder::dispatch(timestamp now) {
    now_ = now;
    if (queue_.empty()) {
        return;
    }
    auto available = available_endpoints(now);
    std::uint32_t most = 0;
    for (const auto& open : available) {
        most = std::max(most, open.room.cpu_millis);
    }
    if (most < queue_.smallest_cpu_request()) {
        return;
    }
    queue_.place_tasks(now, [&](const queued_task& task) {
        auto* chosen = choose(available, task);
        if (chosen == nullptr) {
            return false;
        }
        observer_.record(measure::queue_time, now - task.queued_at);
        run_entry entry;
        entry.run = task.run;
        entry.need = task.need;
        entry.coordinator = task.coordinator;
        entry.answer_by = task.answer_by;
        entry.caller_gives_up_at = task.caller_gives_up_at;
        chosen->session->start(now, std::move(entry), *task.payload);
        chosen->room = chosen->session->health().is_on_probation()
                           ? resources{}
                           : chosen->session->room();
        return true;
    });
}

bool endpoint_holder::is_slow_outlier(timestamp now,
                                      const endpoint_session& session) const {
    return !most_are_slow_ && session.health().is_slow(now);
}

// On a slow endpoint a task starts if that is in time, or if it is late
// anywhere and its caller still gets the answer.
bool endpoint_holder::may_start_on_slow_endpoint(const queued_task& task,
                                                 double run_ms) const {
    const auto ends =
        now_ + duration(static_cast<std::int64_t>(run_ms * 1000.0));
    const bool late_anywhere =
        now_ + std::chrono::milliseconds(task.need.estimate_ms) >
        task.answer_by;
    return ends <= (late_anywhere ? task.caller_gives_up_at : task.answer_by);
}

// Stops runs on slow endpoints that would end sooner if they began anew on a
// free place; their coordinators place them again.
void endpoint_holder::move_from_slow_endpoints(timestamp now) {
    std::vector<available_endpoint> available;
    bool listed = false;
    for (auto& [id, session] : sessions_) {
        if (!is_slow_outlier(now, *session)) {
            continue;
        }
        if (!std::exchange(listed, true)) {
            available = available_endpoints(now);
            std::erase_if(available, [now](const available_endpoint& open) {
                return open.session->health().is_slow(now);
            });
        }
        std::vector<task_run> moved;
        for (const auto& [run, entry] : session->ledger().entries()) {
            if (finishes_sooner_elsewhere(now, entry) &&
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
    const duration anew = std::chrono::milliseconds(entry.need.estimate_ms);
    if (!multiple || now + anew > entry.caller_gives_up_at) {
        return false;
    }
    const auto whole = duration(static_cast<std::int64_t>(
        static_cast<double>(anew.count()) * *multiple));
    const auto left = whole - (now - entry.confirmed_at);
    return left > moving_gain * anew + moving_cost;
}

bool endpoint_holder::reserve(std::vector<available_endpoint>& available,
                              const std::string& pool, const resources& need) {
    for (auto& open : available) {
        if (open.session->endpoint().pool == pool && fits(need, open.room)) {
            open.room.cpu_millis -= need.cpu_millis;
            open.room.memory_mb -= need.memory_mb;
            open.room.accelerators -= need.accelerators;
            return true;
        }
    }
    return false;
}

endpoint_holder::available_endpoint*
endpoint_holder::choose(std::vector<available_endpoint>& available,
                        const queued_task& task) const {
    available_endpoint* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (auto& open : available) {
        const auto& endpoint = open.session->endpoint();
        if (endpoint.pool != task.pool || !fits(task.need.room, open.room) ||
            open.session->ledger().find(task.run) != nullptr) {
            continue;
        }
        const auto& label = task.need.required_label;
        if (!label.empty() &&
            std::find(endpoint.labels.begin(), endpoint.labels.end(), label) ==
                endpoint.labels.end()) {
            continue;
        }
        if (std::find(task.avoid.begin(), task.avoid.end(), endpoint.id) !=
            task.avoid.end()) {
            continue;
        }
        const bool far = !task.need.preferred_rack.empty() &&
                         task.need.preferred_rack != endpoint.rack;
        const auto& health = open.session->health();
        const double run_ms = task.need.estimate_ms * health.slowness(now_) *
                              (far ? settings_.far_factor : 1.0);
        if (is_slow_outlier(now_, *open.session) &&
            !may_start_on_slow_endpoint(task, run_ms)) {
            continue;
        }
        const double leftover =
            open.room.cpu_millis - task.need.room.cpu_millis;
        const double cost = run_ms + leftover * leftover_weight_ms;
        if (cost < best_cost) {
            best = &open;
            best_cost = cost;
        }
    }
    return best;
}

void endpoint_holder::fill(advert& about) const {
    about.queued_cpu_ms = queue_.queued_cpu_ms();
    about.queued_tasks = static_cast<std::uint32_t>(queue_.size());
    about.endpoints_held = static_cast<std::uint32_t>(sessions_.size());
    for (const auto& [id, session] : sessions_) {
        if (!session->accepts_tasks()) {
            continue;
        }
        const auto& capacity = session->ledger().capacity();
        const auto slowness = std::max(1.0, session->health().slowness(now_));
        about.capacity_cpu += static_cast<std::uint32_t>(
            session->health().is_slow(now_) ? capacity.cpu_millis / slowness
                                            : capacity.cpu_millis);
        about.largest_cpu = std::max(about.largest_cpu, capacity.cpu_millis);
        about.largest_memory_mb =
            std::max(about.largest_memory_mb, capacity.memory_mb);
        if (!session->health().is_on_probation() &&
            !is_slow_outlier(now_, *session)) {
            about.free_cpu.push_back(session->room().cpu_millis);
        }
    }
}

} // namespace figridge::dispatch
