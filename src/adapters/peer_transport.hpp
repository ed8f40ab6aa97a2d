// Envelopes between hosts over HTTP/2 streams, by nghttp2.
//
// A host keeps one connection to every peer, with one long request whose body
// is the sequence of its envelopes; what comes back flows on the peer's own
// connection. A connection that breaks is made again after a growing, random
// pause. Messages for a peer without connection are dropped: the core sends
// again what was not acknowledged.
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

#include "event_loop.hpp"
#include "figridge/ports.hpp"

namespace figridge {

// Where the transport reports what it receives and sees.
class peer_events {
public:
    virtual ~peer_events() = default;
    virtual void on_envelope(const envelope& message) = 0;
    virtual void on_link_refused(const std::string& host, timestamp begun) = 0;
    virtual void on_link_restored(const std::string& host) = 0;
};

class peer_link;
class peer_reader;

// Owned by the daemon's main object. Not thread-safe.
class peer_transport final : public peer_port {
public:
    peer_transport(event_loop& loop, std::string self, std::uint64_t seed,
                   peer_events& events);
    ~peer_transport() override;

    absl::Status listen(const std::string& address);

    // Connects to a peer and stays connected.
    void add_peer(const std::string& host);

    void send(const std::string& host, envelope message) override;

    // Drops everything from and to these hosts, to try out partitions.
    void set_cut(std::set<std::string> hosts);

    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    friend class peer_link;
    friend class peer_reader;

    void accept_connections();
    void receive(const envelope& message);
    void forget_closed_readers();

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
