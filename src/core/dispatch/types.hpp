// Values shared by the parts of the dispatcher.
//
// A job consists of steps; a step consists of identical tasks. A `task_key`
// identifies a task until its job has ended, a `task_run` one run of it. All
// types are plain values without synchronization.
#ifndef FIGRIDGE_CORE_DISPATCH_TYPES_HPP
#define FIGRIDGE_CORE_DISPATCH_TYPES_HPP

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <msgpack.hpp>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// The longest time to wait. Longer times of callers, catalogues and peers mean
// "as long as it takes" and are limited to it where they enter, so that sums of
// times do not overflow.
constexpr duration max_wait = 24h;

// `time`, limited to -`max_wait` and `max_wait`. Thread-safe.
constexpr duration limit_wait(duration time) {
    return std::clamp(time, -max_wait, max_wait);
}

// A time in milliseconds of any length, limited to `max_wait`. Thread-safe.
constexpr duration wait_from_ms(std::uint64_t time_ms) {
    constexpr auto max_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(max_wait)
            .count());
    return std::chrono::milliseconds(std::min(time_ms, max_ms));
}

// `time` times `factor`, limited to `max_wait`. Preconditions: both are at
// least 0, and `factor` is a number. Thread-safe.
constexpr duration scale_wait(duration time, double factor) {
    const auto scaled = static_cast<double>(time.count()) * factor;
    return scaled < static_cast<double>(max_wait.count())
               ? duration(static_cast<std::int64_t>(scaled))
               : max_wait;
}

// What a task occupies while it runs, and what an endpoint offers.
struct resources {
    std::uint32_t cpu_millis = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const resources&) const = default;
    MSGPACK_DEFINE(cpu_millis, memory_mb, accelerators);
};

inline bool fits(const resources& need, const resources& available) {
    return need.cpu_millis <= available.cpu_millis &&
           need.memory_mb <= available.memory_mb &&
           need.accelerators <= available.accelerators;
}

struct task_key {
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_key&) const = default;
    MSGPACK_DEFINE(job, step, index);
};

struct task_run {
    task_key task;
    std::uint32_t run = 0;

    auto operator<=>(const task_run&) const = default;
    MSGPACK_DEFINE(task, run);
};

// What a task needs of an endpoint: `room` while it runs, and a label if
// `required_label` is not empty. An endpoint in `preferred_rack` is preferred,
// not required. `estimate_ms` is the caller's estimate of the run time, off by
// about 40% either way.
struct task_need {
    resources room;
    std::uint32_t estimate_ms = 0;
    std::string required_label;
    std::string preferred_rack;

    MSGPACK_DEFINE(room, estimate_ms, required_label, preferred_rack);
};

struct job_step {
    std::uint32_t count = 0;
    task_need need;
    std::vector<std::uint32_t> after; // earlier steps that must be done first
};

// A job. Its caller is answered when the job has ended.
struct job {
    std::string id;
    std::string payload; // passed to every task unchanged
    std::vector<job_step> steps;
};

// Catalogue settings of the queue that a job was submitted to.
struct queue_policy {
    std::string name;
    std::string pool;           // the endpoints that run the queue's tasks
    std::uint32_t priority = 0; // 0 is the highest
    std::uint32_t attempts = 1;
    // A job is in time if it is answered within `latency_target` plus `stretch`
    // times the sum of its steps' estimates.
    double stretch = 1.0;
    duration latency_target{0};
    duration timeout{0};
};

// Identifies a figridge process. Each start draws a new incarnation.
struct process_id {
    std::string address;
    std::uint64_t incarnation = 0;

    auto operator<=>(const process_id&) const = default;
    MSGPACK_DEFINE(address, incarnation);
};

enum class endpoint_state { ready, draining };

// An endpoint as the platform lists it.
struct endpoint_record {
    std::string id;
    std::string pool;
    std::string address;
    std::string failure_domain;
    std::string rack;
    std::vector<std::string> labels;
    endpoint_state state = endpoint_state::ready;
    resources capacity;
    std::int64_t instance_started_ms = 0; // Unix time
    // Tasks run slower there for this time after the row was read.
    duration cold_left{0};
};

// Takeovers through the store use multiples of this as tokens. The tokens in
// between are for grants from one holder to the next, which bypass the store.
constexpr std::uint64_t stored_token_stride = 1000;

// The process that may call an endpoint, and the token it does so with.
// `version` is that of the stored row.
struct holder_record {
    std::string endpoint;
    std::string failure_domain;
    process_id holder;
    std::uint64_t token = 0;
    std::uint64_t version = 0;
};

} // namespace figridge::dispatch

#endif
