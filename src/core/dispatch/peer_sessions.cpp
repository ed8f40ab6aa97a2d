#include "core/dispatch/peer_sessions.hpp"

#include <algorithm>
#include <utility>

#include "core/name_table.hpp"

namespace figridge::dispatch {
namespace {

// A payload that a few heartbeats have not acknowledged is sent again.
constexpr duration resend_interval = 500ms;
// If this host or the peer is late, the peer has probably not read the payload
// yet, or this host the acknowledgement. It is sent again by as much later, and
// still in time for an acknowledgement within `no_progress_limit`.
constexpr duration max_resend_extension = 500ms;
// A peer that acknowledges nothing in time may be slow and still have all
// payloads in its sockets, so few are sent again until it acknowledges.
constexpr std::size_t timed_resend_window = 4;
// A connection that ended has lost what it held.
constexpr std::size_t restored_resend_window = max_unacknowledged_payloads;
// A lost peer still gets heartbeats, since it may hear this host. Shorter than
// `suspect_after`.
constexpr duration lost_heartbeat_interval = 300ms;

// A peer that refuses connections is tried again within 300 ms.
constexpr duration refusal_validity = 1s;

// A peer counts as lost this much later at most if it or this host is late. An
// active one is out of contact by then, whatever it said; an idle one has no
// tasks of this host, nor this host of it.
constexpr duration max_active_extension = 250ms;
constexpr duration max_idle_extension = 700ms;

// A silent peer that came back once keeps its endpoints this much longer, twice
// as long if it came back more often.
constexpr duration first_return_wait = 1s;

constexpr name_table<drop_cause, 5> drop_cause_names{{
    {drop_cause::too_many, "too_many"},
    {drop_cause::no_progress, "no_progress"},
    {drop_cause::refused_here, "refused_here"},
    {drop_cause::dropped_by_peer, "dropped_by_peer"},
    {drop_cause::peer_forgot, "peer_forgot"},
}};

} // namespace

std::string_view to_string(drop_cause cause) {
    return find_name(drop_cause_names, cause);
}

peer_sessions::peer_sessions(const dispatch_settings& settings, peer_port& port,
                             peer_session_events& events)
    : settings_(settings), port_(port), events_(events) {}

void peer_sessions::add(timestamp now, const std::string& address) {
    if (address == settings_.self.address || peers_.contains(address)) {
        return;
    }
    auto& added = peers_[address];
    added.id.address = address;
    added.added_at = now;
    added.stream = next_stream(now);
    port_.connect(address);
}

std::uint64_t peer_sessions::next_stream(timestamp now) {
    last_stream_ =
        std::max(static_cast<std::uint64_t>(now.count()), last_stream_ + 1);
    return last_stream_;
}

void peer_sessions::remove(const std::string& address) {
    const auto found = peers_.find(address);
    if (found != peers_.end() && found->second.lost) {
        erase(address);
    }
}

void peer_sessions::erase(const std::string& address) {
    port_.disconnect(address);
    const auto removed = peers_.extract(address).mapped().id;
    if (removed.incarnation != 0) {
        events_.on_removed(removed);
    }
}

// --- sending ----------------------------------------------------------------

payload* peer_sessions::pending_for(const process_id& peer) {
    const auto found = peers_.find(peer.address);
    const bool reachable = found != peers_.end() && found->second.id == peer;
    return reachable ? &found->second.pending : nullptr;
}

void peer_sessions::send(timestamp now, const std::string& address, peer& to,
                         sent_payload& what) {
    envelope message;
    message.from = settings_.self;
    message.failure_domain = settings_.failure_domain;
    message.to_incarnation = to.id.incarnation;
    message.sequence = what.sequence;
    message.first_sequence = to.unacknowledged.empty()
                                 ? to.next_sequence
                                 : to.unacknowledged.front().sequence;
    message.ack = to.received;
    message.stamp_us = now.count();
    message.echo_us = to.peer_stamp_us;
    message.about = events_.make_advert();
    message.content_echo_us = what.echo_us;
    message.content = std::move(what.content);
    message.stream = to.stream;
    message.ack_stream = to.peer_stream;
    to.sent_at = now;
    port_.send(address, message);
    what.content = std::move(message.content);
}

void peer_sessions::send_heartbeat(timestamp now, const std::string& address,
                                   peer& to) {
    sent_payload none;
    send(now, address, to, none);
}

duration peer_sessions::resend_wait(const peer& to) const {
    return resend_interval + std::min(lateness_with(to), max_resend_extension);
}

void peer_sessions::clear_payloads(peer& to) {
    to.unacknowledged.clear();
    to.pending = {};
    to.next_to_send = to.next_sequence;
}

void peer_sessions::flush(timestamp now) {
    std::vector<process_id> dropped;
    for (auto& [address, to] : peers_) {
        if (to.pending.empty()) {
            continue;
        }
        if (to.unacknowledged.size() >= max_unacknowledged_payloads) {
            clear_payloads(to);
            dropped.push_back(to.id);
            continue;
        }
        const auto sequence = to.next_sequence++;
        record_payload(now, to);
        if (to.unacknowledged.empty()) {
            to.resend_at = now + resend_wait(to);
            to.progress_at = now;
        }
        to.unacknowledged.push_back(
            {sequence, to.peer_stamp_us, std::exchange(to.pending, {})});
        if (to.next_to_send == sequence) {
            ++to.next_to_send;
        }
        // Not behind those that are sent again: unless the connection ended,
        // the peer has them in its socket, and a heartbeat that it reads tells
        // it that it has been told all that was sent before.
        send(now, address, to, to.unacknowledged.back());
    }
    for (const auto& peer : dropped) {
        events_.on_payloads_dropped(peer, drop_cause::too_many);
    }
}

void peer_sessions::resend(timestamp now, const std::string& address, peer& to,
                           std::size_t window) {
    if (to.unacknowledged.empty()) {
        return;
    }
    to.resend_at = now + resend_wait(to);
    to.next_to_send = to.unacknowledged.front().sequence;
    to.resend_window = window;
    send_waiting(now, address, to);
}

void peer_sessions::send_waiting(timestamp now, const std::string& address,
                                 peer& to) {
    while (to.next_to_send < to.next_sequence) {
        const auto sent = static_cast<std::size_t>(
            to.next_to_send - to.unacknowledged.front().sequence);
        if (sent >= to.resend_window) {
            return;
        }
        ++to.next_to_send;
        send(now, address, to, to.unacknowledged[sent]);
    }
}

// --- receiving --------------------------------------------------------------

void peer_sessions::handle_envelope(timestamp now, const envelope& message,
                                    const absl::Status& content) {
    if (message.from.address == settings_.self.address) {
        return;
    }
    add(now, message.from.address);
    auto& from = peers_.at(message.from.address);
    if (from.id.incarnation != message.from.incarnation) {
        if (!is_of_successor(from, message)) {
            return;
        }
        begin_incarnation(now, from, message.from);
    }
    const bool newest = message.stamp_us >= from.peer_stamp_us;
    if (newest) {
        from.peer_stamp_us = message.stamp_us;
        from.failure_domain = message.failure_domain;
        from.about = message.about;
        from.heard_at = now;
        if (std::exchange(from.lost, false)) {
            record_return(now, from);
            events_.on_live(from.id);
        }
    }
    follow_stream(from, message);
    const bool for_us = message.to_incarnation == settings_.self.incarnation;
    const bool counts = for_us && is_of_present_streams(from, message);
    if (for_us) {
        handle_echo(now, from, message);
    }
    if (counts) {
        if (!std::exchange(from.hears_stream, true)) {
            from.progress_at = now;
        }
        handle_ack(now, from, message);
        send_waiting(now, message.from.address, from);
        detect_dropped_payloads(from, message);
    }
    if (newest) {
        events_.on_advert(from.id, from.failure_domain, from.about);
    }
    if (counts && message.sequence == from.received + 1) {
        from.received = message.sequence;
        if (!content.ok()) {
            return refuse_payload(now, from, message);
        }
        record_payload(now, from);
        const bool fresh =
            now - timestamp(message.content_echo_us) < settings_.abandon_after;
        events_.on_payload(from.id, message.content, fresh);
    }
}

void peer_sessions::refuse_payload(timestamp now, peer& from,
                                   const envelope& message) {
    const auto sender = from.id;
    if (message.stream != 0) {
        // The sender's later payloads do not count until it has heard this.
        from.stream = next_stream(now);
        from.hears_stream = false;
        from.next_sequence = 1;
    }
    clear_payloads(from);
    events_.on_payloads_dropped(sender, drop_cause::refused_here);
    send_heartbeat(now, sender.address, from);
}

bool peer_sessions::is_of_successor(const peer& known,
                                    const envelope& message) const {
    if (known.id.incarnation == 0) {
        return true;
    }
    // The process has received what this one sent after it heard the known one.
    const bool proven = message.to_incarnation == settings_.self.incarnation &&
                        timestamp(message.echo_us) > known.first_heard_at;
    // Without a proof the stamps decide, which are of one clock unless the
    // machine has changed or was started again.
    const bool likely =
        !known.former_incarnations.contains(message.from.incarnation) &&
        (known.lost || message.stamp_us >= known.peer_stamp_us);
    return proven || likely;
}

void peer_sessions::begin_incarnation(timestamp now, peer& from,
                                      const process_id& id) {
    if (from.id.incarnation != 0) {
        from.former_incarnations.insert(from.id.incarnation);
        mark_lost(from, true);
        if (!std::exchange(from.out_of_contact, true)) {
            events_.on_out_of_contact(from.id);
        }
    }
    if (from.former_incarnations.erase(id.incarnation) > 0) {
        // It has received payloads of the present numbering.
        from.stream = next_stream(now);
    }
    from.id = id;
    from.first_heard_at = now;
    from.returns = 0;
    from.returned_at = timestamp{0};
    from.received = 0;
    from.hears_stream = false;
    from.peer_stream = 0;
    from.next_sequence = 1;
    clear_payloads(from);
    from.echoed_at = timestamp{0};
    from.peer_stamp_us = 0;
}

void peer_sessions::follow_stream(peer& from, const envelope& message) {
    if (message.stream <= from.peer_stream) {
        return;
    }
    const bool first = std::exchange(from.peer_stream, message.stream) == 0;
    if (first) {
        return;
    }
    from.received = 0;
    clear_payloads(from);
    events_.on_payloads_dropped(from.id, drop_cause::peer_forgot);
}

bool peer_sessions::is_of_present_streams(const peer& from,
                                          const envelope& message) {
    const bool older_version = message.stream == 0;
    return message.stream == from.peer_stream &&
           (older_version || message.ack_stream == from.stream);
}

void peer_sessions::handle_echo(timestamp now, peer& from,
                                const envelope& message) {
    from.echoed_at = std::max(from.echoed_at, timestamp(message.echo_us));
    if (now - from.echoed_at <= settings_.abandon_after &&
        std::exchange(from.out_of_contact, false)) {
        from.progress_at = now;
        from.contact_since = now;
        events_.on_in_contact(from.id);
    }
}

void peer_sessions::handle_ack(timestamp now, peer& from,
                               const envelope& message) const {
    std::size_t count = 0;
    while (!from.unacknowledged.empty() &&
           from.unacknowledged.front().sequence <= message.ack) {
        from.unacknowledged.pop_front();
        ++count;
    }
    if (count == 0) {
        return;
    }
    from.resend_at = now + resend_wait(from);
    from.progress_at = now;
    from.next_to_send =
        std::max(from.next_to_send, from.unacknowledged.empty()
                                        ? from.next_sequence
                                        : from.unacknowledged.front().sequence);
    from.resend_window += count;
}

void peer_sessions::detect_dropped_payloads(peer& from,
                                            const envelope& message) {
    if (message.first_sequence > from.received + 1) {
        from.received = message.first_sequence - 1;
        events_.on_payloads_dropped(from.id, drop_cause::dropped_by_peer);
    }
}

duration peer_sessions::time_without_progress(timestamp now,
                                              const peer& to) const {
    const bool in_contact =
        !to.out_of_contact && now - to.echoed_at <= settings_.abandon_after;
    return to.unacknowledged.empty() || !in_contact ? duration{0}
                                                    : now - to.progress_at;
}

void peer_sessions::drop_if_stalled(timestamp now, peer& to) {
    if (time_without_progress(now, to) <= no_progress_limit) {
        return;
    }
    clear_payloads(to);
    events_.on_payloads_dropped(to.id, drop_cause::no_progress);
}

std::size_t peer_sessions::stalled_count(timestamp now) const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& item) {
            return time_without_progress(now, item.second) >
                   no_progress_limit / 2;
        }));
}

void peer_sessions::mark_lost(peer& other, bool restarted) {
    if (!other.lost) {
        other.lost = true;
        events_.on_lost(other.id, restarted);
    }
}

void peer_sessions::handle_link_refused(timestamp now,
                                        const std::string& address,
                                        timestamp connect_started) {
    const auto found = peers_.find(address);
    if (found != peers_.end() && found->second.heard_at < connect_started) {
        found->second.refused_at = now;
        mark_lost(found->second, false);
    }
}

void peer_sessions::handle_link_restored(timestamp now,
                                         const std::string& address) {
    const auto found = peers_.find(address);
    if (found == peers_.end()) {
        return;
    }
    // A heartbeat that the peer reads tells it that it has been told all that
    // was sent before, so it follows the payloads.
    resend(now, address, found->second, restored_resend_window);
    send_heartbeat(now, address, found->second);
}

bool peer_sessions::update_activity(timestamp now, peer& other) const {
    const bool active = other.failure_domain == settings_.failure_domain ||
                        (other.payload_at != timestamp{0} &&
                         now - other.payload_at < settings_.shared_work_window);
    if (!active) {
        other.active_since.reset();
    } else if (!other.active_since) {
        other.active_since = now;
    }
    return active;
}

void peer_sessions::record_payload(timestamp now, peer& other) const {
    other.payload_at = now;
    update_activity(now, other);
}

void peer_sessions::note_shared_work(timestamp now, const process_id& peer) {
    const auto found = peers_.find(peer.address);
    if (found != peers_.end() && found->second.id == peer) {
        record_payload(now, found->second);
    }
}

duration peer_sessions::silence(timestamp now, const peer& other) {
    // Idle peers send fewer heartbeats, so the limits of an active peer count
    // from the time it became active.
    return now -
           std::max(other.heard_at, other.active_since.value_or(timestamp{0}));
}

duration peer_sessions::suspicion_limit(const peer& other) const {
    return other.active_since ? settings_.suspect_after
                              : settings_.idle_suspect_after;
}

duration peer_sessions::lateness_with(const peer& other) const {
    return std::min<duration>(
        late_ + std::chrono::milliseconds(other.about.late_ms), max_lateness);
}

duration peer_sessions::return_wait(timestamp now, const peer& other) {
    if (other.returns == 0 || now - other.returned_at > return_memory) {
        return duration{0};
    }
    return other.returns == 1 ? first_return_wait : 2 * first_return_wait;
}

void peer_sessions::record_return(timestamp now, peer& other) {
    if (now == other.first_heard_at) {
        return;
    }
    const bool recent = now - other.returned_at <= return_memory;
    other.returns = recent ? other.returns + 1 : 1;
    other.returned_at = now;
}

bool peer_sessions::keeps_endpoints(timestamp now, const peer& other) const {
    const auto wait = std::min<duration>(
        lateness_with(other) + return_wait(now, other), max_lateness);
    const auto limit = suspicion_limit(other) + wait;
    return other.lost && other.id.incarnation != 0 &&
           other.refused_at <= other.heard_at && silence(now, other) <= limit;
}

void peer_sessions::check_contact(timestamp now, peer& other) {
    const bool active = update_activity(now, other);
    const auto since = other.active_since.value_or(timestamp{0});
    const auto extension =
        std::min(lateness_with(other),
                 active ? max_active_extension : max_idle_extension);
    if (silence(now, other) > suspicion_limit(other) + extension) {
        mark_lost(other, false);
    }
    const auto echoed_at = std::max(other.echoed_at, since);
    if (active && !other.out_of_contact &&
        now - echoed_at > settings_.abandon_after) {
        other.out_of_contact = true;
        events_.on_out_of_contact(other.id);
    }
}

void peer_sessions::tick(timestamp now) {
    for (auto& [address, peer] : peers_) {
        check_contact(now, peer);
        drop_if_stalled(now, peer);
        if (!peer.unacknowledged.empty() && now >= peer.resend_at) {
            resend(now, address, peer, timed_resend_window);
        }
        const auto interval = !peer.active_since
                                  ? settings_.idle_heartbeat_interval
                              : peer.lost ? lost_heartbeat_interval
                                          : settings_.heartbeat_interval;
        if (announce_ || now - peer.sent_at >= interval) {
            send_heartbeat(now, address, peer);
        }
    }
    announce_ = false;
    forget_expired_peers(now);
}

void peer_sessions::forget_expired_peers(timestamp now) {
    const auto& seeds = settings_.seeds;
    std::vector<std::string> forgotten;
    for (const auto& [address, peer] : peers_) {
        const bool seed =
            std::find(seeds.begin(), seeds.end(), address) != seeds.end();
        if (peer.lost && !seed &&
            now - std::max(peer.heard_at, peer.added_at) >
                settings_.forget_after) {
            forgotten.push_back(address);
        }
    }
    for (const auto& address : forgotten) {
        erase(address);
        events_.on_forgotten(address);
    }
}

bool peer_sessions::is_live(const process_id& peer) const {
    const auto found = peers_.find(peer.address);
    return found != peers_.end() && found->second.id == peer &&
           !found->second.lost;
}

bool peer_sessions::has_undelivered(const process_id& peer) const {
    const auto found = peers_.find(peer.address);
    return found != peers_.end() && found->second.id == peer &&
           !(found->second.unacknowledged.empty() &&
             found->second.pending.empty());
}

bool peer_sessions::has_ended(timestamp now, const peer& other) const {
    if (has_stopped(other)) {
        return true;
    }
    if (other.refused_at <= other.heard_at ||
        now - other.refused_at > refusal_validity) {
        return false;
    }
    return other.heard_at == timestamp{0} ||
           std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
               return is_heard(now, item.second) &&
                      item.second.failure_domain == other.failure_domain;
           });
}

bool peer_sessions::may_miss_a_peer(timestamp now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& item) {
        const auto& other = item.second;
        const bool expected = now - std::max(other.heard_at, other.added_at) <=
                              settings_.forget_after;
        return (!is_heard(now, other) || other.out_of_contact) && expected &&
               !has_ended(now, other);
    });
}

std::size_t peer_sessions::live_count() const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(),
                      [](const auto& item) { return !item.second.lost; }));
}

} // namespace figridge::dispatch
