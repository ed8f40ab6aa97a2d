#include "load_driver.hpp"

#include <algorithm>
#include <iostream>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace figridge {
namespace {

constexpr duration retry_pause = 200ms;
constexpr duration call_margin = 10s;
constexpr int ids_per_draw = 50;
constexpr int edit_attempts = 20;
constexpr duration catalogue_wait = 1500ms;

} // namespace

load_driver::load_driver(event_loop& loop, const load_options& options,
                         std::vector<trace_job> trace)
    : loop_(loop), options_(options), trace_(std::move(trace)),
      open_(trace_.size()), random_(options.seed), client_(loop) {}

http_result load_driver::call(http_call call) {
    http_result answer;
    client_.send(std::move(call), [&](const http_result& result) {
        answer = result;
        loop_.stop();
    });
    loop_.run();
    return answer;
}

bool load_driver::prepare(std::uint32_t owners) {
    for (int attempt = 0; attempt < edit_attempts; ++attempt) {
        if (store_entries(owners)) {
            loop_.run_for(catalogue_wait);
            return true;
        }
        loop_.run_for(retry_pause);
    }
    return false;
}

bool load_driver::store_entries(std::uint32_t owners) {
    const auto& host = options_.hosts.front();
    const auto shown = call(
        {"GET", absl::StrCat("http://", host, "/v1/catalogue"), {}, 5s, {}});
    const auto current = parse_json(shown.body);
    if (!current.ok()) {
        return false;
    }
    catalogue_edit edit;
    edit.based_on = current->value("version", std::uint64_t{0});
    edit.edit_id = absl::StrCat("load-", random_());
    for (std::uint32_t owner = 0; owner < owners; ++owner) {
        catalogue_entry entry;
        entry.name = entry_name(owner);
        entry.owner = absl::StrCat("owner-", owner);
        entry.work_class = "load";
        entry.task_deadline_ms = 15'000;
        edit.set.push_back(entry);
    }
    const auto stored = call({"POST",
                              absl::StrCat("http://", host, "/v1/catalogue"),
                              dump_json(to_json(edit)),
                              10s,
                              {}});
    return stored.status == 200;
}

const std::string& load_driver::random_host() {
    return options_.hosts[random_() % options_.hosts.size()];
}

std::string load_driver::payload_of(std::size_t index, std::size_t task) const {
    return absl::StrCat("run_ms=", trace_[index].run_ms[task], " job=", index,
                        " task=", task);
}

json load_driver::body_of(std::size_t index) const {
    const auto& job = trace_[index];
    json tasks = json::array();
    for (std::size_t task = 0; task < job.run_ms.size(); ++task) {
        tasks.push_back({{"payload", payload_of(index, task)},
                         {"run_ms_hint", job.declared_ms[task]}});
    }
    return {{"entry", entry_name(job.owner)},
            {"priority", job.urgent ? "urgent" : "normal"},
            {"deadline_ms", options_.deadline_ms},
            {"tasks", std::move(tasks)}};
}

void load_driver::schedule(std::size_t index, duration time,
                           std::function<void()> action) {
    auto& timers = open_[index].timers;
    timers.push_back(std::make_unique<timer_watcher>(loop_, std::move(action)));
    timers.back()->start_once(time);
}

load_result load_driver::run() {
    const auto start_time = event_loop::now();
    for (std::size_t index = 0; index < trace_.size(); ++index) {
        start_timers_.push_back(std::make_unique<timer_watcher>(
            loop_, [this, index] { begin(index); }));
        const auto due = start_time + trace_[index].arrival - event_loop::now();
        start_timers_.back()->start_once(std::max(due, duration{0}));
    }
    if (!trace_.empty()) {
        loop_.run();
    }
    check_starts();
    return result_;
}

void load_driver::begin(std::size_t index) {
    auto& job = open_[index];
    job.start_time = event_loop::now();
    ++result_.jobs;
    result_.tasks += trace_[index].run_ms.size();
    schedule(index, options_.answer_timeout, [this, index] {
        if (!open_[index].ended) {
            ++result_.lost;
            ++result_.causes["no_answer"];
            open_[index].ended = true;
            if (++ended_ == trace_.size()) {
                loop_.stop();
            }
        }
    });
    schedule(index, options_.caller_delay, [this, index] { draw_id(index); });
}

void load_driver::draw_id(std::size_t index) {
    if (open_[index].ended) {
        return;
    }
    const auto host = random_host();
    auto& ids = unused_ids_[host];
    if (!ids.empty()) {
        open_[index].id = ids.back();
        ids.pop_back();
        return submit(index, host, true);
    }
    http_call draw_call{
        "POST",
        absl::StrCat("http://", host, "/v1/ids?count=", ids_per_draw),
        "{}",
        5s,
        {}};
    client_.send(std::move(draw_call),
                 [this, index, host](const http_result& result) {
                     const auto body = parse_json(result.body);
                     if (result.status != 200 || !body.ok()) {
                         return retry(index, true);
                     }
                     for (const auto& id : body->at("ids")) {
                         unused_ids_[host].push_back(id.get<std::string>());
                     }
                     open_[index].id = unused_ids_[host].back();
                     unused_ids_[host].pop_back();
                     submit(index, host, true);
                 });
}

void load_driver::submit(std::size_t index, const std::string& host,
                         bool is_first) {
    std::uniform_real_distribution<double> unit(0, 1);
    auto& job = open_[index];
    const auto id = job.id;
    http_call put;
    put.method = "PUT";
    put.url = absl::StrCat("http://", host, "/v1/jobs/", id);
    put.body = dump_json(body_of(index));
    put.timeout = std::chrono::milliseconds(options_.deadline_ms) + call_margin;
    client_.send(std::move(put), [this, index, id](const http_result& result) {
        handle_answer(index, id, result);
    });
    if (is_first && unit(random_) < options_.resubmit_share) {
        schedule(index, 30ms,
                 [this, index] { submit(index, random_host(), false); });
    }
    if (is_first && unit(random_) < options_.cancel_share) {
        job.cancelled = true;
        const auto delay = std::chrono::milliseconds(random_() % 300);
        schedule(index, delay, [this, id] {
            http_call cancel{
                "DELETE",
                absl::StrCat("http://", random_host(), "/v1/jobs/", id),
                "{}",
                10s,
                {}};
            client_.send(std::move(cancel), [](const http_result&) {});
        });
    }
}

void load_driver::retry(std::size_t index, bool new_id) {
    if (open_[index].ended) {
        return;
    }
    schedule(index, retry_pause, [this, index, new_id] {
        if (open_[index].ended) {
            return;
        }
        if (new_id) {
            draw_id(index);
        } else {
            submit(index, random_host(), false);
        }
    });
}

void load_driver::handle_answer(std::size_t index, const std::string& id,
                                const http_result& result) {
    const auto body = parse_json(result.body);
    const bool has_answer = result.outcome == http_outcome::answered &&
                            body.ok() && body->is_object() &&
                            body->contains("state");
    if (!has_answer) {
        return retry(index, false);
    }
    const auto state = body->value("state", "");
    if (state == "running" || state == "unreachable") {
        return retry(index, false);
    }
    if (body->value("id", "") != id) {
        ++result_.partial;
    }
    const auto cause = body->value("cause", "");
    if (absl::StartsWith(cause, "not_run_")) {
        answered_not_run_.insert(id);
        if (cause == "not_run_draining" && !open_[index].ended) {
            return retry(index, true);
        }
    }
    // All submissions of one id must get the same answer.
    auto [known, is_new] = answers_.try_emplace(id, result.body);
    if (!is_new && known->second != result.body && cause != "outcome_unknown") {
        ++result_.partial;
    }
    if (!open_[index].ended) {
        finish(index, *body);
    }
}

void load_driver::finish(std::size_t index, const json& body) {
    auto& job = open_[index];
    job.ended = true;
    ++ended_;
    const auto& trace = trace_[index];
    const auto response =
        event_loop::now() - job.start_time + options_.caller_delay;
    if (body.value("state", "") == "complete") {
        ++result_.complete;
        const auto& outputs = body.at("outputs");
        bool outputs_match = outputs.size() == trace.run_ms.size();
        for (std::size_t task = 0; outputs_match && task < outputs.size();
             ++task) {
            outputs_match =
                outputs[task] ==
                json(absl::StrCat("done ", payload_of(index, task)));
        }
        result_.partial += outputs_match ? 0 : 1;
        const auto ideal =
            to_seconds(trace.ideal_response + 2 * options_.caller_delay);
        const auto slowdown = to_seconds(response) / ideal;
        result_.slowdowns.push_back(slowdown);
        result_.job_slowdowns.push_back({slowdown, index, response});
        result_.owner_slowdowns[trace.owner].push_back(slowdown);
        if (trace.urgent) {
            result_.urgent_slowdowns.push_back(slowdown);
        }
    } else {
        const auto cause = body.value("cause", "unknown");
        ++result_.causes[cause];
        ++(absl::StartsWith(cause, "not_run_") ? result_.not_run
                                               : result_.failed);
        result_.partial += body.contains("outputs") ? 1 : 0;
    }
    if (ended_ == trace_.size()) {
        loop_.stop();
    }
}

void load_driver::check_starts() {
    const auto reply =
        call({"GET",
              absl::StrCat("http://", options_.endpoints_control, "/report"),
              {},
              30s,
              {}});
    const auto report = parse_json(reply.body);
    if (!report.ok()) {
        ++result_.lost;
        return;
    }
    result_.starts = report->at("total").get<std::uint64_t>();
    result_.late_starts = report->at("late_starts").get<std::uint64_t>();
    for (const auto& [task, count] : report->at("starts").items()) {
        if (count.get<std::uint64_t>() > 1) {
            ++result_.doubled;
        }
        const std::string id = task.substr(0, task.rfind('/'));
        if (answered_not_run_.contains(id)) {
            ++result_.false_not_run;
        }
    }
}

void load_driver::print_slowest(std::size_t most) const {
    auto jobs = result_.job_slowdowns;
    std::sort(jobs.begin(), jobs.end(), [](const auto& a, const auto& b) {
        return a.slowdown > b.slowdown;
    });
    jobs.resize(std::min(most, jobs.size()));
    for (const auto& job : jobs) {
        const auto& trace = trace_[job.index];
        std::cerr << "  slow job: slowdown " << job.slowdown << " response_ms "
                  << to_ms(job.response) << " ideal_ms "
                  << to_ms(trace.ideal_response) << " arrival_ms "
                  << to_ms(trace.arrival) << " tasks " << trace.run_ms.size()
                  << " longest_ms "
                  << *std::max_element(trace.run_ms.begin(), trace.run_ms.end())
                  << " urgent " << trace.urgent << " owner " << trace.owner
                  << "\n";
    }
}

std::map<std::string, double> load_driver::read_metrics() {
    std::map<std::string, double> sums;
    for (const auto& host : options_.hosts) {
        const auto reply = call(
            {"GET", absl::StrCat("http://", host, "/metrics"), {}, 5s, {}});
        for (const auto& line : absl::StrSplit(reply.body, '\n')) {
            const std::vector<std::string> parts = absl::StrSplit(line, ' ');
            double value = 0;
            if (parts.size() != 2 || !absl::SimpleAtod(parts[1], &value)) {
                continue;
            }
            sums[parts[0]] += value;
            if (absl::StartsWith(parts[0], "figridge_messages_total")) {
                const bool wasted = absl::StrContains(parts[0], "wasted");
                sums[wasted ? "wasted" : "sent"] += value;
            }
        }
    }
    return sums;
}

} // namespace figridge
