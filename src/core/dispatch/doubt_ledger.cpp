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
    const auto task = tasks_.find(doubt.run.task);
    if (doubt.over) {
        std::vector<std::uint64_t> ended;
        if (doubt.run.task.job.empty()) {
            if (const auto held = holders_.find(doubt.holder);
                held != holders_.end()) {
                for (const auto number : held->second) {
                    ++visited_;
                    if (!entries_.at(number).doubt.holder_lost) {
                        ended.push_back(number);
                    }
                }
            }
        } else if (task != tasks_.end()) {
            for (const auto number : task->second) {
                ++visited_;
                if (is_same(entries_.at(number).doubt, doubt)) {
                    ended.push_back(number);
                }
            }
        }
        for (const auto number : ended) {
            erase(number);
        }
        return;
    }
    entry added;
    added.doubt = doubt;
    added.at = now;
    const auto answer = answers_.find(doubt.endpoint);
    if (answer != answers_.end() && answer->second.token > doubt.token) {
        added.fenced_by = run_end(answer->second, doubt.run.task);
        if (!added.fenced_by) {
            return;
        }
    }
    const bool told_before =
        task != tasks_.end() &&
        std::any_of(task->second.begin(), task->second.end(),
                    [&](std::uint64_t number) {
                        ++visited_;
                        return is_same(entries_.at(number).doubt, doubt);
                    });
    if (!told_before) {
        insert(std::move(added));
    }
}

void doubt_ledger::insert(entry added) {
    const auto number = ++last_number_;
    const auto& doubt = added.doubt;
    tasks_[doubt.run.task].push_back(number);
    holders_[doubt.holder].insert(number);
    endpoints_[doubt.endpoint].insert(number);
    if (doubt.holder_lost) {
        added.asked_at =
            added.at + settings_.abandon_after + tell_limit + duration{1};
        asks_.emplace(added.asked_at, number);
    }
    schedule_end(number,
                 entries_.emplace(number, std::move(added)).first->second);
}

void doubt_ledger::erase(std::uint64_t number) {
    const auto removed = entries_.extract(number).mapped();
    const auto& doubt = removed.doubt;
    const auto task = tasks_.find(doubt.run.task);
    std::erase(task->second, number);
    if (task->second.empty()) {
        tasks_.erase(task);
    }
    const auto held = holders_.find(doubt.holder);
    held->second.erase(number);
    if (held->second.empty()) {
        holders_.erase(held);
    }
    const auto endpoint = endpoints_.find(doubt.endpoint);
    endpoint->second.erase(number);
    if (endpoint->second.empty()) {
        endpoints_.erase(endpoint);
    }
    ends_.erase({removed.ends_at, number});
    asks_.erase({removed.asked_at, number});
}

void doubt_ledger::schedule_end(std::uint64_t number, entry& known) {
    ends_.erase({known.ends_at, number});
    known.ends_at = std::min({known.at + entry_retention + duration{1},
                              known.fenced_by.value_or(timestamp::max()),
                              known.gone_by.value_or(timestamp::max())});
    ends_.emplace(known.ends_at, number);
}

void doubt_ledger::erase_ended(timestamp now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
        ++visited_;
        erase(ends_.begin()->second);
    }
}

std::vector<std::uint64_t>
doubt_ledger::numbers_at(const std::string& endpoint) const {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return {};
    }
    visited_ += found->second.size();
    return {found->second.begin(), found->second.end()};
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
    if (has_list) {
        for (const auto& task : *answer.running) {
            const auto known = tasks_.find(task);
            if (known == tasks_.end()) {
                continue;
            }
            for (const auto number : known->second) {
                ++visited_;
                // Nobody need claim the run, which then ends with its stop or
                // lease, later than the tenure of the doubt's holder.
                if (auto& other = entries_.at(number);
                    other.doubt.endpoint.empty()) {
                    other.listed_run_ends_by = answer.at + run_limit();
                }
            }
        }
    }
    for (const auto number : numbers_at(endpoint)) {
        auto& other = entries_.at(number);
        if (other.doubt.endpoint.empty() || other.doubt.token >= answer.token) {
            continue;
        }
        const auto end = run_end(answer, other.doubt.run.task);
        other.fenced_by = std::min(other.fenced_by.value_or(timestamp::max()),
                                   end.value_or(now));
        schedule_end(number, other);
    }
    erase_ended(now);
    remove_list(endpoint, newest);
    newest = std::move(answer);
    index_list(endpoint, newest);
}

void doubt_ledger::index_list(const std::string& endpoint,
                              const answered_call& answer) {
    if (!answer.running) {
        return;
    }
    for (const auto& task : *answer.running) {
        listed_on_[task].insert(endpoint);
    }
    lists_.emplace_back(answer.at, endpoint);
}

void doubt_ledger::remove_list(const std::string& endpoint,
                               answered_call& answer) {
    if (!answer.running) {
        return;
    }
    for (const auto& task : *answer.running) {
        const auto listed = listed_on_.find(task);
        listed->second.erase(endpoint);
        if (listed->second.empty()) {
            listed_on_.erase(listed);
        }
    }
    answer.running.reset();
}

void doubt_ledger::handle_listed(const std::string& endpoint) {
    if (gone_.erase(endpoint) == 0) {
        return;
    }
    for (const auto number : numbers_at(endpoint)) {
        auto& other = entries_.at(number);
        other.gone_by.reset();
        schedule_end(number, other);
    }
}

void doubt_ledger::handle_removed(timestamp now, const std::string& endpoint) {
    for (const auto number : numbers_at(endpoint)) {
        if (auto& other = entries_.at(number); !other.gone_by) {
            other.gone_by = now + settings_.gone_limit;
            schedule_end(number, other);
            gone_.insert(endpoint);
        }
    }
}

void doubt_ledger::tick(
    timestamp now,
    const std::function<bool(const start_doubt& doubt)>& may_start_late) {
    erase_ended(now);
    for (std::size_t asked = 0;
         asked < max_asked && !asks_.empty() && asks_.begin()->first <= now;
         ++asked) {
        ++visited_;
        const auto number = asks_.begin()->second;
        auto& known = entries_.at(number);
        const bool may_be_asked = now >= known.listed_run_ends_by;
        if (may_be_asked && !may_start_late(known.doubt)) {
            erase(number);
            continue;
        }
        asks_.erase(asks_.begin());
        known.asked_at =
            may_be_asked ? now + ask_interval : known.listed_run_ends_by;
        asks_.emplace(known.asked_at, number);
    }
    // Without a list the entry tells no more than its token.
    while (!lists_.empty() && now - lists_.front().first > entry_retention) {
        const auto& [at, endpoint] = lists_.front();
        if (auto& answer = answers_.at(endpoint); answer.at == at) {
            remove_list(endpoint, answer);
        }
        lists_.pop_front();
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
    const auto listed = listed_on_.find(task);
    return listed != listed_on_.end() &&
           std::any_of(listed->second.begin(), listed->second.end(),
                       [&](const std::string& endpoint) {
                           ++visited_;
                           return now < answers_.at(endpoint).at + run_limit();
                       });
}

std::vector<start_doubt> doubt_ledger::of(const process_id& holder) const {
    std::vector<start_doubt> found;
    visit(holder, 0, [&found](const start_doubt& doubt) {
        if (!doubt.holder_lost) {
            found.push_back(doubt);
        }
    });
    return found;
}

void doubt_ledger::visit_holders(
    const std::function<void(const process_id& holder)>& use) const {
    for (const auto& [holder, numbers] : holders_) {
        use(holder);
    }
}

void doubt_ledger::visit(
    const process_id& holder, std::uint64_t after,
    const std::function<void(const start_doubt& doubt)>& use) const {
    const auto held = holders_.find(holder);
    if (held == holders_.end()) {
        return;
    }
    for (auto number = held->second.upper_bound(after);
         number != held->second.end(); ++number) {
        ++visited_;
        use(entries_.at(*number).doubt);
    }
}

} // namespace figridge::dispatch
