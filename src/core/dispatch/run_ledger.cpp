#include "core/dispatch/run_ledger.hpp"

#include <algorithm>

namespace figridge::dispatch {
namespace {

std::uint32_t reduce(std::uint32_t room, std::uint32_t taken) {
    return room - std::min(room, taken);
}

} // namespace

resources run_ledger::free() const {
    resources room = capacity_;
    for (const auto& [run, entry] : entries_) {
        if (entry.state == run_state::unclaimed) {
            return {};
        }
        const auto& need = entry.need.room;
        room.cpu_millis = reduce(room.cpu_millis, need.cpu_millis);
        room.memory_mb = reduce(room.memory_mb, need.memory_mb);
        room.accelerators = reduce(room.accelerators, need.accelerators);
    }
    return room;
}

run_entry& run_ledger::enter(run_entry entry) {
    const auto key = entry.run;
    return entries_.insert_or_assign(key, std::move(entry)).first->second;
}

run_entry* run_ledger::find(const task_run& run) {
    const auto found = entries_.find(run);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace figridge::dispatch
