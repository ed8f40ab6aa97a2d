// Heartbeats, failure detection and reliable messages between peers.
//
// A peer gets a heartbeat whenever nothing else was sent to it for an interval;
// the interval is longer for idle peers, that is, hosts of other failure
// domains without shared work. Payloads are numbered, kept until acknowledged,
// and resent after a time-out or when a connection is restored; each is
// delivered once and in order. A payload is fresh only if its sender had
// recently heard this process, so that delayed messages start no tasks.
// Payloads are dropped, and both sides notified through
// `on_payloads_dropped()`, if too many stay unacknowledged, if the receiver
// can't accept one of them, or if a receiver that hears this host acknowledges
// none.
//
// A host that forgets a peer forgets what it has received from it, while the
// peer's process may live on. Each numbering of payloads is therefore a stream
// with an identifier, and a payload is handled only if its sender has heard the
// receiver's present stream, that is, if it was numbered for a receiver that
// remembers the ones before it. A peer whose stream changes has forgotten this
// host, which counts as dropped payloads.
#ifndef FIGRIDGE_CORE_DISPATCH_PEER_SESSIONS_HPP
#define FIGRIDGE_CORE_DISPATCH_PEER_SESSIONS_HPP

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include <absl/status/status.h>

#include "core/dispatch/local_lateness.hpp"
#include "core/dispatch/ports.hpp"
#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {

// Why payloads to or from a peer were dropped.
enum class drop_cause {
    too_many,        // were unacknowledged
    no_progress,     // the peer hears this host but acknowledges none
    refused_here,    // this host can't accept a payload of the peer
    dropped_by_peer, // which has sent later ones
    peer_forgot,     // has begun a new stream: it forgot, or refused, payloads
};

std::string_view to_string(drop_cause cause);

class peer_session_events {
public:
    virtual ~peer_session_events() = default;
    virtual void on_payload(const process_id& from, const payload& content,
                            bool fresh) = 0;
    virtual void on_advert(const process_id& from,
                           const std::string& failure_domain,
                           const advert& about) = 0;
    // The peer was not heard for `suspect_after` (`idle_suspect_after` if it is
    // idle) and a while longer if it or this host is late, refused a
    // connection, or restarted.
    virtual void on_lost(const process_id& peer, bool restarted) = 0;
    // The peer is heard: this incarnation of it for the first time, or the same
    // incarnation again after `on_lost()`.
    virtual void on_live(const process_id& peer) = 0;
    // The peer has not heard this process for `abandon_after`, or has
    // restarted.
    virtual void on_out_of_contact(const process_id& peer) = 0;
    // The peer hears this process, for the first time or again after
    // `on_out_of_contact()`.
    virtual void on_in_contact(const process_id& peer) = 0;
    // Payloads to or from the peer were dropped, so neither side may rely on
    // the state reported earlier.
    virtual void on_payloads_dropped(const process_id& peer,
                                     drop_cause cause) = 0;
    // A lost peer was removed, with the payloads to and from it that were not
    // handled yet. Its process may live on, and may count this host as lost
    // only later.
    virtual void on_removed(const process_id& peer) = 0;
    // The peer was not heard for `forget_after` and was removed.
    virtual void on_forgotten(const std::string& address) = 0;
    virtual advert make_advert() = 0;
};

// Limit on unacknowledged payloads per peer; beyond it all are dropped. 46,000
// starts per second over 24 hosts are 1,920 per host, and a holder is out of
// contact after `abandon_after`.
constexpr std::size_t max_unacknowledged_payloads = 4096;

// Payloads to a peer in contact are dropped if it acknowledges none for this
// long: they were sent again several times, so the peer can't accept one.
constexpr duration no_progress_limit = 2s;

// A peer that was lost and came back within this time keeps its endpoints for
// longer when it is silent again.
constexpr duration return_memory = 10s;

// Owned by a `dispatcher`. Not thread-safe.
class peer_sessions {
public:
    struct sent_payload {
        std::uint64_t sequence = 0;
        std::int64_t echo_us = 0; // of the envelope that first sent it
        payload content;
    };

    struct peer {
        process_id id;
        std::string failure_domain;
        advert about;
        timestamp heard_at{0};       // 0: never
        timestamp first_heard_at{0}; // of this incarnation
        timestamp added_at{0};
        timestamp echoed_at{0}; // latest own stamp the peer has received
        std::int64_t peer_stamp_us = 0;
        timestamp sent_at{0};
        timestamp payload_at{0}; // when one was last sent or received
        // Since when the peer is active: both sides send frequent heartbeats.
        std::optional<timestamp> active_since;
        timestamp refused_at{0}; // latest refusal of a connection; 0: none
        bool lost = true;
        // How often this incarnation was heard again after it was lost, and
        // when last. The count begins anew after `return_memory`.
        std::uint32_t returns = 0;
        timestamp returned_at{0};
        bool out_of_contact = true;
        timestamp contact_since{0}; // when it was last restored
        // The peer has heard the present stream. Before that, payloads may have
        // been dropped unnoticed.
        bool hears_stream = false;
        std::uint64_t received = 0;    // of the peer's stream
        std::uint64_t peer_stream = 0; // 0: unknown, or an older version
        std::uint64_t stream = 0;      // of the payloads sent to the peer
        std::uint64_t next_sequence = 1;
        std::deque<sent_payload> unacknowledged;
        timestamp resend_at{0};
        // Sequence of the first payload to be sent again; `next_sequence` if
        // there is none.
        std::uint64_t next_to_send = 1;
        // Of the unacknowledged payloads, so many are sent again.
        std::size_t resend_window = 0;
        // Since when the peer could have acknowledged the oldest payload.
        timestamp progress_at{0};
        payload pending;
        std::set<std::uint64_t> former_incarnations;
    };

    peer_sessions(const dispatch_settings& settings, peer_port& port,
                  peer_session_events& events);

    // Connects to a peer, unless it is known already. Its failure domain may be
    // unknown until it is heard.
    void add(timestamp now, const std::string& address);
    // Removes a peer if it is lost.
    void remove(const std::string& address);

    // `content`: why the payload can't be accepted, if it can't. It is dropped
    // then, with all others between the two hosts.
    void handle_envelope(timestamp now, const envelope& message,
                         const absl::Status& content = absl::OkStatus());
    void handle_link_refused(timestamp now, const std::string& address,
                             timestamp connect_started);
    void handle_link_restored(timestamp now, const std::string& address);
    void tick(timestamp now);

    // The payload that the next `flush()` sends to the peer; null if this
    // incarnation of it is not known.
    payload* pending_for(const process_id& peer);
    void flush(timestamp now);
    // Keeps the peer active while a task of one host is queued or running at
    // the other, although they exchange no payloads.
    void note_shared_work(timestamp now, const process_id& peer);
    // How late this host reads its inputs, which doesn't count as silence of
    // others. 0 to `max_lateness`. Not thread-safe.
    void set_lateness(duration late) { late_ = late; }
    // Sends the current advert to all peers with the next `tick()`.
    void announce() { announce_ = true; }

    [[nodiscard]] bool is_live(const process_id& peer) const;
    // Whether the peer is live and was heard within the limit for hosts that
    // are not late. What must not be used on beside a host that may have ended
    // asks for this. Not thread-safe.
    [[nodiscard]] bool is_heard(timestamp now, const peer& other) const {
        return !other.lost && silence(now, other) <= suspicion_limit(other);
    }
    // Whether the peer is lost, but may be silent only since it or this host is
    // late, or has come back before, so that its endpoints stay with it. Not
    // thread-safe.
    [[nodiscard]] bool keeps_endpoints(timestamp now, const peer& other) const;
    // Whether payloads for this incarnation of the peer are not acknowledged;
    // false if it is not known.
    [[nodiscard]] bool has_undelivered(const process_id& peer) const;
    [[nodiscard]] const std::map<std::string, peer>& peers() const {
        return peers_;
    }
    [[nodiscard]] std::size_t live_count() const;
    // Whether a peer that is not in contact may be at work all the same. One
    // whose connections are refused has ended, if this host hears another one
    // of its failure domain: a cut may refuse connections to the whole of it.
    // Not thread-safe.
    [[nodiscard]] bool may_miss_a_peer(timestamp now) const;
    // Whether the peer has stopped as planned: it was draining when it was last
    // heard, and refuses connections since. Thread-safe.
    [[nodiscard]] static bool has_stopped(const peer& other) {
        return other.about.draining && other.refused_at > other.heard_at;
    }
    // The peers that hear this host and have acknowledged no payload for half
    // of `no_progress_limit` although some wait for it.
    [[nodiscard]] std::size_t stalled_count(timestamp now) const;

private:
    // Has the same value of `what` afterwards: it is not copied.
    void send(timestamp now, const std::string& address, peer& to,
              sent_payload& what);
    void send_heartbeat(timestamp now, const std::string& address, peer& to);
    // After what time without an acknowledgement payloads are sent again.
    [[nodiscard]] duration resend_wait(const peer& to) const;
    // For how long the peer was not heard, since it became active if it is.
    [[nodiscard]] static duration silence(timestamp now, const peer& other);
    [[nodiscard]] duration suspicion_limit(const peer& other) const;
    // How late this host and the peer are, as last heard, up to `max_lateness`.
    [[nodiscard]] duration lateness_with(const peer& other) const;
    // How much longer a silent peer keeps its endpoints since it came back
    // before.
    [[nodiscard]] static duration return_wait(timestamp now, const peer& other);
    static void record_return(timestamp now, peer& other);
    // Whether the peer is active: it is in this host's failure domain or shares
    // work with it. Updates `active_since`.
    bool update_activity(timestamp now, peer& other) const;
    void record_payload(timestamp now, peer& other) const;
    void check_contact(timestamp now, peer& other);
    // Whether the envelope is of a process that followed the known one at its
    // address. Envelopes of a former one may be read later.
    [[nodiscard]] bool is_of_successor(const peer& known,
                                       const envelope& message) const;
    // Begins the exchange with another process at the peer's address.
    void begin_incarnation(timestamp now, peer& from, const process_id& id);
    // Identifies a numbering; above all earlier results.
    std::uint64_t next_stream(timestamp now);
    // Notices that the peer has begun a new stream.
    void follow_stream(peer& from, const envelope& message);
    // Whether sender and receiver mean the same two streams, so that sequences
    // and acknowledgements in the envelope count.
    static bool is_of_present_streams(const peer& from,
                                      const envelope& message);
    void handle_echo(timestamp now, peer& from, const envelope& message);
    void handle_ack(timestamp now, peer& from, const envelope& message) const;
    // Skips payloads that the sender dropped before they arrived here.
    void detect_dropped_payloads(peer& from, const envelope& message);
    // Begins a new stream to a peer whose payload can't be accepted, by which
    // it learns that its payloads were dropped.
    void refuse_payload(timestamp now, peer& from, const envelope& message);
    // For how long the peer, which is in contact, has acknowledged none of the
    // payloads that wait for it; 0 if none does.
    [[nodiscard]] duration time_without_progress(timestamp now,
                                                 const peer& to) const;
    void drop_if_stalled(timestamp now, peer& to);
    // Sends the unacknowledged payloads again, at most `window` at first.
    void resend(timestamp now, const std::string& address, peer& to,
                std::size_t window);
    // Sends the payloads that are to be sent again, within the window.
    void send_waiting(timestamp now, const std::string& address, peer& to);
    // Forgets the payloads to the peer, sent or pending.
    static void clear_payloads(peer& to);
    void mark_lost(peer& other, bool restarted);
    [[nodiscard]] bool has_ended(timestamp now, const peer& other) const;
    void erase(const std::string& address);
    void forget_expired_peers(timestamp now);

    const dispatch_settings& settings_;
    peer_port& port_;
    peer_session_events& events_;
    std::map<std::string, peer> peers_;
    std::uint64_t last_stream_ = 0;
    bool announce_ = false;
    duration late_{0};
};

} // namespace figridge::dispatch

#endif
