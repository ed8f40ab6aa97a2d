#include "core/dispatch/start_planner.hpp"

#include <algorithm>
#include <bit>

#include "core/name_table.hpp"

namespace figridge::dispatch {
namespace {

// Cost in milliseconds of run time for each thousandth of a core left unused;
// the same as without look-ahead.
constexpr double leftover_weight_ms = 0.002;
// Processor shares within one class count as the same kind of need.
constexpr std::uint32_t cpu_class_millis = 1000;

// Room as signed numbers: a reservation may exceed what is free when runs
// outlast their estimates.
struct room_sum {
    std::int64_t cpu_millis = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    void add(const resources& room, int sign) {
        cpu_millis += sign * std::int64_t{room.cpu_millis};
        memory_mb += sign * std::int64_t{room.memory_mb};
        accelerators += sign * std::int64_t{room.accelerators};
    }
    // What is left beside the need. Precondition: `holds(need)`.
    [[nodiscard]] resources beside(const resources& need) const {
        return {static_cast<std::uint32_t>(cpu_millis - need.cpu_millis),
                static_cast<std::uint32_t>(memory_mb - need.memory_mb),
                static_cast<std::uint32_t>(accelerators - need.accelerators)};
    }
    [[nodiscard]] bool holds(const resources& need) const {
        return need.cpu_millis <= cpu_millis && need.memory_mb <= memory_mb &&
               need.accelerators <= accelerators;
    }
};

std::uint32_t magnitude(std::uint32_t value) {
    return static_cast<std::uint32_t>(std::bit_width(value));
}

void take_room(resources& room, const resources& need) {
    room.cpu_millis -= std::min(room.cpu_millis, need.cpu_millis);
    room.memory_mb -= std::min(room.memory_mb, need.memory_mb);
    room.accelerators -= std::min(room.accelerators, need.accelerators);
}

// What is free once the runs that are expected to end by then have ended.
room_sum free_at(timestamp time, const planned_endpoint& endpoint) {
    room_sum room;
    room.add(endpoint.free, 1);
    for (const auto& run : endpoint.runs) {
        if (run.ends_at <= time) {
            room.add(run.room, 1);
        }
    }
    return room;
}

// When the need is expected to fit beside the runs.
std::optional<timestamp> earliest_start(timestamp now,
                                        const planned_endpoint& endpoint,
                                        const resources& need) {
    if (!fits(need, endpoint.capacity)) {
        return std::nullopt;
    }
    room_sum room;
    room.add(endpoint.free, 1);
    if (room.holds(need)) {
        return now;
    }
    auto runs = endpoint.runs;
    std::sort(runs.begin(), runs.end(),
              [](const planned_run& a, const planned_run& b) {
                  return a.ends_at < b.ends_at;
              });
    for (const auto& run : runs) {
        room.add(run.room, 1);
        if (room.holds(need)) {
            return run.ends_at;
        }
    }
    return std::nullopt;
}

constexpr name_table<plan_action, 3> plan_action_names{{
    {plan_action::start, "start"},
    {plan_action::wait, "wait"},
    {plan_action::reserve, "reserve"},
}};

constexpr name_table<reservation_event, 4> reservation_event_names{{
    {reservation_event::made, "made"},
    {reservation_event::used, "used"},
    {reservation_event::given_up, "given_up"},
    {reservation_event::started_ahead, "started_ahead"},
}};

constexpr name_table<pass_over_reason, 6> pass_over_reason_names{{
    {pass_over_reason::chosen, "chosen"},
    {pass_over_reason::not_admitted, "not_admitted"},
    {pass_over_reason::too_small, "too_small"},
    {pass_over_reason::no_room, "no_room"},
    {pass_over_reason::reserved, "reserved"},
    {pass_over_reason::costlier, "costlier"},
}};

} // namespace

void start_planner::begin(timestamp now, double far_factor,
                          std::vector<planned_endpoint> endpoints) {
    now_ = now;
    far_factor_ = far_factor;
    endpoints_ = std::move(endpoints);
    ++pass_;
    refused_by_kind_.clear();
    refused_ = 0;
    oldest_of_last_pass_ = std::exchange(oldest_, std::nullopt);
    auto kept = std::exchange(reservations_, {});
    for (auto& entry : kept) {
        const auto* endpoint = find_endpoint(entry.endpoint);
        const bool is_waiting = entry.asked_in_pass + 2 >= pass_;
        const auto start = endpoint != nullptr && is_waiting
                               ? earliest_start(now, *endpoint, entry.need.room)
                               : std::nullopt;
        if (!start) {
            note_change(reservation_event::given_up, entry);
            continue;
        }
        entry.at = *start;
        reservations_.push_back(std::move(entry));
    }
}

plan_decision start_planner::choose(const planned_task& task,
                                    const admission& admits) {
    auto* own = find_reservation(task.key);
    if (own != nullptr) {
        own->asked_in_pass = pass_;
    }
    const bool is_oldest =
        oldest_of_last_pass_ && oldest_of_last_pass_->key == task.key;
    const bool may_look = own != nullptr || is_oldest;
    if (!may_look && refused_ >= limits_.tasks_per_pass) {
        note_waiting(task);
        return {};
    }
    auto& refused = refused_by_kind_[kind_of(task)];
    if (!may_look && refused >= limits_.tasks_per_kind) {
        note_waiting(task);
        return {};
    }
    if (const auto found = cheapest_start(task, admits)) {
        plan_decision decision;
        decision.action = plan_action::start;
        decision.endpoint = found->endpoint->id;
        decision.at = now_;
        return decision;
    }
    ++refused;
    ++refused_;
    return reserve(task, admits);
}

plan_decision start_planner::reserve(const planned_task& task,
                                     const admission& admits) {
    auto* own = find_reservation(task.key);
    if (own == nullptr && !may_reserve(task)) {
        note_waiting(task);
        return {};
    }
    if (own != nullptr) {
        // It does not move to an endpoint where the task could start sooner by
        // now, as that one has been filled in the meantime without regard to
        // the task.
        if (admits(own->endpoint)) {
            return {plan_action::reserve, own->endpoint, own->at};
        }
        give_up(task.key);
    }
    const bool is_oldest =
        oldest_of_last_pass_ && oldest_of_last_pass_->key == task.key;
    auto found = soonest_start(task, admits);
    if (!found && is_oldest && give_up_latest(task, admits)) {
        found = soonest_start(task, admits);
    }
    if (!found) {
        note_waiting(task);
        return {};
    }
    reservation entry;
    entry.task = task.key;
    entry.need = task.need;
    entry.priority = task.priority;
    entry.endpoint = found->endpoint->id;
    entry.made_at = now_;
    entry.at = found->at;
    entry.promised = found->at;
    entry.spare = free_at(found->at, *found->endpoint).beside(task.need.room);
    entry.asked_in_pass = pass_;
    entry.for_oldest = is_oldest;
    note_change(reservation_event::made, entry);
    plan_decision decision{plan_action::reserve, entry.endpoint, entry.at};
    reservations_.push_back(std::move(entry));
    return decision;
}

void start_planner::take(const planned_task& task,
                         const std::string& endpoint) {
    if (auto* found = find_endpoint(endpoint)) {
        take_room(found->free, task.need.room);
        if (found->one_task) {
            found->free = {};
        }
        found->runs.push_back(
            {task.need.room, now_ + run_time(*found, task.need), now_});
    }
}

void start_planner::note_started(const task_key& task,
                                 const std::string& endpoint) {
    std::erase_if(reservations_, [&](const reservation& entry) {
        if (entry.task != task) {
            return false;
        }
        note_change(entry.endpoint == endpoint ? reservation_event::used
                                               : reservation_event::given_up,
                    entry);
        return true;
    });
    if (std::any_of(
            reservations_.begin(), reservations_.end(),
            [&](const auto& entry) { return entry.endpoint == endpoint; })) {
        changes_.push_back(
            {reservation_event::started_ahead, task, endpoint, now_});
    }
}

void start_planner::give_up(const task_key& task) {
    std::erase_if(reservations_, [&](const reservation& entry) {
        if (entry.task != task) {
            return false;
        }
        note_change(reservation_event::given_up, entry);
        return true;
    });
}

void start_planner::clear() {
    for (const auto& entry : reservations_) {
        note_change(reservation_event::given_up, entry);
    }
    reservations_.clear();
    endpoints_.clear();
    oldest_.reset();
    oldest_of_last_pass_.reset();
}

std::vector<std::pair<std::string, pass_over_reason>>
start_planner::explain(const planned_task& task,
                       const admission& admits) const {
    std::vector<std::pair<std::string, pass_over_reason>> reasons;
    std::optional<std::size_t> best;
    double best_cost = 0.0;
    for (const auto& endpoint : endpoints_) {
        auto reason = pass_over_reason::costlier;
        if (!admits(endpoint.id)) {
            reason = pass_over_reason::not_admitted;
        } else if (!fits(task.need.room, endpoint.capacity)) {
            reason = pass_over_reason::too_small;
        } else if (!fits(task.need.room, endpoint.free)) {
            reason = pass_over_reason::no_room;
        } else if (is_blocked(endpoint, task)) {
            reason = pass_over_reason::reserved;
        } else if (const double cost = start_cost(endpoint, task.need);
                   !best || cost < best_cost) {
            best = reasons.size();
            best_cost = cost;
        }
        reasons.emplace_back(endpoint.id, reason);
    }
    if (best) {
        reasons[*best].second = pass_over_reason::chosen;
    }
    return reasons;
}

std::vector<reservation_change> start_planner::take_changes() {
    return std::exchange(changes_, {});
}

start_planner::task_kind start_planner::kind_of(const planned_task& task) {
    const auto& need = task.need;
    return {task.group,
            need.required_label,
            need.preferred_rack,
            need.room.cpu_millis / cpu_class_millis,
            magnitude(need.room.memory_mb),
            need.room.accelerators,
            magnitude(need.estimate_ms)};
}

duration start_planner::run_time(const planned_endpoint& endpoint,
                                 const task_need& need) const {
    const bool far =
        !need.preferred_rack.empty() && need.preferred_rack != endpoint.rack;
    return scale_wait(std::chrono::milliseconds(need.estimate_ms),
                      endpoint.slowness * (far ? far_factor_ : 1.0));
}

double start_planner::start_cost(const planned_endpoint& endpoint,
                                 const task_need& need) const {
    const double leftover = static_cast<double>(endpoint.free.cpu_millis) -
                            static_cast<double>(need.room.cpu_millis);
    return to_seconds(run_time(endpoint, need)) * 1000.0 +
           leftover * leftover_weight_ms;
}

bool start_planner::is_reserved(const planned_endpoint& endpoint,
                                const task_key& task,
                                std::uint32_t priority) const {
    return std::any_of(reservations_.begin(), reservations_.end(),
                       [&](const reservation& entry) {
                           return entry.endpoint == endpoint.id &&
                                  entry.task != task &&
                                  entry.priority <= priority;
                       });
}

bool start_planner::is_blocked(const planned_endpoint& endpoint,
                               const planned_task& task) const {
    const auto& need = task.need.room;
    const auto end = now_ + run_time(endpoint, task.need);
    return std::any_of(
        reservations_.begin(), reservations_.end(),
        [&](const reservation& entry) {
            if (entry.endpoint != endpoint.id || entry.task == task.key ||
                entry.priority > task.priority ||
                (now_ < entry.promised && end <= entry.promised)) {
                return false;
            }
            auto room = free_at(entry.promised, endpoint);
            room.add(entry.need.room, -1);
            if (room.holds(need)) {
                return false;
            }
            // The reserved task fits beside the runs that have used no more
            // than the spare room since, as soon as the others have ended.
            room_sum spare;
            spare.add(entry.spare, 1);
            for (const auto& run : endpoint.runs) {
                if (run.began >= entry.made_at &&
                    run.ends_at > entry.promised) {
                    spare.add(run.room, -1);
                }
            }
            return !spare.holds(need);
        });
}

std::optional<start_planner::option>
start_planner::cheapest_start(const planned_task& task,
                              const admission& admits) {
    std::optional<option> best;
    for (const auto& endpoint : endpoints_) {
        ++steps_;
        if (!fits(task.need.room, endpoint.free) || !admits(endpoint.id) ||
            is_blocked(endpoint, task)) {
            continue;
        }
        const double cost = start_cost(endpoint, task.need);
        if (!best || cost < best->cost) {
            best = option{&endpoint, now_, cost};
        }
    }
    return best;
}

std::optional<start_planner::option>
start_planner::soonest_start(const planned_task& task,
                             const admission& admits) {
    std::optional<option> best;
    for (const auto& endpoint : endpoints_) {
        ++steps_;
        if (!admits(endpoint.id) ||
            is_reserved(endpoint, task.key, task.priority)) {
            continue;
        }
        const auto at = earliest_start(now_, endpoint, task.need.room);
        // Of those that start at the same time, the faster one.
        const double cost = start_cost(endpoint, task.need);
        const bool in_time = at && (task.caller_deadline == timestamp{0} ||
                                    *at <= task.caller_deadline);
        if (in_time &&
            (!best || std::pair(*at, cost) < std::pair(best->at, best->cost))) {
            best = option{&endpoint, *at, cost};
        }
    }
    return best;
}

// One reservation is for the task that has waited longest: the first in queue
// order may be others in each pass, such as those still in time.
bool start_planner::may_reserve(const planned_task& task) const {
    if (limits_.reservations == 0) {
        return false;
    }
    const auto for_oldest = static_cast<std::size_t>(
        std::count_if(reservations_.begin(), reservations_.end(),
                      [](const auto& entry) { return entry.for_oldest; }));
    if (oldest_of_last_pass_ && oldest_of_last_pass_->key == task.key) {
        return for_oldest == 0;
    }
    return reservations_.size() - for_oldest < limits_.reservations;
}

bool start_planner::give_up_latest(const planned_task& task,
                                   const admission& admits) {
    const auto latest =
        std::find_if(reservations_.rbegin(), reservations_.rend(),
                     [&](const reservation& entry) {
                         const auto* endpoint = find_endpoint(entry.endpoint);
                         return entry.priority >= task.priority &&
                                endpoint != nullptr &&
                                fits(task.need.room, endpoint->capacity) &&
                                admits(entry.endpoint);
                     });
    if (latest == reservations_.rend()) {
        return false;
    }
    note_change(reservation_event::given_up, *latest);
    reservations_.erase(std::next(latest).base());
    return true;
}

start_planner::reservation*
start_planner::find_reservation(const task_key& task) {
    const auto found =
        std::find_if(reservations_.begin(), reservations_.end(),
                     [&](const auto& entry) { return entry.task == task; });
    return found == reservations_.end() ? nullptr : &*found;
}

planned_endpoint* start_planner::find_endpoint(const std::string& id) {
    const auto found =
        std::find_if(endpoints_.begin(), endpoints_.end(),
                     [&](const auto& endpoint) { return endpoint.id == id; });
    return found == endpoints_.end() ? nullptr : &*found;
}

void start_planner::note_change(reservation_event event,
                                const reservation& about) {
    changes_.push_back({event, about.task, about.endpoint, about.at});
}

void start_planner::note_waiting(const planned_task& task) {
    if (!oldest_ || task.queued_at < oldest_->queued_at) {
        oldest_ = waiting_task{task.key, task.queued_at};
    }
}

std::string_view to_string(plan_action action) {
    return find_name(plan_action_names, action);
}

std::string_view to_string(reservation_event event) {
    return find_name(reservation_event_names, event);
}

std::string_view to_string(pass_over_reason reason) {
    return find_name(pass_over_reason_names, reason);
}

} // namespace figridge::dispatch
