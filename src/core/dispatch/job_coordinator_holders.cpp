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
                    if (task.found) {
                        found.insert(task.found->holder);
                    }
                }
            }
        }
    }
    return found;
}

void job_coordinator::handle_holder_lost(const process_id& holder,
                                         timestamp runs_end_by) {
    views_.remove(holder);
    if (const auto given_up = given_up_starts_.extract(holder)) {
        for (const auto& [at, doubt] : given_up.mapped()) {
            announce_doubt(doubt);
        }
    }
    for (auto& [id, state] : jobs_) {
        for (auto& step : state.steps) {
            for (auto& task : step.tasks) {
                // A holder that was heard since an earlier loss keeps the tasks
                // longer. A disowned run is no longer with it.
                if (task.phase == task_phase::placed && task.holder == holder &&
                    !task.report_lost) {
                    task.holder_lost = true;
                    task.runs_end_by = std::max(task.runs_end_by, runs_end_by);
                }
                if (task.found && task.found->holder == holder &&
                    !task.found->report_lost) {
                    task.found->ends_by = std::max(
                        task.found->ends_by.value_or(runs_end_by), runs_end_by);
                }
            }
        }
    }
}

void job_coordinator::handle_holder_recovered(const process_id& holder,
                                              timestamp doubts_told_by) {
    for (auto& [id, state] : jobs_) {
        for (auto& step : state.steps) {
            for (auto& task : step.tasks) {
                if (task.holder == holder && !task.report_lost) {
                    task.holder_lost = false;
                    task.runs_end_by = timestamp{0};
                    task.awaits_endpoints = false;
                } else if (task.holder == holder && !task.bound_holds) {
                    task.runs_end_by =
                        std::max(task.runs_end_by, doubts_told_by);
                }
                if (task.found && task.found->holder == holder &&
                    !task.found->report_lost) {
                    task.found->ends_by.reset();
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
                    // Not earlier than that of a run disowned before.
                    task.runs_end_by =
                        task.report_lost
                            ? std::max(task.runs_end_by, runs_end_by)
                            : runs_end_by;
                    task.holder_lost = true;
                    task.report_lost = true;
                }
                if (task.found && task.found->holder == holder) {
                    task.found->report_lost = true;
                    task.found->ends_by = runs_end_by;
                }
            }
        }
    }
}

void job_coordinator::handle_endpoint_gone(timestamp now,
                                           const std::string& endpoint) {
    for (auto& [id, state] : jobs_) {
        for (auto& step : state.steps) {
            for (auto& task : step.tasks) {
                if (task.phase == task_phase::placed &&
                    task.endpoint == endpoint && task.holder_lost) {
                    task.runs_end_by =
                        std::min(task.runs_end_by, now + settings_.gone_limit);
                }
            }
        }
    }
}

void job_coordinator::handle_fences(timestamp now,
                                    const std::vector<endpoint_fence>& fences,
                                    timestamp runs_end_by) {
    if (fences.empty()) {
        return;
    }
    std::map<std::string, std::uint64_t> tokens;
    for (const auto& fence : fences) {
        auto& token = tokens[fence.endpoint];
        token = std::max(token, fence.token);
        auto& newest = adoption_tokens_[fence.endpoint];
        if (newest.first < fence.token) {
            newest = {fence.token, now};
        }
    }
    for (auto& [id, state] : jobs_) {
        for (auto& step : state.steps) {
            for (auto& task : step.tasks) {
                if (task.phase != task_phase::placed || !task.holder_lost) {
                    continue;
                }
                const auto answered = tokens.find(task.endpoint);
                if (answered != tokens.end() && task.token < answered->second) {
                    task.runs_end_by = std::min(task.runs_end_by, runs_end_by);
                    task.bound_holds = true;
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
    // The adoption may have ended the job of a run claimed before.
    std::erase_if(claim.items, [this](const adoption_claim::item& item) {
        return !jobs_.contains(item.run.task.job);
    });
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
    const task_run run{{state.submission.work.id, step, index}, task.run};
    if (task.phase != task_phase::placed) {
        return;
    }
    if (task.found && task.found->endpoint == adoption.endpoint) {
        if (adoption.token > task.found->token) {
            apply_adoption_to_found(now, holder, adoption, state, task, run,
                                    claim);
        }
        return;
    }
    // The adoption applies even if this host has not noticed the loss of the
    // former holder.
    const bool maybe_on_endpoint = task.holder == adoption.former &&
                                   task.holder != holder &&
                                   task.endpoint.empty();
    if (!on_endpoint && !maybe_on_endpoint) {
        return;
    }
    const auto& need = state.submission.work.steps[step].need;
    if (std::find(adoption.running.begin(), adoption.running.end(), run) !=
        adoption.running.end()) {
        if (task.found && !on_endpoint) {
            return; // at most one of two such runs is the task's own
        }
        state.never_sent = false;
        claim_run(holder, adoption, run, need, task.holder, on_endpoint, claim);
        if (on_endpoint) {
            task.holder = holder;
            task.token = adoption.token;
            task.bound_holds = true;
            task.holder_lost = false;
            task.report_lost = false;
            task.runs_end_by = timestamp{0};
        } else {
            task.found = found_run{holder, adoption.endpoint, adoption.token,
                                   std::nullopt, false};
        }
        return;
    }
    const auto ended = std::find_if(
        adoption.ended.begin(), adoption.ended.end(),
        [&run](const task_update& update) { return update.run == run; });
    if (ended != adoption.ended.end()) {
        // Another coordinator's run that is done has done the task as well; any
        // other end of it says nothing of the task's own run.
        if (on_endpoint || ended->kind == update_kind::done) {
            task.own_run_open = !on_endpoint;
            apply_update(now, state, task, *ended);
        }
        return;
    }
    if (on_endpoint) {
        reschedule(run.task, task, update_kind::lost, {}, "adopted_without_it");
    }
}

void job_coordinator::claim_run(const process_id& holder,
                                const endpoint_adoption& adoption,
                                const task_run& run, const task_need& need,
                                const process_id& former, bool endpoint_known,
                                adoption_claim& claim) {
    observer_.log(log_level::info, "run_claimed",
                  {{"job", run.task.job},
                   {"task", std::to_string(run.task.step) + "." +
                                std::to_string(run.task.index)},
                   {"run", std::to_string(run.run)},
                   {"endpoint", adoption.endpoint},
                   {"endpoint_known", endpoint_known ? "yes" : "no"},
                   {"former", former.address},
                   {"holder", holder.address},
                   {"token", std::to_string(adoption.token)}});
    claim.items.push_back({run, need});
}

void job_coordinator::apply_adoption_to_found(
    timestamp now, const process_id& holder, const endpoint_adoption& adoption,
    job_state& state, task_state& task, const task_run& run,
    adoption_claim& claim) {
    if (std::find(adoption.running.begin(), adoption.running.end(), run) !=
        adoption.running.end()) {
        claim_run(holder, adoption, run,
                  state.submission.work.steps[run.task.step].need,
                  task.found->holder, true, claim);
        task.found = found_run{holder, adoption.endpoint, adoption.token,
                               std::nullopt, false};
        return;
    }
    const auto ended = std::find_if(
        adoption.ended.begin(), adoption.ended.end(),
        [&run](const task_update& update) { return update.run == run; });
    task.found.reset();
    if (ended != adoption.ended.end() && ended->kind == update_kind::done) {
        task.own_run_open = true;
        apply_update(now, state, task, *ended);
    }
}

} // namespace figridge::dispatch
