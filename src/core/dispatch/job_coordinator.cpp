#include "core/dispatch/job_coordinator.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace figridge::dispatch {
namespace {

// A caller that did not get the answer submits the job again within this time.
constexpr duration answer_retention = 5s;
// After this time no run of a job that was given up is reported any more: its
// lease has expired and the calls that stop it have ended.
constexpr duration former_runs_retention = 10s;
// The report that a run is disowned may arrive after the adoption.
constexpr duration adoption_retention = 3s;
// No message of a former holder is delayed for longer.
constexpr duration adoption_token_retention = 10min;
// A disowned run ends with its lease at the latest.
constexpr duration disowned_run_limit = 1300ms;
// Endpoints avoided per task; a task that fails on this many is at fault.
constexpr std::size_t max_avoided = 4;
// A task is given up when this many endpoint instances have crashed under it,
// and not placed while as many have, or may have.
constexpr std::size_t max_crashes = 2;
// Retry delay if no endpoint is known or large enough; a takeover takes about
// this long.
constexpr duration retry_after_takeover = 1s;
// An overloaded host accepts more within this time, and the balancer sends the
// caller's next connection to another one.
constexpr duration retry_after_overload = 1s;
// Each task carries the label and the rack of its need, so that long ones are
// passed on only if an endpoint has them. A shorter one may be of an endpoint
// whose entry is not read yet.
constexpr std::size_t max_unlisted_bytes = 256;
// Stands for a rack without endpoints: a task that prefers one runs away from
// its data anywhere.
constexpr const char* unlisted_rack = "unlisted";
// A job that was never sent is recalled this long before it can't be completed
// in time any more: a round trip between failure domains, and wake-ups.
constexpr duration recall_margin = 50ms;

// Estimates are off by about 40%, and the fastest endpoints are 25% faster than
// typical ones.
constexpr double min_run_share = 1.0 / 1.4 / 1.25;

// Lower bound for the duration of a run of the task.
duration min_run_time(const task_need& need) {
    const duration estimate = std::chrono::milliseconds(need.estimate_ms);
    return duration(static_cast<std::int64_t>(
        min_run_share * static_cast<double>(estimate.count())));
}

} // namespace

job_coordinator::job_coordinator(const dispatch_settings& settings,
                                 holder_views& views,
                                 const crash_ledger& crashes,
                                 const doubt_ledger& doubts,
                                 caller_port& callers, observer_port& observer,
                                 coordinator_events& events)
    : settings_(settings), views_(views), crashes_(crashes), doubts_(doubts),
      callers_(callers), observer_(observer), events_(events) {}

// --- arrival ----------------------------------------------------------------

void job_coordinator::refuse(timestamp /*now*/, caller_token token,
                             const job_submission& submission,
                             const job_answer& answer) {
    observer_.log(
        log_level::info,
        answer.outcome == job_outcome::failed ? "job_failed" : "job_refused",
        {{"job", submission.work.id},
         {"request", submission.request_id},
         {"queue", submission.queue.name},
         {"reason", answer.reason},
         {"holders_known", views_.empty() ? "no" : "yes"},
         {"queue_wait_ms", std::to_string(to_ms(views_.min_queue_wait(
                               submission.queue.priority)))},
         {"retry_after_ms", std::to_string(to_ms(answer.retry_after))}});
    observer_.count("jobs", to_string(answer.outcome));
    callers_.answer(token, answer);
}

void job_coordinator::log_resubmission(const job_submission& submission,
                                       std::string_view state,
                                       std::uint32_t first_run) {
    observer_.log(log_level::info, "job_submitted_again",
                  {{"job", submission.work.id},
                   {"request", submission.request_id},
                   {"queue", submission.queue.name},
                   {"state", std::string(state)},
                   {"first_run", std::to_string(first_run)}});
}

void job_coordinator::submit(timestamp now, caller_token token,
                             job_submission submission) {
    const auto id = submission.work.id;
    if (const auto kept = cached_answers_.find(id);
        kept != cached_answers_.end()) {
        callers_.answer(token, kept->second.answer);
        return;
    }
    if (const auto running = jobs_.find(id); running != jobs_.end()) {
        // Resubmitted while it runs: the new connection gets the answer.
        log_resubmission(submission, "open", 0);
        job_of_caller_.erase(running->second.token);
        running->second.token = token;
        running->second.caller_deadline = now + submission.caller_timeout;
        job_of_caller_[token] = id;
        return;
    }
    if (const auto answer = find_crashing_task(submission.work)) {
        return refuse(now, token, submission, *answer);
    }
    if (views_.empty() && !no_holder_since_) {
        no_holder_since_ = now;
    }
    const bool takeover_pending =
        views_.empty() && now - *no_holder_since_ < settings_.takeover_limit;
    // A refusal would tell the caller that the job has not run.
    const bool in_doubt = doubts_.is_open_for_job(id);
    const auto former = former_runs_.find(id);
    const bool may_have_come_before =
        former == former_runs_.end()
            ? events_.may_have_come_before(submission.caller_timeout)
            : !former->second.proved;
    const bool unproved =
        may_have_come_before && events_.lacks_proof(submission.queue.pool);
    // Such a job may have run, so it is not told that it has not. It passes the
    // same checks, since after a restart of all hosts most jobs are such.
    const auto rejection =
        unproved ? job_outcome::gave_up : job_outcome::refused;
    // The caller comes again, to a host that need not wait.
    if (unproved && !events_.may_prove_soon() &&
        events_.is_unproved(submission.queue.pool, now,
                            submission.caller_timeout)) {
        return refuse(now, token, submission,
                      {job_outcome::gave_up, "past_unknown", {}});
    }
    if (views_.empty() && !takeover_pending && !in_doubt) {
        return refuse(now, token, submission,
                      {rejection, "no_endpoints", retry_after_takeover});
    }
    if (!in_doubt &&
        events_.is_evacuated(submission.queue.pool, submission.work)) {
        return refuse(now, token, submission,
                      {rejection, "no_endpoints", retry_after_takeover});
    }
    // A job that has runs may have run: see `in_doubt`.
    if (!in_doubt && former == former_runs_.end() && !events_.admit_job()) {
        return refuse(now, token, submission,
                      {rejection, "host_overloaded", retry_after_overload});
    }
    duration total_estimate{0};
    const auto min_time = min_job_time(submission.work);
    std::uint64_t largest_step = 0;
    for (auto& step : submission.work.steps) {
        adjust_need(submission.queue.pool, step.need);
        const auto& label = step.need.required_label;
        const bool may_have_label =
            label.size() <= max_unlisted_bytes ||
            events_.is_label_listed(submission.queue.pool, label);
        const bool fits =
            takeover_pending || views_.fits_any_endpoint(step.need);
        if (!in_doubt && (!may_have_label || !fits)) {
            return refuse(
                now, token, submission,
                {rejection, "task_fits_no_endpoint", retry_after_takeover});
        }
        largest_step = std::max<std::uint64_t>(largest_step, step.count);
        total_estimate += std::chrono::milliseconds(step.need.estimate_ms);
    }
    if (!views_.empty() && !in_doubt && views_.task_room() < largest_step) {
        return refuse(now, token, submission,
                      {rejection, "holders_full", retry_after_overload});
    }
    const auto wait = views_.min_queue_wait(submission.queue.priority);
    if (min_time > submission.caller_timeout && !in_doubt) {
        return refuse(now, token, submission,
                      {rejection, "too_little_time", wait});
    }
    if (wait + min_time > submission.caller_timeout && !in_doubt) {
        return refuse(now, token, submission,
                      {rejection, "queue_too_long", wait});
    }
    auto& state = jobs_[id];
    state.token = token;
    state.arrived = now;
    state.answer_by =
        now + limit_wait(submission.queue.latency_target +
                         scale_wait(total_estimate, submission.queue.stretch));
    state.caller_deadline = now + submission.caller_timeout;
    state.never_sent = former == former_runs_.end() && !in_doubt && !unproved;
    const auto first_run =
        former == former_runs_.end() ? 1 : former->second.highest_run + 1;
    if (former != former_runs_.end()) {
        log_resubmission(submission, "given_up", first_run);
    }
    for (const auto& step : submission.work.steps) {
        step_state fresh;
        fresh.tasks.resize(step.count);
        fresh.remaining = step.count;
        for (auto& task : fresh.tasks) {
            task.run = first_run;
        }
        state.steps.push_back(std::move(fresh));
        task_count_ += step.count;
    }
    state.may_have_come_before = may_have_come_before;
    state.proved = !may_have_come_before;
    state.submission = std::move(submission);
    job_of_caller_[token] = id;
    unblock_steps(state);
    place(now, state);
}

void job_coordinator::adjust_need(const std::string& pool,
                                  task_need& need) const {
    need.room.cpu_millis =
        std::max(need.room.cpu_millis, settings_.min_task_cpu);
    auto& rack = need.preferred_rack;
    if (rack.size() > max_unlisted_bytes &&
        !events_.is_rack_listed(pool, rack)) {
        rack = unlisted_rack;
    }
}

std::optional<job_answer>
job_coordinator::refuse_unread(timestamp /*now*/, const unread_job& unread) {
    const auto& id = unread.id;
    const bool may_have_run =
        cached_answers_.contains(id) || jobs_.contains(id) ||
        former_runs_.contains(id) || doubts_.is_open_for_job(id) ||
        !crashes_.tasks_of(id).empty() ||
        (events_.may_have_come_before(unread.caller_timeout) &&
         events_.lacks_proof(unread.queue.pool));
    if (may_have_run) {
        return std::nullopt;
    }
    const auto wait = views_.min_queue_wait(unread.queue.priority);
    job_answer answer;
    if (!views_.empty() && views_.task_room() == 0) {
        answer = {job_outcome::refused, "holders_full", retry_after_overload};
    } else if (wait > unread.caller_timeout) {
        answer = {job_outcome::refused, "queue_too_long", wait};
    } else if (!events_.admit_job()) {
        answer = {job_outcome::refused, "host_overloaded",
                  retry_after_overload};
    } else {
        return std::nullopt;
    }
    observer_.log(
        log_level::info, "job_refused",
        {{"job", id},
         {"request", unread.request_id},
         {"queue", unread.queue.name},
         {"reason", answer.reason},
         {"read", "no"},
         {"queue_wait_ms", std::to_string(to_ms(wait))},
         {"retry_after_ms", std::to_string(to_ms(answer.retry_after))}});
    observer_.count("jobs", to_string(answer.outcome));
    return answer;
}

void job_coordinator::unblock_steps(job_state& state) {
    for (std::size_t i = 0; i < state.steps.size(); ++i) {
        const auto& after = state.submission.work.steps[i].after;
        const bool open = std::all_of(
            after.begin(), after.end(), [&state](std::uint32_t earlier) {
                return state.steps[earlier].remaining == 0;
            });
        if (!open) {
            continue;
        }
        for (auto& task : state.steps[i].tasks) {
            if (task.phase == task_phase::blocked) {
                task.phase = task_phase::unplaced;
            }
        }
    }
}

void job_coordinator::place(timestamp now, job_state& state) {
    if ((state.recalled && state.never_sent) || hold_unproved(state)) {
        return;
    }
    const auto& submission = state.submission;
    std::map<process_id, task_assignment> assignments;
    for (std::uint32_t s = 0; s < state.steps.size(); ++s) {
        auto& tasks = state.steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            auto& task = tasks[i];
            if (task.phase != task_phase::unplaced) {
                continue;
            }
            const task_key key{submission.work.id, s, i};
            const auto crashes = crashes_.of(key);
            const bool is_listed =
                state.may_have_come_before && doubts_.is_listed(now, key);
            if (is_listed || hold_back(key, task, crashes) ||
                hold_in_doubt(key, task)) {
                continue;
            }
            const auto& need = submission.work.steps[s].need;
            const auto holder = views_.place(now, need, task.returned_by);
            if (!holder) {
                continue;
            }
            task.phase = task_phase::placed;
            task.holder = *holder;
            task.endpoint.clear();
            task.token = 0;
            task.bound_holds = false;
            task.holder_lost = false;
            task.report_lost = false;
            task.runs_end_by = timestamp{0};
            task.awaits_endpoints = false;
            task.own_run_open = false;
            task.found.reset();
            assignments[*holder].items.push_back(
                {{key, task.run},
                 need,
                 task.avoid,
                 static_cast<std::uint32_t>(crashes.total())});
        }
    }
    for (auto& [holder, assignment] : assignments) {
        assignment.job = submission.work.id;
        assignment.payload = submission.work.payload;
        assignment.pool = submission.queue.pool;
        assignment.queue = submission.queue.name;
        assignment.priority = submission.queue.priority;
        assignment.objective_us = (state.answer_by - now).count();
        assignment.patience_us = (state.caller_deadline - now).count();
        events_.send_assignment(holder, assignment);
    }
}

// --- crashes of endpoints ---------------------------------------------------

std::optional<job_answer>
job_coordinator::find_crashing_task(const job& work) const {
    const auto open = jobs_.find(work.id);
    for (const auto& key : crashes_.tasks_of(work.id)) {
        if (key.step >= work.steps.size() ||
            key.index >= work.steps[key.step].count) {
            continue;
        }
        const bool done = open != jobs_.end() &&
                          open->second.steps[key.step].tasks[key.index].phase ==
                              task_phase::done;
        const auto endpoints = crashes_.of(key).certain;
        if (!done && endpoints.size() >= max_crashes) {
            return job_answer{job_outcome::failed,
                              absl::StrCat("task ", key.step, ".", key.index,
                                           " crashed endpoints ",
                                           absl::StrJoin(endpoints, ", ")),
                              {}};
        }
    }
    return std::nullopt;
}

void job_coordinator::fail_crashing_jobs(timestamp now) {
    if (crashes_.generation() == crashes_generation_) {
        return;
    }
    crashes_generation_ = crashes_.generation();
    std::vector<std::pair<std::string, job_answer>> failed;
    for (const auto& [id, state] : jobs_) {
        if (auto answer = find_crashing_task(state.submission.work)) {
            failed.emplace_back(id, std::move(*answer));
        }
    }
    for (const auto& [id, answer] : failed) {
        finish(now, id, answer);
    }
}

bool job_coordinator::hold_back(const task_key& key, task_state& task,
                                const task_crashes& crashes) {
    const bool held_back = crashes.total() >= max_crashes;
    if (held_back != task.held_back) {
        observer_.log(log_level::info,
                      held_back ? "task_held_back" : "task_released",
                      {{"job", key.job},
                       {"task", absl::StrCat(key.step, ".", key.index)},
                       {"run", std::to_string(task.run)},
                       {"crashed", absl::StrJoin(crashes.certain, ",")},
                       {"suspected", std::to_string(crashes.suspected)}});
        task.held_back = held_back;
    }
    return held_back;
}

// --- starts that may still be carried out -----------------------------------

bool job_coordinator::hold_in_doubt(const task_key& key, task_state& task) {
    const bool in_doubt = doubts_.is_open(key);
    if (in_doubt != task.in_doubt) {
        observer_.log(log_level::info,
                      in_doubt ? "task_waits_for_start" : "task_start_resolved",
                      {{"job", key.job},
                       {"task", absl::StrCat(key.step, ".", key.index)},
                       {"run", std::to_string(task.run)}});
        task.in_doubt = in_doubt;
    }
    return in_doubt;
}

bool job_coordinator::hold_unproved(job_state& state) {
    if (state.proved) {
        return false;
    }
    const auto& submission = state.submission;
    state.proved = !events_.is_unproved(submission.queue.pool, state.arrived,
                                        submission.caller_timeout);
    if (state.proved == state.awaits_proof) {
        state.awaits_proof = !state.proved;
        observer_.log(log_level::info,
                      state.proved ? "job_proved" : "job_awaits_endpoints",
                      {{"job", submission.work.id},
                       {"request", submission.request_id},
                       {"queue", submission.queue.name},
                       {"pool", submission.queue.pool}});
    }
    return !state.proved;
}

void job_coordinator::note_doubts(job_state& state) const {
    if (doubts_.is_open_for_job(state.submission.work.id)) {
        state.never_sent = false;
        state.recalled = false;
    }
}

void job_coordinator::announce_doubts(timestamp now, const job_state& state) {
    const auto& work = state.submission.work;
    for (std::uint32_t s = 0; s < state.steps.size(); ++s) {
        const auto& tasks = state.steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
            const auto& task = tasks[i];
            if (task.phase != task_phase::placed || task.bound_holds) {
                continue;
            }
            start_doubt doubt;
            doubt.run = {{work.id, s, i}, task.run};
            doubt.holder = task.holder;
            doubt.endpoint = task.endpoint;
            doubt.token = task.token;
            doubt.holder_lost = true;
            doubt.pool = state.submission.queue.pool;
            doubt.required_label = work.steps[s].need.required_label;
            if (task.holder_lost) {
                announce_doubt(doubt);
            } else {
                given_up_starts_[task.holder].emplace_back(now, doubt);
            }
        }
    }
}

void job_coordinator::announce_doubt(const start_doubt& doubt) {
    const auto& key = doubt.run.task;
    observer_.log(
        log_level::info, "start_in_doubt",
        {{"job", key.job},
         {"task", absl::StrCat(key.step, ".", key.index)},
         {"run", std::to_string(doubt.run.run)},
         {"endpoint", doubt.endpoint.empty() ? "unknown" : doubt.endpoint},
         {"token", std::to_string(doubt.token)},
         {"holder", doubt.holder.address}});
    observer_.count("start_doubts", "told");
    events_.announce_doubt(doubt);
}

void job_coordinator::forget_given_up_starts(timestamp now) {
    for (auto& [holder, starts] : given_up_starts_) {
        std::erase_if(starts, [now, limit = settings_.idle_suspect_after](
                                  const auto& start) {
            return now - start.first > limit;
        });
    }
    std::erase_if(given_up_starts_,
                  [](const auto& item) { return item.second.empty(); });
}

// --- ends -------------------------------------------------------------------

job_coordinator::task_state* job_coordinator::find(const task_key& key,
                                                   job_state** owner) {
    const auto found = jobs_.find(key.job);
    if (found == jobs_.end() || key.step >= found->second.steps.size() ||
        key.index >= found->second.steps[key.step].tasks.size()) {
        return nullptr;
    }
    if (owner != nullptr) {
        *owner = &found->second;
    }
    return &found->second.steps[key.step].tasks[key.index];
}

void job_coordinator::handle_update(timestamp now, const process_id& holder,
                                    const task_update& update) {
    job_state* state = nullptr;
    auto* task = find(update.run.task, &state);
    const bool current = task != nullptr && task->run == update.run.run &&
                         task->phase == task_phase::placed;
    if (!current) {
        return;
    }
    // The holder has lost the endpoint and taken it again since.
    const bool of_earlier_tenure = task->holder == holder &&
                                   task->endpoint == update.endpoint &&
                                   update.token < task->token;
    if (update.kind != update_kind::returned &&
        update.kind != update_kind::refused) {
        state->never_sent = false;
        state->recalled = false;
    }
    const bool ends_run = update.kind != update_kind::started &&
                          update.kind != update_kind::disowned;
    if (of_earlier_tenure && !ends_run) {
        return;
    }
    // The holder of the task's own run may have taken over the found run too.
    if (task->found && task->found->holder == holder &&
        task->found->endpoint == update.endpoint) {
        apply_found_update(now, *state, *task, update);
    } else if (task->holder == holder) {
        apply_update(now, *state, *task, update);
    }
}

void job_coordinator::apply_update(timestamp now, job_state& state,
                                   task_state& task,
                                   const task_update& update) {
    const auto id = state.submission.work.id;
    switch (update.kind) {
    case update_kind::started:
        task.endpoint = update.endpoint;
        task.token = update.token;
        task.bound_holds = update.known_instance;
        state.any_started = true;
        apply_kept_adoption(now, state, task, update);
        return;
    case update_kind::done: {
        task.phase = task_phase::done;
        auto& step = state.steps[update.run.task.step];
        if (--step.remaining > 0) {
            return;
        }
        const bool complete =
            std::all_of(state.steps.begin(), state.steps.end(),
                        [](const step_state& s) { return s.remaining == 0; });
        if (complete) {
            return finish(now, id, {job_outcome::completed, {}, {}});
        }
        unblock_steps(state);
        break;
    }
    case update_kind::failed:
        if (++task.failures >= state.submission.queue.attempts) {
            return finish(now, id,
                          {job_outcome::failed, "attempts_used_up", {}});
        }
        reschedule(update.run.task, task, update.kind, update.endpoint,
                   "reported");
        break;
    case update_kind::disowned: {
        // A later instance of the endpoint may carry out an unanswered start
        // seconds later, until it has answered a call under a higher token.
        const bool answered =
            task.endpoint == update.endpoint && task.token == update.token;
        task.bound_holds =
            update.known_instance || (answered && task.bound_holds);
        const bool ends = task.bound_holds || is_adopted_since(update);
        task.endpoint = update.endpoint;
        task.token = update.token;
        task.holder_lost = true;
        task.report_lost = true; // the former holder sends no more reports
        task.runs_end_by = ends ? now + disowned_run_limit : timestamp::max();
        apply_kept_adoption(now, state, task, update);
        break;
    }
    default:
        reschedule(update.run.task, task, update.kind, update.endpoint,
                   "reported");
        break;
    }
    // The update may have ended the job.
    if (const auto found = jobs_.find(id);
        found != jobs_.end() && !refuse_recalled(now, id)) {
        place(now, found->second);
    }
}

bool job_coordinator::is_adopted_since(const task_update& update) const {
    const auto newest = adoption_tokens_.find(update.endpoint);
    return newest != adoption_tokens_.end() &&
           newest->second.first > update.token;
}

void job_coordinator::apply_kept_adoption(timestamp now, job_state& state,
                                          task_state& task,
                                          const task_update& update) {
    if (task.found && task.found->endpoint == task.endpoint &&
        task.found->token > task.token) {
        follow_found_run(task);
        return;
    }
    const auto kept = recent_adoptions_.find(update.endpoint);
    if (kept == recent_adoptions_.end()) {
        return;
    }
    const auto& [holder, adoption, at] = kept->second;
    const auto is_run = [&update](const task_update& ended) {
        return ended.run == update.run;
    };
    const bool listed =
        std::find(adoption.running.begin(), adoption.running.end(),
                  update.run) != adoption.running.end() ||
        std::any_of(adoption.ended.begin(), adoption.ended.end(), is_run);
    if (update.kind == update_kind::started && !listed) {
        return; // the end of the run follows on the link of its start
    }
    adoption_claim claim{update.endpoint, {}};
    apply_adoption(now, holder, adoption, state, update.run.task.step,
                   update.run.task.index, claim);
    if (!claim.items.empty()) {
        events_.send_claim(holder, claim);
    }
}

void job_coordinator::apply_found_update(timestamp now, job_state& state,
                                         task_state& task,
                                         const task_update& update) {
    switch (update.kind) {
    case update_kind::started:
        return;
    case update_kind::done:
        task.own_run_open = true;
        return apply_update(now, state, task, update);
    case update_kind::disowned: {
        task.found->ends_by = now + disowned_run_limit;
        task.found->report_lost = true;
        const auto kept = recent_adoptions_.find(update.endpoint);
        if (kept == recent_adoptions_.end() ||
            kept->second.adoption.token <= task.found->token) {
            return;
        }
        adoption_claim claim{update.endpoint, {}};
        apply_adoption_to_found(now, kept->second.holder, kept->second.adoption,
                                state, task, update.run, claim);
        if (!claim.items.empty()) {
            events_.send_claim(kept->second.holder, claim);
        }
        return;
    }
    default:
        task.found.reset();
        return;
    }
}

void job_coordinator::follow_found_run(task_state& task) {
    task.holder = task.found->holder;
    task.endpoint = task.found->endpoint;
    task.token = task.found->token;
    task.bound_holds = true;
    task.holder_lost = task.found->ends_by.has_value();
    task.report_lost = task.found->report_lost;
    task.runs_end_by = task.found->ends_by.value_or(timestamp{0});
    task.awaits_endpoints = false;
    task.found.reset();
}

void job_coordinator::reschedule(const task_key& key, task_state& task,
                                 update_kind cause, const std::string& endpoint,
                                 std::string_view why) {
    observer_.log(
        log_level::info, "task_placed_again",
        {{"job", key.job},
         {"task", std::to_string(key.step) + "." + std::to_string(key.index)},
         {"run", std::to_string(task.run)},
         {"cause", std::string(to_string(cause))},
         {"why", std::string(why)},
         {"holder", task.holder.address},
         {"endpoint", task.endpoint.empty() ? "unknown" : task.endpoint},
         {"token", std::to_string(task.token)},
         {"follows_found_run", task.found ? "yes" : "no"}});
    if (task.found) {
        return follow_found_run(task);
    }
    task.phase = task_phase::unplaced;
    task.holder_lost = false;
    ++task.moves;
    if (cause == update_kind::returned) {
        task.returned_by = task.holder;
    } else {
        ++task.run;
        task.returned_by = {};
    }
    const bool avoid_endpoint = cause == update_kind::failed ||
                                cause == update_kind::refused ||
                                cause == update_kind::lost;
    if (avoid_endpoint && !endpoint.empty()) {
        task.avoid.push_back(endpoint);
        if (task.avoid.size() > max_avoided) {
            task.avoid.erase(task.avoid.begin());
        }
    }
}

bool job_coordinator::may_start_late(const job_state& state,
                                     const task_key& key, task_state& task) {
    const auto& pool = state.submission.queue.pool;
    const auto& label =
        state.submission.work.steps[key.step].need.required_label;
    const bool may =
        task.endpoint.empty()
            ? events_.may_start_late(task.holder, pool, label)
            : !task.bound_holds && events_.may_start_late_at(
                                       task.holder, task.endpoint, task.token);
    if (may && !std::exchange(task.awaits_endpoints, true)) {
        observer_.log(
            log_level::info, "task_awaits_endpoints",
            {{"job", key.job},
             {"task", absl::StrCat(key.step, ".", key.index)},
             {"run", std::to_string(task.run)},
             {"holder", task.holder.address},
             {"endpoint", task.endpoint.empty() ? "unknown" : task.endpoint},
             {"pool", pool},
             {"label", label}});
    }
    return may;
}

// The longest lower bound of a step's run time.
duration job_coordinator::min_job_time(const job& work) {
    duration longest{0};
    for (const auto& step : work.steps) {
        longest = std::max(longest, min_run_time(step.need));
    }
    return longest;
}

bool job_coordinator::is_hopeless(timestamp now, const job_state& state,
                                  duration queue_wait) {
    const auto left = state.caller_deadline - now;
    return state.never_sent && !state.recalled &&
           min_job_time(state.submission.work) +
                   std::max(queue_wait, recall_margin) >
               left;
}

void job_coordinator::recall(timestamp now, job_state& state) {
    state.recalled = true;
    std::set<process_id> holders;
    for (const auto& step : state.steps) {
        for (const auto& task : step.tasks) {
            if (task.phase == task_phase::placed) {
                holders.insert(task.holder);
            }
        }
    }
    observer_.log(log_level::info, "job_recalled",
                  {{"job", state.submission.work.id},
                   {"request", state.submission.request_id},
                   {"queue", state.submission.queue.name},
                   {"holders", std::to_string(holders.size())},
                   {"queue_wait_ms", std::to_string(to_ms(views_.min_queue_wait(
                                         state.submission.queue.priority)))},
                   {"age_ms", std::to_string(to_ms(now - state.arrived))}});
    for (const auto& holder : holders) {
        events_.send_recall(holder, {state.submission.work.id});
    }
}

bool job_coordinator::refuse_recalled(timestamp now, const std::string& id) {
    auto& state = jobs_.at(id);
    note_doubts(state);
    const bool all_returned = std::all_of(
        state.steps.begin(), state.steps.end(), [](const step_state& step) {
            return std::all_of(step.tasks.begin(), step.tasks.end(),
                               [](const task_state& task) {
                                   return task.phase == task_phase::blocked ||
                                          task.phase == task_phase::unplaced;
                               });
        });
    if (!state.recalled || !state.never_sent || !all_returned) {
        return false;
    }
    const auto wait = views_.min_queue_wait(state.submission.queue.priority);
    finish(now, id,
           {job_outcome::refused, "queue_too_long",
            std::max(wait, retry_after_takeover)});
    return true;
}

void job_coordinator::withdraw(const job_state& state) {
    std::set<process_id> holders;
    for (const auto& step : state.steps) {
        for (const auto& task : step.tasks) {
            if (task.phase == task_phase::placed || task.own_run_open) {
                holders.insert(task.holder);
                if (task.found) {
                    holders.insert(task.found->holder);
                }
            }
        }
    }
    for (const auto& holder : holders) {
        events_.send_withdrawal(holder, {state.submission.work.id});
    }
}

void job_coordinator::finish(timestamp now, const std::string& id,
                             const job_answer& answer) {
    const auto found = jobs_.find(id);
    auto& state = found->second;
    withdraw(state);
    observer_.count("jobs", to_string(answer.outcome));
    if (answer.outcome != job_outcome::completed) {
        record_former_runs(now, state);
        announce_doubts(now, state);
        log_job(log_level::info,
                answer.outcome == job_outcome::refused ? "job_refused"
                                                       : "job_failed",
                state, answer, now);
    } else {
        log_job(log_level::debug, "job_completed", state, answer, now);
        observer_.record(latency_metric::response_time, now - state.arrived);
        cached_answers_[id] = {answer, now + answer_retention};
    }
    callers_.answer(state.token, answer);
    job_of_caller_.erase(state.token);
    for (const auto& step : state.steps) {
        task_count_ -= step.tasks.size();
    }
    jobs_.erase(found);
}

void job_coordinator::record_former_runs(timestamp now,
                                         const job_state& state) {
    auto& kept = former_runs_[state.submission.work.id];
    kept.expires_at = now + former_runs_retention;
    kept.proved = state.proved;
    for (const auto& step : state.steps) {
        for (const auto& task : step.tasks) {
            kept.highest_run = std::max(kept.highest_run, task.run);
        }
    }
}

void job_coordinator::log_job(log_level level, std::string_view event,
                              const job_state& state, const job_answer& answer,
                              timestamp now) {
    std::size_t open = 0;
    std::string waits_for;
    for (const auto& step : state.steps) {
        open += step.remaining;
        for (const auto& task : step.tasks) {
            if (task.phase == task_phase::placed && waits_for.empty()) {
                waits_for = task.holder.address + "/" +
                            (task.endpoint.empty() ? "queued" : task.endpoint);
            }
        }
    }
    observer_.log(level, event,
                  {{"job", state.submission.work.id},
                   {"request", state.submission.request_id},
                   {"queue", state.submission.queue.name},
                   {"outcome", std::string(to_string(answer.outcome))},
                   {"reason", answer.reason},
                   {"tasks_open", std::to_string(open)},
                   {"waits_for", waits_for},
                   {"age_ms", std::to_string(to_ms(now - state.arrived))},
                   {"answer_by_ms",
                    std::to_string(to_ms(state.answer_by - state.arrived))}});
}

void job_coordinator::drop_caller(timestamp now, caller_token token) {
    const auto found = job_of_caller_.find(token);
    if (found == job_of_caller_.end()) {
        return;
    }
    const auto id = found->second;
    finish(now, id, {job_outcome::gave_up, "caller_left", {}});
}

void job_coordinator::abandon_all(timestamp now, std::string_view reason) {
    while (!jobs_.empty()) {
        finish(now, jobs_.begin()->first,
               {job_outcome::gave_up, std::string(reason), {}});
    }
}

// --- time -------------------------------------------------------------------

bool job_coordinator::cannot_complete_in_time(timestamp now,
                                              const job_state& state) {
    for (std::size_t i = 0; i < state.steps.size(); ++i) {
        const auto min_time = min_run_time(state.submission.work.steps[i].need);
        if (now + min_time <= state.caller_deadline) {
            continue;
        }
        const auto& tasks = state.steps[i].tasks;
        const bool waits =
            std::any_of(tasks.begin(), tasks.end(), [](const task_state& task) {
                return task.phase != task_phase::done &&
                       task.endpoint.empty() && !task.found;
            });
        if (waits) {
            return true;
        }
    }
    return false;
}

void job_coordinator::tick(timestamp now) {
    if (!views_.empty()) {
        no_holder_since_.reset();
    } else if (!no_holder_since_) {
        no_holder_since_ = now;
    }
    fail_crashing_jobs(now);
    std::vector<std::pair<std::string, const char*>> expired;
    std::vector<std::string> recalled;
    std::map<std::uint32_t, duration> waits; // by priority
    for (auto& [id, state] : jobs_) {
        if (now > state.caller_deadline) {
            expired.emplace_back(id, "deadline_passed");
            continue;
        }
        if (cannot_complete_in_time(now, state)) {
            expired.emplace_back(id, "too_late_to_complete");
            continue;
        }
        note_doubts(state);
        const auto priority = state.submission.queue.priority;
        if (!waits.contains(priority)) {
            waits[priority] = views_.min_queue_wait(priority);
        }
        if (is_hopeless(now, state, waits[priority])) {
            recall(now, state);
            recalled.push_back(id);
        }
        bool unplaced = false;
        for (std::uint32_t s = 0; s < state.steps.size(); ++s) {
            auto& tasks = state.steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                auto& task = tasks[i];
                if (task.phase == task_phase::placed && task.holder_lost &&
                    now > task.runs_end_by) {
                    state.never_sent = false;
                    if (!may_start_late(state, {id, s, i}, task)) {
                        reschedule({id, s, i}, task, update_kind::lost, {},
                                   task.awaits_endpoints ? "endpoints_answered"
                                                         : "bound_passed");
                    }
                }
                unplaced |= task.phase == task_phase::unplaced;
            }
        }
        if (unplaced) {
            place(now, state);
        }
    }
    for (const auto& id : recalled) {
        refuse_recalled(now, id);
    }
    for (const auto& [id, reason] : expired) {
        finish(now, id, {job_outcome::gave_up, reason, {}});
    }
    forget_given_up_starts(now);
    std::erase_if(cached_answers_, [now](const auto& item) {
        return now > item.second.expires_at;
    });
    std::erase_if(former_runs_, [now](const auto& item) {
        return now > item.second.expires_at;
    });
    std::erase_if(recent_adoptions_, [now](const auto& item) {
        return now - item.second.at > adoption_retention;
    });
    std::erase_if(adoption_tokens_, [now](const auto& item) {
        return now - item.second.second > adoption_token_retention;
    });
}

std::vector<job_summary> job_coordinator::summaries(timestamp now) const {
    std::vector<job_summary> list;
    for (const auto& [id, state] : jobs_) {
        job_summary row;
        row.id = id;
        row.queue = state.submission.queue.name;
        row.request_id = state.submission.request_id;
        row.started = state.any_started;
        row.age = now - state.arrived;
        for (const auto& step : state.steps) {
            row.tasks += step.tasks.size();
            row.open_tasks += step.remaining;
        }
        list.push_back(std::move(row));
    }
    return list;
}

std::size_t job_coordinator::waiting(const std::string& queue) const {
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [&queue](const auto& item) {
            return item.second.submission.queue.name == queue &&
                   !item.second.any_started;
        }));
}

} // namespace figridge::dispatch
