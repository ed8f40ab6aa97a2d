#include "core/dispatch/contact_relay.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/rendezvous.hpp"

namespace figridge::dispatch {
namespace {

// Entries of one origin that a requester was sent; beyond it they are
// forgotten, and may be sent again.
constexpr std::size_t max_told_doubts = 4096;

bool lists_address(const std::set<process_id>& processes,
                   const std::string& address) {
    const auto first = processes.lower_bound({address, 0});
    return first != processes.end() && first->address == address;
}

} // namespace

// --- what this host asks -----------------------------------------------------

void contact_relay::set_unheard(std::set<process_id> unheard) {
    silences_.clear();
    for (const auto& process : unheard) {
        const auto found = ignored_.find(process.address);
        silences_[process] = found == ignored_.end() ? 0 : found->second;
    }
    unheard_ = std::move(unheard);
}

void contact_relay::choose(const process_id& self,
                           const std::string& own_domain,
                           const std::vector<relay_candidate>& heard) {
    const auto before = std::exchange(chosen_, {});
    if (unheard_.empty()) {
        return;
    }
    using rank = std::tuple<bool, bool, bool, std::uint64_t>;
    std::vector<std::pair<rank, const relay_candidate*>> ranked;
    ranked.reserve(heard.size());
    for (const auto& peer : heard) {
        ranked.emplace_back(
            rank{peer.draining, peer.failure_domain == own_domain,
                 !before.contains(peer.id),
                 ~rendezvous_weight(self.address, peer.id.address)},
            &peer);
    }
    std::sort(ranked.begin(), ranked.end());
    std::set<std::string> domains;
    for (const bool first_of_domain : {true, false}) {
        for (const auto& [rank, peer] : ranked) {
            if (chosen_.size() < max_relays &&
                (!first_of_domain ||
                 domains.insert(peer->failure_domain).second)) {
                chosen_.insert(peer->id);
            }
        }
    }
}

const contact_relay::silences&
contact_relay::wanted_of(const process_id& peer) const {
    static const silences none;
    return chosen_.contains(peer) ? silences_ : none;
}

bool contact_relay::is_due(timestamp now, const process_id& peer) const {
    const auto& wanted = wanted_of(peer);
    const auto found = asked_.find(peer);
    if (found == asked_.end()) {
        return !wanted.empty();
    }
    const auto& asked = found->second;
    if (!asked.may_be_missed && asked.unheard == wanted) {
        return false;
    }
    const bool lacks_some =
        !std::includes(asked.unheard.begin(), asked.unheard.end(),
                       wanted.begin(), wanted.end());
    return now - asked.sent_at >= (asked.may_be_missed || lacks_some
                                       ? request_interval
                                       : release_interval);
}

std::vector<relay_request> contact_relay::ask(timestamp now,
                                              const process_id& peer) {
    const auto& wanted = wanted_of(peer);
    auto& asked = asked_[peer];
    std::vector<relay_request> requests;
    // A request without the processes that were heard meanwhile has the peer
    // tell all of them again with the next one.
    relay_request kept;
    bool has_ignored_some = false;
    for (const auto& [process, ignored] : asked.unheard) {
        const auto still = wanted.lower_bound({process.address, 0});
        if (still == wanted.end() || still->first.address != process.address) {
            continue;
        }
        if (still->second == ignored) {
            kept.unheard.push_back(process);
        } else {
            has_ignored_some = true;
        }
    }
    if (has_ignored_some) {
        requests.push_back(std::move(kept));
    }
    auto& all = requests.emplace_back();
    for (const auto& [process, ignored] : wanted) {
        all.unheard.push_back(process);
    }
    // An empty request is kept as well: if the peer has missed it, it goes on
    // passing reports on.
    asked = {wanted, now, false};
    return requests;
}

void contact_relay::handle_missed(const process_id& peer) {
    if (const auto asked = asked_.find(peer); asked != asked_.end()) {
        asked->second.may_be_missed = true;
    }
}

void contact_relay::handle_ignored(const process_id& origin) {
    ++ignored_[origin.address];
}

// --- what this host is asked -------------------------------------------------

void contact_relay::record_request(const process_id& requester,
                                   const relay_request& request) {
    if (request.unheard.empty()) {
        remove_request(requester);
        return;
    }
    remove_from_index(requester);
    auto& known = requests_[requester];
    const auto before =
        std::exchange(known, {request.unheard.begin(), request.unheard.end()});
    index_request(requester);
    auto& told = digests_[requester].told;
    for (const auto& process : known) {
        if (!lists_address(before, process.address)) {
            told.erase(process.address);
        }
    }
}

void contact_relay::index_request(const process_id& requester) {
    for (const auto& process : requests_.at(requester)) {
        requesters_[process.address].insert(requester);
    }
}

void contact_relay::remove_from_index(const process_id& requester) {
    const auto request = requests_.find(requester);
    if (request == requests_.end()) {
        return;
    }
    for (const auto& process : request->second) {
        const auto found = requesters_.find(process.address);
        if (found == requesters_.end()) {
            continue; // another process at the address was listed as well
        }
        found->second.erase(requester);
        if (found->second.empty()) {
            requesters_.erase(found);
        }
    }
}

void contact_relay::remove_request(const process_id& requester) {
    remove_from_index(requester);
    requests_.erase(requester);
    if (const auto found = digests_.find(requester); found != digests_.end()) {
        remove_from_due(requester, found->second);
        digests_.erase(found);
    }
}

const std::set<process_id>&
contact_relay::requesters_of(const process_id& process) const {
    static const std::set<process_id> none;
    const auto found = requesters_.find(process.address);
    return found == requesters_.end() ? none : found->second;
}

bool contact_relay::asks_about(const process_id& requester,
                               const process_id& process) const {
    const auto request = requests_.find(requester);
    return request != requests_.end() &&
           lists_address(request->second, process.address);
}

bool contact_relay::doubt_order::operator()(const start_doubt& one,
                                            const start_doubt& other) const {
    const auto key = [](const start_doubt& doubt) {
        return std::tie(doubt.run, doubt.holder, doubt.endpoint, doubt.token,
                        doubt.holder_lost);
    };
    return key(one) < key(other);
}

std::uint64_t contact_relay::answered(const process_id& requester,
                                      const process_id& holder) const {
    const auto digest = digests_.find(requester);
    if (digest == digests_.end()) {
        return 0;
    }
    const auto told = digest->second.told.find(holder.address);
    if (told == digest->second.told.end()) {
        return 0;
    }
    const auto found = told->second.answered.find(holder.incarnation);
    return found == told->second.answered.end() ? 0 : found->second;
}

void contact_relay::set_answered(const process_id& requester,
                                 const process_id& holder,
                                 std::uint64_t number) {
    digests_[requester].told[holder.address].answered[holder.incarnation] =
        number;
}

contact_relay::waiting_entries&
contact_relay::wait_for(const process_id& requester, digest& of,
                        const process_id& origin) {
    if (!std::exchange(of.is_in_due, true)) {
        due_.emplace(of.next, requester);
    }
    return of.waiting[origin];
}

void contact_relay::remove_from_due(const process_id& requester, digest& of) {
    if (std::exchange(of.is_in_due, false)) {
        due_.erase({of.next, requester});
    }
}

void contact_relay::add(const process_id& requester, const process_id& origin,
                        const start_doubt& doubt) {
    auto& digest = digests_[requester];
    // An end is sent in any case: the holder may have told the doubt itself.
    if (!doubt.over &&
        digest.told[origin.address].open_doubts.contains(doubt)) {
        if (const auto found = digest.waiting.find(origin);
            found != digest.waiting.end()) {
            found->second.doubts.erase(doubt);
        }
        return;
    }
    auto& doubts = wait_for(requester, digest, origin).doubts;
    if (const auto [known, added] = doubts.insert(doubt);
        !added && known->over != doubt.over) {
        doubts.erase(known);
        doubts.insert(doubt);
    }
}

void contact_relay::add(const process_id& requester, const process_id& origin,
                        const endpoint_fence& fence) {
    auto& digest = digests_[requester];
    const auto& told = digest.told[origin.address].fences;
    const auto found = told.find(fence.endpoint);
    if (found == told.end() || found->second < fence.token) {
        auto& token =
            wait_for(requester, digest, origin).fences[fence.endpoint];
        token = std::max(token, fence.token);
    }
}

std::vector<process_id> contact_relay::due_digests(timestamp now) const {
    std::vector<process_id> due;
    for (const auto& [next, requester] : due_) {
        if (next > now) {
            break;
        }
        due.push_back(requester);
    }
    return due;
}

std::vector<relayed_report>
contact_relay::take_digest(timestamp now, const process_id& requester) {
    std::vector<relayed_report> reports;
    const auto found = digests_.find(requester);
    if (found == digests_.end() || now < found->second.next) {
        return reports;
    }
    auto& digest = found->second;
    remove_from_due(requester, digest);
    for (auto& [origin, waiting] : std::exchange(digest.waiting, {})) {
        if (waiting.doubts.empty() && waiting.fences.empty()) {
            continue;
        }
        auto& report = reports.emplace_back();
        report.origin = origin;
        auto& told = digest.told[origin.address];
        if (told.open_doubts.size() >= max_told_doubts) {
            told.open_doubts.clear();
        }
        for (const auto& doubt : waiting.doubts) {
            if (doubt.over) {
                told.open_doubts.erase(doubt);
            } else {
                told.open_doubts.insert(doubt);
            }
            report.doubts.push_back(doubt);
        }
        for (const auto& [endpoint, token] : waiting.fences) {
            told.fences[endpoint] = token;
            report.fences.push_back({endpoint, token});
        }
    }
    if (!reports.empty()) {
        digest.next = now + digest_interval;
    }
    return reports;
}

void contact_relay::forget_told(const process_id& requester) {
    if (const auto found = digests_.find(requester); found != digests_.end()) {
        found->second.told.clear();
    }
}

void contact_relay::retain(
    const std::function<bool(const process_id& peer)>& is_known) {
    std::erase_if(asked_,
                  [&](const auto& item) { return !is_known(item.first); });
    std::vector<process_id> forgotten;
    for (const auto& [requester, unheard] : requests_) {
        if (!is_known(requester)) {
            forgotten.push_back(requester);
        }
    }
    for (const auto& requester : forgotten) {
        remove_request(requester);
    }
}

} // namespace figridge::dispatch
