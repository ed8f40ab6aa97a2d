// Checks what the fakes of the virtual cluster recorded against the guarantees.
#include "virtual_cluster.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "virtual_host.hpp"

namespace figridge::testing {
namespace {

constexpr duration spread_bound = 4s;
constexpr duration freshness_bound = 2500ms;
constexpr duration link_margin = 100ms;

} // namespace

std::string virtual_output(const task_spec& spec) {
    return "done " + spec.payload;
}

host_core& virtual_cluster::core(const std::string& host) {
    return *hosts_.at(host)->core;
}

bool virtual_cluster::is_up(const std::string& host) const {
    return hosts_.at(host)->core != nullptr;
}

std::vector<std::string> virtual_cluster::host_names() const {
    std::vector<std::string> names;
    for (const auto& [name, node] : hosts_) {
        names.push_back(name);
    }
    return names;
}

std::vector<std::string> virtual_cluster::endpoint_names() const {
    std::vector<std::string> names;
    for (const auto& [name, endpoint] : endpoints_) {
        names.push_back(name);
    }
    return names;
}

bool virtual_cluster::all_calls_answered() const {
    return std::all_of(calls_.begin(), calls_.end(),
                       [](const auto& call_state) {
                           return call_state->final_answer.has_value();
                       });
}

std::uint32_t virtual_cluster::starts_of(const submission_id& id) const {
    std::uint32_t sum = 0;
    for (const auto& [key, count] : starts_) {
        sum += key.first == id ? count : 0;
    }
    return sum;
}

std::uint32_t virtual_cluster::peak_running(const std::string& entry) const {
    const auto found = peak_running_.find(entry);
    return found == peak_running_.end() ? 0 : found->second;
}

// A holder must not start tasks of a coordinator that it has not heard from
// recently: the coordinator may be gone and its limits reassigned to others.
void virtual_cluster::check_freshness(const std::string& holder,
                                      const start_order& order) {
    const auto& coordinator = order.ref.id.host;
    const auto heard = delivered_.find({coordinator, holder});
    const bool stale = coordinator != holder &&
                       (heard == delivered_.end() ||
                        now_ - heard->second > freshness_bound + link_margin);
    if (stale) {
        violations_.push_back(absl::StrCat("stale_start: ", holder, " started ",
                                           to_string(order.ref.id), " at ",
                                           to_ms(now_), " ms"));
    }
}

void virtual_cluster::check_keys(std::vector<std::string>& found) const {
    std::map<std::string, std::set<submission_id>> ran;
    for (const auto& call_state : calls_) {
        if (!call_state->job.idempotency_key.empty() &&
            starts_of(call_state->id) > 0) {
            ran[call_state->job.idempotency_key].insert(call_state->id);
        }
    }
    for (const auto& [key, ids] : ran) {
        if (ids.size() > 1) {
            found.push_back(absl::StrCat("doubled: key ", key, " ran under ",
                                         ids.size(), " ids"));
        }
    }
}

void virtual_cluster::check_starts(std::vector<std::string>& found) const {
    std::set<submission_id> idempotent;
    for (const auto& call_state : calls_) {
        if (call_state->job.idempotent) {
            idempotent.insert(call_state->id);
        }
    }
    for (const auto& [key, count] : starts_) {
        if (count > 1 && !idempotent.contains(key.first)) {
            found.push_back(absl::StrCat("doubled: ", to_string(key.first),
                                         " task ", key.second, " started ",
                                         count, " times"));
        }
    }
}

void virtual_cluster::check_answers(std::vector<std::string>& found) const {
    std::map<submission_id, std::vector<const job_answer*>> by_id;
    for (const auto& call_state : calls_) {
        if (!call_state->final_answer) {
            found.push_back(absl::StrCat("lost: no answer for ",
                                         to_string(call_state->id)));
            continue;
        }
        const auto& answer = *call_state->final_answer;
        by_id[answer.id].push_back(&answer);
        const auto& tasks = call_state->job.tasks;
        if (answer.state == job_state::complete) {
            bool outputs_match = answer.outputs.size() == tasks.size();
            for (std::size_t task = 0; outputs_match && task < tasks.size();
                 ++task) {
                outputs_match =
                    answer.outputs[task] == virtual_output(tasks[task]);
            }
            if (!outputs_match) {
                found.push_back(
                    absl::StrCat("partial: ", to_string(call_state->id)));
            }
        } else if (!answer.outputs.empty()) {
            found.push_back(absl::StrCat("partial: failed job ",
                                         to_string(call_state->id),
                                         " has outputs"));
        }
        const bool says_not_run =
            answer.state == job_state::failed &&
            (!answer.may_have_run || is_not_run(answer.cause));
        if (says_not_run && starts_of(answer.id) > 0) {
            found.push_back(
                absl::StrCat("false_not_run: ", to_string(answer.id), " ",
                             std::string(to_string(answer.cause))));
        }
    }
    for (const auto& answer : not_run_answers_) {
        if (starts_of(answer.id) > 0) {
            found.push_back(absl::StrCat(
                "false_not_run: ", to_string(answer.id), " ", answer.detail));
        }
    }
    for (const auto& [id, answers] : by_id) {
        const job_answer* known = nullptr;
        for (const auto* answer : answers) {
            if (answer->cause == failure_cause::outcome_unknown) {
                continue;
            }
            const bool differs =
                known != nullptr && (known->state != answer->state ||
                                     known->cause != answer->cause ||
                                     known->outputs != answer->outputs);
            if (differs) {
                found.push_back(
                    absl::StrCat("answers differ for ", to_string(id)));
            }
            known = answer;
        }
    }
}

void virtual_cluster::check_catalogue(std::vector<std::string>& found) {
    for (const auto& edit : stored_edits_) {
        const auto row = table_.find(absl::StrCat("edit/", edit.edit_id));
        if (row == table_.end() ||
            row->second.value != std::to_string(edit.version)) {
            found.push_back(absl::StrCat("lost: accepted edit ", edit.edit_id,
                                         " is not in the table"));
        }
        for (const auto& [name, node] : hosts_) {
            const bool late =
                node->core && now_ - edit.stored_at > spread_bound &&
                now_ >= node->paused_until + spread_bound &&
                node->core->current_catalogue().version < edit.version;
            if (late) {
                found.push_back(absl::StrCat("late edit: ", edit.edit_id,
                                             " is not in force at ", name));
            }
        }
    }
    std::set<std::uint64_t> versions;
    for (const auto& edit : stored_edits_) {
        if (!versions.insert(edit.version).second) {
            found.push_back(
                absl::StrCat("reverted: two edits at version ", edit.version));
        }
    }
}

void virtual_cluster::check_limits(std::vector<std::string>& found) const {
    for (const auto& entry : defined_) {
        std::uint32_t limit = 0;
        for (const auto& [domain, share] : entry.running_tasks) {
            limit += share;
        }
        if (!entry.running_tasks.empty() && peak_running(entry.name) > limit) {
            found.push_back(absl::StrCat("limit: ", entry.name, " ran ",
                                         peak_running(entry.name), " of ",
                                         limit));
        }
    }
}

std::vector<std::string> virtual_cluster::violations() {
    auto found = violations_;
    check_starts(found);
    check_answers(found);
    check_catalogue(found);
    check_limits(found);
    check_keys(found);
    return found;
}

} // namespace figridge::testing
