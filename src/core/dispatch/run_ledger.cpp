#include "core/dispatch/run_ledger.hpp"

#include <algorithm>

namespace figridge::dispatch {
namespace {

// Run lists are some milliseconds old and give progress in whole percent.
constexpr duration min_run_time = 80ms;
constexpr double percent_tolerance = 2.0;

std::uint32_t saturating_subtract(std::uint32_t room, std::uint32_t taken) {
    return room - std::min(room, taken);
}

} // namespace

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

resources run_ledger::free() const {
    resources room = capacity_;
    for (const auto& [run, entry] : entries_) {
        if (entry.state == run_state::unclaimed) {
            return {};
        }
        const auto& need = entry.need.room;
        room.cpu_millis = saturating_subtract(room.cpu_millis, need.cpu_millis);
        room.memory_mb = saturating_subtract(room.memory_mb, need.memory_mb);
        room.accelerators =
            saturating_subtract(room.accelerators, need.accelerators);
    }
    return room;
}

run_entry& run_ledger::enter(run_entry entry) {
    const auto key = entry.run;
    remove(key); // found again after a takeover or by a later instance
    suspects_ += entry.crashes > 0 ? 1 : 0;
    if (index_ != nullptr) {
        index_->add(endpoint_, key, entry.coordinator);
    }
    return entries_.emplace(key, std::move(entry)).first->second;
}

void run_ledger::remove(const task_run& run) {
    const auto found = entries_.find(run);
    if (found == entries_.end()) {
        return;
    }
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
