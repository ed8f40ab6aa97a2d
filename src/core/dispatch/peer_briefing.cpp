#include "core/dispatch/peer_briefing.hpp"

#include <algorithm>
#include <utility>

namespace figridge::dispatch {

void peer_briefing::record_sent(const process_id& peer,
                                const std::string& endpoint,
                                std::uint64_t token) {
    auto& sent = sent_[peer].tokens[endpoint];
    sent = std::max(sent, token);
}

void peer_briefing::record_missed_doubt(const process_id& peer) {
    if (const auto found = sent_.find(peer); found != sent_.end()) {
        found->second.has_all_doubts = false;
    }
}

std::vector<endpoint_fence>
peer_briefing::take_missed(const process_id& peer,
                           const std::vector<endpoint_fence>& fences) {
    std::vector<endpoint_fence> missed;
    auto& tokens = sent_[peer].tokens;
    for (const auto& fence : fences) {
        auto& sent = tokens[fence.endpoint];
        if (sent < fence.token) {
            sent = fence.token;
            missed.push_back(fence);
        }
    }
    return missed;
}

bool peer_briefing::take_missed_doubts(const process_id& peer) {
    return !std::exchange(sent_[peer].has_all_doubts, true);
}

void peer_briefing::forget(const process_id& peer) {
    sent_.erase(peer);
}

void peer_briefing::forget_endpoint(const std::string& endpoint) {
    for (auto& [peer, sent] : sent_) {
        sent.tokens.erase(endpoint);
    }
}

void peer_briefing::retain(
    const std::function<bool(const process_id& peer)>& is_known) {
    std::erase_if(sent_,
                  [&](const auto& item) { return !is_known(item.first); });
}

} // namespace figridge::dispatch
