#include "message_counters.hpp"

#include "name_table.hpp"

namespace figridge {
namespace {

constexpr name_table<message_kind, message_kind_count> message_kind_names{{
    {message_kind::heartbeat, "heartbeat"},
    {message_kind::task_batch, "task_batch"},
    {message_kind::task_return, "task_return"},
    {message_kind::task_result, "task_result"},
    {message_kind::job_cancel, "job_cancel"},
    {message_kind::pull, "pull"},
    {message_kind::forward, "forward"},
    {message_kind::loan, "loan"},
    {message_kind::catalogue, "catalogue"},
    {message_kind::mark, "mark"},
    {message_kind::handover, "handover"},
    {message_kind::start, "start"},
    {message_kind::stop, "stop"},
    {message_kind::probe, "probe"},
    {message_kind::platform, "platform"},
    {message_kind::resend, "resend"},
}};

} // namespace

std::string_view to_string(message_kind kind) {
    return find_name(message_kind_names, kind);
}

} // namespace figridge
