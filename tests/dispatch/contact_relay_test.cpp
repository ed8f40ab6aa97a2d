// Tests which requests a host sends about unheard processes, which it keeps,
// and what it passes on.
#include <boost/test/unit_test.hpp>

#include "core/dispatch/contact_relay.hpp"

namespace figridge::dispatch {
namespace {

const process_id peer{"10.1.0.2:1", 12};
const process_id other{"10.1.0.3:1", 13};
const process_id silent{"10.1.0.4:1", 14};

const process_id self{"10.1.0.1:1", 11};

start_doubt make_doubt(bool over = false) {
    start_doubt doubt;
    doubt.run = {{"0123456789abcdef", 0, 0}, 1};
    doubt.holder = silent;
    doubt.endpoint = "endpoint-7";
    doubt.token = 1000;
    doubt.over = over;
    return doubt;
}

// A host that hears `peer` and `other`.
struct relay_fixture {
    void set_unheard(const std::set<process_id>& unheard) {
        relay.set_unheard(unheard);
        relay.choose(self, "domain-1", heard);
    }
    bool is_due(const process_id& asked) { return relay.is_due(now, asked); }
    // What the last of the requests lists.
    std::vector<process_id> ask(const process_id& asked) {
        return relay.ask(now, asked).back().unheard;
    }
    // Number of doubts and fences that are passed on to `peer` now.
    std::size_t pass_on() {
        std::size_t entries = 0;
        for (const auto& report : relay.take_digest(now, peer)) {
            entries += report.doubts.size() + report.fences.size();
        }
        return entries;
    }

    timestamp now{100s};
    std::vector<relay_candidate> heard{{peer, "domain-1"}, {other, "domain-1"}};
    contact_relay relay;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(contact_relay_test, relay_fixture)

// Guards against messages that are sent although all hosts hear each other.
BOOST_AUTO_TEST_CASE(no_request_is_due_while_all_are_heard) {
    set_unheard({});
    BOOST_TEST(!is_due(peer));
    relay.handle_missed(peer);
    BOOST_TEST(!is_due(peer));
}

// Guards against periodic requests about a process that has ended.
BOOST_AUTO_TEST_CASE(request_is_due_once_for_each_change) {
    set_unheard({silent});
    BOOST_TEST(is_due(peer));
    BOOST_TEST((ask(peer) == std::vector{silent}));
    now += 10s;
    BOOST_TEST(!is_due(peer));
    BOOST_TEST(is_due(other));
    set_unheard({silent});
    BOOST_TEST(!is_due(peer));
    set_unheard({silent, other});
    BOOST_TEST(is_due(peer));
    BOOST_TEST((ask(peer) == std::vector{other, silent}));
    BOOST_TEST(!is_due(peer));
}

// Guards against peers that pass reports on for ever: they learn that all are
// heard again, and only those that were asked.
BOOST_AUTO_TEST_CASE(end_of_the_silence_is_told_to_those_that_were_asked) {
    set_unheard({silent});
    (void)ask(peer);
    now += contact_relay::release_interval;
    set_unheard({});
    BOOST_TEST(!is_due(other));
    BOOST_TEST(is_due(peer));
    BOOST_TEST(ask(peer).empty());
    now += 10s;
    BOOST_TEST(!is_due(peer));
}

// Guards against a request that was dropped on its way and never sent again.
BOOST_AUTO_TEST_CASE(request_that_a_peer_may_have_missed_is_due_again) {
    set_unheard({silent});
    (void)ask(peer);
    relay.handle_missed(peer);
    now += contact_relay::request_interval;
    BOOST_TEST(is_due(peer));
    BOOST_TEST((ask(peer) == std::vector{silent}));
    now += 10s;
    BOOST_TEST(!is_due(peer));
}

// Guards against a peer that passes reports on for ever because it has missed
// that all are heard again.
BOOST_AUTO_TEST_CASE(missed_end_of_the_silence_is_told_again) {
    set_unheard({silent});
    (void)ask(peer);
    now += 10s;
    set_unheard({});
    (void)ask(peer);
    relay.handle_missed(peer);
    now += contact_relay::request_interval;
    BOOST_TEST(is_due(peer));
    BOOST_TEST(ask(peer).empty());
    now += 10s;
    BOOST_TEST(!is_due(peer));
}

// Guards against requests to all hosts about each silent one, by which N hosts
// that flap cost N^2 reports for each message; and against duplicate runs where
// the hosts that were asked are cut off together with the asker.
BOOST_AUTO_TEST_CASE(few_peers_of_different_failure_domains_are_asked) {
    heard.clear();
    for (std::uint64_t host = 0; host < 30; ++host) {
        heard.push_back({{"10.1.1." + std::to_string(host) + ":1", host + 1},
                         "domain-" + std::to_string(host % 3 + 1)});
    }
    std::set<process_id> asked_by_any;
    for (int asker = 0; asker < 10; ++asker) {
        contact_relay of_asker;
        of_asker.set_unheard({silent});
        of_asker.choose({"10.1.2." + std::to_string(asker) + ":1", 1},
                        "domain-1", heard);
        std::set<std::string> domains;
        std::size_t asked = 0;
        for (const auto& candidate : heard) {
            if (of_asker.is_due(now, candidate.id)) {
                ++asked;
                domains.insert(candidate.failure_domain);
                asked_by_any.insert(candidate.id);
            }
        }
        BOOST_TEST(asked == 3U);
        BOOST_TEST(domains.size() == 3U);
    }
    BOOST_TEST(asked_by_any.size() > 10U);
}

// Guards against duplicate runs where the peers that were asked fall silent as
// well, and against a peer that is asked in vain because it is about to end.
BOOST_AUTO_TEST_CASE(asked_peer_that_is_lost_is_replaced) {
    heard.clear();
    for (std::uint64_t host = 0; host < 8; ++host) {
        heard.push_back({{"10.1.1." + std::to_string(host) + ":1", host + 1},
                         "domain-" + std::to_string(host % 2 + 2)});
    }
    const auto ask_all = [this] {
        std::set<process_id> asked;
        for (const auto& candidate : heard) {
            if (is_due(candidate.id)) {
                (void)ask(candidate.id);
                asked.insert(candidate.id);
            }
        }
        return asked;
    };
    heard[0].draining = true;
    set_unheard({silent});
    const auto first = ask_all();
    BOOST_REQUIRE_EQUAL(first.size(), 3U);
    BOOST_TEST(!first.contains(heard[0].id));
    const auto lost = *first.begin();
    std::erase_if(heard, [&lost](const relay_candidate& candidate) {
        return candidate.id == lost;
    });
    set_unheard({silent});
    const auto replaced = ask_all();
    BOOST_REQUIRE_EQUAL(replaced.size(), 1U);
    BOOST_TEST(!first.contains(*replaced.begin()));
    // The lost one is heard again: nothing changes, but that it is released.
    heard.push_back({lost, "domain-2"});
    now += 10s;
    set_unheard({silent});
    BOOST_TEST(ask(lost).empty());
    BOOST_TEST(ask_all().empty());
}

// Guards against requests about peers that flap, with each flap.
BOOST_AUTO_TEST_CASE(requests_to_one_peer_are_limited) {
    std::size_t sent = 0;
    for (int check = 0; check < 100; ++check) {
        if (check % 2 == 0) {
            set_unheard({silent});
        } else {
            set_unheard({silent, other});
        }
        if (is_due(peer)) {
            (void)ask(peer);
            ++sent;
        }
        now += 100ms;
    }
    BOOST_TEST(sent <= 10s / contact_relay::request_interval + 1);
}

// Guards against duplicate runs: a report was ignored while its origin was
// heard for a moment, and the peer has sent it.
BOOST_AUTO_TEST_CASE(ignored_report_is_asked_for_again) {
    set_unheard({silent, other});
    (void)ask(peer);
    relay.handle_ignored(silent);
    set_unheard({other});
    set_unheard({silent, other});
    now += contact_relay::request_interval;
    BOOST_TEST(is_due(peer));
    const auto requests = relay.ask(now, peer);
    BOOST_REQUIRE_EQUAL(requests.size(), 2U);
    BOOST_TEST((requests[0].unheard == std::vector{other}));
    BOOST_TEST((requests[1].unheard == std::vector{other, silent}));

    contact_relay asked;
    asked.record_request(peer, {{silent, other}});
    asked.add(peer, silent, make_doubt());
    BOOST_TEST(asked.take_digest(now, peer).size() == 1U);
    now += contact_relay::digest_interval;
    for (const auto& request : requests) {
        asked.record_request(peer, request);
    }
    asked.add(peer, silent, make_doubt());
    BOOST_TEST(asked.take_digest(now, peer).size() == 1U);
}

// Guards against reports that repeat what the requester was sent, and against
// one message for each event.
BOOST_AUTO_TEST_CASE(digest_has_each_entry_once) {
    relay.record_request(peer, {{silent}});
    relay.add(peer, silent, make_doubt());
    relay.add(peer, silent, make_doubt());
    relay.add(peer, silent, endpoint_fence{"endpoint-1", 5});
    relay.add(peer, silent, endpoint_fence{"endpoint-1", 4});
    BOOST_TEST(pass_on() == 2U);
    relay.add(peer, silent, make_doubt(true));
    BOOST_TEST(pass_on() == 0U); // too early
    now += contact_relay::digest_interval;
    BOOST_TEST(pass_on() == 1U);
    relay.add(peer, silent, make_doubt());
    relay.add(peer, silent, endpoint_fence{"endpoint-1", 5});
    now += contact_relay::digest_interval;
    BOOST_TEST(pass_on() == 1U); // the doubt, which is open again
    relay.record_request(peer, {{silent, other}});
    relay.add(peer, silent, make_doubt());
    now += contact_relay::digest_interval;
    BOOST_TEST(pass_on() == 0U);
    relay.forget_told(peer);
    relay.add(peer, silent, make_doubt());
    BOOST_TEST(pass_on() == 1U);
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
    set_unheard({silent});
    (void)ask(peer);
    relay.record_request(peer, {{silent}});
    relay.retain([](const process_id& known) { return known == peer; });
    BOOST_TEST(!is_due(peer));
    BOOST_TEST(relay.requests().size() == 1U);
    relay.retain([](const process_id& known) { return known != peer; });
    BOOST_TEST(is_due(peer));
    BOOST_TEST(relay.requests().empty());
}

// Guards against a traversal of all requests for each payload.
BOOST_AUTO_TEST_CASE(requesters_are_found_by_the_unheard_process) {
    relay.record_request(peer, {{silent, {silent.address, 15}}});
    relay.record_request(other, {{silent}});
    BOOST_TEST(
        (relay.requesters_of({silent.address, 16}) == std::set{peer, other}));
    BOOST_TEST(relay.requesters_of(peer).empty());
    relay.record_request(peer, {{other}});
    BOOST_TEST((relay.requesters_of(silent) == std::set{other}));
    BOOST_TEST((relay.requesters_of(other) == std::set{peer}));
    relay.record_request(other, {});
    relay.retain([](const process_id& /*known*/) { return false; });
    BOOST_TEST(relay.requesters_of(silent).empty());
    BOOST_TEST(relay.requesters_of(other).empty());
}

// Guards against a look at all requesters with each input, and against a
// digest that is never sent.
BOOST_AUTO_TEST_CASE(digest_is_due_while_something_waits) {
    relay.record_request(peer, {{silent}});
    BOOST_TEST(relay.due_digests(now).empty());
    relay.add(peer, silent, make_doubt());
    BOOST_TEST((relay.due_digests(now) == std::vector{peer}));
    BOOST_TEST(pass_on() == 1U);
    relay.add(peer, silent, make_doubt(true));
    BOOST_TEST(relay.due_digests(now).empty()); // too early
    now += contact_relay::digest_interval;
    BOOST_TEST((relay.due_digests(now) == std::vector{peer}));
    relay.record_request(peer, {});
    BOOST_TEST(relay.due_digests(now).empty());
}

// Guards against duplicate runs: doubts that the requester may have ignored or
// missed are told again.
BOOST_AUTO_TEST_CASE(answer_begins_anew_for_what_may_be_unknown) {
    const process_id later{silent.address, 15};
    relay.record_request(peer, {{silent}});
    BOOST_TEST(relay.answered(peer, silent) == 0U);
    relay.set_answered(peer, silent, 7);
    BOOST_TEST(relay.answered(peer, silent) == 7U);
    BOOST_TEST(relay.answered(peer, later) == 0U);
    BOOST_TEST(relay.answered(other, silent) == 0U);
    relay.record_request(peer, {{silent, other}});
    BOOST_TEST(relay.answered(peer, silent) == 7U);
    relay.record_request(peer, {{other}});
    relay.record_request(peer, {{silent, other}});
    BOOST_TEST(relay.answered(peer, silent) == 0U);
    relay.set_answered(peer, silent, 8);
    relay.forget_told(peer);
    BOOST_TEST(relay.answered(peer, silent) == 0U);
    relay.set_answered(peer, silent, 9);
    relay.record_request(peer, {});
    relay.record_request(peer, {{silent}});
    BOOST_TEST(relay.answered(peer, silent) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
