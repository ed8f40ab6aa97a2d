// envelope_transport and envelope_link: senders of envelopes.
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include "adapters/socket_address.hpp"
#include "dispatch/quiet_dispatcher.hpp"
#include "dispatch/quiet_observer.hpp"
#include "envelope_transport.hpp"
#include "figridged/envelope_link.hpp"

namespace figridge::platform {
namespace {

const std::vector<std::string> unusable_addresses{"127.0.0.1:70000", "odd",
                                                  "10.1.0.2:1\n"};

// Sends packed messages to one address from a host that reads none.
class message_sender final : peer_events {
public:
    message_sender(event_loop& loop, std::string target)
        : loop_(loop), target_(std::move(target)),
          transport_(loop, "127.0.0.1:1", 1, *this) {
        BOOST_REQUIRE(transport_.add_peer(target_).ok());
    }

    // Sends a message, then runs the loop until `done` holds.
    template <typename Message, typename Condition>
    void send(const Message& message, Condition done) {
        run_until([this] { return transport_.is_connected(target_); });
        msgpack::sbuffer packed;
        msgpack::pack(packed, message);
        transport_.send(target_, packed);
        run_until(done);
    }

    // Sends a message that makes the receiver close the connection.
    template <typename Message>
    void send_refused(const Message& message) {
        send(message, [this] { return !transport_.is_connected(target_); });
    }

private:
    void on_message(const msgpack::object& /*message*/) override {}
    void on_link_refused(const std::string& /*host*/,
                         timestamp /*begun*/) override {}
    void on_link_restored(const std::string& /*host*/) override {}

    template <typename Condition>
    void run_until(Condition done) {
        constexpr int max_rounds = 500;
        int rounds = 0;
        while (!done() && rounds++ < max_rounds) {
            loop_.run_for(10ms);
        }
        BOOST_TEST(done());
    }

    event_loop& loop_;
    std::string target_;
    peer_transport transport_;
};

class counting_events final : public envelope_events {
public:
    void on_envelope(const envelope& /*message*/) override { ++envelopes; }
    void on_link_refused(const std::string& /*host*/,
                         timestamp /*begun*/) override {}
    void on_link_restored(const std::string& /*host*/) override {}

    int envelopes = 0;
};

double live_hosts(const dispatch::dispatcher& core) {
    return core.gauges(now()).at("hosts_live").get<double>();
}

} // namespace

BOOST_AUTO_TEST_SUITE(envelope_transport_test)

// Guards against hosts that end, or count a peer that can't be reached as live:
// the sender's address in an envelope was connected to without being checked.
BOOST_AUTO_TEST_CASE(sender_without_a_usable_address_is_no_peer) {
    constexpr auto address = "127.0.0.1:24905";
    event_loop loop;
    dispatch::dispatch_settings settings;
    settings.self = {address, 99};
    settings.failure_domain = "domain-1";
    envelope_transport links(loop, address, 1);
    dispatch::recording_endpoint_port endpoints;
    dispatch::recording_store_port store;
    dispatch::recording_caller_port callers;
    dispatch::quiet_observer observer;
    dispatch::dispatcher core(settings,
                              {links, endpoints, store, callers, observer});
    links.attach(core);
    BOOST_REQUIRE(links.listen(address).ok());
    core.start(now());
    message_sender sender(loop, address);
    auto message = dispatch::make_full_envelope();
    message.to_incarnation = 0;
    for (const auto& from : unusable_addresses) {
        message.from.address = from;
        sender.send_refused(message);
    }
    BOOST_TEST(live_hosts(core) == 1.0);
    // A peer that refused connections would count as lost.
    constexpr auto peer = "127.0.0.1:24908";
    const auto listener = listen_on(peer);
    BOOST_REQUIRE(listener.ok());
    message.from.address = peer;
    sender.send(message, [&core] { return live_hosts(core) == 2.0; });
    close(*listener);
}

// Guards against hosts of the other platform that end in the same way.
BOOST_AUTO_TEST_CASE(envelope_of_an_unusable_address_is_not_passed_on) {
    constexpr auto address = "127.0.0.1:24906";
    event_loop loop;
    counting_events events;
    envelope_link link(loop, address, 1, events);
    BOOST_REQUIRE(link.transport().listen(address).ok());
    message_sender sender(loop, address);
    envelope message;
    for (const auto& from : unusable_addresses) {
        message.from = from;
        sender.send_refused(message);
    }
    BOOST_TEST(events.envelopes == 0);
    message.from = "127.0.0.1:2";
    sender.send(message, [&events] { return events.envelopes == 1; });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::platform
