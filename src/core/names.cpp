#include "name_table.hpp"

#include "figridge/job.hpp"
#include "figridge/messages.hpp"
#include "figridge/outcome.hpp"
#include "figridge/settings.hpp"

namespace figridge {
namespace {

constexpr name_table<job_state, 5> job_state_names{{
    {job_state::unknown, "unknown"},
    {job_state::running, "running"},
    {job_state::complete, "complete"},
    {job_state::failed, "failed"},
    {job_state::unreachable, "unreachable"},
}};

constexpr name_table<failure_cause, 18> failure_cause_names{{
    {failure_cause::none, "none"},
    {failure_cause::not_run_refused, "not_run_refused"},
    {failure_cause::not_run_overloaded, "not_run_overloaded"},
    {failure_cause::not_run_cannot_fit, "not_run_cannot_fit"},
    {failure_cause::not_run_limit, "not_run_limit"},
    {failure_cause::not_run_deadline, "not_run_deadline"},
    {failure_cause::not_run_store_down, "not_run_store_down"},
    {failure_cause::not_run_cancelled, "not_run_cancelled"},
    {failure_cause::not_run_draining, "not_run_draining"},
    {failure_cause::not_run_unknown_entry, "not_run_unknown_entry"},
    {failure_cause::not_run_key_in_use, "not_run_key_in_use"},
    {failure_cause::task_failed, "task_failed"},
    {failure_cause::endpoint_lost, "endpoint_lost"},
    {failure_cause::holder_lost, "holder_lost"},
    {failure_cause::deadline, "deadline"},
    {failure_cause::cancelled, "cancelled"},
    {failure_cause::stopped, "stopped"},
    {failure_cause::outcome_unknown, "outcome_unknown"},
}};

constexpr name_table<priority_class, 2> priority_names{{
    {priority_class::normal, "normal"},
    {priority_class::urgent, "urgent"},
}};

constexpr name_table<placement_policy_kind, 3> placement_names{{
    {placement_policy_kind::random_holder, "random_holder"},
    {placement_policy_kind::free_slots, "free_slots"},
    {placement_policy_kind::rebalance, "rebalance"},
}};

constexpr name_table<return_reason, 5> return_reason_names{{
    {return_reason::queue_full, "queue_full"},
    {return_reason::start_window_passed, "start_window_passed"},
    {return_reason::rebalanced, "rebalanced"},
    {return_reason::no_endpoint, "no_endpoint"},
    {return_reason::refused, "refused"},
}};

constexpr name_table<task_result_kind, 5> task_result_names{{
    {task_result_kind::ok, "ok"},
    {task_result_kind::failed, "failed"},
    {task_result_kind::deadline, "deadline"},
    {task_result_kind::lost, "lost"},
    {task_result_kind::stopped, "stopped"},
}};

constexpr name_table<leaving_source, 4> leaving_source_names{{
    {leaving_source::none, "none"},
    {leaving_source::platform_list, "platform_list"},
    {leaving_source::operator_request, "operator_request"},
    {leaving_source::endpoint_answer, "endpoint_answer"},
}};

} // namespace

std::string_view to_string(job_state state) {
    return find_name(job_state_names, state);
}

std::string_view to_string(failure_cause cause) {
    return find_name(failure_cause_names, cause);
}

std::optional<failure_cause> parse_failure_cause(std::string_view name) {
    return find_value(failure_cause_names, name);
}

bool is_not_run(failure_cause cause) {
    return to_string(cause).starts_with("not_run_");
}

std::string_view to_string(priority_class priority) {
    return find_name(priority_names, priority);
}

std::optional<priority_class> parse_priority(std::string_view name) {
    return find_value(priority_names, name);
}

std::string_view to_string(placement_policy_kind kind) {
    return find_name(placement_names, kind);
}

std::optional<placement_policy_kind> parse_placement(std::string_view name) {
    return find_value(placement_names, name);
}

std::string_view to_string(return_reason reason) {
    return find_name(return_reason_names, reason);
}

std::string_view to_string(task_result_kind kind) {
    return find_name(task_result_names, kind);
}

std::string_view to_string(leaving_source source) {
    return find_name(leaving_source_names, source);
}

bool peer_payload::empty() const {
    return marks.empty() && catalogue_requests.empty() && catalogues.empty() &&
           batches.empty() && cancels.empty() && pulls.empty() &&
           returns.empty() && results.empty() && forwards.empty() &&
           replies.empty() && loan_requests.empty() && loan_grants.empty() &&
           loan_returns.empty() && handovers.empty();
}

} // namespace figridge
