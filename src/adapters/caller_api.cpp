#include "caller_api.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include "codec/json_codec.hpp"
#include "core/name_table.hpp"

namespace figridge {
namespace {

constexpr std::uint32_t max_ids_per_request = 1000;
constexpr std::uint32_t default_ids_per_request = 10;
constexpr duration max_wait = 600s;

constexpr const char* idempotency_header = "Idempotency-Key";
constexpr int http_ok = 200;
constexpr int http_accepted = 202;
constexpr int http_bad_request = 400;
constexpr int http_forbidden = 403;
constexpr int http_not_found = 404;
constexpr int http_method_not_allowed = 405;
constexpr int http_conflict = 409;
constexpr int http_too_large = 413;
constexpr int http_unprocessable = 422;
constexpr int http_too_many = 429;
constexpr int http_bad_gateway = 502;
constexpr int http_unavailable = 503;
constexpr int http_gateway_timeout = 504;

int status_of(const job_answer& answer) {
    switch (answer.state) {
    case job_state::complete:
        return http_ok;
    case job_state::running:
        return http_accepted;
    case job_state::unknown:
        return http_not_found;
    case job_state::unreachable:
        return http_unavailable;
    case job_state::failed:
        break;
    }
    switch (answer.cause) {
    case failure_cause::not_run_unknown_entry:
        return http_not_found;
    case failure_cause::not_run_cannot_fit:
        return http_unprocessable;
    case failure_cause::not_run_limit:
        return http_too_many;
    case failure_cause::not_run_refused:
    case failure_cause::not_run_overloaded:
    case failure_cause::not_run_store_down:
    case failure_cause::not_run_draining:
    case failure_cause::stopped:
        return http_unavailable;
    case failure_cause::not_run_key_in_use:
    case failure_cause::not_run_cancelled:
    case failure_cause::cancelled:
        return http_conflict;
    case failure_cause::not_run_deadline:
    case failure_cause::deadline:
        return http_gateway_timeout;
    default:
        return http_bad_gateway;
    }
}

int status_of(edit_status status) {
    switch (status) {
    case edit_status::stored:
        return http_ok;
    case edit_status::conflict:
        return http_conflict;
    case edit_status::invalid:
        return http_bad_request;
    case edit_status::store_down:
    case edit_status::not_ready:
        return http_unavailable;
    }
    return http_bad_gateway;
}

constexpr name_table<edit_status, 5> edit_status_names{{
    {edit_status::stored, "stored"},
    {edit_status::conflict, "conflict"},
    {edit_status::invalid, "invalid"},
    {edit_status::store_down, "store_down"},
    {edit_status::not_ready, "not_ready"},
}};

} // namespace

caller_api::caller_api(event_loop& loop, std::size_t max_body_bytes,
                       log_observer& observer)
    : loop_(loop), observer_(observer),
      server_(
          loop, max_body_bytes,
          [this](const http_request& request) { handle(request); },
          [this](http_token token) { handle_disconnect(token); }) {}

absl::Status caller_api::start(const std::string& address) {
    server_.keep_headers({idempotency_header});
    return server_.start(address);
}

void caller_api::respond(const http_request& request, int status,
                         const json& body) {
    server_.respond(request.token, {status, dump_json(body) + "\n"});
}

void caller_api::respond_error(const http_request& request, int status,
                               std::string_view error) {
    respond(request, status, {{"error", error}});
}

void caller_api::handle(const http_request& request) {
    const auto& path = request.path;
    if (request.too_large) {
        return respond_error(request, http_too_large,
                             "body: longer than callers.max_body_bytes");
    }
    if (path == "/v1/ids" && request.method == "POST") {
        return mint_ids(request);
    }
    if (path == "/v1/jobs" && request.method == "POST") {
        return submit_with_new_id(request);
    }
    if (path == "/v1/jobs" && request.method == "GET") {
        return respond(request, http_ok, core_->list_jobs());
    }
    if (absl::StartsWith(path, "/v1/jobs/")) {
        return handle_job(request, path.substr(9));
    }
    if (absl::StartsWith(path, "/v1/catalogue")) {
        return handle_catalogue(request);
    }
    handle_operator(request);
}

// --- callers --------------------------------------------------------------

void caller_api::mint_ids(const http_request& request) {
    std::uint32_t count = default_ids_per_request;
    const auto wanted = request.query.find("count");
    const bool valid = wanted == request.query.end() ||
                       (absl::SimpleAtoi(wanted->second, &count) && count > 0 &&
                        count <= max_ids_per_request);
    if (!valid) {
        return respond_error(
            request, http_bad_request,
            absl::StrCat("count: expected 1 to ", max_ids_per_request));
    }
    json ids = json::array();
    for (const auto& id : core_->mint_ids(event_loop::now(), count)) {
        ids.push_back(to_string(id));
    }
    if (ids.empty()) {
        return respond_error(request, http_unavailable,
                             "the host accepts no new jobs now");
    }
    respond(request, http_ok, {{"ids", std::move(ids)}});
}

void caller_api::submit_with_new_id(const http_request& request) {
    const auto ids = core_->mint_ids(event_loop::now(), 1);
    if (ids.empty()) {
        return respond_error(request, http_unavailable,
                             "the host accepts no new jobs now");
    }
    submit(request, ids.front());
}

void caller_api::submit(const http_request& request, const submission_id& id) {
    const auto body = parse_json(request.body);
    if (!body.ok()) {
        return respond_error(request, http_bad_request,
                             std::string(body.status().message()));
    }
    auto job = job_from_json(*body);
    if (!job.ok()) {
        return respond_error(request, http_bad_request,
                             std::string(job.status().message()));
    }
    if (const auto key = request.headers.find(idempotency_header);
        key != request.headers.end()) {
        job->idempotency_key = key->second;
        if (const auto status = check_job(*job); !status.ok()) {
            return respond_error(request, http_bad_request,
                                 std::string(status.message()));
        }
    }
    hold(request, id);
    core_->submit(event_loop::now(), request.token, id, *job);
}

void caller_api::handle_job(const http_request& request,
                            const std::string& id_text) {
    const auto id = parse_submission_id(id_text);
    if (!id.ok()) {
        return respond_error(request, http_bad_request,
                             std::string(id.status().message()));
    }
    if (request.method == "PUT") {
        return submit(request, *id);
    }
    if (request.method == "GET") {
        hold(request, *id);
        return core_->fetch(event_loop::now(), request.token, *id);
    }
    if (request.method == "DELETE") {
        hold(request, *id);
        return core_->cancel(event_loop::now(), request.token, *id);
    }
    respond_error(request, http_method_not_allowed,
                  "expected PUT, GET or DELETE");
}

void caller_api::hold(const http_request& request, const submission_id& id) {
    duration wait = max_wait;
    const auto given = request.query.find("wait_ms");
    std::uint32_t wait_ms = 0;
    if (given != request.query.end() &&
        absl::SimpleAtoi(given->second, &wait_ms)) {
        wait = std::min<duration>(std::chrono::milliseconds(wait_ms), max_wait);
    }
    auto& call = held_[request.token];
    call.id = id;
    const auto token = request.token;
    call.wait_limit = std::make_unique<timer_watcher>(
        loop_, [this, token] { answer_after_wait_limit(token); });
    call.wait_limit->start_once(wait);
}

void caller_api::answer_after_wait_limit(caller_token token) {
    auto call = held_.extract(token);
    if (call.empty()) {
        return;
    }
    core_->drop_caller(event_loop::now(), token);
    job_answer answer;
    answer.id = call.mapped().id;
    answer.state = job_state::running;
    server_.respond(token, {http_accepted, dump_json(to_json(answer)) + "\n"});
}

void caller_api::handle_disconnect(caller_token token) {
    if (held_.erase(token) > 0) {
        core_->drop_caller(event_loop::now(), token);
    }
}

void caller_api::answer(caller_token token, const job_answer& answer) {
    auto call = held_.extract(token);
    if (call.empty()) {
        return;
    }
    auto body = to_json(answer);
    if (answer.state == job_state::unknown) {
        body["error"] = "id: not issued by its host";
    }
    http_response response{status_of(answer), dump_json(body) + "\n"};
    response.retry_after_ms = answer.retry_after_ms;
    server_.respond(token, std::move(response));
}

// --- catalogue ------------------------------------------------------------

void caller_api::handle_catalogue(const http_request& request) {
    if (request.path == "/v1/catalogue" && request.method == "GET") {
        if (!core_->has_catalogue()) {
            return respond_error(request, http_unavailable, "no catalogue yet");
        }
        return respond(request, http_ok, to_json(core_->current_catalogue()));
    }
    if (request.path == "/v1/catalogue" && request.method == "POST") {
        return edit(request);
    }
    if (request.path == "/v1/catalogue/check" && request.method == "POST") {
        return check(request);
    }
    respond_error(request, http_not_found, "path: unknown");
}

std::optional<catalogue_edit>
caller_api::read_edit(const http_request& request) {
    const auto body = parse_json(request.body);
    auto change = body.ok() ? edit_from_json(*body)
                            : absl::StatusOr<catalogue_edit>(body.status());
    if (!change.ok()) {
        respond_error(request, http_bad_request,
                      std::string(change.status().message()));
        return std::nullopt;
    }
    return *std::move(change);
}

void caller_api::check(const http_request& request) {
    if (read_edit(request)) {
        respond(request, http_ok, {{"status", "valid"}});
    }
}

void caller_api::edit(const http_request& request) {
    if (const auto change = read_edit(request)) {
        core_->edit_catalogue(event_loop::now(), request.token, *change);
    }
}

void caller_api::answer_edit(caller_token token, const edit_answer& answer) {
    json body{{"status", find_name(edit_status_names, answer.status)},
              {"version", answer.version}};
    if (!answer.detail.empty()) {
        body[answer.status == edit_status::stored ? "detail" : "error"] =
            answer.detail;
    }
    server_.respond(token, {status_of(answer.status), dump_json(body) + "\n"});
}

// --- operators ------------------------------------------------------------

void caller_api::handle_operator(const http_request& request) {
    const auto& path = request.path;
    const bool get = request.method == "GET";
    if (path == "/health" && get) {
        const bool serving = core_->is_serving();
        return respond(request, serving ? http_ok : http_unavailable,
                       {{"serving", serving}});
    }
    if (path == "/metrics" && get) {
        return show_metrics(request);
    }
    if (path == "/v1/state" && get) {
        return respond(request, http_ok, core_->dump_state());
    }
    if (path == "/v1/hosts" && get) {
        return respond(request, http_ok, core_->list_hosts());
    }
    if (path == "/v1/endpoints" && get) {
        return respond(request, http_ok, core_->list_endpoints());
    }
    absl::string_view endpoint(path);
    if (absl::ConsumePrefix(&endpoint, "/v1/endpoints/") &&
        absl::ConsumeSuffix(&endpoint, "/leaving")) {
        if (request.method == "PUT" || request.method == "DELETE") {
            return mark_endpoint(request, std::string(endpoint),
                                 request.method == "PUT");
        }
    }
    if (path == "/v1/drain" && request.method == "POST") {
        respond(request, http_accepted, {{"status", "draining"}});
        return on_drain_request();
    }
    if (path == "/v1/debug/cut" && request.method == "POST") {
        if (const auto status = on_cut_request(request.body); !status.ok()) {
            return respond_error(request,
                                 absl::IsPermissionDenied(status)
                                     ? http_forbidden
                                     : http_bad_request,
                                 std::string(status.message()));
        }
        return respond(request, http_ok, {{"status", "cut"}});
    }
    respond_error(request, http_not_found, "path: unknown");
}

void caller_api::mark_endpoint(const http_request& request,
                               const std::string& address, bool leaving) {
    if (!core_->set_endpoint_leaving(event_loop::now(), address, leaving)) {
        return respond_error(request, http_not_found,
                             absl::StrCat("endpoint: unknown: ", address));
    }
    respond(request, http_ok, {{"endpoint", address}, {"leaving", leaving}});
}

void caller_api::show_metrics(const http_request& request) {
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body =
        observer_.metrics_text(core_->message_counts(), process_gauges());
    server_.respond(request.token, std::move(response));
}

} // namespace figridge
