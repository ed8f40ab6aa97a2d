#include "core/dispatch/doubt_ledger.hpp"

#include <algorithm>
#include <utility>

namespace figridge::dispatch {
namespace {

// No caller submits a job again after this time.
constexpr duration entry_retention = 10min;
// Time for coordinators to claim the runs that an adoption lists, after which
// the others are stopped.
constexpr duration claim_limit = 100ms;
// A holder that has dropped the tasks of a coordinator tells its own doubts
// within this time.
constexpr duration tell_limit = 500ms;

bool is_same(const start_doubt& one, const start_doubt& other) {
    return one.run == other.run && one.holder == other.holder &&
           one.endpoint == other.endpoint && one.token == other.token &&
           one.holder_lost == other.holder_lost;
}

} // namespace

duration doubt_ledger::run_limit() const {
    const auto drift_allowance = std::chrono::duration_cast<duration>(
        settings_.lease_limit * settings_.clock_drift);
    return claim_limit + settings_.lease_limit + drift_allowance +
           2 * settings_.stop_limit;
}

void doubt_ledger::record(timestamp now, const start_doubt& doubt) {
    if (doubt.over) {
        if (doubt.run.task.job.empty()) {
            return erase_if([&doubt](const entry& known) {
                return known.doubt.holder == doubt.holder &&
                       !known.doubt.holder_lost;
            });
        }
        // Not all tasks: many starts are resolved at once after a cut.
        const auto task = tasks_.find(doubt.run.task);
        if (task != tasks_.end()) {
            std::erase_if(task->second, [&doubt](const entry& known) {
                return is_same(known.doubt, doubt);
            });
            if (task->second.empty()) {
                tasks_.erase(task);
            }
        }
        return;
    }
    entry added{doubt, now, std::nullopt, std::nullopt, timestamp{0}};
    const auto answer = answers_.find(doubt.endpoint);
    if (answer != answers_.end() && answer->second.token > doubt.token) {
        added.fenced_by = run_end(answer->second, doubt.run.task);
        if (!added.fenced_by) {
            return;
        }
    }
    auto& known = tasks_[doubt.run.task];
    const bool told_before =
        std::any_of(known.begin(), known.end(), [&doubt](const entry& other) {
            return is_same(other.doubt, doubt);
        });
    if (!told_before) {
        known.push_back(std::move(added));
    }
}

std::optional<timestamp> doubt_ledger::run_end(const answered_call& answer,
                                               const task_key& task) const {
    if (answer.running && !answer.running->contains(task)) {
        return std::nullopt;
    }
    return answer.at + run_limit();
}

void doubt_ledger::handle_adoption(timestamp now,
                                   const endpoint_adoption& adoption) {
    std::set<task_key> running;
    for (const auto& run : adoption.running) {
        running.insert(run.task);
    }
    apply_answer(now, adoption.endpoint,
                 {adoption.token, now, std::move(running)});
}

void doubt_ledger::handle_fence(timestamp now, const endpoint_fence& fence) {
    apply_answer(now, fence.endpoint, {fence.token, now, std::nullopt});
}

void doubt_ledger::apply_answer(timestamp now, const std::string& endpoint,
                                answered_call answer) {
    auto& newest = answers_[endpoint];
    const bool has_list = answer.running.has_value();
    if (answer.token < newest.token ||
        (answer.token == newest.token && !has_list)) {
        return;
    }
    for (auto& [task, known] : tasks_) {
        for (auto& other : known) {
            if (other.doubt.endpoint.empty() && has_list &&
                answer.running->contains(task)) {
                // Nobody need claim the run, which then ends with its stop or
                // lease, later than the tenure of the doubt's holder.
                other.listed_run_ends_by = answer.at + run_limit();
            }
            if (other.doubt.endpoint != endpoint ||
                other.doubt.token >= answer.token) {
                continue;
            }
            const auto end = run_end(answer, task);
            other.fenced_by = std::min(
                other.fenced_by.value_or(timestamp::max()), end.value_or(now));
        }
    }
    erase_if([now](const entry& known) {
        return known.fenced_by && *known.fenced_by <= now;
    });
    newest = std::move(answer);
}

void doubt_ledger::handle_listed(const std::string& endpoint) {
    if (gone_.erase(endpoint) == 0) {
        return;
    }
    for (auto& [task, known] : tasks_) {
        for (auto& other : known) {
            if (other.doubt.endpoint == endpoint) {
                other.gone_by.reset();
            }
        }
    }
}

void doubt_ledger::handle_removed(timestamp now, const std::string& endpoint) {
    for (auto& [task, known] : tasks_) {
        for (auto& other : known) {
            if (other.doubt.endpoint == endpoint && !other.gone_by) {
                other.gone_by = now + settings_.gone_limit;
                gone_.insert(endpoint);
            }
        }
    }
}

void doubt_ledger::tick(
    timestamp now,
    const std::function<bool(const start_doubt& doubt)>& may_start_late) {
    erase_if([&](const entry& known) {
        const auto& doubt = known.doubt;
        const bool holder_has_told =
            doubt.holder_lost && now >= known.listed_run_ends_by &&
            now - known.at > settings_.abandon_after + tell_limit &&
            !may_start_late(doubt);
        return holder_has_told || now - known.at > entry_retention ||
               (known.fenced_by && now >= *known.fenced_by) ||
               (known.gone_by && now >= *known.gone_by);
    });
    // Without a list the entry tells no more than its token.
    for (auto& [endpoint, answer] : answers_) {
        if (answer.running && now - answer.at > entry_retention) {
            answer.running.reset();
        }
    }
}

void doubt_ledger::erase_if(
    const std::function<bool(const entry& known)>& is_over) {
    for (auto task = tasks_.begin(); task != tasks_.end();) {
        std::erase_if(task->second, is_over);
        task = task->second.empty() ? tasks_.erase(task) : std::next(task);
    }
}

bool doubt_ledger::is_open(const task_key& task) const {
    return tasks_.contains(task);
}

bool doubt_ledger::is_open_for_job(const std::string& job) const {
    const auto first = tasks_.lower_bound({job, 0, 0});
    return first != tasks_.end() && first->first.job == job;
}

bool doubt_ledger::is_listed(timestamp now, const task_key& task) const {
    return std::any_of(answers_.begin(), answers_.end(), [&](const auto& item) {
        const auto& answer = item.second;
        return answer.running && answer.running->contains(task) &&
               now < answer.at + run_limit();
    });
}

std::vector<start_doubt> doubt_ledger::of(const process_id& holder) const {
    std::vector<start_doubt> found;
    for (const auto& [task, known] : tasks_) {
        for (const auto& other : known) {
            if (other.doubt.holder == holder && !other.doubt.holder_lost) {
                found.push_back(other.doubt);
            }
        }
    }
    return found;
}

std::vector<start_doubt> doubt_ledger::all() const {
    std::vector<start_doubt> found;
    for (const auto& [task, known] : tasks_) {
        for (const auto& other : known) {
            found.push_back(other.doubt);
        }
    }
    return found;
}

std::size_t doubt_ledger::size() const {
    std::size_t count = 0;
    for (const auto& [task, known] : tasks_) {
        count += known.size();
    }
    return count;
}

} // namespace figridge::dispatch
