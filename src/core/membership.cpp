#include "membership.hpp"

#include <algorithm>

namespace figridge {
namespace {

constexpr std::size_t resend_window = 64;
constexpr int remote_domain_factor = 2;
constexpr duration refusal_validity = 5s;
constexpr duration max_silence = 60s;

void count_payload(message_counters& counters, const peer_payload& payload) {
    counters.sent(message_kind::mark, payload.marks.size());
    counters.sent(message_kind::catalogue, payload.catalogue_requests.size() +
                                               payload.catalogues.size());
    counters.sent(message_kind::task_batch, payload.batches.size());
    counters.sent(message_kind::job_cancel, payload.cancels.size());
    counters.sent(message_kind::pull, payload.pulls.size());
    counters.sent(message_kind::task_return, payload.returns.size());
    counters.sent(message_kind::task_result, payload.results.empty() ? 0 : 1);
    counters.sent(message_kind::forward,
                  payload.forwards.size() + payload.replies.size());
    counters.sent(message_kind::loan, payload.loan_requests.size() +
                                          payload.loan_grants.size() +
                                          payload.loan_returns.size());
    counters.sent(message_kind::handover, payload.handovers.size());
}

} // namespace

membership::membership(core_context& context) : context_(context) {
    for (const auto& host : context.settings.hosts) {
        if (host.address != context.settings.self.address) {
            peers_[host.address].domain = host.failure_domain;
        }
    }
}

const membership::peer* membership::find(const std::string& host) const {
    const auto found = peers_.find(host);
    return found == peers_.end() ? nullptr : &found->second;
}

peer_payload& membership::outbox(const std::string& host) {
    if (host == context_.settings.self.address) {
        return local_;
    }
    return peers_[host].outbox;
}

bool membership::can_send(const std::string& host) const {
    if (host == context_.settings.self.address) {
        return true;
    }
    const auto* other = find(host);
    return other != nullptr && other->incarnation != 0;
}

void membership::mark_gone(const std::string& host, peer& other) {
    if (other.incarnation == 0) {
        return;
    }
    other.gone_incarnations.insert(other.incarnation);
    gone_.push_back({host, other.incarnation});
    reset_link(other, 0);
}

void membership::reset_link(peer& other, std::uint64_t incarnation) {
    other.incarnation = incarnation;
    other.next_sequence = 1;
    other.expected_sequence = 1;
    other.acknowledged = 0;
    other.latest_stamp = 0;
    other.last_echo = timestamp{-1};
    other.unacked.clear();
    other.outbox = {};
    other.advert = {};
}

std::optional<peer_payload> membership::receive(const envelope& message) {
    auto& other = peers_[message.from];
    if (other.gone_incarnations.contains(message.from_incarnation)) {
        return std::nullopt;
    }
    other.domain = message.from_domain;
    if (other.incarnation != message.from_incarnation) {
        mark_gone(message.from, other);
        reset_link(other, message.from_incarnation);
        context_.log(
            log_level::info, "peer_incarnation",
            {{"host", message.from},
             {"incarnation", std::to_string(message.from_incarnation)}});
    }
    if (message.stamp_us >= other.latest_stamp) {
        other.latest_stamp = message.stamp_us;
        other.advert = message.advert;
        other.heard_at = context_.now;
    }
    if (message.to_incarnation != context_.settings.incarnation) {
        return std::nullopt;
    }
    other.last_echo = std::max(other.last_echo, timestamp{message.echo_us});
    drop_acknowledged(other, message.ack);
    if (message.sequence == 0) {
        return std::nullopt;
    }
    if (message.sequence != other.expected_sequence) {
        context_.counters.wasted(message_kind::resend);
        return std::nullopt;
    }
    ++other.expected_sequence;
    return message.payload;
}

void membership::drop_acknowledged(peer& other, std::uint64_t ack) {
    while (!other.unacked.empty() && other.unacked.front().sequence <= ack) {
        other.unacked.pop_front();
    }
}

void membership::link_refused(const std::string& host, timestamp begun) {
    auto& other = peers_[host];
    if (other.heard_at >= begun) {
        return;
    }
    other.refused_at = context_.now;
    mark_gone(host, other);
}

void membership::link_restored(const std::string& host) {
    for (auto& kept : peers_[host].unacked) {
        kept.sent_at = timestamp{0};
    }
}

void membership::enqueue_outbox(peer& other) {
    if (other.outbox.empty()) {
        return;
    }
    if (other.incarnation == 0) {
        other.outbox = {};
        return;
    }
    count_payload(context_.counters, other.outbox);
    other.unacked.push_back(
        {other.next_sequence, timestamp{0}, std::move(other.outbox)});
    ++other.next_sequence;
    other.outbox = {};
}

void membership::send_envelope(const std::string& host, peer& other,
                               const host_advert& own, kept_envelope* kept) {
    envelope message;
    message.from = context_.settings.self.address;
    message.from_domain = context_.settings.self.failure_domain;
    message.from_incarnation = context_.settings.incarnation;
    message.to_incarnation = other.incarnation;
    message.ack = other.expected_sequence - 1;
    message.stamp_us = context_.now.count();
    message.echo_us = other.latest_stamp;
    message.advert = own;
    if (kept == nullptr) {
        context_.counters.sent(message_kind::heartbeat);
    } else {
        if (kept->sent_at != timestamp{0}) {
            context_.counters.sent(message_kind::resend);
        }
        kept->sent_at = context_.now;
        message.sequence = kept->sequence;
        message.payload = kept->payload;
    }
    other.sent_at = context_.now;
    context_.ports.peers.send(host, std::move(message));
}

void membership::send_pending(const std::string& host, peer& other,
                              const host_advert& own) {
    if (!heard_recently(other)) {
        return;
    }
    const auto count = std::min(resend_window, other.unacked.size());
    for (std::size_t index = 0; index < count; ++index) {
        auto& kept = other.unacked[index];
        const bool due =
            kept.sent_at == timestamp{0} ||
            context_.now - kept.sent_at >= context_.settings.resend_after;
        if (due) {
            send_envelope(host, other, own, &kept);
        }
    }
}

void membership::flush(const host_advert& own) {
    for (auto& [host, other] : peers_) {
        enqueue_outbox(other);
        if (!other.unacked.empty()) {
            send_pending(host, other, own);
        }
    }
}

void membership::send_due_heartbeats(const host_advert& own) {
    for (auto& [host, other] : peers_) {
        const bool same_domain =
            other.domain == context_.settings.self.failure_domain;
        const auto interval = context_.settings.heartbeat_interval *
                              (same_domain ? 1 : remote_domain_factor);
        if (other.sent_at < timestamp{0} ||
            context_.now - other.sent_at >= interval) {
            send_envelope(host, other, own, nullptr);
        }
    }
}

void membership::send_heartbeat(const std::string& host,
                                const host_advert& own) {
    send_envelope(host, peers_[host], own, nullptr);
}

peer_payload membership::take_local() {
    return std::exchange(local_, peer_payload{});
}

std::vector<host_incarnation> membership::take_gone() {
    return std::exchange(gone_, {});
}

duration membership::suspect_timeout(const peer& other) const {
    const bool same_domain =
        other.domain == context_.settings.self.failure_domain;
    return context_.settings.suspect_after *
           (same_domain ? 1 : remote_domain_factor);
}

bool membership::heard_recently(const peer& other) const {
    return other.incarnation != 0 &&
           context_.now - other.heard_at < suspect_timeout(other);
}

bool membership::is_alive(const std::string& host) const {
    if (host == context_.settings.self.address) {
        return true;
    }
    const auto* other = find(host);
    return other != nullptr && heard_recently(*other);
}

bool membership::is_gone(const std::string& host,
                         std::uint64_t incarnation) const {
    if (host == context_.settings.self.address) {
        return incarnation != context_.settings.incarnation;
    }
    const auto* other = find(host);
    if (other == nullptr) {
        return false;
    }
    return recently_refused(*other, context_.now) ||
           other->gone_incarnations.contains(incarnation);
}

bool membership::recently_refused(const peer& other, timestamp now) {
    return other.incarnation == 0 && other.refused_at >= timestamp{0} &&
           now - other.refused_at < refusal_validity;
}

bool membership::may_be_partitioned(const std::string& host) const {
    const auto* other = find(host);
    if (other == nullptr || heard_recently(*other) ||
        recently_refused(*other, context_.now)) {
        return false;
    }
    const auto silent_since = std::max(other->heard_at, started_at_);
    return context_.now - silent_since < max_silence;
}

std::uint64_t membership::incarnation_of(const std::string& host) const {
    if (host == context_.settings.self.address) {
        return context_.settings.incarnation;
    }
    const auto* other = find(host);
    return other == nullptr ? 0 : other->incarnation;
}

const host_advert& membership::advert_of(const std::string& host) const {
    static const host_advert none;
    const auto* other = find(host);
    return other == nullptr ? none : other->advert;
}

const std::string& membership::domain_of(const std::string& host) const {
    static const std::string none;
    if (host == context_.settings.self.address) {
        return context_.settings.self.failure_domain;
    }
    const auto* other = find(host);
    return other == nullptr ? none : other->domain;
}

std::int64_t membership::stamp_of(const std::string& host) const {
    if (host == context_.settings.self.address) {
        return context_.now.count();
    }
    const auto* other = find(host);
    return other == nullptr ? 0 : other->latest_stamp;
}

timestamp membership::echo_of(const std::string& host) const {
    const auto* other = find(host);
    return other == nullptr ? timestamp{-1} : other->last_echo;
}

bool membership::is_fresh(const std::string& host, duration bound) const {
    if (host == context_.settings.self.address) {
        return true;
    }
    const auto* other = find(host);
    return other != nullptr && other->incarnation != 0 &&
           context_.now - other->last_echo <= bound;
}

std::vector<std::string> membership::alive_hosts() const {
    std::vector<std::string> hosts{context_.settings.self.address};
    for (const auto& [host, other] : peers_) {
        if (heard_recently(other)) {
            hosts.push_back(host);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    return hosts;
}

std::vector<std::string>
membership::holders_of_domain(const std::string& domain,
                              bool self_draining) const {
    std::vector<std::string> staying;
    std::vector<std::string> leaving;
    for (const auto& host : alive_hosts()) {
        const bool draining = host == context_.settings.self.address
                                  ? self_draining
                                  : advert_of(host).draining;
        if (domain_of(host) == domain) {
            (draining ? leaving : staying).push_back(host);
        }
    }
    const bool all_drain = staying.empty() && all_hosts_drain(self_draining);
    return all_drain ? leaving : staying;
}

bool membership::all_hosts_drain(bool self_draining) const {
    const auto hosts = alive_hosts();
    return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) {
        return host == context_.settings.self.address
                   ? self_draining
                   : advert_of(host).draining;
    });
}

std::vector<std::string> membership::known_hosts() const {
    std::vector<std::string> hosts;
    for (const auto& [host, other] : peers_) {
        hosts.push_back(host);
    }
    return hosts;
}

bool membership::all_acknowledged() const {
    return std::all_of(peers_.begin(), peers_.end(), [](const auto& item) {
        return item.second.unacked.empty() && item.second.outbox.empty();
    });
}

std::size_t membership::unacknowledged(const std::string& host) const {
    const auto* other = find(host);
    return other == nullptr ? 0 : other->unacked.size();
}

duration membership::silence_of(const std::string& host) const {
    const auto* other = find(host);
    if (other == nullptr || other->heard_at < timestamp{0}) {
        return duration::max();
    }
    return context_.now - other->heard_at;
}

} // namespace figridge
