// Second part of `coordinator`: outcomes of tasks and jobs.
#include "coordinator.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr duration finish_timeout = 1s;
constexpr duration avoid_duration = 50ms;

failure_cause not_run_variant(failure_cause cause) {
    switch (cause) {
    case failure_cause::deadline:
        return failure_cause::not_run_deadline;
    case failure_cause::cancelled:
        return failure_cause::not_run_cancelled;
    case failure_cause::stopped:
        return failure_cause::not_run_draining;
    default:
        return cause;
    }
}

} // namespace

// --- outcomes of tasks ----------------------------------------------------

coordinator::job_record* coordinator::find_sent(const std::string& from,
                                                const task_ref& ref) {
    const auto found = jobs_.find(ref.id);
    if (found == jobs_.end() || ref.task >= found->second.tasks.size()) {
        return nullptr;
    }
    const auto& task = found->second.tasks[ref.task];
    const bool matches = task.phase == task_phase::sent &&
                         task.attempt == ref.attempt &&
                         task.holder.host == from;
    return matches ? &found->second : nullptr;
}

void coordinator::end_attempt(job_record& record, std::uint32_t task,
                              task_phase phase) {
    auto& state = record.tasks[task];
    state.phase = phase;
    --record.sent;
    --sent_total_;
    limits_.release(record.request.entry, 1);
    if (state.has_queue_room && phase != task_phase::pending) {
        state.has_queue_room = false;
        limits_.release_queue_room(record.request.entry, 1);
    }
}

void coordinator::handle_result(const std::string& from,
                                const task_result& result) {
    auto* record = find_sent(from, result.ref);
    if (record == nullptr) {
        context_.counters.wasted(message_kind::task_result);
        return;
    }
    const auto& id = result.ref.id;
    const bool ok = result.kind == task_result_kind::ok;
    end_attempt(*record, result.ref.task,
                ok ? task_phase::done : task_phase::unsuccessful);
    record->may_have_run = true;
    if (!running_.contains(id)) {
        return;
    }
    const auto where =
        absl::StrCat("task ", result.ref.task, " at ", result.endpoint);
    switch (result.kind) {
    case task_result_kind::ok:
        record->answer.outputs.resize(record->tasks.size());
        record->answer.outputs[result.ref.task] = result.output;
        ++record->done;
        break;
    case task_result_kind::failed:
        fail(id, *record, failure_cause::task_failed,
             absl::StrCat(where, " failed: ", result.output));
        break;
    case task_result_kind::deadline:
        fail(id, *record, failure_cause::deadline,
             absl::StrCat(where, " exceeded its deadline"));
        break;
    case task_result_kind::lost:
        retry_or_fail(id, *record, result.ref.task,
                      failure_cause::endpoint_lost,
                      absl::StrCat(where, " was lost"));
        break;
    case task_result_kind::stopped:
        break;
    }
    if (running_.contains(id)) {
        try_finish(id, *record);
    }
}

void coordinator::retry_or_fail(const submission_id& id, job_record& record,
                                std::uint32_t task, failure_cause cause,
                                const std::string& detail) {
    record.may_have_run = true;
    const bool may_retry = record.request.idempotent &&
                           record.ending == failure_cause::none &&
                           retry_tokens_ >= 1.0;
    if (!may_retry) {
        fail(id, record, cause, detail);
        return;
    }
    retry_tokens_ -= 1.0;
    context_.counters.wasted(message_kind::start);
    record.tasks[task].phase = task_phase::pending;
    ++record.pending;
    ++pending_total_;
    enqueue(id, record);
    place_pending();
}

void coordinator::handle_return(const std::string& from,
                                const task_return& returned) {
    const bool rebalanced = returned.reason == return_reason::rebalanced;
    if (!rebalanced) {
        context_.counters.wasted(message_kind::task_batch,
                                 returned.refs.empty() ? 0 : 1);
    }
    const bool avoid = returned.reason == return_reason::queue_full ||
                       returned.reason == return_reason::no_endpoint;
    if (avoid) {
        avoid_until_[from] = context_.now + avoid_duration;
    }
    for (const auto& ref : returned.refs) {
        auto* record = find_sent(from, ref);
        if (record == nullptr) {
            context_.counters.wasted(message_kind::task_return);
            continue;
        }
        if (record->ending != failure_cause::none) {
            end_attempt(*record, ref.task, task_phase::unstarted);
            if (running_.contains(ref.id)) {
                try_finish(ref.id, *record);
            }
            continue;
        }
        end_attempt(*record, ref.task, task_phase::pending);
        ++record->pending;
        ++pending_total_;
        if (rebalanced && members_.is_alive(returned.hint)) {
            send_to_hint(returned.hint, ref, *record);
        }
        if (record->tasks[ref.task].phase == task_phase::pending) {
            enqueue(ref.id, *record);
        }
    }
    send_batches();
    place_pending();
}

void coordinator::send_to_hint(const std::string& hint, const task_ref& ref,
                               job_record& record) {
    auto holder = view_of(hint);
    if (holder.total_slots == 0) {
        return;
    }
    const auto permit = limits_.take(record.request.entry, 1);
    if (permit.count == 1) {
        send_task(holder, ref.id, record, ref.task, permit);
    }
}

void coordinator::holder_gone(const host_incarnation& gone) {
    in_flight_.erase(gone.host);
    std::vector<submission_id> affected;
    for (auto& [id, record] : jobs_) {
        const bool uses = std::any_of(
            record.tasks.begin(), record.tasks.end(),
            [&gone](const task_record& task) {
                return task.phase == task_phase::sent && task.holder == gone;
            });
        if (uses) {
            affected.push_back(id);
        }
    }
    const auto release_at = context_.now + context_.settings.max_task_run +
                            context_.settings.clock_margin;
    for (const auto& id : affected) {
        auto& record = jobs_.at(id);
        for (std::uint32_t task = 0; task < record.tasks.size(); ++task) {
            auto& state = record.tasks[task];
            if (state.phase != task_phase::sent || state.holder != gone) {
                continue;
            }
            // The task may still be running, so it counts against the limit
            // until it must have ended.
            limits_.add_running(record.request.entry);
            delayed_releases_.emplace(release_at, record.request.entry);
            end_attempt(record, task, task_phase::unsuccessful);
            record.may_have_run = true;
            if (running_.contains(id)) {
                retry_or_fail(id, record, task, failure_cause::holder_lost,
                              absl::StrCat("host ", gone.host,
                                           " was lost with task ", task));
            }
        }
    }
}

// --- outcomes of jobs -----------------------------------------------------

void coordinator::fail(const submission_id& id, job_record& record,
                       failure_cause cause, const std::string& detail) {
    if (record.ending == failure_cause::none) {
        record.ending = cause;
        record.detail = detail;
        record.finish_by = context_.now + finish_timeout;
        deadlines_.emplace(record.finish_by, id);
        drop_pending(record);
        send_cancels(id, record);
    }
    try_finish(id, record);
}

void coordinator::drop_pending(job_record& record) {
    for (auto& task : record.tasks) {
        if (task.phase != task_phase::pending) {
            continue;
        }
        task.phase = task_phase::unstarted;
        if (task.has_queue_room) {
            task.has_queue_room = false;
            limits_.release_queue_room(record.request.entry, 1);
        }
    }
    pending_total_ -= record.pending;
    record.pending = 0;
}

void coordinator::send_cancels(const submission_id& id, job_record& record) {
    std::set<host_incarnation> holders;
    for (const auto& task : record.tasks) {
        if (task.phase == task_phase::sent) {
            holders.insert(task.holder);
        }
    }
    for (const auto& holder : holders) {
        if (members_.incarnation_of(holder.host) == holder.incarnation) {
            members_.outbox(holder.host).cancels.push_back({id});
        }
    }
}

void coordinator::try_finish(const submission_id& id, job_record& record) {
    if (record.ending == failure_cause::none) {
        if (record.done == record.tasks.size()) {
            finish(id, record);
        }
        return;
    }
    const bool certain = record.may_have_run || record.sent == 0;
    if (certain || context_.now >= record.finish_by) {
        finish(id, record);
    }
}

void coordinator::finish(const submission_id& id, job_record& record) {
    auto& answer = record.answer;
    if (record.ending == failure_cause::none) {
        answer.state = job_state::complete;
    } else {
        answer.state = job_state::failed;
        answer.may_have_run = record.may_have_run || record.sent > 0;
        answer.cause = answer.may_have_run ? record.ending
                                           : not_run_variant(record.ending);
        answer.detail = record.detail;
        answer.outputs.clear();
    }
    answer.tasks_done = record.done;
    record.ended = context_.now;
    running_.erase(id);
    deadlines_.erase({record.deadline, id});
    deadlines_.erase({record.finish_by, id});
    ended_.push_back(id);
    ended_bytes_ += answer_bytes(record);
    for (auto& task : record.request.tasks) {
        task.payload.clear();
        task.payload.shrink_to_fit();
    }
    context_.ports.observer.record(latency_metric::response_time,
                                   context_.now - record.submitted);
    answer_waiters(record);
    evict_old_answers();
}

void coordinator::answer_waiters(job_record& record) {
    const auto waiters = std::exchange(record.waiters, {});
    for (const auto& recipient : waiters) {
        on_answer(recipient, record.answer);
    }
}

std::size_t coordinator::answer_bytes(const job_record& record) const {
    std::size_t bytes =
        sizeof(job_record) +
        record.tasks.size() * (sizeof(task_record) + sizeof(task_spec));
    for (const auto& output : record.answer.outputs) {
        bytes += sizeof(output) + output.size();
    }
    return bytes;
}

void coordinator::evict_old_answers() {
    while (!ended_.empty()) {
        const auto found = jobs_.find(ended_.front());
        const auto& record = found->second;
        const bool old =
            context_.now - record.ended > context_.settings.answer_retention;
        const bool too_many =
            ended_bytes_ > context_.settings.answer_memory_bytes;
        // The record of a job with sent tasks is kept: they may still run, and
        // it is needed to release their permits.
        if ((!old && !too_many) || record.sent > 0) {
            return;
        }
        ended_bytes_ -= answer_bytes(record);
        jobs_.erase(found);
        ended_.pop_front();
    }
}

void coordinator::tick() {
    ledger_.expire(context_.now);
    while (!delayed_releases_.empty() &&
           delayed_releases_.begin()->first <= context_.now) {
        limits_.release(delayed_releases_.begin()->second, 1);
        delayed_releases_.erase(delayed_releases_.begin());
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= context_.now) {
        const auto id = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        if (const auto found = jobs_.find(id);
            found != jobs_.end() && running_.contains(id)) {
            fail(id, found->second, failure_cause::deadline,
                 "the job exceeded its deadline");
        }
    }
    evict_old_answers();
    place_pending();
}

void coordinator::stop_all() {
    const std::vector<submission_id> ids(running_.begin(), running_.end());
    for (const auto& id : ids) {
        fail(id, jobs_.at(id), failure_cause::stopped,
             "the host was stopped before the job ended");
    }
}

bool coordinator::is_idle() const {
    return running_.empty() && sent_total_ == 0;
}

std::vector<job_answer> coordinator::ended_answers() const {
    std::vector<job_answer> answers;
    for (const auto& id : ended_) {
        answers.push_back(jobs_.at(id).answer);
    }
    return answers;
}

retired_ids coordinator::used_ids() const {
    return {context_.settings.self.address, context_.settings.incarnation,
            ledger_.first_valid(), ledger_.used_from_first_valid()};
}

std::vector<job_summary> coordinator::summaries(std::size_t max_count) const {
    std::vector<job_summary> summaries;
    for (const auto& id : running_) {
        if (summaries.size() == max_count) {
            break;
        }
        const auto& record = jobs_.at(id);
        summaries.push_back({id, record.request.entry, record.owner,
                             job_state::running, record.done, record.sent,
                             record.pending});
    }
    return summaries;
}

} // namespace figridge
