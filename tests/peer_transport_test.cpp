// peer_transport: addresses of peers.
#include <boost/test/unit_test.hpp>

#include "adapters/peer_transport.hpp"

namespace figridge {
namespace {

class ignoring_events final : public peer_events {
public:
    void on_message(const msgpack::object& /*message*/) override {}
    void on_link_refused(const std::string& /*host*/,
                         timestamp /*begun*/) override {}
    void on_link_restored(const std::string& /*host*/) override {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_transport_test)

// Guards against a process that ends: a connection was opened to the parsed
// address without asking whether the text was an address.
BOOST_AUTO_TEST_CASE(peer_with_an_unusable_address_gets_no_connection) {
    event_loop loop;
    ignoring_events events;
    peer_transport transport(loop, "127.0.0.1:1", 1, events);
    msgpack::sbuffer message;
    msgpack::pack(message, 1);
    for (const std::string address :
         {"127.0.0.1:70000", "odd", "", "127.0.0.1:-1", "127.0.0.1:+1",
          "host:1", "127.0.0.1:1\n", "[::1]:1", "127.0.0.1 :1"}) {
        BOOST_TEST_CONTEXT("address <" << address << ">") {
            BOOST_TEST(!transport.add_peer(address).ok());
            transport.send(address, message);
            BOOST_TEST(!transport.is_connected(address));
            transport.remove_peer(address);
        }
    }
    BOOST_TEST(transport.add_peer("127.0.0.1:2").ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
