#include "core/dispatch/contact_relay.hpp"

#include <utility>

namespace figridge::dispatch {

void contact_relay::set_unheard(std::set<process_id> unheard) {
    unheard_ = std::move(unheard);
}

bool contact_relay::is_due(const process_id& peer) const {
    const auto asked = asked_.find(peer);
    return asked == asked_.end() ? !unheard_.empty()
                                 : asked->second.may_be_missed ||
                                       asked->second.unheard != unheard_;
}

relay_request contact_relay::ask(const process_id& peer) {
    // An empty request is kept as well: if the peer has missed it, it goes on
    // passing reports on.
    asked_[peer] = {unheard_, false};
    return {{unheard_.begin(), unheard_.end()}};
}

void contact_relay::handle_missed(const process_id& peer) {
    if (const auto asked = asked_.find(peer); asked != asked_.end()) {
        asked->second.may_be_missed = true;
    }
}

void contact_relay::record_request(const process_id& requester,
                                   const relay_request& request) {
    if (request.unheard.empty()) {
        requests_.erase(requester);
    } else {
        requests_[requester] = {request.unheard.begin(), request.unheard.end()};
    }
}

bool contact_relay::asks_about(const process_id& requester,
                               const process_id& process) const {
    const auto request = requests_.find(requester);
    if (request == requests_.end()) {
        return false;
    }
    const auto first = request->second.lower_bound({process.address, 0});
    return first != request->second.end() && first->address == process.address;
}

void contact_relay::retain(
    const std::function<bool(const process_id& peer)>& is_known) {
    std::erase_if(asked_,
                  [&](const auto& item) { return !is_known(item.first); });
    std::erase_if(requests_,
                  [&](const auto& item) { return !is_known(item.first); });
}

} // namespace figridge::dispatch
