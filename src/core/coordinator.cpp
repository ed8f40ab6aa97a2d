#include "coordinator.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr double max_retry_tokens = 20.0;
constexpr std::uint32_t min_retry_after_ms = 100;
constexpr std::uint32_t default_mean_run_ms = 400;

bool declares_resources(const task_spec& spec) {
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
                                               const waiter& recipient,
                                               bool hold) {
    if (wait(id, recipient)) {
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
    record.waiters.push_back(recipient);
    running_.insert(id);
    if (const auto reason = check_admission(job);
        reason.cause != failure_cause::none) {
        refuse(record, reason);
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
        if (declares_resources(job.tasks[index]) && !directory_.empty() &&
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
                absl::StrCat("queued_tasks: limit of entry ", job.entry,
                             " reached"),
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
    mean_run_ms = mean_run_ms == 0 ? default_mean_run_ms : mean_run_ms;
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
            absl::StrCat("overloaded: the estimated queue wait is ", wait_ms,
                         " ms"),
            static_cast<std::uint32_t>(
                std::max<std::uint64_t>(wait_ms / 2, min_retry_after_ms))};
}

void coordinator::refuse(job_record& record, const refusal& reason) {
    record.ending = reason.cause;
    record.detail = reason.detail;
    record.answer.retry_after_ms = reason.retry_after_ms;
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
    if (found == jobs_.end() || !found->second.held || !running_.contains(id)) {
        return;
    }
    found->second.held = false;
    enqueue(id, found->second);
    place_pending();
}

void coordinator::reject_held(const submission_id& id, failure_cause cause,
                              const std::string& detail) {
    if (const auto found = jobs_.find(id);
        found != jobs_.end() && found->second.held && running_.contains(id)) {
        fail(id, found->second, cause, detail);
    }
}

std::vector<waiter> coordinator::take_waiters(const submission_id& id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? std::vector<waiter>{}
                                : std::exchange(found->second.waiters, {});
}

bool coordinator::wait(const submission_id& id, const waiter& recipient) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        found->second.waiters.push_back(recipient);
        if (!running_.contains(id)) {
            answer_waiters(found->second);
        }
        return true;
    }
    const auto state = ledger_.state_of(id.counter);
    if (state != id_state::used && state != id_state::expired) {
        return false;
    }
    on_answer(recipient, answer_of(id));
    return true;
}

job_answer coordinator::answer_of(const submission_id& id) const {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        auto answer = found->second.answer;
        if (running_.contains(id)) {
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
        answer.detail = "the record of the job has expired";
    }
    return answer;
}

bool coordinator::cancel(const submission_id& id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return false;
    }
    if (running_.contains(id)) {
        fail(id, found->second, failure_cause::cancelled,
             "cancelled by the caller");
    }
    return true;
}

// --- placement ------------------------------------------------------------

std::uint32_t coordinator::in_flight_to(const std::string& host) const {
    std::uint32_t sum = 0;
    if (const auto groups = in_flight_.find(host); groups != in_flight_.end()) {
        for (const auto& group : groups->second) {
            sum += group.count;
        }
    }
    return sum;
}

void coordinator::remove_delivered() {
    for (auto& [host, groups] : in_flight_) {
        const bool local = host == context_.settings.self.address;
        const auto seen = local ? context_.now : members_.echo_of(host);
        while (!groups.empty() && groups.front().at <= seen) {
            groups.pop_front();
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
    if (!declares_resources(spec)) {
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
    remove_delivered();
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
    auto& groups = in_flight_[holder.host];
    if (groups.empty() || groups.back().at != context_.now) {
        groups.push_back({context_.now, 0});
    }
    ++groups.back().count;

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

} // namespace figridge
