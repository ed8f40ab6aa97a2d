// Starts that only one failure domain knows of: telling them to a witness, and
// being the witness of other hosts.
#include <limits>
#include <utility>

#include <absl/strings/str_cat.h>

#include "core/dispatch/dispatcher.hpp"
#include "core/rendezvous.hpp"

namespace figridge::dispatch {

// --- as a holder ------------------------------------------------------------

bool dispatcher::is_known_elsewhere(const process_id& coordinator) const {
    const auto found = sessions_.peers().find(coordinator.address);
    return found != sessions_.peers().end() &&
           found->second.id == coordinator && !found->second.lost &&
           found->second.failure_domain != settings_.failure_domain;
}

const peer_sessions::peer*
dispatcher::find_witness(const process_id& coordinator) const {
    const peer_sessions::peer* best = nullptr;
    auto best_rank = std::pair(false, std::uint64_t{0});
    for (const auto& [address, peer] : sessions_.peers()) {
        if (peer.lost || peer.out_of_contact || !peer.hears_stream ||
            peer.about.draining || peer.id == coordinator) {
            continue;
        }
        const auto rank =
            std::pair(peer.failure_domain != settings_.failure_domain,
                      rendezvous_weight(settings_.self.address, address));
        if (best == nullptr || rank > best_rank) {
            best = &peer;
            best_rank = rank;
        }
    }
    return best;
}

void dispatcher::note_start(const process_id& coordinator, const task_run& run,
                            const std::string& endpoint, std::uint64_t token) {
    if (!witness_choice_ || witness_choice_->first != coordinator) {
        const auto* peer = is_known_elsewhere(coordinator)
                               ? nullptr
                               : find_witness(coordinator);
        witness_choice_.emplace(coordinator,
                                peer == nullptr ? process_id{} : peer->id);
    }
    const auto& witness = witness_choice_->second;
    auto* pending = sessions_.pending_for(witness);
    if (pending == nullptr) {
        return;
    }
    start_teller_.add(witness, run, endpoint, token);
    if (add_start(pending->start_notices, run, endpoint, token)) {
        ports_.observer.count("start_notices", "start");
    }
}

void dispatcher::refresh_start_notices() {
    if (start_teller_.empty()) {
        return;
    }
    auto refreshed = start_teller_.refresh(
        now_, [this](const start_teller::told_start& start) {
            return holder_.is_untold_start(start.endpoint, start.token,
                                           start.run);
        });
    for (auto& [witness, notices] : refreshed) {
        auto* pending = sessions_.pending_for(witness);
        if (pending == nullptr) {
            continue;
        }
        ports_.observer.count("start_notices", "refresh");
        for (auto& notice : notices) {
            pending->start_notices.push_back(std::move(notice));
        }
    }
}

// --- as a witness -----------------------------------------------------------

std::int64_t dispatcher::last_stamp(const process_id& peer) const {
    const auto found = sessions_.peers().find(peer.address);
    const bool known =
        found != sessions_.peers().end() && found->second.id == peer;
    return known ? found->second.peer_stamp_us
                 : std::numeric_limits<std::int64_t>::max();
}

void dispatcher::record_start_notices(
    const process_id& holder, const std::vector<start_notice>& notices) {
    if (notices.empty()) {
        return;
    }
    for (const auto& notice : notices) {
        witness_.record(holder, last_stamp(holder), notice);
    }
    // Payloads of a lost peer are read late if another link of it is newer.
    if (!sessions_.is_live(holder)) {
        tell_witnessed_starts(holder);
    }
}

void dispatcher::tell_witnessed_starts(const process_id& holder) {
    for (const auto& doubt : witness_.take(holder, last_stamp(holder))) {
        const auto& key = doubt.run.task;
        ports_.observer.log(log_level::info, "start_in_doubt",
                            {{"job", key.job},
                             {"task", absl::StrCat(key.step, ".", key.index)},
                             {"run", std::to_string(doubt.run.run)},
                             {"endpoint", doubt.endpoint},
                             {"token", std::to_string(doubt.token)},
                             {"holder", holder.address},
                             {"witness", "yes"}});
        ports_.observer.count("start_doubts", "witnessed");
        announce_doubt(doubt);
    }
}

} // namespace figridge::dispatch
