#include "core/dispatch/run_ledger.hpp"

namespace figridge::dispatch {
namespace {

// Run lists are some milliseconds old and give progress in whole percent.
constexpr duration min_run_time = 80ms;
constexpr double percent_tolerance = 2.0;

std::uint32_t subtract_or_zero(std::uint32_t room, std::int64_t taken) {
    return taken >= room ? 0 : room - static_cast<std::uint32_t>(taken);
}

bool waits_for_stop(const run_entry& entry) {
    return entry.stop_wanted && !entry.stop_in_flight &&
           !entry.stop_answered_at_call && entry.state != run_state::starting;
}

} // namespace

bool is_unanswered(const run_entry& entry) {
    return entry.state == run_state::starting ||
           entry.state == run_state::uncertain;
}

std::optional<double> projected_multiple(timestamp now,
                                         const run_entry& entry) {
    const auto run_time = now - entry.confirmed_at;
    const bool is_measurable =
        entry.state == run_state::running && !entry.stop_wanted &&
        entry.need.estimate_ms > 0 && run_time >= min_run_time;
    if (!is_measurable) {
        return std::nullopt;
    }
    const double estimate_s = entry.need.estimate_ms / 1000.0;
    const double done = (entry.percent + percent_tolerance) / 100.0;
    return to_seconds(run_time) / (estimate_s * done);
}

void run_ledger::count(const run_entry& entry, int sign) {
    const auto& need = entry.need.room;
    counts_.cpu_millis += sign * std::int64_t{need.cpu_millis};
    counts_.memory_mb += sign * std::int64_t{need.memory_mb};
    counts_.accelerators += sign * std::int64_t{need.accelerators};
    const auto add = [sign](std::size_t& number, bool counts) {
        if (counts) {
            sign > 0 ? ++number : --number;
        }
    };
    add(counts_.starting, entry.state == run_state::starting);
    add(counts_.stopping, entry.stop_in_flight);
    add(counts_.unclaimed, entry.state == run_state::unclaimed);
    add(counts_.revocations, entry.revoked && !entry.stop_answered_at_call);
    add(counts_.former_starts,
        is_unanswered(entry) && entry.lease_deadline_ms == unknown_deadline);
    add(counts_.awaiting_list, entry.state == run_state::uncertain &&
                                   entry.stop_answered_at_call.has_value());
    if (!waits_for_stop(entry)) {
        return;
    }
    if (sign > 0) {
        stops_.emplace(entry.next_stop, entry.run);
    } else {
        stops_.erase({entry.next_stop, entry.run});
    }
}

run_entry* run_ledger::find_due_stop(timestamp now) {
    return stops_.empty() || stops_.begin()->first > now
               ? nullptr
               : find(stops_.begin()->second);
}

resources run_ledger::free() const {
    if (counts_.unclaimed > 0) {
        return {};
    }
    return {subtract_or_zero(capacity_.cpu_millis, counts_.cpu_millis),
            subtract_or_zero(capacity_.memory_mb, counts_.memory_mb),
            subtract_or_zero(capacity_.accelerators, counts_.accelerators)};
}

run_entry& run_ledger::enter(run_entry entry) {
    const auto key = entry.run;
    remove(key); // found again after a takeover or by a later instance
    suspects_ += entry.crashes > 0 ? 1 : 0;
    if (index_ != nullptr) {
        index_->add(endpoint_, key, entry.coordinator);
    }
    auto& entered = entries_.emplace(key, std::move(entry)).first->second;
    count(entered, 1);
    return entered;
}

void run_ledger::remove(const task_run& run) {
    const auto found = entries_.find(run);
    if (found == entries_.end()) {
        return;
    }
    count(found->second, -1);
    suspects_ -= found->second.crashes > 0 ? 1 : 0;
    if (index_ != nullptr) {
        index_->remove(endpoint_, found->first, found->second.coordinator);
    }
    entries_.erase(found);
}

void run_ledger::set_coordinator(run_entry& entry,
                                 const process_id& coordinator) {
    if (index_ != nullptr) {
        index_->remove(endpoint_, entry.run, entry.coordinator);
        index_->add(endpoint_, entry.run, coordinator);
    }
    entry.coordinator = coordinator;
}

void run_ledger::clear() {
    while (!entries_.empty()) {
        remove(entries_.begin()->first);
    }
}

run_entry* run_ledger::find(const task_run& run) {
    const auto found = entries_.find(run);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace figridge::dispatch
