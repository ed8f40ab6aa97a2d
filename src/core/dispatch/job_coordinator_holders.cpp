// How tasks are resolved when their holder is lost, replaced or reachable
// again.
#include <algorithm>

#include "core/dispatch/job_coordinator.hpp"

namespace figridge::dispatch {

std::set<process_id> job_coordinator::holders() const {
    std::set<process_id> found;
    for (const auto& [id, state] : jobs_) {
        for (const auto& step : state.steps) {
            for (const auto& task : step.tasks) {
                if (task.phase == task_phase::placed) {
                    found.insert(task.holder);
                }
            }
        }
    }
    return found;
}

void job_coordinator::handle_holder_lost(const process_id& holder,
                                         timestamp runs_end_by) {
    views_.remove(holder);
    for (auto& [id, state] : jobs_) {
        for (auto& step : state.steps) {
            for (auto& task : step.tasks) {
                if (task.phase == task_phase::placed && task.holder == holder &&
                    !task.holder_lost) {
                    task.holder_lost = true;
                    task.runs_end_by = runs_end_by;
                }
            }
        }
    }
}

void job_coordinator::handle_holder_recovered(const process_id& holder) {
    for (auto& [id, state] : jobs_) {
        for (auto& step : state.steps) {
            for (auto& task : step.tasks) {
                if (task.holder == holder && !task.report_lost) {
                    task.holder_lost = false;
                }
            }
        }
    }
}

void job_coordinator::handle_reports_lost(const process_id& holder,
                                          timestamp runs_end_by) {
    for (auto& [id, state] : jobs_) {
        for (auto& step : state.steps) {
            for (auto& task : step.tasks) {
                if (task.phase == task_phase::placed && task.holder == holder) {
                    task.holder_lost = true;
                    task.report_lost = true;
                    task.runs_end_by = runs_end_by;
                }
            }
        }
    }
}

void job_coordinator::handle_adoption(timestamp now, const process_id& holder,
                                      const endpoint_adoption& adoption) {
    // Messages of two holders may arrive out of order.
    auto& newest = adoption_tokens_[adoption.endpoint];
    const bool outdated = adoption.token < newest.first;
    observer_.log(log_level::info, "adoption_heard",
                  {{"endpoint", adoption.endpoint},
                   {"holder", holder.address},
                   {"former", adoption.former.address},
                   {"token", std::to_string(adoption.token)},
                   {"newest_token", std::to_string(newest.first)},
                   {"running", std::to_string(adoption.running.size())},
                   {"outcome", outdated ? "outdated" : "applied"}});
    if (outdated) {
        return;
    }
    newest = {adoption.token, now};
    recent_adoptions_[adoption.endpoint] = {holder, adoption, now};
    adoption_claim claim{adoption.endpoint, {}};
    std::vector<std::string> ids;
    for (const auto& [id, state] : jobs_) {
        ids.push_back(id);
    }
    for (const auto& id : ids) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            continue;
        }
        auto& state = found->second;
        for (std::uint32_t s = 0; s < state.steps.size(); ++s) {
            for (std::uint32_t i = 0; i < state.steps[s].tasks.size(); ++i) {
                apply_adoption(now, holder, adoption, state, s, i, claim);
                if (!jobs_.contains(id)) {
                    break;
                }
            }
            if (!jobs_.contains(id)) {
                break;
            }
        }
        if (const auto remaining_job = jobs_.find(id);
            remaining_job != jobs_.end()) {
            place(now, remaining_job->second);
        }
    }
    if (!claim.items.empty()) {
        events_.send_claim(holder, claim);
    }
}

void job_coordinator::apply_adoption(timestamp now, const process_id& holder,
                                     const endpoint_adoption& adoption,
                                     job_state& state, std::uint32_t step,
                                     std::uint32_t index,
                                     adoption_claim& claim) {
    auto& task = state.steps[step].tasks[index];
    const bool on_endpoint = task.endpoint == adoption.endpoint;
    if (on_endpoint && adoption.token <= task.token) {
        return; // started after this adoption
    }
    // The adoption applies even if this host has not noticed the loss of the
    // former holder.
    const bool maybe_on_endpoint =
        task.holder == adoption.former && task.endpoint.empty();
    if (task.phase != task_phase::placed || task.holder == holder ||
        (!on_endpoint && !maybe_on_endpoint)) {
        return;
    }
    const task_run run{{state.submission.work.id, step, index}, task.run};
    if (std::find(adoption.running.begin(), adoption.running.end(), run) !=
        adoption.running.end()) {
        observer_.log(
            log_level::info, "run_claimed",
            {{"job", run.task.job},
             {"task", std::to_string(step) + "." + std::to_string(index)},
             {"run", std::to_string(run.run)},
             {"endpoint", adoption.endpoint},
             {"endpoint_known", on_endpoint ? "yes" : "no"},
             {"former", task.holder.address},
             {"holder", holder.address},
             {"token", std::to_string(adoption.token)}});
        task.holder = holder;
        task.endpoint = adoption.endpoint;
        task.token = adoption.token;
        task.holder_lost = false;
        task.report_lost = false;
        claim.items.push_back({run, state.submission.work.steps[step].need});
        return;
    }
    const auto ended = std::find_if(
        adoption.ended.begin(), adoption.ended.end(),
        [&run](const task_update& update) { return update.run == run; });
    if (ended != adoption.ended.end()) {
        task.holder = holder;
        apply_update(now, state, task, *ended);
        return;
    }
    if (on_endpoint) {
        reschedule(run.task, task, update_kind::lost, {}, "adopted_without_it");
    }
}

} // namespace figridge::dispatch
