#include "endpoint_stand_in.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "core/name_table.hpp"

namespace figridge {
namespace {

constexpr std::size_t max_body_bytes = 1U << 20;
constexpr std::uint32_t default_run_ms = 100;
constexpr std::uint32_t slow_factor = 5;
constexpr std::uint32_t late_ms = 700;
constexpr std::uint32_t hang_ms = 3'600'000;

constexpr name_table<endpoint_mode, 9> mode_names{{
    {endpoint_mode::normal, "normal"},
    {endpoint_mode::fail_all, "fail_all"},
    {endpoint_mode::hang, "hang"},
    {endpoint_mode::slow, "slow"},
    {endpoint_mode::refuse, "refuse"},
    {endpoint_mode::die, "die"},
    {endpoint_mode::late, "late"},
    {endpoint_mode::crossed, "crossed"},
    {endpoint_mode::leaving, "leaving"},
}};

std::uint32_t run_ms_of(const std::string& payload) {
    constexpr std::string_view key = "run_ms=";
    const auto begin = payload.find(key);
    std::uint32_t run_ms = default_run_ms;
    if (begin != std::string::npos) {
        const auto end = payload.find(' ', begin);
        const auto text = payload.substr(
            begin + key.size(),
            end == std::string::npos ? end : end - begin - key.size());
        if (!absl::SimpleAtoi(text, &run_ms)) {
            run_ms = default_run_ms;
        }
    }
    return run_ms;
}

} // namespace

std::optional<endpoint_mode> parse_endpoint_mode(std::string_view name) {
    return find_value(mode_names, name);
}

endpoint_stand_in::endpoint_stand_in(event_loop& loop, std::string address,
                                     std::uint32_t slots, start_record& record)
    : loop_(loop), address_(std::move(address)), slots_(slots), record_(record),
      server_(
          loop, max_body_bytes,
          [this](const http_request& request) { handle(request); },
          [](http_token) {}) {}

void endpoint_stand_in::expect_no_starts(duration after) {
    no_starts_from_ = event_loop::now() + after;
}

void endpoint_stand_in::respond(http_token token, int status,
                                const json& body) {
    server_.respond(token, {status, dump_json(body)});
}

void endpoint_stand_in::handle(const http_request& request) {
    if (request.path == "/status") {
        return respond(request.token, 200,
                       {{"running", running_.size()},
                        {"leaving", mode_ == endpoint_mode::leaving}});
    }
    if (request.path == "/tasks" && request.method == "POST") {
        return start_task(request);
    }
    if (absl::StartsWith(request.path, "/tasks/") &&
        request.method == "DELETE") {
        return stop_task(request);
    }
    respond(request.token, 404, {{"error", "unknown path"}});
}

void endpoint_stand_in::refuse(const http_request& request,
                               const char* reason) {
    ++record_.refused;
    respond(request.token, 503, {{"reason", reason}});
}

void endpoint_stand_in::start_task(const http_request& request) {
    const auto start_request = parse_json(request.body);
    if (!start_request.ok()) {
        return respond(request.token, 400, {{"error", "not JSON"}});
    }
    if (mode_ == endpoint_mode::leaving) {
        return refuse(request, "leaving");
    }
    if (mode_ == endpoint_mode::refuse || running_.size() >= slots_) {
        return refuse(request, "busy");
    }
    const auto now = event_loop::now();
    if (no_starts_from_ && now >= *no_starts_from_) {
        ++record_.late_starts;
    }
    ++record_.total;
    ++record_
          .starts[absl::StrCat(start_request->at("id").get<std::string>(), "/",
                               start_request->at("task").get<std::uint32_t>())];
    auto run_ms = run_ms_of(start_request->value("payload", ""));
    const auto deadline_ms = start_request->value("deadline_ms", hang_ms);
    running_task task;
    if (mode_ == endpoint_mode::fail_all) {
        task.failed = true;
        run_ms = 1;
    } else if (mode_ == endpoint_mode::hang) {
        run_ms = hang_ms;
    } else if (mode_ == endpoint_mode::slow) {
        run_ms *= slow_factor;
    } else if (mode_ == endpoint_mode::late) {
        run_ms += late_ms;
    }
    if (run_ms > deadline_ms && mode_ != endpoint_mode::hang) {
        run_ms = deadline_ms;
        task.past_deadline = true;
    }
    const auto token = request.token;
    task.start_request = *start_request;
    task.end = std::make_unique<timer_watcher>(
        loop_, [this, token] { end_task(token); });
    task.end->start_once(std::chrono::milliseconds(run_ms));
    running_[token] = std::move(task);
}

void endpoint_stand_in::end_task(http_token token) {
    auto ended = running_.extract(token);
    auto& task = ended.mapped();
    if (mode_ == endpoint_mode::die) {
        return server_.abort(token);
    }
    if (mode_ == endpoint_mode::crossed && !task.past_deadline) {
        return swap_answers(token, std::move(task));
    }
    answer(token, task);
}

void endpoint_stand_in::swap_answers(http_token token, running_task task) {
    if (!pending_swap_) {
        pending_swap_.emplace(token, std::move(task));
        return;
    }
    const auto other = std::move(*pending_swap_);
    pending_swap_.reset();
    answer(token, other.second);
    answer(other.first, task);
}

void endpoint_stand_in::answer(http_token token, const running_task& task) {
    if (task.past_deadline) {
        return respond(token, 504, {{"reason", "deadline"}});
    }
    const auto payload = task.start_request.value("payload", "");
    respond(
        token, 200,
        {{"id", task.start_request.at("id")},
         {"task", task.start_request.at("task")},
         {"attempt", task.start_request.at("attempt")},
         {"status", task.failed ? "failed" : "ok"},
         {"output", task.failed ? "broken" : absl::StrCat("done ", payload)}});
}

void endpoint_stand_in::stop_task(const http_request& request) {
    for (auto& [token, task] : running_) {
        const auto path = absl::StrCat(
            "/tasks/", task.start_request.at("id").get<std::string>(), "/",
            task.start_request.at("task").get<std::uint32_t>(), "/",
            task.start_request.at("attempt").get<std::uint32_t>());
        if (path == request.path) {
            task.failed = true;
            task.end->start_once(duration{0});
            break;
        }
    }
    respond(request.token, 200, json::object());
}

} // namespace figridge
