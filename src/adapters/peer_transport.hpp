// Messages between hosts over HTTP/2, built on nghttp2.
//
// A host keeps one connection to every peer, with one long-lived request whose
// body is the sequence of its messages, each a msgpack object. The peer sends
// on its own connection. Broken connections are re-established with exponential
// backoff and jitter. Messages to a peer without a connection are dropped: the
// core resends what was not acknowledged.
#ifndef FIGRIDGE_ADAPTERS_PEER_TRANSPORT_HPP
#define FIGRIDGE_ADAPTERS_PEER_TRANSPORT_HPP

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <absl/status/status.h>
#include <msgpack.hpp>

#include "event_loop.hpp"

namespace figridge {

// Receives messages and connection events from the transport.
class peer_events {
public:
    virtual ~peer_events() = default;
    // Throws if the message is invalid; the transport then closes the
    // connection it came on.
    virtual void on_message(const msgpack::object& message) = 0;
    virtual void on_link_refused(const std::string& host, timestamp begun) = 0;
    virtual void on_link_restored(const std::string& host) = 0;
};

// Throws std::invalid_argument if `address`, by which the sender of a message
// wants to be reached, is not an IPv4 address with a port. Thread-safe.
void require_sender_address(const std::string& address);

class peer_link;
class peer_reader;

// Owned by the daemon's main object. Not thread-safe.
class peer_transport {
public:
    peer_transport(event_loop& loop, std::string self, std::uint64_t seed,
                   peer_events& events);
    ~peer_transport();
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    absl::Status listen(const std::string& address);

    // Connects to a peer, and reconnects whenever the connection breaks.
    // Returns an error if `host` is not an IPv4 address with a port; such a
    // peer is not added.
    absl::Status add_peer(const std::string& host);

    // Closes the connection to a peer and stops reconnecting.
    void remove_peer(const std::string& host);

    // Sends one packed message. Drops it if there is no connection, or none
    // can be made because `host` is not an IPv4 address with a port.
    void send(const std::string& host, const msgpack::sbuffer& message);
    [[nodiscard]] bool is_connected(const std::string& host) const;

    // Drops all messages to these hosts, to simulate a network partition.
    void set_cut(std::set<std::string> hosts);
    [[nodiscard]] bool is_cut(const std::string& host) const {
        return cut_.contains(host);
    }

    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
    // Bytes that wait for peers that are slow to read. Not thread-safe.
    [[nodiscard]] std::size_t buffered_bytes() const;

private:
    friend class peer_link;
    friend class peer_reader;

    void accept_connections();
    void remove_closed_readers();

    event_loop& loop_;
    std::string self_;
    std::mt19937_64 random_;
    peer_events& events_;
    int listener_ = -1;
    std::unique_ptr<io_watcher> accept_watcher_;
    std::map<std::string, std::unique_ptr<peer_link>> links_;
    std::list<std::unique_ptr<peer_reader>> readers_;
    std::set<std::string> cut_;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace figridge

#endif
