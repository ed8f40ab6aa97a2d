#include "virtual_endpoint.hpp"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace figridge::dispatch::fleet {
namespace {

constexpr std::int64_t lease_limit_ms = 1000;
// A connected host must start nothing this long after the endpoint begins to
// drain.
constexpr duration drain_limit = 2s;
// A stop takes less than this.
constexpr std::uint32_t stop_limit_ms = 50;
// The rules allow a host three more calls with a token that was refused,
// counted from lease-ms after the first refusal.
constexpr duration refusal_known_after = 3s;
constexpr int later_refusals_allowed = 3;
// By the rules, connected hosts start a task at most twice after this many
// endpoints have crashed under it.
constexpr int crashes_before_limit = 3;
constexpr int starts_allowed_after_limit = 2;
// By the rules, a start is judged by the former capacity for contact-ms and one
// heartbeat after it has shrunk.
constexpr duration former_capacity_counts = 4500ms;
// The design's own limit (docs/design/crashes.md).
constexpr int crashes_allowed = 3;
// The platform's bound, from the store's acknowledgement of the operator's row.
constexpr duration evacuation_limit = 5s;

std::uint32_t payload_value(const std::string& payload, const char* name) {
    const auto at = payload.find(name);
    unsigned value = 0;
    if (at != std::string::npos) {
        std::sscanf(payload.c_str() + at + std::strlen(name), "%u", &value);
    }
    return value;
}

std::string task_name(const task_key& task) {
    return task.job + "." + std::to_string(task.step) + "." +
           std::to_string(task.index);
}

} // namespace

void virtual_endpoint::crash(timestamp now) {
    while (!runs_.empty()) {
        const auto task = runs_.begin()->first;
        end_run(task, end_kind::lapsed);
        auto& seen = observed_.crashed[task];
        if (++seen.crashes == crashes_allowed + 1 && seen.in_touch) {
            observed_.add_violation(
                now, "CRASHES of " + std::to_string(seen.crashes) +
                         " endpoints under " + task_name(task));
        }
    }
    ends_.clear();
}

void virtual_endpoint::set_capacity(timestamp now, double share) {
    const auto cpu_millis =
        static_cast<std::uint32_t>(share * full_cpu_millis_);
    if (cpu_millis < cpu_millis_) {
        former_capacities_.push_back(
            {cpu_millis_, now + former_capacity_counts});
    }
    cpu_millis_ = cpu_millis;
}

std::uint32_t virtual_endpoint::capacity_limit(timestamp now) const {
    if (!observed_.in_touch(calling_host)) {
        return full_cpu_millis_;
    }
    auto limit = cpu_millis_;
    for (const auto& former : former_capacities_) {
        if (now <= former.counts_until) {
            limit = std::max(limit, former.cpu_millis);
        }
    }
    return limit;
}

void virtual_endpoint::check_crash_limit(timestamp now, const task_key& task) {
    const bool in_touch = !is_late_call && observed_.in_touch(calling_host);
    auto& seen = observed_.crashed[task];
    seen.in_touch &= in_touch;
    if (in_touch && seen.crashes >= crashes_before_limit &&
        ++seen.starts_after_third == starts_allowed_after_limit + 1) {
        observed_.add_violation(
            now, "BUDGET " + task_name(task) + " is started again after " +
                     std::to_string(seen.crashes) + " crashes");
    }
}

void virtual_endpoint::start_instance(timestamp now) {
    crash(now);
    highest_.clear();
    refusals_.clear();
    ends_.clear();
    token_ = 0;
    token_users_.clear();
    lease_ms_ = 0;
    next_end_number_ = 1;
    instance_started_at_ = now;
    record_.instance_started_ms = to_ms(now) + 1;
}

std::int64_t virtual_endpoint::clock_ms(timestamp now) const {
    return static_cast<std::int64_t>(
               clock_rate_ *
               static_cast<double>(to_ms(now - instance_started_at_))) +
           1;
}

timestamp virtual_endpoint::lease_end() const {
    return instance_started_at_ +
           duration(static_cast<std::int64_t>(
               1000.0 * static_cast<double>(lease_ms_) / clock_rate_));
}

void virtual_endpoint::set_draining(timestamp now, bool draining) {
    record_.state = draining ? endpoint_state::draining : endpoint_state::ready;
    draining_since_.reset();
    if (draining) {
        draining_since_ = now;
    }
}

void virtual_endpoint::set_evacuated(timestamp now, bool evacuated) {
    if (!evacuated) {
        evacuated_since_.reset();
    } else if (!evacuated_since_) {
        evacuated_since_ = now;
    }
}

bool virtual_endpoint::refuse_stale_token(timestamp now, std::uint64_t token,
                                          call_reply& reply) {
    advance(now);
    reply.clock_ms = clock_ms(now);
    if (token < token_) {
        auto& refused =
            refusals_
                .try_emplace(std::pair(calling_host, token), refusals{now, 0})
                .first->second;
        const bool later = now - refused.first > refusal_known_after;
        refused.later += later && !is_late_call ? 1 : 0;
        if (refused.later == later_refusals_allowed + 1) {
            observed_.add_violation(now,
                                    "FENCE " + record_.id + " refused token " +
                                        std::to_string(token) + " repeatedly");
        }
        reply.status = call_status::stale_token;
        return true;
    }
    token_ = token;
    reply.status = call_status::ok;
    return false;
}

void virtual_endpoint::renew(timestamp now, std::int64_t deadline_ms) {
    lease_ms_ = std::max(lease_ms_,
                         std::min(deadline_ms, clock_ms(now) + lease_limit_ms));
}

call_reply virtual_endpoint::start(timestamp now, const start_call& call) {
    call_reply reply;
    if (refuse_stale_token(now, call.target.token, reply)) {
        return reply;
    }
    const auto user = token_users_.try_emplace(call.target.token, calling_host);
    if (user.first->second != calling_host) {
        observed_.add_violation(now, "ONE token " +
                                         std::to_string(call.target.token) +
                                         " used by two hosts on " + record_.id);
    }
    if (mode == endpoint_mode::shed) {
        reply.status = call_status::unavailable;
        return reply;
    }
    if (call.lease_deadline_ms <= clock_ms(now)) {
        reply.status = call_status::too_late;
        return reply;
    }
    std::uint32_t used = payload_value(call.payload, "cpu=");
    for (const auto& [other, entry] : runs_) {
        used += entry.cpu_millis;
    }
    const auto& task = call.run.task;
    const auto same = runs_.find(task);
    if (same != runs_.end() && same->second.number == call.run.run) {
        return reply;
    }
    renew(now, call.lease_deadline_ms);
    if (call.run.run <= highest_[task]) {
        reply.status = call_status::outdated_run;
        return reply;
    }
    if (enforces_capacity && used > cpu_millis_) {
        reply.status = call_status::no_room;
        return reply;
    }
    highest_[task] = call.run.run;
    run fresh;
    fresh.number = call.run.run;
    fresh.cpu_millis = payload_value(call.payload, "cpu=");
    fresh.started = now;
    fresh.ends =
        now + duration(static_cast<std::int64_t>(
                  1000.0 * slowness * payload_value(call.payload, "ms=")));
    fresh.fails = mode == endpoint_mode::fail_all ||
                  call.payload.find(" fail") != std::string::npos;
    if (used > capacity_limit(now)) {
        observed_.add_violation(now, "LIMIT " + record_.id + " has " +
                                         std::to_string(used) + " with " +
                                         task_name(task));
    }
    if (draining_since_ && now - *draining_since_ > drain_limit &&
        !is_late_call && observed_.all_connected()) {
        observed_.add_violation(now, "DRAIN " + record_.id + " starts " +
                                         task_name(task));
    }
    if (evacuated_since_ && now - *evacuated_since_ > evacuation_limit &&
        !is_late_call && observed_.reads_store(calling_host)) {
        observed_.add_violation(now, "EVACUATED " + record_.id + " starts " +
                                         task_name(task));
    }
    if (++observed_.running[task] > 1) {
        observed_.add_violation(now, "TWICE " + task_name(task) + " on " +
                                         record_.id);
    }
    if (observed_.trace) {
        observed_.trace(record_.id + " starts " + task_name(task) + " run " +
                        std::to_string(call.run.run) + " token " +
                        std::to_string(call.target.token));
    }
    check_crash_limit(now, task);
    ++observed_.starts;
    observed_.started.insert(task.job);
    runs_[task] = fresh;
    const bool deadly = call.payload.find(" deadly=") != std::string::npos &&
                        payload_value(call.payload, " deadly=") == task.index;
    if (deadly) {
        observed_.deadly_started(record_.id, call.run);
    }
    return reply;
}

call_reply virtual_endpoint::stop(timestamp now, const stop_call& call) {
    call_reply reply;
    if (refuse_stale_token(now, call.target.token, reply)) {
        return reply;
    }
    const auto& task = call.run.task;
    highest_[task] = std::max(highest_[task], call.run.run);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.number == call.run.run) {
        ++observed_.stopped;
        const duration takes = stop_takes.value_or(
            std::chrono::milliseconds(task.index * 17 % stop_limit_ms));
        if (!found->second.stops_at) {
            found->second.stops_at = now + takes;
        }
        advance(now);
    }
    return reply;
}

call_reply virtual_endpoint::hold(timestamp now, const hold_call& call) {
    call_reply reply;
    if (refuse_stale_token(now, call.target.token, reply)) {
        return reply;
    }
    if (call.lease_deadline_ms) {
        renew(now, *call.lease_deadline_ms);
    }
    std::erase_if(ends_, [&call](const ended_entry& end) {
        return end.number <= call.acknowledged;
    });
    return reply;
}

hold_reply virtual_endpoint::list_runs(timestamp now, call_reply call) const {
    hold_reply reply;
    call.clock_ms = clock_ms(now);
    reply.call = call;
    reply.instance_started_ms = record_.instance_started_ms;
    for (const auto& [task, run] : runs_) {
        const auto length = std::max(run.ends - run.started, duration{1});
        const auto percent = 100 * (now - run.started).count() / length.count();
        reply.running.push_back(
            {{task, run.number}, static_cast<std::uint32_t>(percent)});
    }
    reply.ended = ends_;
    return reply;
}

void virtual_endpoint::end_run(const task_key& task, end_kind kind) {
    const auto found = runs_.find(task);
    if (observed_.trace) {
        observed_.trace(record_.id + " ends " + task_name(task) + " run " +
                        std::to_string(found->second.number) + " " +
                        std::string(to_string(kind)));
    }
    ends_.push_back({next_end_number_++, {task, found->second.number}, kind});
    runs_.erase(found);
    if (--observed_.running[task] <= 0) {
        observed_.running.erase(task);
    }
    if (kind == end_kind::done) {
        observed_.done[task.job].insert(task);
    } else if (kind == end_kind::failed) {
        ++observed_.failed_ends[task];
    } else if (kind == end_kind::lapsed) {
        ++observed_.lapsed;
    }
}

void virtual_endpoint::advance(timestamp now) {
    std::vector<std::pair<task_key, end_kind>> over;
    for (const auto& [task, run] : runs_) {
        if (run.stops_at && *run.stops_at <= now) {
            over.emplace_back(task, end_kind::stopped);
        } else if (run.ends <= now && run.ends <= lease_end()) {
            over.emplace_back(task,
                              run.fails ? end_kind::failed : end_kind::done);
        } else if (lease_end() <= now) {
            over.emplace_back(task, end_kind::lapsed);
        }
    }
    for (const auto& [task, kind] : over) {
        end_run(task, kind);
    }
}

std::optional<timestamp> virtual_endpoint::next_run_end() const {
    std::optional<timestamp> next;
    for (const auto& [task, run] : runs_) {
        const auto at =
            std::min({run.ends, lease_end(), run.stops_at.value_or(run.ends)});
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

} // namespace figridge::dispatch::fleet
