// What this host, as a holder, has sent to each peer of its endpoints and
// doubts.
//
// Payloads arrive, or both sides learn that they were dropped. So a peer that
// comes into contact again is told only what was not sent to it:
//
//     briefing.record_sent(peer, endpoint, token);     // with each adoption
//     briefing.record_missed_doubt(peer);              // it was lost
//     for (auto& fence : briefing.take_missed(peer, held)) { ... }
//     if (briefing.take_missed_doubts(peer)) { ... }   // tell all doubts
#ifndef FIGRIDGE_CORE_DISPATCH_PEER_BRIEFING_HPP
#define FIGRIDGE_CORE_DISPATCH_PEER_BRIEFING_HPP

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// Owned by a `dispatcher`. Not thread-safe.
class peer_briefing {
public:
    // The peer, which hears the stream, is sent that the endpoint has answered
    // under this token. Not thread-safe.
    void record_sent(const process_id& peer, const std::string& endpoint,
                     std::uint64_t token);
    // A doubt of this host, or its end, was not sent to the peer. Not
    // thread-safe.
    void record_missed_doubt(const process_id& peer);

    // The fences that the peer was not sent. They count as sent. Not
    // thread-safe.
    [[nodiscard]] std::vector<endpoint_fence>
    take_missed(const process_id& peer,
                const std::vector<endpoint_fence>& fences);
    // Whether the peer was not sent all doubts and their ends, which then count
    // as sent. Not thread-safe.
    [[nodiscard]] bool take_missed_doubts(const process_id& peer);

    // The peer may have missed what it was sent. Not thread-safe.
    void forget(const process_id& peer);
    // Peers may forget what they know of an endpoint that is not listed. Not
    // thread-safe.
    void forget_endpoint(const std::string& endpoint);
    // Forgets processes that are not known any more. Not thread-safe.
    void retain(const std::function<bool(const process_id& peer)>& is_known);

private:
    struct sent_state {
        std::map<std::string, std::uint64_t> tokens; // by endpoint
        bool has_all_doubts = false;
    };

    std::map<process_id, sent_state> sent_;
};

} // namespace figridge::dispatch

#endif
