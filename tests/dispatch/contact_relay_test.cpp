// Tests which requests a host sends about unheard processes, and which it
// keeps.
#include <boost/test/unit_test.hpp>

#include "core/dispatch/contact_relay.hpp"

namespace figridge::dispatch {
namespace {

const process_id peer{"10.1.0.2:1", 12};
const process_id other{"10.1.0.3:1", 13};
const process_id silent{"10.1.0.4:1", 14};

struct relay_fixture {
    contact_relay relay;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(contact_relay_test, relay_fixture)

// Guards against messages that are sent although all hosts hear each other.
BOOST_AUTO_TEST_CASE(no_request_is_due_while_all_are_heard) {
    BOOST_TEST(!relay.is_due(peer));
    relay.handle_missed(peer);
    BOOST_TEST(!relay.is_due(peer));
}

// Guards against periodic requests about a process that has ended.
BOOST_AUTO_TEST_CASE(request_is_due_once_for_each_change) {
    relay.set_unheard({silent});
    BOOST_TEST(relay.is_due(peer));
    BOOST_TEST((relay.ask(peer).unheard == std::vector{silent}));
    BOOST_TEST(!relay.is_due(peer));
    BOOST_TEST(relay.is_due(other));
    relay.set_unheard({silent});
    BOOST_TEST(!relay.is_due(peer));
    relay.set_unheard({silent, other});
    BOOST_TEST(relay.is_due(peer));
    BOOST_TEST((relay.ask(peer).unheard == std::vector{other, silent}));
}

// Guards against peers that pass reports on for ever: they learn that all are
// heard again, and only those that were asked.
BOOST_AUTO_TEST_CASE(end_of_the_silence_is_told_to_those_that_were_asked) {
    relay.set_unheard({silent});
    (void)relay.ask(peer);
    relay.set_unheard({});
    BOOST_TEST(!relay.is_due(other));
    BOOST_TEST(relay.is_due(peer));
    BOOST_TEST(relay.ask(peer).unheard.empty());
    BOOST_TEST(!relay.is_due(peer));
}

// Guards against a request that was dropped on its way and never sent again.
BOOST_AUTO_TEST_CASE(request_that_a_peer_may_have_missed_is_due_again) {
    relay.set_unheard({silent});
    (void)relay.ask(peer);
    relay.handle_missed(peer);
    BOOST_TEST(relay.is_due(peer));
    (void)relay.ask(peer);
    BOOST_TEST(!relay.is_due(peer));
}

// Guards against a peer that passes reports on for ever because it has missed
// that all are heard again.
BOOST_AUTO_TEST_CASE(missed_end_of_the_silence_is_told_again) {
    relay.set_unheard({silent});
    (void)relay.ask(peer);
    relay.set_unheard({});
    (void)relay.ask(peer);
    relay.handle_missed(peer);
    BOOST_TEST(relay.is_due(peer));
    BOOST_TEST(relay.ask(peer).unheard.empty());
    BOOST_TEST(!relay.is_due(peer));
}

// Guards against reports that are passed on to a host that hears their sender.
BOOST_AUTO_TEST_CASE(request_replaces_the_earlier_one) {
    relay.record_request(peer, {{silent, other}});
    relay.record_request(peer, {{silent}});
    BOOST_REQUIRE_EQUAL(relay.requests().size(), 1U);
    BOOST_TEST((relay.requests().at(peer) == std::set{silent}));
    relay.record_request(peer, {});
    BOOST_TEST(relay.requests().empty());
}

// Guards against a restarted host that a third one does not hear: that one asks
// about the former process.
BOOST_AUTO_TEST_CASE(request_is_about_all_processes_at_the_address) {
    relay.record_request(peer, {{silent}});
    BOOST_TEST(relay.asks_about(peer, silent));
    BOOST_TEST(relay.asks_about(peer, {silent.address, 15}));
    BOOST_TEST(!relay.asks_about(peer, other));
    BOOST_TEST(!relay.asks_about(other, silent));
}

// Guards against a state that grows with each process that restarts.
BOOST_AUTO_TEST_CASE(requests_of_unknown_processes_are_forgotten) {
    relay.set_unheard({silent});
    (void)relay.ask(peer);
    relay.record_request(peer, {{silent}});
    relay.retain([](const process_id& known) { return known == peer; });
    BOOST_TEST(!relay.is_due(peer));
    BOOST_TEST(relay.requests().size() == 1U);
    relay.retain([](const process_id& known) { return known != peer; });
    BOOST_TEST(relay.is_due(peer));
    BOOST_TEST(relay.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
