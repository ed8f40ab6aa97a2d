// Carries the envelopes of `host_core` over the transport between hosts.
#ifndef FIGRIDGE_FIGRIDGED_ENVELOPE_LINK_HPP
#define FIGRIDGE_FIGRIDGED_ENVELOPE_LINK_HPP

#include "adapters/peer_transport.hpp"
#include "figridge/ports.hpp"

namespace figridge {

class envelope_events {
public:
    virtual ~envelope_events() = default;
    virtual void on_envelope(const envelope& message) = 0;
    virtual void on_link_refused(const std::string& host, timestamp begun) = 0;
    virtual void on_link_restored(const std::string& host) = 0;
};

// Serializes the envelopes that `host_core` sends, and deserializes those that
// it receives. Owned by the daemon's main object. Not thread-safe.
class envelope_link final : public peer_port, peer_events {
public:
    envelope_link(event_loop& loop, const std::string& self, std::uint64_t seed,
                  envelope_events& events)
        : events_(events), transport_(loop, self, seed, *this) {}

    void send(const std::string& host, envelope message) override {
        msgpack::sbuffer packed;
        msgpack::pack(packed, message);
        transport_.send(host, packed);
    }

    [[nodiscard]] peer_transport& transport() { return transport_; }
    [[nodiscard]] const peer_transport& transport() const { return transport_; }

private:
    void on_message(const msgpack::object& message) override {
        const auto received = message.as<envelope>();
        require_sender_address(received.from);
        if (!transport_.is_cut(received.from)) {
            events_.on_envelope(received);
        }
    }
    void on_link_refused(const std::string& host, timestamp begun) override {
        events_.on_link_refused(host, begun);
    }
    void on_link_restored(const std::string& host) override {
        events_.on_link_restored(host);
    }

    envelope_events& events_;
    peer_transport transport_;
};

} // namespace figridge

#endif
