#include "figridge/job.hpp"

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr std::uint32_t max_size_hint = 1U << 30;
constexpr std::size_t max_name_bytes = 100;

absl::Status check_task(const task_spec& task, std::size_t index) {
    const auto field = absl::StrCat("tasks[", index, "]");
    if (task.payload.size() > max_task_payload_bytes) {
        return absl::InvalidArgumentError(absl::StrCat(
            field, ".payload: longer than ", max_task_payload_bytes, " bytes"));
    }
    if (task.cpu_millis > max_size_hint) {
        return absl::InvalidArgumentError(
            absl::StrCat(field, ".cpu_millis: out of range"));
    }
    if (task.memory_mb > max_size_hint) {
        return absl::InvalidArgumentError(
            absl::StrCat(field, ".memory_mb: out of range"));
    }
    return absl::OkStatus();
}

} // namespace

absl::Status check_job(const job_request& job) {
    if (job.entry.empty() || job.entry.size() > max_name_bytes) {
        return absl::InvalidArgumentError(
            absl::StrCat("entry: 1 to ", max_name_bytes, " characters"));
    }
    if (job.tasks.empty()) {
        return absl::InvalidArgumentError("tasks: at least one is needed");
    }
    if (job.tasks.size() > max_tasks_per_job) {
        return absl::InvalidArgumentError(
            absl::StrCat("tasks: ", job.tasks.size(), " given, at most ",
                         max_tasks_per_job));
    }
    if (job.deadline_ms > max_deadline_ms) {
        return absl::InvalidArgumentError(
            absl::StrCat("deadline_ms: at most ", max_deadline_ms));
    }
    if (job.idempotent && job.tasks.size() != 1) {
        return absl::InvalidArgumentError(
            "idempotent: only for a request of one task");
    }
    if (job.idempotency_key.size() > max_name_bytes) {
        return absl::InvalidArgumentError(absl::StrCat(
            "idempotency_key: at most ", max_name_bytes, " characters"));
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (auto status = check_task(job.tasks[index], index); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

} // namespace figridge
