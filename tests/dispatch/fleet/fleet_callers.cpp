// Callers of a virtual fleet: they send jobs and check the answers.
#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "fleet_host.hpp"
#include "virtual_fleet.hpp"

namespace figridge::dispatch::fleet {
namespace {

// One in this many jobs always fails.
constexpr std::size_t always_fails_one_in = 40;
constexpr int queue_attempts = 3;
// Crashes under one task after which its job may be given up.
constexpr int crashes_to_give_up = 2;

} // namespace

void virtual_fleet::begin_load(double jobs_per_s) {
    const bool running = load_interval_ > duration{0};
    load_interval_ = duration(static_cast<std::int64_t>(1e6 / jobs_per_s));
    if (!running) {
        at(now_ + load_interval_, [this] { submit_job(); });
    }
}

void virtual_fleet::submit_job() {
    if (load_interval_ == duration{0}) {
        return;
    }
    at(now_ + load_interval_, [this] { submit_job(); });
    caller_job job;
    job.id = absl::StrFormat("%016x", next_job_++);
    job.must_complete = faults_ended_;
    job.always_fails = !faults_ended_ && draw(always_fails_one_in) == 0;
    const auto run_ms =
        static_cast<std::uint32_t>(40 + draw(draw(4) * 200 + 60));
    const auto cpu = static_cast<std::uint32_t>(4000 + draw(5000));
    auto& work = job.submission.work;
    work.id = job.id;
    work.payload = absl::StrCat("ms=", run_ms, " cpu=", cpu,
                                job.always_fails ? " fail" : "");
    job_step step;
    step.count = static_cast<std::uint32_t>(1 + draw(5));
    step.need.room = {cpu, 64, 0};
    step.need.estimate_ms =
        static_cast<std::uint32_t>(run_ms * (600 + draw(800)) / 1000);
    work.steps = {step};
    job.submission.queue.name = "queue";
    job.submission.queue.pool = "pool";
    job.submission.queue.priority = static_cast<std::uint32_t>(draw(3));
    job.submission.queue.attempts = queue_attempts;
    job.submission.queue.stretch = 1.6;
    job.submission.queue.latency_target = 60ms;
    if (deadly_share_ > 0.0) {
        draw_deadly_task(job);
    }
    send_new_job(std::move(job));
}

void virtual_fleet::begin_load(const std::vector<job_kind>& kinds) {
    ++load_number_;
    for (const auto& kind : kinds) {
        submit_job_of(kind, load_number_);
    }
}

void virtual_fleet::submit_job_of(job_kind kind, std::uint64_t load_number) {
    const auto twice_the_interval =
        static_cast<std::size_t>(2e6 / kind.jobs_per_s);
    at(now_ + duration(draw(twice_the_interval)), [this, kind, load_number] {
        if (load_number != load_number_) {
            return;
        }
        submit_job_of(kind, load_number);
        const auto run_ms = to_ms(kind.run_time);
        caller_job job;
        job.id = absl::StrFormat("%016x", next_job_++);
        job.timeout = kind.patience;
        auto& work = job.submission.work;
        work.id = job.id;
        work.payload = absl::StrCat("ms=", run_ms, " cpu=", kind.cpu_millis);
        job_step step;
        step.count = kind.tasks;
        step.need.room = {kind.cpu_millis, 64, 0};
        step.need.estimate_ms = static_cast<std::uint32_t>(
            run_ms * (600 + static_cast<std::int64_t>(draw(800))) / 1000);
        work.steps = {step};
        auto& queue = job.submission.queue;
        queue.name = "queue";
        queue.pool = "pool";
        queue.attempts = queue_attempts;
        queue.stretch = kind.stretch;
        queue.latency_target = kind.latency_target;
        send_new_job(std::move(job));
    });
}

void virtual_fleet::send_new_job(caller_job job) {
    job.sent_at = now_;
    job.times_out_at = now_ + job.timeout;
    if (jobs_sent++ == 0) {
        first_job_at_ = now_;
    }
    ++jobs_by_second_[second_of(job)].sent;
    const auto id = job.id;
    const auto timeout = job.timeout;
    jobs_[id] = std::move(job);
    at(now_ + timeout, [this, id] {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            return;
        }
        const auto timed_out = found->second;
        deliver(timed_out.host, timed_out.process,
                {cost::submission, [this, timed_out](dispatcher& core) {
                     core.drop_caller(now_, timed_out.token);
                 }});
        ++jobs_timed_out;
        if (timed_out.must_complete) {
            observed.add_violation(now_, "LATE " + id);
        }
        end_job(id);
    });
    send_job(id);
}

void virtual_fleet::draw_deadly_task(caller_job& job) {
    if (draw(2) == 0) {
        return;
    }
    job.submission.queue.name = "deadly";
    if (draw(2) == 0) {
        job.timeout = long_caller_timeout;
    }
    if (static_cast<double>(draw(1000)) < 1000.0 * deadly_share_) {
        auto& work = job.submission.work;
        absl::StrAppend(&work.payload, " deadly=", draw(work.steps[0].count));
    }
}

std::int64_t virtual_fleet::second_of(const caller_job& job) const {
    return (job.sent_at - first_job_at_) / 1s;
}

bool virtual_fleet::may_have_failed(const caller_job& job) const {
    for (std::uint32_t i = 0; i < job.submission.work.steps[0].count; ++i) {
        const task_key task{job.id, 0, i};
        const auto failed = observed.failed_ends.find(task);
        const auto crashed = observed.crashed.find(task);
        if ((failed != observed.failed_ends.end() &&
             failed->second >= queue_attempts) ||
            (crashed != observed.crashed.end() &&
             crashed->second.crashes >= crashes_to_give_up)) {
            return true;
        }
    }
    return false;
}

void virtual_fleet::send_job(const std::string& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return;
    }
    auto& job = found->second;
    std::size_t index = draw(hosts_.size());
    for (std::size_t tries = 0; tries < hosts_.size(); ++tries) {
        const auto& host = *hosts_[index];
        if (host.up && !host.draining_since) {
            break;
        }
        index = (index + 1) % hosts_.size();
    }
    if (!hosts_[index]->up) {
        at(now_ + resend_after, [this, id] { send_job(id); });
        return;
    }
    job.host = index;
    job.process = hosts_[index]->process;
    job.token = next_token_++;
    tokens_[job.token] = id;
    job.submission.caller_timeout = job.times_out_at - now_;
    job.received = false;
    at(now_ + delay(), [this, index, process = job.process, token = job.token,
                        submission = job.submission] {
        const auto submit = [this, index, token, submission](dispatcher& core) {
            const auto found = jobs_.find(submission.work.id);
            if (found == jobs_.end() || found->second.token != token ||
                found->second.process == 0) {
                // The caller no longer waits for this request; the HTTP server
                // for callers doesn't pass such a request on.
                return;
            }
            found->second.received = true;
            // As the daemon's route for callers does.
            if (const auto refusal = core.refuse_unread(
                    now_, {submission.work.id, submission.queue,
                           submission.caller_timeout, submission.request_id})) {
                return hosts_[index]->answer(token, *refusal);
            }
            auto admitted = submission;
            admitted.admitted = true;
            core.submit(now_, token, std::move(admitted));
        };
        deliver(index, process, {cost::submission, submit});
    });
}

void virtual_fleet::record_answer_sent(caller_token token) {
    const auto named = tokens_.find(token);
    const auto found =
        named == tokens_.end() ? jobs_.end() : jobs_.find(named->second);
    if (found != jobs_.end() && found->second.token == token) {
        found->second.received = false;
    }
}

// The caller got no final answer and sends the job again.
void virtual_fleet::resend(caller_job& job) {
    job.rejected_only = false;
    job.process = 0;
    at(now_ + resend_after, [this, id = job.id] { send_job(id); });
}

void virtual_fleet::handle_answer(std::size_t index, std::uint64_t process,
                                  caller_token token,
                                  const job_answer& answer) {
    const auto named = tokens_.find(token);
    const auto found =
        named == tokens_.end() ? jobs_.end() : jobs_.find(named->second);
    if (found == jobs_.end() || found->second.token != token ||
        found->second.host != index || found->second.process != process) {
        return;
    }
    auto& job = found->second;
    const auto id = job.id;
    const auto tasks = job.submission.work.steps[0].count;
    switch (answer.outcome) {
    case job_outcome::completed:
        ++jobs_completed;
        ++jobs_by_second_[second_of(job)].served;
        if (observed.done[id].size() < tasks) {
            observed.add_violation(now_, absl::StrCat("PARTIAL ", id, ": done ",
                                                      observed.done[id].size(),
                                                      " of ", tasks));
        }
        break;
    case job_outcome::failed:
        ++jobs_failed;
        if (!observed.started.contains(id)) {
            observed.add_violation(now_, "FAILED without a start: " + id);
        } else if (!may_have_failed(job)) {
            observed.add_violation(now_, absl::StrCat("FAILED without cause: ",
                                                      id, " ", answer.reason));
        }
        break;
    case job_outcome::gave_up:
        return resend(job);
    default:
        ++jobs_refused;
        if (job.rejected_only && observed.started.contains(id)) {
            observed.add_violation(now_, "REFUSED although it ran: " + id);
        }
        break;
    }
    const bool completed = answer.outcome == job_outcome::completed;
    if (job.must_complete && !completed) {
        observed.add_violation(
            now_, absl::StrCat("CALM job ", id, " ended ",
                               std::string(to_string(answer.outcome)), " ",
                               answer.reason));
    }
    end_job(id);
}

void virtual_fleet::end_job(const std::string& id) {
    tokens_.erase(jobs_.at(id).token);
    observed.done.erase(id);
    jobs_.erase(id);
}

} // namespace figridge::dispatch::fleet
