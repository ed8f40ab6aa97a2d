#include "core/dispatch/messages.hpp"
#include "core/dispatch/ports.hpp"
#include "core/name_table.hpp"

namespace figridge::dispatch {
namespace {

constexpr name_table<update_kind, 9> update_kind_names{{
    {update_kind::started, "started"},
    {update_kind::done, "done"},
    {update_kind::failed, "failed"},
    {update_kind::stopped, "stopped"},
    {update_kind::lost, "lost"},
    {update_kind::refused, "refused"},
    {update_kind::outdated, "outdated"},
    {update_kind::returned, "returned"},
    {update_kind::disowned, "disowned"},
}};

constexpr name_table<crash_evidence, 3> crash_evidence_names{{
    {crash_evidence::none, "none"},
    {crash_evidence::refusing, "refusing"},
    {crash_evidence::ended, "ended"},
}};

constexpr name_table<call_status, 11> call_status_names{{
    {call_status::ok, "ok"},
    {call_status::stale_token, "stale_token"},
    {call_status::outdated_run, "outdated_run"},
    {call_status::too_late, "too_late"},
    {call_status::no_room, "no_room"},
    {call_status::other_instance, "other_instance"},
    {call_status::unavailable, "unavailable"},
    {call_status::rejected, "rejected"},
    {call_status::not_sent, "not_sent"},
    {call_status::not_connected, "not_connected"},
    {call_status::unanswered, "unanswered"},
}};

constexpr name_table<job_outcome, 6> job_outcome_names{{
    {job_outcome::completed, "completed"},
    {job_outcome::failed, "failed"},
    {job_outcome::refused, "refused"},
    {job_outcome::unknown_queue, "unknown_queue"},
    {job_outcome::not_ready, "not_ready"},
    {job_outcome::gave_up, "gave_up"},
}};

constexpr name_table<store_status, 4> store_status_names{{
    {store_status::ok, "ok"},
    {store_status::conflict, "conflict"},
    {store_status::unavailable, "unavailable"},
    {store_status::unknown, "unknown"},
}};

constexpr name_table<end_kind, 4> end_kind_names{{
    {end_kind::done, "done"},
    {end_kind::failed, "failed"},
    {end_kind::stopped, "stopped"},
    {end_kind::lapsed, "lapsed"},
}};

} // namespace

std::string_view to_string(update_kind kind) {
    return find_name(update_kind_names, kind);
}

std::string_view to_string(crash_evidence evidence) {
    return find_name(crash_evidence_names, evidence);
}

std::string_view to_string(call_status status) {
    return find_name(call_status_names, status);
}

std::string_view to_string(job_outcome outcome) {
    return find_name(job_outcome_names, outcome);
}

std::string_view to_string(store_status status) {
    return find_name(store_status_names, status);
}

std::string_view to_string(end_kind kind) {
    return find_name(end_kind_names, kind);
}

} // namespace figridge::dispatch
