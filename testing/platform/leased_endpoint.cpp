#include "platform/leased_endpoint.hpp"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace figridge::testing {
namespace {

constexpr std::size_t max_body_bytes = 1U << 20;
constexpr std::uint32_t capacity_cpu = 16'000;
constexpr std::uint32_t capacity_memory_mb = 32'768;
constexpr std::int64_t lease_limit_ms = 1000;
constexpr duration tick_interval = 5ms;
// The platform's limit is 50 ms.
constexpr duration stop_duration = 40ms;
// The platform's limit for starts on a draining endpoint.
constexpr duration drain_limit = 4s;
constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_conflict = 409;
constexpr int http_other_instance = 421;
constexpr int http_unavailable = 503;

// Value of NAME=NUMBER in a payload; 0 if absent or invalid.
std::uint32_t field_of(const std::string& payload, const std::string& name) {
    for (const auto part : absl::StrSplit(payload, ' ')) {
        std::string text(part);
        if (text.rfind(name + "=", 0) == 0) {
            std::uint32_t number = 0;
            if (absl::SimpleAtoi(text.substr(name.size() + 1), &number)) {
                return number;
            }
        }
    }
    return 0;
}

} // namespace

leased_endpoint::leased_endpoint(event_loop& loop, std::string id,
                                 std::string address,
                                 std::string failure_domain, run_judge& judge,
                                 std::function<timestamp()> clock)
    : now_(std::move(clock)), id_(std::move(id)), address_(std::move(address)),
      failure_domain_(std::move(failure_domain)), judge_(judge),
      server_(
          loop, max_body_bytes,
          [this](const http_request& request) { handle(request); },
          [this](http_token token) {
              holds_.remove_if([token](const waiting_hold& held) {
                  return held.token == token;
              });
          }),
      ticker_(loop, [this] { tick(); }) {
    crash();
}

absl::Status leased_endpoint::start() {
    server_.keep_headers({"X-Target-Instance"});
    ticker_.start_repeating(tick_interval);
    return server_.start(address_);
}

void leased_endpoint::crash() {
    judge_.log("endpoint_begun", {{"endpoint", id_}});
    for (const auto& [task, run] : runs_) {
        log_end(task, run, "crashed");
        judge_.record_end(task);
    }
    runs_.clear();
    highest_run_.clear();
    ends_.clear();
    token_ = 0;
    lease_until_ms_ = 0;
    next_end_ = 1;
    born_ = now_();
    born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
}

void leased_endpoint::set_draining(bool draining) {
    if (!draining) {
        draining_since_.reset();
    } else if (!draining_since_) {
        draining_since_ = now_();
    }
}

json leased_endpoint::describe() const {
    return {
        {"service", "pool-1"},
        {"address", shown_address_.empty() ? address_ : shown_address_},
        {"zone", failure_domain_},
        {"version", "v1"},
        {"slots", 8},
        {"state", draining_since_ ? "draining" : "ready"},
        {"cold-left-ms", 0},
        {"capacity",
         {{"cpu", capacity_cpu}, {"mem-mb", capacity_memory_mb}, {"gpu", 0}}},
        {"labels", {"a", "r1-1"}},
        {"born", born_ms_},
        {"clock-ms", clock_ms()}};
}

std::int64_t leased_endpoint::clock_ms() const {
    const auto age = static_cast<double>((now_() - born_).count());
    return to_ms(duration(static_cast<std::int64_t>(age * clock_rate_))) + 1;
}

void leased_endpoint::respond(http_token token, int status, json body) {
    if (mode_ == "mute") {
        return server_.abort(token);
    }
    body["clock-ms"] = clock_ms();
    server_.respond(token, {status, dump_json(body)});
}

void leased_endpoint::handle(const http_request& request) {
    // A call that is read late must not renew a lease that has expired.
    end_due_runs();
    const auto named = request.headers.find("X-Target-Instance");
    if (named != request.headers.end() && named->second != id_) {
        return respond(request.token, http_other_instance, json::object());
    }
    const auto body = parse_json(request.body);
    if (!body.ok() || !body->is_object()) {
        return respond(request.token, http_bad_request, json::object());
    }
    if (reject_stale_token(request.token, *body)) {
        return;
    }
    if (request.path == "/run-start") {
        return start_run(request.token, *body);
    }
    if (request.path == "/run-stop") {
        return stop_run(request.token, *body);
    }
    hold(request.token, *body);
}

bool leased_endpoint::reject_stale_token(http_token token, const json& body) {
    const auto given = body.value("fencing-token", std::uint64_t{0});
    if (given < token_) {
        judge_.log("call_fenced", {{"endpoint", id_},
                                   {"task", body.value("task", "")},
                                   {"token", std::to_string(given)},
                                   {"newest", std::to_string(token_)}});
        respond(token, http_conflict, {{"reason", "fence"}});
        return true;
    }
    token_ = given;
    return false;
}

void leased_endpoint::renew(const json& body) {
    const auto deadline = body.value("deadline-ms", std::int64_t{0});
    lease_until_ms_ = std::max(lease_until_ms_,
                               std::min(deadline, clock_ms() + lease_limit_ms));
}

void leased_endpoint::start_run(http_token token, const json& body) {
    judge_.end_due_runs();
    if (mode_ == "shed") {
        return respond(token, http_unavailable, json::object());
    }
    if (body.value("deadline-ms", std::int64_t{0}) <= clock_ms()) {
        return respond(token, http_conflict, {{"reason", "late"}});
    }
    renew(body);
    const auto task = body.value("task", std::string{});
    const auto number = body.value("run", std::uint32_t{0});
    const auto existing = runs_.find(task);
    if (existing != runs_.end() && existing->second.number == number) {
        return respond(token, http_ok, json::object());
    }
    if (number <= highest_run_[task]) {
        return respond(token, http_conflict, {{"reason", "old"}});
    }
    highest_run_[task] = number;
    const auto payload = body.value("spec", std::string{});
    run new_run;
    new_run.number = number;
    new_run.cpu_millis = field_of(payload, "cpu");
    new_run.started = now_();
    new_run.length = std::chrono::milliseconds(field_of(payload, "ms"));
    new_run.fails =
        mode_ == "fail_all" || payload.find(" fail") != std::string::npos;
    std::uint32_t used = new_run.cpu_millis;
    for (const auto& [name, other] : runs_) {
        used += other.cpu_millis;
    }
    if (draining_since_ && now_() - *draining_since_ > drain_limit) {
        judge_.record_violation("run started on " + id_ +
                                ", which is past its drain limit: " + task);
    }
    if (used > capacity_cpu) {
        judge_.record_violation("CPU capacity exceeded on " + id_ + ": " +
                                task);
    }
    if (existing != runs_.end()) {
        judge_.record_violation("second concurrent run on one endpoint: " +
                                task);
    }
    runs_[task] = new_run;
    judge_.log("run_started", {{"endpoint", id_},
                               {"task", task},
                               {"run", std::to_string(number)},
                               {"token", std::to_string(token_)}});
    judge_.record_start(task);
    respond(token, http_ok, json::object());
}

void leased_endpoint::stop_run(http_token token, const json& body) {
    const auto task = body.value("task", std::string{});
    const auto number = body.value("run", std::uint32_t{0});
    highest_run_[task] = std::max(highest_run_[task], number);
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.number == number) {
        found->second.stopped_at =
            std::min(found->second.stopped_at, now_() + stop_duration);
    }
    respond(token, http_ok, json::object());
}

void leased_endpoint::hold(http_token token, const json& body) {
    if (body.contains("deadline-ms")) {
        renew(body);
    }
    const auto acknowledged = body.value("acked-upto", std::uint64_t{0});
    ends_.remove_if([acknowledged](const end& item) {
        return item.number <= acknowledged;
    });
    const auto wait = std::chrono::milliseconds(body.value("wait-ms", 0));
    if (!ends_.empty() || wait == duration{0}) {
        return respond(token, http_ok, runs_to_json());
    }
    holds_.push_back({token, now_() + wait});
}

json leased_endpoint::runs_to_json() const {
    json running = json::array();
    for (const auto& [task, run] : runs_) {
        const auto share =
            run.length == duration{0}
                ? 0.0
                : to_seconds(now_() - run.started) / to_seconds(run.length);
        running.push_back({task, run.number, "",
                           static_cast<int>(100 * std::min(1.0, share))});
    }
    json ended = json::array();
    for (const auto& item : ends_) {
        ended.push_back({item.number, item.task, item.run, item.how, ""});
    }
    return {{"running", running}, {"ended", ended}, {"born", born_ms_}};
}

void leased_endpoint::end_run(const std::string& task, const std::string& how) {
    const auto found = runs_.find(task);
    log_end(task, found->second, how);
    ends_.push_back({next_end_++, task, found->second.number, how});
    runs_.erase(found);
    judge_.record_end(task, how == "done");
}

void leased_endpoint::log_end(const std::string& task, const run& ended,
                              const std::string& how) const {
    judge_.log("run_ended", {{"endpoint", id_},
                             {"task", task},
                             {"run", std::to_string(ended.number)},
                             {"how", how}});
}

void leased_endpoint::answer_holds(bool all) {
    const auto now = now_();
    auto waiting = std::exchange(holds_, {});
    for (const auto& held : waiting) {
        if (all || !ends_.empty() || now >= held.until) {
            respond(held.token, http_ok, runs_to_json());
        } else {
            holds_.push_back(held);
        }
    }
}

void leased_endpoint::tick() {
    end_due_runs();
    answer_holds(false);
}

void leased_endpoint::end_due_runs() {
    const auto now = now_();
    constexpr double us_per_ms = 1000.0;
    const auto lease_end =
        born_ +
        duration(static_cast<std::int64_t>(
            static_cast<double>(lease_until_ms_) * us_per_ms / clock_rate_));
    std::vector<std::pair<std::string, std::string>> finished;
    for (const auto& [task, run] : runs_) {
        const auto done_at = run.started + run.length;
        const auto end_at = std::min({done_at, lease_end, run.stopped_at});
        if (end_at > now) {
            continue;
        }
        const char* how = end_at == lease_end ? "lapsed" : "stopped";
        if (end_at == done_at) {
            how = run.fails ? "failed" : "done";
        }
        finished.emplace_back(task, how);
    }
    for (const auto& [task, how] : finished) {
        end_run(task, how);
    }
}

} // namespace figridge::testing
