#include "endpoint_http.hpp"

#include <absl/strings/str_cat.h>

#include "codec/json_codec.hpp"

namespace figridge {
namespace {

constexpr duration start_grace = 5s;
constexpr duration probe_timeout = 1s;
constexpr duration stop_timeout = 2s;
constexpr int http_ok = 200;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;

std::string string_field(const json& body, const char* field) {
    const auto found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string{};
}

std::uint32_t number_field(const json& body, const char* field) {
    const auto found = body.find(field);
    return found != body.end() && found->is_number_unsigned()
               ? found->get<std::uint32_t>()
               : 0;
}

std::string task_url(const std::string& endpoint, const task_ref& ref) {
    return absl::StrCat("http://", endpoint, "/tasks/", to_string(ref.id), "/",
                        ref.task, "/", ref.attempt);
}

} // namespace

start_reply read_start_reply(const std::string& endpoint, const task_ref& order,
                             const http_result& result) {
    start_reply reply;
    reply.endpoint = endpoint;
    reply.order = order;
    reply.answered = order;
    if (result.outcome == http_outcome::not_sent) {
        reply.status = start_status::not_sent;
        return reply;
    }
    if (result.outcome == http_outcome::lost) {
        return reply;
    }
    const auto body = parse_json(result.body);
    if (!body.ok() || !body->is_object()) {
        return reply;
    }
    if (result.status == http_unavailable) {
        reply.status = string_field(*body, "reason") == "leaving"
                           ? start_status::leaving
                           : start_status::refused;
        return reply;
    }
    if (result.status == http_gateway_timeout) {
        reply.status = start_status::deadline;
        return reply;
    }
    const auto id = parse_submission_id(string_field(*body, "id"));
    if (result.status != http_ok || !id.ok()) {
        return reply;
    }
    reply.status = start_status::finished;
    reply.answered = {*id, number_field(*body, "task"),
                      number_field(*body, "attempt")};
    reply.failed = string_field(*body, "status") != "ok";
    reply.output = string_field(*body, "output");
    return reply;
}

void endpoint_http::start(const std::string& endpoint,
                          const start_order& order) {
    const json body{
        {"id", to_string(order.ref.id)}, {"task", order.ref.task},
        {"attempt", order.ref.attempt},  {"entry", order.entry},
        {"payload", order.spec.payload}, {"deadline_ms", order.deadline_ms}};
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://", endpoint, "/tasks");
    call.body = dump_json(body);
    call.timeout = std::chrono::milliseconds(order.deadline_ms) + start_grace;
    client_.send(std::move(call), [this, endpoint,
                                   ref = order.ref](const http_result& result) {
        events_.on_start_reply(read_start_reply(endpoint, ref, result));
    });
}

void endpoint_http::stop(const std::string& endpoint, const task_ref& ref) {
    http_call call;
    call.method = "DELETE";
    call.url = task_url(endpoint, ref);
    call.timeout = stop_timeout;
    client_.send(std::move(call), [](const http_result&) {});
}

void endpoint_http::probe(const std::string& endpoint) {
    http_call call;
    call.url = absl::StrCat("http://", endpoint, "/status");
    call.timeout = probe_timeout;
    client_.send(std::move(call), [this, endpoint](const http_result& result) {
        probe_reply reply;
        reply.endpoint = endpoint;
        const auto body = parse_json(result.body);
        reply.reachable = result.outcome == http_outcome::answered &&
                          result.status == http_ok && body.ok() &&
                          body->is_object();
        if (reply.reachable) {
            reply.leaving = body->value("leaving", json(false)) == json(true);
            reply.running = number_field(*body, "running");
        }
        events_.on_probe_reply(reply);
    });
}

} // namespace figridge
