#include "operator_api.hpp"

#include "codec/json_codec.hpp"

namespace figridge {
namespace {

constexpr std::size_t max_body_bytes = 64 * 1024;
constexpr int http_ok = 200;
constexpr int http_not_found = 404;

} // namespace

operator_api::operator_api(event_loop& loop, sources from)
    : from_(std::move(from)),
      server_(loop, max_body_bytes,
              [this](const http_request& request) { handle(request); }, {}) {}

void operator_api::handle(const http_request& request) {
    if (request.method == "GET" && request.path == "/metrics") {
        return server_.respond(request.token,
                               {http_ok, metrics(), "text/plain"});
    }
    if (request.method == "POST" && request.path == "/v1/drain") {
        server_.respond(request.token, {http_ok, "{}"});
        from_.begin_drain();
        return;
    }
    if (request.method == "GET") {
        if (const auto found = read(request.path)) {
            return server_.respond(request.token,
                                   {http_ok, dump_json(*found, 1) + "\n"});
        }
    }
    server_.respond(
        request.token,
        {http_not_found,
         dump_json(
             {{"error", request.method + " " + request.path +
                            ": not served here; jobs are submitted "
                            "on the catalogue's routes, and only the "
                            "platform's operator changes the catalogue"}})});
}

std::optional<json> operator_api::read(const std::string& path) const {
    const auto now = from_.now();
    if (path == "/v1/state") {
        return from_.core.dump_state(now);
    }
    if (path == "/v1/hosts") {
        return from_.core.dump_hosts(now);
    }
    if (path == "/v1/endpoints") {
        return from_.core.dump_endpoints(now);
    }
    if (path == "/v1/jobs") {
        return from_.core.dump_jobs(now);
    }
    if (path == "/v1/catalogue") {
        return catalogue();
    }
    return std::nullopt;
}

std::string operator_api::metrics() const {
    auto gauges = from_.core.gauges(from_.now());
    gauges.update(from_.process_gauges());
    return from_.observer.metrics_text(json::object(), gauges);
}

json operator_api::catalogue() const {
    auto entries = json::array();
    for (const auto& route : from_.routes.catalogue().routes) {
        entries.push_back(
            {{"name", route.queue.name},
             {"pool", route.queue.pool},
             {"host", route.host},
             {"path_prefix", route.path_prefix},
             {"priority", route.queue.priority},
             {"attempts", route.queue.attempts},
             {"stretch", route.queue.stretch},
             {"latency_target_ms", to_ms(route.queue.latency_target)},
             {"timeout_ms", to_ms(route.queue.timeout)}});
    }
    return {{"version", from_.routes.version()},
            {"entries", std::move(entries)}};
}

} // namespace figridge
