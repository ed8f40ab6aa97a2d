// Membership and reliable delivery between hosts.
//
// Every pair of live incarnations has an ordered link. Payloads queued with
// `outbox()` are sent by `flush()` as numbered envelopes and kept until the
// peer has acknowledged them, so that a network cut or a reconnect delays a
// message and never loses or repeats it. Any envelope counts as a heartbeat.
//
// A silent peer is suspect and gets no new work. It counts as gone only on
// proof: another incarnation at its address, or a refused connection.
#ifndef FIGRIDGE_CORE_MEMBERSHIP_HPP
#define FIGRIDGE_CORE_MEMBERSHIP_HPP

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core_context.hpp"

namespace figridge {

struct host_incarnation {
    std::string host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const host_incarnation&) const = default;
};

// Owned by `host_core`. Not thread-safe.
class membership {
public:
    explicit membership(core_context& context);

    // Records the start time of the process. Precondition: called once, before
    // any other member.
    void start() { started_at_ = context_.now; }

    // Messages for a host, sent at the next flush. Messages to the own address
    // are delivered without a link. Precondition: `can_send(host)`.
    peer_payload& outbox(const std::string& host);

    // True if the incarnation of the host is known and not proved gone.
    [[nodiscard]] bool can_send(const std::string& host) const;

    // Handles the header; returns the payload if it is the next in order.
    std::optional<peer_payload> receive(const envelope& message);

    // The host refused a connection that was started at `begun`: no process
    // listens there.
    void link_refused(const std::string& host, timestamp begun);

    // A new connection is established: unacknowledged envelopes are sent again.
    void link_restored(const std::string& host);

    // Sends queued messages, and heartbeats that are due.
    void flush(const host_advert& own);
    void send_due_heartbeats(const host_advert& own);
    void send_heartbeat(const std::string& host, const host_advert& own);

    // Returns and clears the messages queued for this host itself.
    peer_payload take_local();

    // Returns the incarnations proved gone since the last call.
    std::vector<host_incarnation> take_gone();

    [[nodiscard]] bool is_alive(const std::string& host) const;
    [[nodiscard]] bool is_gone(const std::string& host,
                               std::uint64_t incarnation) const;
    // True if a silent host may still be running: not proved gone, and silent
    // for less than `max_silence`.
    [[nodiscard]] bool may_be_partitioned(const std::string& host) const;
    [[nodiscard]] std::uint64_t incarnation_of(const std::string& host) const;
    [[nodiscard]] const host_advert& advert_of(const std::string& host) const;
    [[nodiscard]] const std::string& domain_of(const std::string& host) const;

    // Latest stamp received from the host, in microseconds of its clock.
    [[nodiscard]] std::int64_t stamp_of(const std::string& host) const;

    // Latest stamp of this host that the host has echoed.
    [[nodiscard]] timestamp echo_of(const std::string& host) const;

    // True if the host has echoed a stamp that this host sent at most `bound`
    // ago.
    [[nodiscard]] bool is_fresh(const std::string& host, duration bound) const;

    // Hosts alive now, including this one. Sorted.
    [[nodiscard]] std::vector<std::string> alive_hosts() const;
    // The live hosts of a domain that hold its endpoints. Draining hosts are
    // included only if every live host drains.
    [[nodiscard]] std::vector<std::string>
    holders_of_domain(const std::string& domain, bool self_draining) const;

    [[nodiscard]] std::vector<std::string> known_hosts() const;
    [[nodiscard]] bool all_acknowledged() const;
    [[nodiscard]] std::size_t unacknowledged(const std::string& host) const;
    [[nodiscard]] duration silence_of(const std::string& host) const;

private:
    struct kept_envelope {
        std::uint64_t sequence = 0;
        timestamp sent_at{0};
        peer_payload payload;
    };
    struct peer {
        std::string domain;
        std::uint64_t incarnation = 0;
        timestamp heard_at{-1};
        timestamp sent_at{-1};
        timestamp refused_at{-1};
        std::int64_t latest_stamp = 0;
        timestamp last_echo{-1};
        std::uint64_t next_sequence = 1;
        std::uint64_t expected_sequence = 1;
        std::uint64_t acknowledged = 0;
        std::deque<kept_envelope> unacked;
        host_advert advert;
        peer_payload outbox;
        std::set<std::uint64_t> gone_incarnations;
    };

    [[nodiscard]] const peer* find(const std::string& host) const;
    [[nodiscard]] duration suspect_timeout(const peer& other) const;
    [[nodiscard]] bool heard_recently(const peer& other) const;
    void mark_gone(const std::string& host, peer& other);
    void reset_link(peer& other, std::uint64_t incarnation);
    [[nodiscard]] bool all_hosts_drain(bool self_draining) const;
    [[nodiscard]] static bool recently_refused(const peer& other,
                                               timestamp now);
    void drop_acknowledged(peer& other, std::uint64_t ack);
    void enqueue_outbox(peer& other);
    void send_pending(const std::string& host, peer& other,
                      const host_advert& own);
    void send_envelope(const std::string& host, peer& other,
                       const host_advert& own, kept_envelope* kept);

    core_context& context_;
    timestamp started_at_{0};
    std::map<std::string, peer> peers_;
    peer_payload local_;
    std::vector<host_incarnation> gone_;
};

} // namespace figridge

#endif
