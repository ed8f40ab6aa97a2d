#include "coordinator.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr duration settle_bound = 1s;
constexpr duration avoid_time = 50ms;
constexpr double max_retry_tokens = 20.0;
constexpr std::uint32_t min_retry_after_ms = 100;
constexpr std::uint32_t mean_run_ms_unknown = 400;

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

bool has_size(const task_spec& spec) {
    return spec.cpu_millis > 0 || spec.memory_mb > 0 || spec.accelerators > 0;
}

} // namespace

coordinator::coordinator(core_context& context, membership& members,
                         limit_book& limits,
                         const endpoint_directory& directory,
                         const host_view& host)
    : context_(context), members_(members), limits_(limits),
      directory_(directory), host_(host),
      policy_(make_placement_policy(context.settings.placement)),
      ledger_(context.settings) {}

std::vector<submission_id> coordinator::mint(std::uint32_t count) {
    const auto& self = context_.settings.self;
    const auto first = ledger_.mint(count, context_.now);
    std::vector<submission_id> ids;
    ids.reserve(count);
    for (std::uint64_t counter = first; counter < first + count; ++counter) {
        ids.push_back({self.failure_domain, self.address,
                       context_.settings.incarnation, counter});
    }
    return ids;
}

// --- submission -----------------------------------------------------------

coordinator::submit_result coordinator::submit(const submission_id& id,
                                               const job_request& job,
                                               const waiter& who, bool hold) {
    if (wait(id, who)) {
        return submit_result::attached;
    }
    if (ledger_.state_of(id.counter) == id_state::not_minted) {
        return submit_result::invalid_id;
    }
    ledger_.mark_used(id.counter);
    auto& record = jobs_[id];
    record.request = job;
    record.submitted = context_.now;
    record.answer.id = id;
    record.answer.tasks_total = static_cast<std::uint32_t>(job.tasks.size());
    record.tasks.resize(job.tasks.size());
    record.waiters.push_back(who);
    live_.insert(id);
    if (const auto why = check_admission(job);
        why.cause != failure_cause::none) {
        refuse(record, why);
        return submit_result::accepted;
    }
    const auto& entry = host_.current_catalogue().entries.at(job.entry);
    record.owner = entry.owner;
    record.task_deadline_ms = entry.task_deadline_ms;
    record.deadline =
        context_.now +
        (job.deadline_ms == 0
             ? context_.settings.default_deadline
             : duration{std::chrono::milliseconds(job.deadline_ms)});
    record.pending = record.answer.tasks_total;
    pending_total_ += record.pending;
    for (auto& task : record.tasks) {
        task.has_queue_room = true;
    }
    limits_.take_queue_room(job.entry, record.pending);
    retry_tokens_ = std::min(
        max_retry_tokens, retry_tokens_ + context_.settings.retry_budget_ratio);
    deadlines_.emplace(record.deadline, id);
    record.held = hold;
    if (!hold) {
        enqueue(id, record);
    }
    return submit_result::accepted;
}

coordinator::refusal
coordinator::check_admission(const job_request& job) const {
    const auto& entries = host_.current_catalogue().entries;
    if (draining_) {
        return {failure_cause::not_run_draining, "the host is stopping",
                min_retry_after_ms};
    }
    if (!entries.contains(job.entry)) {
        return {failure_cause::not_run_unknown_entry,
                absl::StrCat("entry: no entry ", job.entry), 0};
    }
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        if (has_size(job.tasks[index]) && !directory_.empty() &&
            !directory_.any_fits(job.tasks[index])) {
            return {
                failure_cause::not_run_cannot_fit,
                absl::StrCat("tasks[", index, "]: larger than every endpoint"),
                0};
        }
    }
    const auto count = static_cast<std::uint32_t>(job.tasks.size());
    if (!limits_.has_queue_room(job.entry, count)) {
        return {failure_cause::not_run_limit,
                absl::StrCat("queued_tasks: entry ", job.entry, " is full"),
                min_retry_after_ms};
    }
    return check_load(job);
}

coordinator::refusal coordinator::check_load(const job_request& job) const {
    std::uint64_t slots = 0;
    std::uint64_t waiting = pending_total_;
    std::uint64_t mean_run_ms = 0;
    for (const auto& host : members_.alive_hosts()) {
        const auto advert = host == context_.settings.self.address
                                ? host_.own_advert()
                                : members_.advert_of(host);
        slots += advert.total_slots;
        waiting += advert.queued_tasks;
        mean_run_ms = std::max<std::uint64_t>(mean_run_ms, advert.mean_run_ms);
    }
    if (slots == 0 || waiting == 0) {
        return {};
    }
    mean_run_ms = mean_run_ms == 0 ? mean_run_ms_unknown : mean_run_ms;
    const auto wait_ms = waiting * mean_run_ms / slots;
    const auto deadline_ms =
        job.deadline_ms == 0 ? static_cast<std::uint64_t>(
                                   to_ms(context_.settings.default_deadline))
                             : job.deadline_ms;
    const bool too_long = waiting >= slots && wait_ms >= deadline_ms;
    const bool too_many =
        waiting >= slots * context_.settings.max_queued_per_slot;
    if (!too_long && !too_many) {
        return {};
    }
    return {failure_cause::not_run_overloaded,
            absl::StrCat("the queue is about ", wait_ms, " ms long"),
            static_cast<std::uint32_t>(
                std::max<std::uint64_t>(wait_ms / 2, min_retry_after_ms))};
}

void coordinator::refuse(job_record& record, const refusal& why) {
    record.ending = why.cause;
    record.detail = why.detail;
    record.answer.retry_after_ms = why.retry_after_ms;
    for (auto& task : record.tasks) {
        task.phase = task_phase::unstarted;
    }
    finish(record.answer.id, record);
}

void coordinator::enqueue(const submission_id& id, const job_record& record) {
    auto& queue = queues_[record.request.entry];
    if (record.request.priority == priority_class::urgent) {
        queue.urgent.push_back(id);
    } else {
        queue.normal.push_back(id);
    }
}

void coordinator::release_hold(const submission_id& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || !found->second.held || !live_.contains(id)) {
        return;
    }
    found->second.held = false;
    enqueue(id, found->second);
    place_pending();
}

void coordinator::reject_held(const submission_id& id, failure_cause cause,
                              std::string detail) {
    if (const auto found = jobs_.find(id);
        found != jobs_.end() && found->second.held && live_.contains(id)) {
        fail(id, found->second, cause, detail);
    }
}

std::vector<waiter> coordinator::take_waiters(const submission_id& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? std::vector<waiter>{}
                                : std::exchange(found->second.waiters, {});
}

bool coordinator::wait(const submission_id& id, const waiter& who) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        found->second.waiters.push_back(who);
        if (!live_.contains(id)) {
            answer_waiters(found->second);
        }
        return true;
    }
    const auto state = ledger_.state_of(id.counter);
    if (state != id_state::used && state != id_state::expired) {
        return false;
    }
    on_answer(who, answer_of(id));
    return true;
}

job_answer coordinator::answer_of(const submission_id& id) const {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        auto answer = found->second.answer;
        if (live_.contains(id)) {
            answer.state = job_state::running;
            answer.tasks_done = found->second.done;
            answer.outputs.clear();
        }
        return answer;
    }
    job_answer answer;
    answer.id = id;
    const auto state = ledger_.state_of(id.counter);
    if (state == id_state::used || state == id_state::expired) {
        answer.state = job_state::failed;
        answer.cause = failure_cause::outcome_unknown;
        answer.may_have_run = true;
        answer.detail = "the record is no longer kept";
    }
    return answer;
}

bool coordinator::cancel(const submission_id& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return false;
    }
    if (live_.contains(id)) {
        fail(id, found->second, failure_cause::cancelled,
             "cancelled by the caller");
    }
    return true;
}

void coordinator::drop_waiter(const submission_id& id, caller_token token) {
    if (const auto found = jobs_.find(id); found != jobs_.end()) {
        std::erase_if(found->second.waiters, [token](const waiter& who) {
            const auto* held = std::get_if<caller_token>(&who);
            return held != nullptr && *held == token;
        });
    }
}

// --- placement ------------------------------------------------------------

std::uint32_t coordinator::in_flight_to(const std::string& host) const {
    std::uint32_t sum = 0;
    if (const auto marks = in_flight_.find(host); marks != in_flight_.end()) {
        for (const auto& mark : marks->second) {
            sum += mark.count;
        }
    }
    return sum;
}

void coordinator::forget_delivered() {
    for (auto& [host, marks] : in_flight_) {
        const bool local = host == context_.settings.self.address;
        const auto seen = local ? context_.now : members_.echo_of(host);
        while (!marks.empty() && marks.front().at <= seen) {
            marks.pop_front();
        }
    }
}

holder_view coordinator::view_of(const std::string& host) const {
    const auto advert = host == context_.settings.self.address
                            ? host_.own_advert()
                            : members_.advert_of(host);
    holder_view view;
    view.host = host;
    view.own_domain =
        members_.domain_of(host) == context_.settings.self.failure_domain;
    view.free_slots = advert.free_slots;
    view.total_slots = advert.total_slots;
    view.queued_tasks = advert.queued_tasks;
    view.in_flight = in_flight_to(host);
    return view;
}

std::vector<holder_view> coordinator::usable_holders() const {
    std::vector<holder_view> holders;
    for (const auto& host : members_.alive_hosts()) {
        const auto avoided = avoid_until_.find(host);
        if (avoided != avoid_until_.end() && context_.now < avoided->second) {
            continue;
        }
        if (auto view = view_of(host); view.total_slots > 0) {
            holders.push_back(std::move(view));
        }
    }
    return holders;
}

holder_view* coordinator::choose_holder(std::vector<holder_view>& holders,
                                        const task_spec& spec) {
    if (holders.empty()) {
        return nullptr;
    }
    if (!has_size(spec)) {
        return &holders[policy_->choose(holders, context_.random)];
    }
    const auto fitting = host_.holders_fitting(spec);
    std::vector<holder_view> subset;
    for (const auto& holder : holders) {
        if (fitting.contains(holder.host)) {
            subset.push_back(holder);
        }
    }
    if (subset.empty()) {
        return nullptr;
    }
    const auto& host = subset[policy_->choose(subset, context_.random)].host;
    return &*std::find_if(
        holders.begin(), holders.end(),
        [&host](const holder_view& holder) { return holder.host == host; });
}

void coordinator::place_pending() {
    if (pending_total_ == 0) {
        return;
    }
    forget_delivered();
    auto holders = usable_holders();
    if (holders.empty()) {
        return;
    }
    for (auto& [entry, queue] : queues_) {
        place_queue(queue.urgent, holders);
    }
    for (auto& [entry, queue] : queues_) {
        place_queue(queue.normal, holders);
    }
    send_batches();
}

void coordinator::place_queue(std::deque<submission_id>& queue,
                              std::vector<holder_view>& holders) {
    while (!queue.empty()) {
        const auto found = jobs_.find(queue.front());
        const bool wanted = found != jobs_.end() && found->second.pending > 0;
        if (wanted && !place_job(queue.front(), found->second, holders)) {
            return;
        }
        queue.pop_front();
    }
}

bool coordinator::place_job(const submission_id& id, job_record& record,
                            std::vector<holder_view>& holders) {
    const auto& entry = record.request.entry;
    const auto permit = limits_.take(entry, record.pending);
    auto left = permit.count;
    for (std::uint32_t task = 0; task < record.tasks.size() && left > 0;
         ++task) {
        if (record.tasks[task].phase != task_phase::pending) {
            continue;
        }
        auto* holder = choose_holder(holders, record.request.tasks[task]);
        if (holder != nullptr) {
            send_task(*holder, id, record, task, permit);
            --left;
        }
    }
    limits_.release(entry, left);
    return record.pending == 0;
}

void coordinator::send_task(holder_view& holder, const submission_id& id,
                            job_record& record, std::uint32_t task,
                            const start_permit& permit) {
    auto& state = record.tasks[task];
    state.phase = task_phase::sent;
    ++state.attempt;
    state.holder = {holder.host, members_.incarnation_of(holder.host)};
    --record.pending;
    ++record.sent;
    --pending_total_;
    ++sent_total_;
    if (state.has_queue_room && holder.pressure() < 0) {
        state.has_queue_room = false;
        limits_.release_queue_room(record.request.entry, 1);
    }
    ++holder.in_flight;
    auto& marks = in_flight_[holder.host];
    if (marks.empty() || marks.back().at != context_.now) {
        marks.push_back({context_.now, 0});
    }
    ++marks.back().count;

    auto& batch = batches_[{holder.host, id}];
    if (batch.items.empty()) {
        batch.id = id;
        batch.entry = record.request.entry;
        batch.owner = record.owner;
        batch.priority = record.request.priority;
        batch.task_deadline_ms = record.task_deadline_ms;
        batch.job_age_us = (context_.now - record.submitted).count();
        batch.echo_us = members_.stamp_of(holder.host);
        const auto until = std::min(permit.valid_until, record.deadline);
        batch.start_within_us = (until - context_.now).count();
    }
    batch.items.push_back({task, state.attempt, record.request.tasks[task]});
}

void coordinator::send_batches() {
    for (auto& [key, batch] : batches_) {
        members_.outbox(key.first).batches.push_back(std::move(batch));
    }
    batches_.clear();
}

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

void coordinator::leave_sent(job_record& record, std::uint32_t task,
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
    leave_sent(*record, result.ref.task,
               ok ? task_phase::done : task_phase::settled);
    record->may_have_run = true;
    if (!live_.contains(id)) {
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
             absl::StrCat(where, " passed its deadline"));
        break;
    case task_result_kind::lost:
        retry_or_fail(id, *record, result.ref.task,
                      failure_cause::endpoint_lost,
                      absl::StrCat(where, " was lost"));
        break;
    case task_result_kind::stopped:
        break;
    }
    if (live_.contains(id)) {
        settle(id, *record);
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
        avoid_until_[from] = context_.now + avoid_time;
    }
    for (const auto& ref : returned.refs) {
        auto* record = find_sent(from, ref);
        if (record == nullptr) {
            context_.counters.wasted(message_kind::task_return);
            continue;
        }
        if (record->ending != failure_cause::none) {
            leave_sent(*record, ref.task, task_phase::unstarted);
            if (live_.contains(ref.id)) {
                settle(ref.id, *record);
            }
            continue;
        }
        leave_sent(*record, ref.task, task_phase::pending);
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
            // The task may still run, so its permission is kept for a while.
            limits_.hold(record.request.entry);
            delayed_releases_.emplace(release_at, record.request.entry);
            leave_sent(record, task, task_phase::settled);
            record.may_have_run = true;
            if (live_.contains(id)) {
                retry_or_fail(id, record, task, failure_cause::holder_lost,
                              absl::StrCat("host ", gone.host,
                                           " was lost with task ", task));
            }
        }
    }
}

// --- ends of jobs ---------------------------------------------------------

void coordinator::fail(const submission_id& id, job_record& record,
                       failure_cause cause, const std::string& detail) {
    if (record.ending == failure_cause::none) {
        record.ending = cause;
        record.detail = detail;
        record.settle_by = context_.now + settle_bound;
        deadlines_.emplace(record.settle_by, id);
        drop_pending(record);
        send_cancels(id, record);
    }
    settle(id, record);
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

void coordinator::settle(const submission_id& id, job_record& record) {
    if (record.ending == failure_cause::none) {
        if (record.done == record.tasks.size()) {
            finish(id, record);
        }
        return;
    }
    const bool certain = record.may_have_run || record.sent == 0;
    if (certain || context_.now >= record.settle_by) {
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
    live_.erase(id);
    deadlines_.erase({record.deadline, id});
    deadlines_.erase({record.settle_by, id});
    ended_.push_back(id);
    ended_bytes_ += answer_bytes(record);
    for (auto& task : record.request.tasks) {
        task.payload.clear();
        task.payload.shrink_to_fit();
    }
    context_.ports.observer.record(measure::response_time,
                                   context_.now - record.submitted);
    answer_waiters(record);
    evict_old_answers();
}

void coordinator::answer_waiters(job_record& record) {
    const auto waiters = std::exchange(record.waiters, {});
    for (const auto& who : waiters) {
        on_answer(who, record.answer);
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
        // Tasks that may still run keep their permissions through the record.
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
            found != jobs_.end() && live_.contains(id)) {
            fail(id, found->second, failure_cause::deadline,
                 "the job passed its deadline");
        }
    }
    evict_old_answers();
    place_pending();
}

void coordinator::stop_all() {
    const std::vector<submission_id> ids(live_.begin(), live_.end());
    for (const auto& id : ids) {
        fail(id, jobs_.at(id), failure_cause::stopped,
             "the host was stopped before the job ended");
    }
}

bool coordinator::is_idle() const {
    return live_.empty() && sent_total_ == 0;
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

std::vector<job_summary> coordinator::summaries(std::size_t most) const {
    std::vector<job_summary> summaries;
    for (const auto& id : live_) {
        if (summaries.size() == most) {
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
