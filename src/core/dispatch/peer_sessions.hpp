// Who is heard, and messages that arrive once and in order.
//
// Every peer gets a heartbeat unless something else is sent; hosts of other
// failure domains without work in common get them more seldom. Payloads are
// numbered and kept until acknowledged; they are sent again when a connection
// is back. A payload counts as fresh only if its sender had heard this process
// shortly before, so that what was held up on the way starts nothing. A payload
// that can't be kept until it is acknowledged is given up, and both sides are
// told: see `on_payloads_dropped()`.
#ifndef FIGRIDGE_CORE_DISPATCH_PEER_SESSIONS_HPP
#define FIGRIDGE_CORE_DISPATCH_PEER_SESSIONS_HPP

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "core/dispatch/ports.hpp"
#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {

class peer_session_events {
public:
    virtual ~peer_session_events() = default;
    virtual void on_payload(const process_id& from, const payload& content,
                            bool fresh) = 0;
    virtual void on_advert(const process_id& from,
                           const std::string& failure_domain,
                           const advert& about) = 0;
    // Not heard for `suspect_after`, refused a connection, or restarted.
    virtual void on_lost(const process_id& peer, bool restarted) = 0;
    // A peer that was lost is heard again, in the same incarnation.
    virtual void on_live(const process_id& peer) = 0;
    // The peer has not heard this process for `abandon_after`, or restarted.
    virtual void on_out_of_contact(const process_id& peer) = 0;
    // A peer that was out of contact hears this process again.
    virtual void on_in_contact(const process_id& peer) = 0;
    // Payloads to or from the peer were given up; neither side may rely on
    // what it was told before.
    virtual void on_payloads_dropped(const process_id& peer) = 0;
    // The peer was not heard for `forget_after` and is greeted no more.
    virtual void on_forgotten(const std::string& address) = 0;
    virtual advert make_advert() = 0;
};

// Payloads that a peer out of reach may keep waiting here. Beyond it both sides
// start afresh. 46,000 starts a second over 24 hosts are 1,920 a host, and a
// holder is out of contact after `abandon_after`.
constexpr std::size_t max_unacknowledged_payloads = 4096;

// Owned by a `dispatcher`. Not thread-safe.
class peer_sessions {
public:
    struct sent_payload {
        std::uint64_t sequence = 0;
        std::int64_t echo_us = 0; // at the first sending
        payload content;
    };

    struct peer {
        process_id id;
        std::string failure_domain;
        advert about;
        timestamp heard_at{0}; // 0: never
        timestamp added_at{0};
        timestamp echoed_at{0}; // our latest stamp that the peer has heard
        std::int64_t peer_stamp_us = 0;
        timestamp sent_at{0};
        timestamp payload_at{0}; // the last one sent or received
        // Since when heartbeats are frequent both ways.
        std::optional<timestamp> active_since;
        bool lost = true;
        bool out_of_contact = true;
        std::uint64_t received = 0;
        std::uint64_t next_sequence = 1;
        std::deque<sent_payload> unacknowledged;
        timestamp resend_at{0};
        payload pending;
        std::set<std::uint64_t> former_incarnations;
    };

    peer_sessions(const dispatch_settings& settings, peer_port& port,
                  peer_session_events& events);

    // Connects to a peer; its failure domain may be unknown yet.
    void add(timestamp now, const std::string& address);
    void remove(const std::string& address);

    void handle_envelope(timestamp now, const envelope& message);
    void handle_link_refused(timestamp now, const std::string& address,
                             timestamp begun);
    void handle_link_restored(timestamp now, const std::string& address);
    void tick(timestamp now);

    // What is collected here goes out with the next `flush()`.
    payload* pending_for(const process_id& peer);
    void flush(timestamp now);
    // This host and the peer have work in common, though no payload tells so:
    // a task of one of them waits or runs at the other.
    void note_shared_work(timestamp now, const process_id& peer);
    // Sends the present advert to everyone with the next `tick()`.
    void announce() { announce_ = true; }

    [[nodiscard]] bool is_live(const process_id& peer) const;
    [[nodiscard]] const std::map<std::string, peer>& peers() const {
        return peers_;
    }
    [[nodiscard]] std::size_t live_count() const;

private:
    void send(timestamp now, const std::string& address, peer& to,
              const sent_payload& what);
    // Whether the peer is watched closely: it is in the own failure domain, or
    // there is work in common.
    bool update_activity(timestamp now, peer& other) const;
    void record_payload(timestamp now, peer& other) const;
    void check_contact(timestamp now, peer& other);
    void handle_echo(timestamp now, peer& from, const envelope& message);
    // Whether the sender has given payloads up that never came here.
    void detect_dropped_payloads(peer& from, const envelope& message);
    void resend(timestamp now, const std::string& address, peer& to);
    void mark_lost(peer& gone, bool restarted);
    void forget_expired_peers(timestamp now);

    const dispatch_settings& settings_;
    peer_port& port_;
    peer_session_events& events_;
    std::map<std::string, peer> peers_;
    bool announce_ = false;
};

} // namespace figridge::dispatch

#endif
