#include "platform/job_callers.hpp"

#include <array>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace figridge::testing {
namespace {

// A call that ends by its time limit ends after the caller's deadline, so that
// it does not count as cut: the clocks of libcurl and of the event loop differ
// by a millisecond.
constexpr duration timeout_margin = 5ms;
constexpr duration resend_after = 1300ms;
constexpr int http_ok = 200;
constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;

} // namespace

job_callers::job_callers(event_loop& loop, run_judge& judge, std::uint64_t seed)
    : loop_(loop), judge_(judge), client_(loop),
      timer_(loop, [this] { send_next(); }), random_(seed) {}

void job_callers::set_stopping(const std::string& host, bool stopping) {
    if (stopping) {
        stopping_.insert(host);
    } else {
        stopping_.erase(host);
    }
}

void job_callers::begin(load_plan plan) {
    plan_ = std::move(plan);
    result_ = {};
    sent_ = 0;
    timer_.start_repeating(duration(1'000'000 / plan_.jobs_per_s));
}

void job_callers::send_next() {
    if (sent_ == plan_.jobs) {
        timer_.stop();
        return;
    }
    ++sent_;
    ++result_.sent;
    auto open = std::make_shared<call>();
    open->id = absl::StrFormat("%016x", random_());
    open->tasks = plan_.tasks;
    auto task_ms = plan_.task_ms;
    if (plan_.mixed) {
        constexpr std::array<std::uint32_t, 3> lengths_ms{60, 200, 900};
        open->tasks =
            std::uniform_int_distribution<std::uint32_t>(2, 8)(random_);
        task_ms = lengths_ms[random_() % lengths_ms.size()];
    }
    const json step{{"count", open->tasks},
                    {"cpu", plan_.task_cpu},
                    {"mem-mb", 64},
                    {"estimate-ms", task_ms}};
    open->body = dump_json(
        {{"spec", absl::StrCat("ms=", task_ms, " cpu=", plan_.task_cpu)},
         {"steps", json::array({step})},
         {"best-effort", true}});
    open->deadline = event_loop::now() + plan_.answer_timeout;
    open_.push_back(open);
    send(open);
}

std::string job_callers::pick_host(const std::string& last) {
    std::uniform_int_distribution<std::size_t> pick(0, plan_.hosts.size() - 1);
    auto host = plan_.hosts[pick(random_)];
    while (plan_.timeouts > 1 && plan_.hosts.size() > 1 && host == last) {
        host = plan_.hosts[pick(random_)];
    }
    return host;
}

void job_callers::send(const std::shared_ptr<call>& open) {
    auto remaining = open->deadline - event_loop::now();
    if (remaining <= 50ms) {
        if (++open->timeouts >= plan_.timeouts) {
            ++result_.unanswered;
            return finish(open, "unanswered");
        }
        remaining = plan_.answer_timeout;
        open->deadline = event_loop::now() + remaining;
    }
    open->host = pick_host(open->host);
    http_call request;
    request.method = "POST";
    request.url = absl::StrCat("http://", open->host, "/jobs/", open->id);
    request.body = open->body;
    request.timeout = remaining + timeout_margin;
    request.headers = {"Host: figridge.example",
                       absl::StrCat("X-Deadline-Ms: ", to_ms(remaining)),
                       "Request-Id: " + open->id};
    client_.send(std::move(request), [this, open](const http_result& result) {
        handle(open, result);
    });
}

void job_callers::handle(const std::shared_ptr<call>& open,
                         const http_result& result) {
    if (result.outcome == http_outcome::answered && result.status == http_ok) {
        const auto body = parse_json(result.body);
        const bool completed =
            body.ok() && body->value("state", "") == "completed";
        if (completed && judge_.done_tasks(open->id) < open->tasks) {
            judge_.record_violation(
                "answered completed before all tasks were done: " + open->id);
        }
        ++(completed ? result_.completed : result_.failed);
        return finish(open, completed ? "completed" : "failed");
    }
    const bool refused =
        result.outcome == http_outcome::answered &&
        (result.status == http_unavailable || result.status == http_too_many);
    if (refused) {
        if (open->not_sent_before && judge_.has_started(open->id)) {
            judge_.record_violation(
                "answered refused though a run has started: " + open->id);
        }
        ++result_.refused;
        return finish(open, "refused");
    }
    const bool cut = result.outcome == http_outcome::lost &&
                     event_loop::now() < open->deadline;
    if (cut && stopping_.contains(open->host) && judge_.has_started(open->id)) {
        judge_.record_violation(
            "connection of a started job cut by a planned stop: " + open->id);
    }
    if (result.outcome != http_outcome::not_sent) {
        open->not_sent_before = false;
    }
    ++result_.resent;
    judge_.log(
        "job_cut",
        {{"job", open->id},
         {"host", open->host},
         {"sent", result.outcome == http_outcome::not_sent ? "no" : "yes"},
         {"status", std::to_string(result.status)},
         {"error", result.failure.error},
         {"bytes_sent", std::to_string(result.failure.bytes_sent)},
         {"elapsed_ms", std::to_string(to_ms(result.failure.elapsed))}});
    open->resend_timer =
        std::make_unique<timer_watcher>(loop_, [this, open] { send(open); });
    open->resend_timer->start_once(resend_after);
}

void job_callers::finish(const std::shared_ptr<call>& open, const char* how) {
    judge_.log("job_over",
               {{"job", open->id}, {"host", open->host}, {"how", how}});
    open_.remove(open);
}

} // namespace figridge::testing
