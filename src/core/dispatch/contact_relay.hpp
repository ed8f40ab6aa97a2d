// Who does not hear whom, and what was asked about it.
//
// A host that does not hear a process asks the peers in contact to pass on what
// that process tells. A request lists all unheard processes and is sent once:
//
//     relay.set_unheard({silent});
//     if (relay.is_due(peer)) { send(peer, relay.ask(peer)); }
//     relay.record_request(peer, request);     // at the peer
//     for (auto& [requester, unheard] : relay.requests()) { ... }
#ifndef FIGRIDGE_CORE_DISPATCH_CONTACT_RELAY_HPP
#define FIGRIDGE_CORE_DISPATCH_CONTACT_RELAY_HPP

#include <functional>
#include <map>
#include <set>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// Owned by a `dispatcher`. Not thread-safe.
class contact_relay {
public:
    // --- what this host asks ---
    // Replaces the processes that this host does not hear. Not thread-safe.
    void set_unheard(std::set<process_id> unheard);
    [[nodiscard]] const std::set<process_id>& unheard() const {
        return unheard_;
    }
    // Whether the peer has another request of this host, or may have none. Not
    // thread-safe.
    [[nodiscard]] bool is_due(const process_id& peer) const;
    // The request that the caller sends to the peer now. Not thread-safe.
    [[nodiscard]] relay_request ask(const process_id& peer);
    // The peer may have missed what it was sent. Not thread-safe.
    void handle_missed(const process_id& peer);

    // --- what this host is asked ---
    // Replaces the requester's earlier request. Not thread-safe.
    void record_request(const process_id& requester,
                        const relay_request& request);
    // The processes that each requester does not hear. None of the sets is
    // empty.
    [[nodiscard]] const std::map<process_id, std::set<process_id>>&
    requests() const {
        return requests_;
    }

    // Whether the requester does not hear the process. It may know only a
    // former process at the address, so any of that address counts. Not
    // thread-safe.
    [[nodiscard]] bool asks_about(const process_id& requester,
                                  const process_id& process) const;

    // Forgets the requests to and from processes that are not known any more.
    // Not thread-safe.
    void retain(const std::function<bool(const process_id& peer)>& is_known);

private:
    struct sent_request {
        std::set<process_id> unheard;
        bool may_be_missed = false;
    };

    std::set<process_id> unheard_;
    std::map<process_id, sent_request> asked_; // none: nothing was asked
    std::map<process_id, std::set<process_id>> requests_;
};

} // namespace figridge::dispatch

#endif
