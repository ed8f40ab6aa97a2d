// Reports of processes that one host hears and another one does not.
#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "core/dispatch/dispatcher.hpp"

namespace figridge::dispatch {
namespace {

// The hosts of a failure domain that is cut off fall silent within this time of
// each other, and are asked about together.
constexpr duration relay_check_interval = 100ms;
// Log lines name no more processes than this.
constexpr std::size_t max_logged_peers = 8;

std::string join_addresses(const std::set<process_id>& processes) {
    std::string text;
    std::size_t count = 0;
    for (const auto& process : processes) {
        if (count++ == max_logged_peers) {
            return text + ",...";
        }
        text += (text.empty() ? "" : ",") + process.address;
    }
    return text;
}

bool ends_all(const start_doubt& doubt) {
    return doubt.over && doubt.run.task.job.empty();
}

// Identifies a doubt among those of one holder.
using doubt_name =
    std::tuple<const task_run&, const std::string&, std::uint64_t>;

doubt_name name_of(const start_doubt& doubt) {
    return {doubt.run, doubt.endpoint, doubt.token};
}

} // namespace

bool dispatcher::is_unheard(const peer_sessions::peer& peer) const {
    const auto limit =
        settings_.idle_heartbeat_interval + settings_.heartbeat_interval;
    // A process that is heard for the first time has not echoed a stamp yet.
    const auto echoed_at = std::max(peer.echoed_at, peer.first_heard_at);
    return peer.id.incarnation != 0 && !peer_sessions::has_stopped(peer) &&
           (peer.lost || now_ - peer.heard_at > limit ||
            (peer.out_of_contact && now_ - echoed_at > limit));
}

bool dispatcher::hears(const process_id& process) const {
    const auto found = sessions_.peers().find(process.address);
    return found != sessions_.peers().end() && found->second.id == process &&
           !found->second.out_of_contact && !is_unheard(found->second);
}

void dispatcher::ask_about_unheard() {
    if (now_ < next_relay_check_) {
        return;
    }
    next_relay_check_ = now_ + relay_check_interval;
    std::set<process_id> unheard;
    for (const auto& [address, peer] : sessions_.peers()) {
        if (is_unheard(peer)) {
            unheard.insert(peer.id);
        }
    }
    relay_.set_unheard(std::move(unheard));
    const auto is_known = [this](const process_id& peer) {
        return sessions_.pending_for(peer) != nullptr;
    };
    relay_.retain(is_known);
    briefing_.retain(is_known);
    std::vector<relay_candidate> heard;
    for (const auto& [address, peer] : sessions_.peers()) {
        if (peer.hears_stream && hears(peer.id)) {
            heard.push_back(
                {peer.id, peer.failure_domain, peer.about.draining});
        }
    }
    relay_.choose(settings_.self, settings_.failure_domain, heard);
    std::size_t asked = 0;
    for (const auto& peer : heard) {
        if (relay_.is_due(now_, peer.id)) {
            auto& requests = sessions_.pending_for(peer.id)->relay_requests;
            for (auto& request : relay_.ask(now_, peer.id)) {
                requests.push_back(std::move(request));
            }
            ++asked;
        }
    }
    if (asked > 0) {
        ports_.observer.log(log_level::info, "peer_asked_about",
                            {{"peers", join_addresses(relay_.unheard())},
                             {"count", std::to_string(relay_.unheard().size())},
                             {"asked", std::to_string(asked)}});
    }
}

void dispatcher::forget_told(const process_id& peer) {
    relay_.handle_missed(peer);
    relay_.forget_told(peer);
    briefing_.forget(peer);
}

void dispatcher::send_digests() {
    for (const auto& requester : relay_.due_digests(now_)) {
        auto* pending = sessions_.pending_for(requester);
        if (pending == nullptr) {
            continue;
        }
        auto reports = relay_.take_digest(now_, requester);
        log_relayed("sent", requester, reports);
        for (auto& report : reports) {
            pending->relayed.push_back(std::move(report));
        }
    }
}

void dispatcher::log_relayed(std::string_view direction, const process_id& peer,
                             const std::vector<relayed_report>& reports) const {
    if (reports.empty()) {
        return;
    }
    std::size_t doubts = 0;
    std::size_t fences = 0;
    std::string job;
    std::set<process_id> origins;
    for (const auto& report : reports) {
        ports_.observer.count("relayed_reports", direction);
        origins.insert(report.origin);
        doubts += report.doubts.size();
        fences += report.fences.size();
        if (job.empty() && !report.doubts.empty()) {
            job = report.doubts[0].run.task.job;
        }
    }
    ports_.observer.log(log_level::info, "doubt_relayed",
                        {{"direction", std::string(direction)},
                         {"peer", peer.address},
                         {"origin", join_addresses(origins)},
                         {"doubts", std::to_string(doubts)},
                         {"fences", std::to_string(fences)},
                         {"job", job}});
}

void dispatcher::pass_on(const process_id& from, const payload& content) {
    if (from == settings_.self ||
        (content.doubts.empty() && content.adoptions.empty() &&
         content.fences.empty())) {
        return;
    }
    if (relay_.requests().empty()) {
        return;
    }
    std::vector<process_id> asking;
    for (const auto& requester : relay_.requesters_of(from)) {
        if (requester != from && sessions_.is_live(requester)) {
            asking.push_back(requester);
        }
    }
    for (const auto& doubt : content.doubts) {
        if (ends_all(doubt)) {
            if (!asking.empty()) {
                pass_on_end(from, content.doubts, asking);
            }
            continue;
        }
        for (const auto& requester : asking) {
            if (doubt.holder != requester) {
                relay_.add(requester, doubt.holder, doubt);
            }
        }
        if (doubt.holder.address == from.address) {
            continue;
        }
        for (const auto& requester : relay_.requesters_of(doubt.holder)) {
            if (requester != from && doubt.holder != requester &&
                !relay_.asks_about(requester, from) &&
                sessions_.is_live(requester)) {
                relay_.add(requester, doubt.holder, doubt);
            }
        }
    }
    for (const auto& requester : asking) {
        for (const auto& adoption : content.adoptions) {
            relay_.add(requester, from,
                       endpoint_fence{adoption.endpoint, adoption.token});
        }
        for (const auto& fence : content.fences) {
            relay_.add(requester, from, fence);
        }
    }
}

void dispatcher::pass_on_end(const process_id& from,
                             const std::vector<start_doubt>& listed,
                             const std::vector<process_id>& asking) {
    std::set<doubt_name> open;
    for (const auto& doubt : listed) {
        if (!doubt.over) {
            open.insert(name_of(doubt));
        }
    }
    // One that a slower relay passes on later must not end newer doubts, so the
    // ended ones are named.
    for (auto& ended : doubts_.of(from)) {
        if (open.contains(name_of(ended))) {
            continue;
        }
        ended.over = true;
        for (const auto& requester : asking) {
            relay_.add(requester, from, ended);
        }
    }
}

void dispatcher::answer_request(const process_id& requester) {
    if (!relay_.requests().contains(requester)) {
        return;
    }
    const auto newest = doubts_.last_number();
    doubts_.visit_holders([&](const process_id& holder) {
        const bool is_unheard_there =
            relay_.asks_about(requester, holder) || !sessions_.is_live(holder);
        if (!is_unheard_there || holder == requester ||
            holder == settings_.self) {
            return;
        }
        doubts_.visit(holder, relay_.answered(requester, holder),
                      [&](const start_doubt& doubt) {
                          relay_.add(requester, holder, doubt);
                      });
        relay_.set_answered(requester, holder, newest);
    });
    for (const auto& [id, endpoint] : directory_.endpoints()) {
        const auto* row = directory_.holder_of(id);
        // A row alone does not prove that the endpoint has answered.
        if (row != nullptr && directory_.former_holder_of(id) == requester &&
            relay_.asks_about(requester, row->holder) &&
            tenures_.answered_token(id) == row->token) {
            relay_.add(requester, row->holder, endpoint_fence{id, row->token});
        }
    }
}

void dispatcher::record_relayed(const process_id& from,
                                const std::vector<relayed_report>& reports) {
    std::vector<relayed_report> applied;
    for (const auto& report : reports) {
        auto taken = select_relayed(report);
        if (taken.doubts.empty() && taken.fences.empty()) {
            ports_.observer.count("relayed_reports", "ignored");
            continue;
        }
        record_fences(report.origin, taken.fences);
        for (const auto& doubt : taken.doubts) {
            doubts_.record(now_, doubt);
        }
        applied.push_back(std::move(taken));
    }
    log_relayed("taken", from, applied);
}

relayed_report dispatcher::select_relayed(const relayed_report& report) {
    // What a process in contact tells itself is newer. An end is final, and the
    // holder need not repeat it: it may have heard this host all the time.
    relayed_report taken;
    taken.origin = report.origin;
    // Most reports are about one holder.
    std::optional<std::pair<process_id, bool>> known;
    const auto hears_holder = [&](const process_id& holder) {
        if (!known || known->first != holder) {
            known.emplace(holder, hears(holder));
        }
        return known->second;
    };
    for (const auto& doubt : report.doubts) {
        if (doubt.holder == settings_.self) {
            continue;
        }
        if (doubt.over || !hears_holder(doubt.holder)) {
            taken.doubts.push_back(doubt);
        } else {
            relay_.handle_ignored(doubt.holder);
        }
    }
    if (report.origin == settings_.self) {
        return taken;
    }
    if (!hears(report.origin)) {
        taken.fences = report.fences;
    } else if (!report.fences.empty()) {
        relay_.handle_ignored(report.origin);
    }
    return taken;
}

} // namespace figridge::dispatch
