#include "slot_holder.hpp"

#include <algorithm>

namespace figridge {
namespace {

constexpr duration give_up_grace = 1500ms;
constexpr duration pull_interval = 4ms;
constexpr std::uint32_t ewma_weight = 16;
constexpr std::uint32_t min_queue_to_pull_from = 2;

} // namespace

slot_holder::slot_holder(core_context& context, membership& members)
    : context_(context), members_(members), pool_(context) {}

std::size_t slot_holder::queue_bound() const {
    return std::size_t{context_.settings.max_queued_per_slot} *
           std::max<std::uint32_t>(pool_.total_slots(), 1);
}

void slot_holder::handle_batch(const std::string& from,
                               const task_batch& batch) {
    queued_task task;
    task.entry = batch.entry;
    task.owner = batch.owner;
    task.priority = batch.priority;
    task.task_deadline_ms = batch.task_deadline_ms;
    task.received = context_.now;
    task.submitted = context_.now - duration{batch.job_age_us};
    task.start_by = timestamp{batch.echo_us} + duration{batch.start_within_us};
    for (const auto& item : batch.items) {
        task.ref = {batch.id, item.task, item.attempt};
        task.spec = item.spec;
        if (!pool_.fits(task.spec)) {
            return_task(task, return_reason::no_endpoint, {});
        } else if (queue_.size() >= queue_bound()) {
            return_task(task, return_reason::queue_full, {});
        } else if (from != batch.id.host) {
            return_task(task, return_reason::refused, {});
        } else {
            queue_.push(task);
        }
    }
    dispatch();
}

void slot_holder::return_task(const queued_task& task, return_reason reason,
                              const std::string& hint) {
    if (members_.incarnation_of(task.ref.id.host) != task.ref.id.incarnation) {
        return;
    }
    auto& returns = members_.outbox(task.ref.id.host).returns;
    const bool extends = !returns.empty() && returns.back().reason == reason &&
                         returns.back().hint == hint;
    if (!extends) {
        returns.push_back({reason, hint, {}});
    }
    returns.back().refs.push_back(task.ref);
}

bool slot_holder::may_start(const queued_task& task) const {
    return members_.is_fresh(task.ref.id.host,
                             context_.settings.start_freshness);
}

void slot_holder::dispatch() {
    std::vector<queued_task> unplaced;
    while (pool_.free_slots() > 0) {
        auto next = queue_.pop();
        if (!next) {
            break;
        }
        if (context_.now > next->start_by) {
            return_task(*next, return_reason::start_window_passed, {});
            continue;
        }
        if (!may_start(*next)) {
            awaiting_contact_[next->ref.id.host].push_back(std::move(*next));
            continue;
        }
        auto* endpoint = pool_.pick(next->spec);
        if (endpoint == nullptr) {
            unplaced.push_back(std::move(*next));
            continue;
        }
        start(*endpoint, std::move(*next));
    }
    for (auto& task : unplaced) {
        queue_.put_back(std::move(task));
    }
    pull_if_idle();
}

void slot_holder::start(held_endpoint& endpoint, queued_task task) {
    const auto ref = task.ref;
    const start_order order{ref, task.entry, task.spec, task.task_deadline_ms};
    running_task running;
    running.endpoint = endpoint.info.address;
    running.started = context_.now;
    running.give_up_at = context_.now +
                         std::chrono::milliseconds(task.task_deadline_ms) +
                         give_up_grace;
    context_.ports.observer.record(latency_metric::queue_time,
                                   context_.now - task.received);
    running.task = std::move(task);
    const auto address = running.endpoint;
    running_.emplace(ref, std::move(running));
    pool_.task_started(address);
    context_.counters.sent(message_kind::start);
    context_.ports.endpoints.start(address, order);
}

void slot_holder::handle_start_reply(const start_reply& reply) {
    const bool not_started = reply.status == start_status::refused ||
                             reply.status == start_status::leaving ||
                             reply.status == start_status::not_sent;
    // A result belongs to the task named in its body, which may differ from
    // the task of the order.
    const auto& subject =
        reply.status == start_status::finished ? reply.answered : reply.order;
    const auto running = running_.find(subject);
    if (running == running_.end() ||
        running->second.endpoint != reply.endpoint) {
        context_.counters.wasted(message_kind::start);
        context_.log(log_level::warning, "answer_to_nobody",
                     {{"endpoint", reply.endpoint},
                      {"id", to_string(subject.id)},
                      {"task", std::to_string(subject.task)}});
    } else if (not_started) {
        handle_refused_start(running);
    } else if (reply.status == start_status::finished) {
        finish(running,
               reply.failed ? task_result_kind::failed : task_result_kind::ok,
               reply);
    } else {
        finish(running,
               reply.status == start_status::deadline
                   ? task_result_kind::deadline
                   : task_result_kind::lost,
               reply);
    }
    dispatch();
}

void slot_holder::handle_refused_start(running_map::iterator running) {
    context_.counters.wasted(message_kind::start);
    auto refused = std::move(running->second);
    running_.erase(running);
    pool_.start_refused(refused.endpoint);
    if (refused.orphan) {
        return;
    }
    if (refused.stopping) {
        return_task(refused.task, return_reason::refused, {});
        return;
    }
    requeue(std::move(refused.task));
}

void slot_holder::requeue(queued_task task) {
    if (pool_.fits(task.spec)) {
        queue_.put_back(std::move(task));
    } else {
        return_task(task, return_reason::no_endpoint, {});
    }
}

void slot_holder::finish(running_map::iterator running, task_result_kind kind,
                         const start_reply& reply) {
    auto ended = std::move(running->second);
    running_.erase(running);
    const auto used = context_.now - ended.started;
    queue_.charge(ended.task.owner, used);
    context_.ports.observer.record(latency_metric::task_time, used);
    const auto run_ms = static_cast<std::uint32_t>(to_ms(used));
    mean_run_ms_ =
        mean_run_ms_ == 0
            ? run_ms
            : (mean_run_ms_ * (ewma_weight - 1) + run_ms) / ewma_weight;
    const bool failed = kind != task_result_kind::ok && !ended.stopping;
    pool_.task_ended(ended.endpoint, ended.task.ref.id, ended.task.owner,
                     failed, health_of_peers_);
    const auto& ref = ended.task.ref;
    if (ended.orphan ||
        members_.incarnation_of(ref.id.host) != ref.id.incarnation) {
        return;
    }
    task_result result;
    result.ref = ref;
    result.kind = ended.stopping && kind != task_result_kind::ok
                      ? task_result_kind::stopped
                      : kind;
    result.endpoint = ended.endpoint;
    result.output = reply.output;
    result.run_ms = run_ms;
    result.queue_ms =
        static_cast<std::uint32_t>(to_ms(ended.started - ended.task.received));
    members_.outbox(ref.id.host).results.push_back(std::move(result));
}

void slot_holder::handle_cancel(const std::string& from,
                                const job_cancel& cancel) {
    const auto of_job = [&cancel](const queued_task& task) {
        return task.ref.id == cancel.id;
    };
    bool found = false;
    for (const auto& task : queue_.remove_if(of_job)) {
        return_task(task, return_reason::refused, {});
        found = true;
    }
    auto& waiting = awaiting_contact_[from];
    for (const auto& task : waiting) {
        if (of_job(task)) {
            return_task(task, return_reason::refused, {});
            found = true;
        }
    }
    std::erase_if(waiting, of_job);
    for (auto& [ref, running] : running_) {
        if (ref.id == cancel.id && !running.stopping) {
            running.stopping = true;
            found = true;
            context_.counters.sent(message_kind::stop);
            context_.ports.endpoints.stop(running.endpoint, ref);
        }
    }
    if (!found) {
        context_.counters.wasted(message_kind::job_cancel);
    }
}

void slot_holder::handle_pull(const std::string& from,
                              const pull_request& pull) {
    const auto spare = queue_.size() > pool_.free_slots()
                           ? queue_.size() - pool_.free_slots()
                           : 0;
    const auto max_count = std::min<std::size_t>(pull.slots, spare);
    const auto moved = queue_.take_from_back(max_count);
    if (moved.empty()) {
        context_.counters.wasted(message_kind::pull);
        return;
    }
    for (const auto& task : moved) {
        return_task(task, return_reason::rebalanced, from);
    }
}

std::string slot_holder::most_loaded_host() const {
    std::string loaded;
    std::uint32_t max_queued = min_queue_to_pull_from;
    for (const auto& host : members_.alive_hosts()) {
        // At most one pull per advert: the next one waits until the host has
        // acknowledged the last and reported its queue length again.
        const auto pulled = last_pull_by_host_.find(host);
        const bool has_new_advert = pulled == last_pull_by_host_.end() ||
                                    members_.echo_of(host) >= pulled->second;
        if (const auto queued = members_.advert_of(host).queued_tasks;
            queued > max_queued && has_new_advert &&
            host != context_.settings.self.address) {
            loaded = host;
            max_queued = queued;
        }
    }
    return loaded;
}

void slot_holder::pull_if_idle() {
    const bool rebalances =
        context_.settings.placement == placement_policy_kind::rebalance;
    const auto free = pool_.free_slots();
    if (!rebalances || free == 0 || !queue_.empty() ||
        context_.now - last_pull_at_ < pull_interval) {
        return;
    }
    if (const auto host = most_loaded_host(); !host.empty()) {
        last_pull_at_ = context_.now;
        last_pull_by_host_[host] = context_.now;
        members_.outbox(host).pulls.push_back({free});
    }
}

void slot_holder::coordinator_gone(const host_incarnation& gone) {
    const auto of_coordinator = [&gone](const queued_task& task) {
        return task.ref.id.host == gone.host &&
               task.ref.id.incarnation == gone.incarnation;
    };
    queue_.remove_if(of_coordinator);
    std::erase_if(awaiting_contact_[gone.host], of_coordinator);
    for (auto& [ref, running] : running_) {
        running.orphan = running.orphan || of_coordinator(running.task);
    }
}

void slot_holder::give_up_overdue_tasks() {
    std::vector<task_ref> overdue;
    for (const auto& [ref, running] : running_) {
        if (context_.now >= running.give_up_at) {
            overdue.push_back(ref);
        }
    }
    for (const auto& ref : overdue) {
        const auto running = running_.find(ref);
        start_reply reply;
        reply.endpoint = running->second.endpoint;
        reply.order = ref;
        context_.counters.sent(message_kind::stop);
        context_.ports.endpoints.stop(reply.endpoint, ref);
        finish(running, task_result_kind::deadline, reply);
    }
}

void slot_holder::tick(const peer_health& health_of_peers) {
    health_of_peers_ = health_of_peers;
    give_up_overdue_tasks();
    for (auto& [host, tasks] : awaiting_contact_) {
        if (members_.is_fresh(host, context_.settings.start_freshness)) {
            for (auto& task : tasks) {
                requeue(std::move(task));
            }
            tasks.clear();
        }
    }
    const auto late = [this](const queued_task& task) {
        return context_.now > task.start_by;
    };
    for (const auto& task : queue_.remove_if(late)) {
        return_task(task, return_reason::start_window_passed, {});
    }
    pool_.probe_due_endpoints();
    dispatch();
}

void slot_holder::assign(const std::vector<endpoint_info>& endpoints,
                         const std::map<std::string, bool>& leaving) {
    pool_.assign(endpoints, leaving);
    const auto does_not_fit = [this](const queued_task& task) {
        return !pool_.fits(task.spec);
    };
    for (const auto& task : queue_.remove_if(does_not_fit)) {
        return_task(task, return_reason::no_endpoint, {});
    }
    for (auto& [host, tasks] : awaiting_contact_) {
        for (const auto& task : tasks) {
            if (does_not_fit(task)) {
                return_task(task, return_reason::no_endpoint, {});
            }
        }
        std::erase_if(tasks, does_not_fit);
    }
    dispatch();
}

} // namespace figridge
