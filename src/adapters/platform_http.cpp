#include "platform_http.hpp"

#include <absl/strings/str_cat.h>

#include "codec/json_codec.hpp"
#include "log_observer.hpp"
#include "socket_address.hpp"

namespace figridge {
namespace {

constexpr int http_ok = 200;
constexpr int http_conflict = 409;

table_reply read_table_reply(const http_result& result) {
    table_reply reply;
    const bool answered =
        result.outcome == http_outcome::answered &&
        (result.status == http_ok || result.status == http_conflict);
    const auto body = parse_json(result.body);
    if (!answered || !body.ok() || !body->is_object()) {
        return reply;
    }
    try {
        for (const auto& row : body->value("rows", json::array())) {
            reply.rows.push_back({row.at("key").get<std::string>(),
                                  row.at("version").get<std::uint64_t>(),
                                  row.at("value").get<std::string>()});
        }
    } catch (const json::exception&) {
        return {};
    }
    reply.status =
        result.status == http_ok ? table_status::ok : table_status::conflict;
    return reply;
}

} // namespace

platform_http::platform_http(http_client& client, const std::string& address,
                             duration timeout, platform_events& events)
    : client_(client), base_(absl::StrCat("http://", address)),
      timeout_(timeout), events_(events) {}

void platform_http::post(std::uint64_t request, const std::string& path,
                         std::string body) {
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat(base_, path);
    call.body = std::move(body);
    call.timeout = timeout_;
    client_.send(std::move(call), [this, request](const http_result& result) {
        events_.on_table_reply(request, read_table_reply(result));
    });
}

void platform_http::transact(std::uint64_t request,
                             const table_transaction& transaction) {
    json conditions = json::array();
    for (const auto& condition : transaction.conditions) {
        conditions.push_back(
            {{"key", condition.key}, {"version", condition.version}});
    }
    json writes = json::array();
    for (const auto& write : transaction.writes) {
        writes.push_back({{"key", write.key}, {"value", write.value}});
    }
    post(request, "/transact",
         dump_json({{"conditions", std::move(conditions)},
                    {"writes", std::move(writes)}}));
}

void platform_http::read_keys(std::uint64_t request,
                              const std::vector<std::string>& keys) {
    post(request, "/read", dump_json({{"keys", keys}}));
}

void platform_http::read_prefix(std::uint64_t request,
                                const std::string& prefix) {
    post(request, "/read", dump_json({{"prefix", prefix}}));
}

void platform_http::read_endpoints(std::uint64_t request) {
    http_call call;
    call.url = absl::StrCat(base_, "/endpoints");
    call.timeout = timeout_;
    client_.send(std::move(call), [this, request](const http_result& result) {
        const bool ok = result.outcome == http_outcome::answered &&
                        result.status == http_ok &&
                        update_endpoints(result.body);
        events_.on_endpoint_list(request, ok, endpoints_);
    });
}

absl::StatusOr<std::vector<endpoint_info>>
parse_endpoint_list(const std::string& text) {
    const auto body = parse_json(text);
    if (!body.ok()) {
        return body.status();
    }
    if (!body->is_array()) {
        return absl::InvalidArgumentError("body: expected an array");
    }
    std::vector<endpoint_info> endpoints;
    for (const auto& item : *body) {
        const auto endpoint = endpoint_from_json(item);
        const auto status =
            endpoint.ok() ? parse_socket_address(endpoint->address).status()
                          : endpoint.status();
        if (!status.ok()) {
            log_event(log_level::warning, "endpoint_row_unreadable",
                      {{"row", endpoint.ok() ? endpoint->address : ""},
                       {"error", std::string(status.message())}});
            continue;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

// A list that is identical to the last one is not parsed again.
bool platform_http::update_endpoints(const std::string& text) {
    if (!parsed_text_.empty() && text == parsed_text_) {
        return true;
    }
    auto endpoints = parse_endpoint_list(text);
    if (!endpoints.ok()) {
        return false;
    }
    endpoints_ = *std::move(endpoints);
    parsed_text_ = text;
    return true;
}

} // namespace figridge
