// Outcomes of jobs and the causes of failures.
//
// A job ends `complete` or `failed`. The causes whose names start with
// `not_run_` are used only when no task of the job was started.
#ifndef FIGRIDGE_OUTCOME_HPP
#define FIGRIDGE_OUTCOME_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <msgpack.hpp>

#include "figridge/submission_id.hpp"

namespace figridge {

enum class job_state { unknown, running, complete, failed, unreachable };

enum class failure_cause {
    none,
    not_run_refused,
    not_run_overloaded,
    not_run_cannot_fit,
    not_run_limit,
    not_run_deadline,
    not_run_store_down,
    not_run_cancelled,
    not_run_draining,
    not_run_unknown_entry,
    not_run_key_in_use,
    task_failed,
    endpoint_lost,
    holder_lost,
    deadline,
    cancelled,
    stopped,
    outcome_unknown,
};

// Names as they appear in answers and logs. Thread-safe.
std::string_view to_string(job_state state);
std::string_view to_string(failure_cause cause);
std::optional<failure_cause> parse_failure_cause(std::string_view name);

// True if the cause guarantees that no task was started. Thread-safe.
bool is_not_run(failure_cause cause);

// The state of a job as reported to callers. `outputs` has one element per
// task if and only if `state` is `complete`.
struct job_answer {
    submission_id id;
    job_state state = job_state::unknown;
    failure_cause cause = failure_cause::none;
    bool may_have_run = false;
    std::string detail;
    std::uint32_t retry_after_ms = 0;
    std::vector<std::string> outputs;
    std::uint32_t tasks_done = 0;
    std::uint32_t tasks_total = 0;

    MSGPACK_DEFINE(id, state, cause, may_have_run, detail, retry_after_ms,
                   outputs, tasks_done, tasks_total);
};

} // namespace figridge

MSGPACK_ADD_ENUM(figridge::job_state);
MSGPACK_ADD_ENUM(figridge::failure_cause);

#endif
