// Jobs as callers submit them.
//
// A job consists of up to `max_tasks_per_job` tasks under one catalogue entry.
// Adapters parse requests into `job_request`; `check_job` validates it.
#ifndef FIGRIDGE_JOB_HPP
#define FIGRIDGE_JOB_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <msgpack.hpp>

namespace figridge {

inline constexpr std::size_t max_tasks_per_job = 250;
inline constexpr std::size_t max_task_payload_bytes = 16 * 1024;
inline constexpr std::uint32_t max_deadline_ms = 600'000;

enum class priority_class { normal, urgent };

// One task. Sizes and run time are hints of the caller: they guide placement,
// but correctness never depends on them.
struct task_spec {
    std::string payload;
    std::uint32_t cpu_millis = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    std::uint32_t run_ms_hint = 0;

    MSGPACK_DEFINE(payload, cpu_millis, memory_mb, accelerators, run_ms_hint);
};

struct job_request {
    std::string entry;
    priority_class priority = priority_class::normal;
    std::uint32_t deadline_ms = 0; // 0: the maximum that the entry allows
    bool idempotent = false;
    std::string idempotency_key;
    std::vector<task_spec> tasks;

    MSGPACK_DEFINE(entry, priority, deadline_ms, idempotent, idempotency_key,
                   tasks);
};

// Returns an error that names the first invalid field. Thread-safe.
absl::Status check_job(const job_request& job);

std::string_view to_string(priority_class priority);
std::optional<priority_class> parse_priority(std::string_view name);

} // namespace figridge

MSGPACK_ADD_ENUM(figridge::priority_class);

#endif
