#include <boost/test/unit_test.hpp>

#include "core/dispatch/peer_sessions.hpp"

namespace figridge::dispatch {
namespace {

// One side of a link. Sent envelopes are kept until the test delivers them.
struct side : peer_port, peer_session_events {
    side(const std::string& address, std::uint64_t incarnation,
         const std::string& failure_domain = "domain-1")
        : sessions(settings, *this, *this) {
        settings.self = {address, incarnation};
        settings.failure_domain = failure_domain;
    }

    void connect(const std::string& /*address*/) override {}
    void disconnect(const std::string& /*address*/) override {}
    void send(const std::string& address, const envelope& message) override {
        sent.push_back(message);
        ++sent_to[address];
    }
    void on_payload(const process_id& /*from*/, const payload& content,
                    bool fresh) override {
        for (const auto& withdrawal : content.withdrawals) {
            received.emplace_back(withdrawal.job, fresh);
        }
    }
    void on_advert(const process_id& /*from*/, const std::string& /*domain*/,
                   const advert& /*about*/) override {}
    void on_lost(const process_id& /*peer*/, bool restarted) override {
        lost.push_back(restarted);
    }
    void on_live(const process_id& /*peer*/) override { ++live; }
    void on_out_of_contact(const process_id& /*peer*/) override {
        ++out_of_contact;
    }
    void on_in_contact(const process_id& /*peer*/) override { ++in_contact; }
    void on_payloads_dropped(const process_id& /*peer*/,
                             drop_cause cause) override {
        ++dropped;
        drop_causes.emplace_back(to_string(cause));
    }
    void on_removed(const process_id& /*peer*/) override {}
    void on_forgotten(const std::string& address) override {
        forgotten.push_back(address);
    }
    advert make_advert() override { return about; }

    dispatch_settings settings;
    advert about;
    std::vector<std::string> forgotten;
    std::vector<envelope> sent;
    std::map<std::string, std::size_t> sent_to;
    std::vector<std::pair<std::string, bool>> received;
    std::vector<bool> lost;
    int live = 0;
    int out_of_contact = 0;
    int in_contact = 0;
    int dropped = 0;
    std::vector<std::string> drop_causes;
    peer_sessions sessions;
};

struct link_fixture {
    link_fixture() {
        a.sessions.add(now, "b:1");
        b.sessions.add(now, "a:1");
        run_for(500ms);
    }

    // Whether a payload has a withdrawal of this job.
    static bool withdraws(const envelope& message, const std::string& job) {
        const auto& withdrawals = message.content.withdrawals;
        return std::any_of(
            withdrawals.begin(), withdrawals.end(),
            [&job](const job_withdrawal& item) { return item.job == job; });
    }

    // Delivers what one side has sent, or drops it if the direction is cut.
    // "refused" is a job that can't be accepted, "ignored" one whose envelopes
    // are ignored, as an older version does.
    void deliver(side& from, side& to, bool cut) {
        for (const auto& message : std::exchange(from.sent, {})) {
            if (cut || withdraws(message, "ignored")) {
                continue;
            }
            to.sessions.handle_envelope(
                now, message,
                withdraws(message, "refused")
                    ? absl::InvalidArgumentError("content: out of range")
                    : absl::OkStatus());
        }
    }

    void run_for(duration time, bool cut_to_b = false, bool cut_to_a = false) {
        for (const auto end = now + time; now < end; now += 25ms) {
            a.sessions.tick(now);
            b.sessions.tick(now);
            a.sessions.flush(now);
            b.sessions.flush(now);
            deliver(a, b, cut_to_b);
            deliver(b, a, cut_to_a);
        }
    }

    void send_to_b(const std::string& job) {
        a.sessions.pending_for({"b:1", 2})->withdrawals.push_back({job});
    }

    timestamp now{10s};
    side a{"a:1", 1};
    side b{"b:1", 2};
};

BOOST_FIXTURE_TEST_SUITE(peer_sessions_test, link_fixture)

BOOST_AUTO_TEST_CASE(payload_arrives_once) {
    send_to_b("job-1");
    run_for(2s);
    BOOST_REQUIRE_EQUAL(b.received.size(), 1U);
    BOOST_TEST(b.received[0].second);
}

// Guards against a link that stops: a payload that its receiver refused was
// sent again without end, and no later one was handled.
BOOST_AUTO_TEST_CASE(payloads_after_a_refused_one_arrive) {
    send_to_b("refused");
    run_for(25ms);
    send_to_b("job-1");
    run_for(200ms);
    BOOST_TEST(b.drop_causes == std::vector<std::string>{"refused_here"},
               boost::test_tools::per_element());
    BOOST_TEST(a.drop_causes == std::vector<std::string>{"peer_forgot"},
               boost::test_tools::per_element());
    BOOST_TEST(!a.sessions.has_undelivered({"b:1", 2}));
    send_to_b("job-2");
    run_for(100ms);
    BOOST_REQUIRE(!b.received.empty());
    BOOST_TEST(b.received.back().first == "job-2");
    BOOST_TEST(b.received.back().second);
    BOOST_TEST(std::count_if(b.received.begin(), b.received.end(),
                             [](const auto& item) {
                                 return item.first == "job-2";
                             }) == 1);
}

// Guards against payloads that are handled out of order or twice: those sent
// together with a refused one, before its sender knows, are not handled.
BOOST_AUTO_TEST_CASE(payloads_sent_along_with_a_refused_one_are_dropped) {
    send_to_b("refused");
    a.sessions.flush(now);
    send_to_b("job-1");
    a.sessions.flush(now);
    run_for(2s);
    BOOST_TEST(b.received.empty());
    BOOST_TEST(a.dropped == 1);
}

// Guards against a host that works on what the other one has given up: a
// payload that waits for the host that refuses one is dropped as well.
BOOST_AUTO_TEST_CASE(payloads_to_the_sender_of_a_refused_one_are_dropped) {
    b.sessions.pending_for({"a:1", 1})->withdrawals.push_back({"job-1"});
    b.sessions.flush(now);
    b.sent.clear();
    send_to_b("refused");
    run_for(2s);
    BOOST_TEST(a.received.empty());
    BOOST_TEST(a.dropped == 1);
    BOOST_TEST(!b.sessions.has_undelivered({"a:1", 1}));
    b.sessions.pending_for({"a:1", 1})->withdrawals.push_back({"job-2"});
    run_for(100ms);
    BOOST_REQUIRE_EQUAL(a.received.size(), 1U);
    BOOST_TEST(a.received[0].first == "job-2");
}

// Guards against a link that stops beside a host of another version, which
// ignores a payload that it can't accept, and against such a link that is not
// noticed.
BOOST_AUTO_TEST_CASE(payloads_that_a_peer_in_contact_ignores_are_dropped) {
    send_to_b("ignored");
    run_for(1500ms);
    BOOST_TEST(a.sessions.stalled_count(now) == 1U);
    BOOST_TEST(a.dropped == 0);
    run_for(1s);
    BOOST_TEST(a.sessions.stalled_count(now) == 0U);
    BOOST_TEST(a.drop_causes == std::vector<std::string>{"no_progress"},
               boost::test_tools::per_element());
    send_to_b("job-1");
    run_for(100ms);
    BOOST_TEST(b.drop_causes == std::vector<std::string>{"dropped_by_peer"},
               boost::test_tools::per_element());
    BOOST_REQUIRE_EQUAL(b.received.size(), 1U);
    BOOST_TEST(b.received[0].first == "job-1");
}

// A cut link makes no progress either, but nothing was refused.
BOOST_AUTO_TEST_CASE(payloads_are_kept_while_the_peer_is_out_of_contact) {
    send_to_b("job-1");
    run_for(4s, true, true);
    BOOST_TEST(a.sessions.stalled_count(now) == 0U);
    run_for(1s);
    BOOST_TEST(a.dropped == 0);
    BOOST_REQUIRE_EQUAL(b.received.size(), 1U);
}

// 140 hosts are replaced per day; their addresses must not accumulate.
BOOST_AUTO_TEST_CASE(host_not_heard_for_long_is_forgotten_and_may_come_back) {
    run_for(1s);
    now += a.settings.forget_after + 1s;
    a.sessions.tick(now);
    BOOST_REQUIRE_EQUAL(a.forgotten.size(), 1U);
    BOOST_TEST(a.forgotten[0] == "b:1");
    BOOST_TEST(a.sessions.peers().empty());
    run_for(1s);
    BOOST_TEST(a.sessions.is_live({"b:1", 2}));
}

BOOST_AUTO_TEST_CASE(seed_is_never_forgotten) {
    a.settings.seeds = {"b:1"};
    run_for(1s);
    now += a.settings.forget_after + 1s;
    a.sessions.tick(now);
    BOOST_TEST(a.forgotten.empty());
}

BOOST_AUTO_TEST_CASE(payload_lost_on_the_way_is_sent_again_in_order) {
    send_to_b("job-1");
    run_for(100ms, true);
    send_to_b("job-2");
    run_for(2s);
    BOOST_REQUIRE_EQUAL(b.received.size(), 2U);
    BOOST_TEST(b.received[0].first == "job-1");
    BOOST_TEST(b.received[1].first == "job-2");
}

// A payload sent before a long cut must start no task after it, even though it
// is resent.
BOOST_AUTO_TEST_CASE(payload_delayed_too_long_is_not_fresh) {
    send_to_b("job-1");
    run_for(1s, true, true);
    run_for(200ms, true, false); // a hears b again before b hears a
    run_for(1s);
    BOOST_REQUIRE_EQUAL(b.received.size(), 1U);
    BOOST_TEST(!b.received[0].second);
}

BOOST_AUTO_TEST_CASE(silent_peer_is_lost_until_heard_again) {
    run_for(600ms, false, true);
    BOOST_REQUIRE_EQUAL(a.lost.size(), 1U);
    BOOST_TEST(!a.lost[0]);
    BOOST_TEST(!a.sessions.is_live({"b:1", 2}));
    const int before = a.live;
    run_for(500ms);
    BOOST_TEST(a.live == before + 1);
    BOOST_TEST(a.sessions.is_live({"b:1", 2}));
}

// Guards against hosts without processor time that lose each other and come
// back all the time: what others have sent waits to be read.
BOOST_AUTO_TEST_CASE(late_host_suspects_a_peer_later) {
    a.sessions.set_lateness(1s);
    run_for(525ms, false, true);
    BOOST_TEST(a.lost.empty());
    const auto& peer = a.sessions.peers().at("b:1");
    // What must not be used on beside a lost peer does not wait.
    BOOST_TEST(!a.sessions.is_heard(now, peer));
    BOOST_TEST(a.sessions.may_miss_a_peer(now));
    run_for(200ms, false, true);
    BOOST_TEST(a.lost.size() == 1U);
    BOOST_TEST(a.out_of_contact == 1);
    BOOST_TEST(a.sessions.keeps_endpoints(now, peer));
    run_for(800ms, false, true);
    BOOST_TEST(!a.sessions.keeps_endpoints(now, peer));
}

// Guards against the same by a peer that lacks processor time and says so.
BOOST_AUTO_TEST_CASE(peer_that_says_it_is_late_is_suspected_later) {
    b.about.late_ms = 60'000;
    run_for(500ms);
    run_for(525ms, false, true);
    BOOST_TEST(a.lost.empty());
    run_for(1700ms, false, true);
    const auto& peer = a.sessions.peers().at("b:1");
    BOOST_TEST(a.lost.size() == 1U);
    BOOST_TEST(a.sessions.keeps_endpoints(now, peer));
    run_for(300ms, false, true); // `max_lateness` has passed
    BOOST_TEST(!a.sessions.keeps_endpoints(now, peer));
}

// Guards against endpoints that change hands whenever their holder, which runs,
// is not heard for a while: one that came back is waited for.
BOOST_AUTO_TEST_CASE(peer_that_came_back_is_waited_for) {
    const auto& peer = a.sessions.peers().at("b:1");
    run_for(700ms, false, true);
    BOOST_TEST(peer.lost);
    BOOST_TEST(!a.sessions.keeps_endpoints(now, peer));
    run_for(500ms);
    run_for(1200ms, false, true);
    BOOST_TEST(peer.lost);
    BOOST_TEST(a.sessions.keeps_endpoints(now, peer));
    run_for(400ms, false, true);
    BOOST_TEST(!a.sessions.keeps_endpoints(now, peer));
    run_for(500ms);
    run_for(2200ms, false, true);
    BOOST_TEST(a.sessions.keeps_endpoints(now, peer));
    run_for(400ms, false, true);
    BOOST_TEST(!a.sessions.keeps_endpoints(now, peer));
    run_for(return_memory + 100ms);
    run_for(700ms, false, true);
    BOOST_TEST(peer.lost);
    BOOST_TEST(!a.sessions.keeps_endpoints(now, peer));
}

// Guards against endpoints that stay with a holder that has ended.
BOOST_AUTO_TEST_CASE(late_peer_that_refuses_connections_is_not_waited_for) {
    b.about.late_ms = 2000;
    run_for(500ms);
    now += 100ms;
    a.sessions.handle_link_refused(now, "b:1", now - 10ms);
    const auto& peer = a.sessions.peers().at("b:1");
    BOOST_TEST(peer.lost);
    BOOST_TEST(!a.sessions.keeps_endpoints(now, peer));
}

// A peer that does not hear this host is out of contact, even if it is heard.
BOOST_AUTO_TEST_CASE(one_way_cut_ends_the_contact) {
    run_for(1s, true, false);
    BOOST_TEST(a.lost.empty());
    BOOST_TEST(a.out_of_contact == 1);
    BOOST_TEST(a.sessions.is_live({"b:1", 2}));
}

// With many hosts in many failure domains, most pairs share no work.
BOOST_AUTO_TEST_CASE(heartbeats_are_rare_between_domains_without_shared_work) {
    side c("c:1", 3, "domain-2");
    a.sessions.add(now, "c:1");
    c.sessions.add(now, "a:1");
    const auto run_with_c = [&](duration time) {
        a.sent_to.clear();
        for (const auto end = now + time; now < end; now += 25ms) {
            a.sessions.tick(now);
            c.sessions.tick(now);
            a.sessions.flush(now);
            deliver(a, c, false);
            deliver(c, a, false);
        }
    };
    run_with_c(1s);
    run_with_c(4s);
    BOOST_TEST(a.sent_to["c:1"] <= 11U); // every 400 ms
    BOOST_TEST(a.sent_to["b:1"] >= 12U);
    BOOST_TEST(a.sessions.is_live({"c:1", 3}));
    BOOST_TEST(a.out_of_contact <= 1); // b gets no envelopes here
    a.sessions.pending_for({"c:1", 3})->withdrawals.push_back({"job-1"});
    run_with_c(2s);
    BOOST_REQUIRE_EQUAL(c.received.size(), 1U);
    BOOST_TEST(c.received[0].second);
    BOOST_TEST(c.out_of_contact == 0);
}

BOOST_AUTO_TEST_CASE(contact_is_restored_when_a_cut_heals) {
    run_for(1s, true, false);
    const int before = a.in_contact;
    run_for(500ms);
    BOOST_TEST(a.in_contact == before + 1);
}

// After a cut between domains one direction may heal before the other. New
// shared work alone must not count as contact.
BOOST_AUTO_TEST_CASE(contact_is_back_only_by_an_echo) {
    side c("c:1", 3, "domain-2");
    a.sessions.add(now, "c:1");
    c.sessions.add(now, "a:1");
    const auto run_with_c = [&](duration time, bool cut_to_c) {
        for (const auto end = now + time; now < end; now += 25ms) {
            a.sessions.tick(now);
            c.sessions.tick(now);
            a.sessions.flush(now);
            deliver(a, c, cut_to_c);
            deliver(c, a, false);
        }
    };
    a.sessions.pending_for({"b:1", 2})->withdrawals.push_back({"job-0"});
    run_with_c(500ms, false);
    a.sessions.pending_for({"c:1", 3})->withdrawals.push_back({"job-1"});
    run_with_c(500ms, false);
    run_with_c(8s, true); // c hears nothing; the shared work expires
    const int before = a.in_contact;
    a.sessions.pending_for({"c:1", 3})->withdrawals.push_back({"job-2"});
    run_with_c(500ms, true);
    BOOST_TEST(a.in_contact == before);
    run_with_c(500ms, false);
    BOOST_TEST(a.in_contact == before + 1);
}

// A dropped payload may have held an assignment, a claim or the end of a run,
// so neither side may assume that the other has received it.
BOOST_AUTO_TEST_CASE(both_sides_learn_that_payloads_were_dropped) {
    for (std::size_t i = 0; i <= max_unacknowledged_payloads; ++i) {
        send_to_b("job-" + std::to_string(i));
        a.sessions.flush(now);
    }
    BOOST_TEST(a.dropped == 1);
    a.sent.clear();
    run_for(1s);
    BOOST_TEST(b.dropped == 1);
    b.received.clear();
    send_to_b("job-after");
    run_for(1s);
    BOOST_REQUIRE_EQUAL(b.received.size(), 1U);
    BOOST_TEST(b.received[0].first == "job-after");
    BOOST_TEST(a.dropped + b.dropped == 2);
}

BOOST_AUTO_TEST_CASE(
    restarted_peer_gets_no_payloads_of_its_former_incarnation) {
    send_to_b("job-1");
    a.sessions.flush(now);
    a.sent.clear();
    envelope hello;
    hello.from = {"b:1", 3};
    hello.stamp_us = now.count();
    a.sessions.handle_envelope(now, hello);
    BOOST_REQUIRE_EQUAL(a.lost.size(), 1U);
    BOOST_TEST(a.lost[0]);
    run_for(1s, false, true);
    BOOST_TEST(b.received.empty());
}

BOOST_AUTO_TEST_CASE(envelope_of_a_former_incarnation_is_ignored) {
    envelope hello;
    hello.from = {"b:1", 3};
    hello.stamp_us = now.count();
    a.sessions.handle_envelope(now, hello);
    hello.from = {"b:1", 2};
    a.sessions.handle_envelope(now, hello);
    BOOST_TEST(a.sessions.is_live({"b:1", 3}));
}

// Guards against a task that starts twice under one run number: a receiver that
// forgot a peer counted its payloads from 0 again and handled them twice.
BOOST_AUTO_TEST_CASE(payload_is_not_handled_again_after_its_receiver_forgot) {
    send_to_b("job-1");
    run_for(25ms, false, true); // handled, but not acknowledged
    run_for(1s, true, true);
    b.sessions.remove("a:1");
    BOOST_REQUIRE(b.sessions.peers().empty());
    b.sessions.add(now, "a:1");
    run_for(2s, false, true); // sent again before a hears b's new stream
    BOOST_TEST(b.received.size() == 1U);
    run_for(3s);
    BOOST_TEST(b.received.size() == 1U);
    BOOST_TEST(a.dropped == 1); // whether it was handled is unknown
    send_to_b("job-2");
    run_for(500ms);
    BOOST_REQUIRE_EQUAL(b.received.size(), 2U);
    BOOST_TEST(b.received[1].first == "job-2");
    BOOST_TEST(b.received[1].second);
}

// Guards against payloads that vanish: a sender that forgot a peer began at
// sequence 1 again, below the sequences that the peer had received and
// acknowledged.
BOOST_AUTO_TEST_CASE(payloads_arrive_after_their_sender_forgot_the_peer) {
    for (const auto* job : {"job-1", "job-2", "job-3"}) {
        send_to_b(job);
        run_for(100ms);
    }
    run_for(1s, true, true);
    a.sessions.remove("b:1");
    BOOST_REQUIRE(a.sessions.peers().empty());
    a.sessions.add(now, "b:1");
    run_for(1s);
    BOOST_TEST(b.dropped == 1);
    send_to_b("job-4");
    run_for(100ms);
    BOOST_REQUIRE_EQUAL(b.received.size(), 4U);
    BOOST_TEST(b.received[3].first == "job-4");
    run_for(2s);
    BOOST_TEST(a.sessions.peers().at("b:1").unacknowledged.empty());
    BOOST_TEST(b.received.size() == 4U);
}

// Guards against payloads that vanish after a partition of an hour, in which
// both hosts forgot each other at different times.
BOOST_AUTO_TEST_CASE(payloads_arrive_after_both_sides_forgot_the_other) {
    send_to_b("job-1");
    run_for(100ms);
    run_for(1s, true, true);
    a.sessions.remove("b:1");
    a.sessions.add(now, "b:1");
    run_for(1s, true, true);
    b.sessions.remove("a:1");
    b.sessions.add(now, "a:1");
    run_for(1s);
    send_to_b("job-2");
    run_for(100ms);
    BOOST_REQUIRE_EQUAL(b.received.size(), 2U);
    BOOST_TEST(b.received[1].first == "job-2");
}

// Guards against payloads that count as delivered although they were lost: an
// envelope of the stream before may be read after the sender began a new one.
BOOST_AUTO_TEST_CASE(held_up_envelope_of_an_earlier_stream_counts_for_nothing) {
    envelope held_up;
    held_up.from = {"a:1", 1};
    held_up.to_incarnation = 2;
    held_up.stream = a.sessions.peers().at("b:1").stream;
    held_up.ack_stream = b.sessions.peers().at("a:1").stream;
    held_up.sequence = 1;
    held_up.first_sequence = 1;
    held_up.ack = 9;
    held_up.content.withdrawals.push_back({"job-1"});
    run_for(1s, true, true);
    a.sessions.remove("b:1");
    a.sessions.add(now, "b:1");
    run_for(500ms);
    b.sessions.pending_for({"a:1", 1})->withdrawals.push_back({"job-2"});
    b.sessions.flush(now);
    b.sent.clear();
    b.sessions.handle_envelope(now, held_up);
    BOOST_TEST(b.received.empty());
    BOOST_TEST(b.sessions.peers().at("a:1").unacknowledged.size() == 1U);
    send_to_b("job-3");
    run_for(2s);
    BOOST_REQUIRE_EQUAL(b.received.size(), 1U);
    BOOST_TEST(b.received[0].first == "job-3");
    BOOST_REQUIRE_EQUAL(a.received.size(), 1U);
    BOOST_TEST(a.received[0].first == "job-2");
    BOOST_TEST(b.dropped == 1);
}

// During an update hosts exchange payloads with peers of the version before,
// whose envelopes have no streams.
BOOST_AUTO_TEST_CASE(payloads_of_a_version_without_streams_arrive) {
    const auto exchange = [this](duration time) {
        for (const auto end = now + time; now < end; now += 25ms) {
            for (auto* host : {&a, &b}) {
                host->sessions.tick(now);
                host->sessions.flush(now);
                for (auto& message : host->sent) {
                    message.stream = 0;
                    message.ack_stream = 0;
                }
            }
            deliver(a, b, false);
            deliver(b, a, false);
        }
    };
    // New processes, which have not heard a stream of each other yet.
    envelope hello;
    hello.stamp_us = now.count();
    hello.from = {"a:1", 3};
    b.sessions.handle_envelope(now, hello);
    hello.from = {"b:1", 4};
    a.sessions.handle_envelope(now, hello);
    a.settings.self.incarnation = 3;
    b.settings.self.incarnation = 4;
    exchange(1s);
    a.sessions.pending_for({"b:1", 4})->withdrawals.push_back({"job-1"});
    exchange(25ms);
    a.sessions.pending_for({"b:1", 4})->withdrawals.push_back({"job-2"});
    exchange(2s);
    BOOST_REQUIRE_EQUAL(b.received.size(), 2U);
    BOOST_TEST(b.received[1].first == "job-2");
    BOOST_TEST(a.sessions.peers().at("b:1").unacknowledged.empty());
    BOOST_TEST(a.dropped + b.dropped == 0);
}

// Guards against a live peer that counts as ended: an envelope of the process
// before it, which this host never heard, may be read after its own.
BOOST_AUTO_TEST_CASE(held_up_envelope_of_an_unknown_former_process_is_ignored) {
    envelope held_up;
    held_up.from = {"b:1", 1};
    held_up.stamp_us = timestamp(9s).count(); // before the process heard
    a.sessions.handle_envelope(now, held_up);
    BOOST_TEST(a.lost.empty());
    BOOST_TEST(a.sessions.is_live({"b:1", 2}));
}

// Guards against a host that never hears a live peer again: stamps of another
// machine say nothing, so the process before may have seemed the later one.
BOOST_AUTO_TEST_CASE(process_taken_for_ended_comes_back_by_an_echo) {
    send_to_b("job-1");
    run_for(100ms);
    envelope held_up;
    held_up.from = {"b:1", 1};
    held_up.stamp_us = timestamp(1h).count();
    a.sessions.handle_envelope(now, held_up);
    BOOST_REQUIRE(a.sessions.is_live({"b:1", 1}));
    run_for(1s);
    BOOST_REQUIRE(a.sessions.is_live({"b:1", 2}));
    send_to_b("job-2");
    run_for(100ms);
    BOOST_REQUIRE_EQUAL(b.received.size(), 2U);
    BOOST_TEST(b.received[1].first == "job-2");
    a.sessions.handle_envelope(now, held_up);
    BOOST_TEST(a.sessions.is_live({"b:1", 2}));
}

// Guards against state and life of the past taken for the present: bytes of a
// reset connection may be read after those of its successor.
BOOST_AUTO_TEST_CASE(envelope_older_than_the_newest_brings_no_news) {
    envelope newest;
    newest.from = {"b:1", 2};
    newest.failure_domain = "domain-1";
    newest.stamp_us = now.count();
    newest.about.draining = true;
    a.sessions.handle_envelope(now, newest);
    auto older = newest;
    older.stamp_us -= 1000;
    older.about.draining = false;
    a.sessions.handle_envelope(now, older);
    BOOST_TEST(a.sessions.peers().at("b:1").about.draining);
    run_for(600ms, false, true);
    BOOST_REQUIRE(!a.sessions.is_live({"b:1", 2}));
    a.sessions.handle_envelope(now, older);
    BOOST_TEST(!a.sessions.is_live({"b:1", 2}));
}

// Guards against two holders of an endpoint that has forgotten the token of the
// silent one; and against a dead peer that costs as much until it is forgotten.
BOOST_AUTO_TEST_CASE(silent_peer_may_be_at_work_unless_it_refuses_connections) {
    BOOST_TEST(!a.sessions.may_miss_a_peer(now));
    envelope message;
    message.from = {"c:1", 3};
    message.failure_domain = "domain-1";
    message.to_incarnation = 1;
    message.stamp_us = now.count();
    message.echo_us = now.count();
    a.sessions.handle_envelope(now, message);
    BOOST_TEST(!a.sessions.may_miss_a_peer(now));
    run_for(600ms);
    BOOST_TEST(a.sessions.may_miss_a_peer(now));
    a.sessions.handle_link_refused(now, "c:1", now - 10ms);
    BOOST_TEST(!a.sessions.may_miss_a_peer(now));
    run_for(1500ms); // it may have started again
    BOOST_TEST(a.sessions.may_miss_a_peer(now));
    a.sessions.handle_link_refused(now, "c:1", now - 10ms);
    BOOST_TEST(!a.sessions.may_miss_a_peer(now));
    // A cut may refuse the connections to a whole failure domain.
    a.sessions.handle_link_refused(now, "b:1", now + 1ms);
    BOOST_TEST(a.sessions.may_miss_a_peer(now));
}

// Guards against the same where the peer hears this host no more.
BOOST_AUTO_TEST_CASE(peer_that_does_not_hear_this_host_may_take_over) {
    run_for(1s, true);
    BOOST_TEST(a.sessions.may_miss_a_peer(now));
    run_for(1s);
    BOOST_TEST(!a.sessions.may_miss_a_peer(now));
}

// Guards against a live peer that counts as lost: the attempt that was refused
// may have begun before its process listened.
BOOST_AUTO_TEST_CASE(refused_link_counts_only_if_nothing_was_heard_since) {
    a.sessions.handle_link_refused(now, "b:1", now - 1s);
    BOOST_TEST(a.sessions.is_live({"b:1", 2}));
    now += 100ms;
    a.sessions.handle_link_refused(now, "b:1", now - 10ms);
    BOOST_TEST(!a.sessions.is_live({"b:1", 2}));
    BOOST_REQUIRE_EQUAL(a.lost.size(), 1U);
    BOOST_TEST(!a.lost[0]); // its process may have heard this host
}

// Guards against a wait of `resend_interval` for payloads that were lost with
// the connection before, and against their being handled twice.
BOOST_AUTO_TEST_CASE(restored_link_brings_unacknowledged_payloads_once) {
    send_to_b("job-1");
    a.sessions.flush(now);
    a.sent.clear();
    a.sessions.handle_link_restored(now, "b:1");
    a.sessions.handle_link_restored(now, "b:1");
    deliver(a, b, false);
    BOOST_TEST(b.received.size() == 1U);
}

// A peer without processor time acknowledges late. If all that it has not read
// yet is sent again each time, it has more to read the later it gets.
BOOST_AUTO_TEST_CASE(payloads_to_a_slow_peer_are_not_multiplied) {
    constexpr std::size_t payload_count = 1000;
    constexpr auto slow_time = 4s;
    for (std::size_t i = 0; i < payload_count; ++i) {
        send_to_b("job-" + std::to_string(i));
        a.sessions.flush(now);
    }
    const auto first_sent = a.sent.size();
    std::vector<envelope> unread;
    for (const auto end = now + slow_time; now < end; now += 25ms) {
        a.sessions.tick(now);
        b.sessions.tick(now);
        unread.insert(unread.end(), a.sent.begin(), a.sent.end());
        a.sent.clear();
        deliver(b, a, false);
    }
    const auto sent_again = static_cast<std::size_t>(std::count_if(
        unread.begin() + static_cast<std::ptrdiff_t>(first_sent), unread.end(),
        [](const envelope& message) { return message.sequence != 0; }));
    BOOST_TEST(sent_again <= payload_count / 10,
               "expected at most a tenth of " << payload_count
                                              << " payloads sent again in 4 s, "
                                                 "actual "
                                              << sent_again);
}

// Guards against payloads sent again to a peer that says that it has not read
// them yet, and against a lost one that is dropped instead of sent again.
BOOST_AUTO_TEST_CASE(payloads_are_sent_again_later_to_a_late_peer) {
    const auto first_resend = [this](std::uint32_t late_ms) {
        b.about.late_ms = late_ms;
        run_for(500ms);
        send_to_b("job-" + std::to_string(late_ms));
        a.sessions.flush(now);
        a.sent.clear(); // the payload is lost
        const auto sent_at = now;
        const auto is_payload = [](const envelope& message) {
            return message.sequence != 0;
        };
        while (std::none_of(a.sent.begin(), a.sent.end(), is_payload)) {
            now += 25ms;
            a.sent.clear();
            a.sessions.tick(now);
            b.sessions.tick(now);
            deliver(b, a, false);
        }
        const auto wait = now - sent_at;
        run_for(500ms);
        return wait;
    };
    BOOST_TEST(to_ms(first_resend(0)) == 500);
    BOOST_TEST(to_ms(first_resend(200)) == 700);
    BOOST_TEST(to_ms(first_resend(2000)) == 1000);
    BOOST_TEST(b.received.size() == 3U);
    BOOST_TEST(a.dropped == 0);
}

// The connection has lost what it held, and more than fits the window: the rest
// follows what is acknowledged, behind it what was sent meanwhile, in order.
BOOST_AUTO_TEST_CASE(payloads_beyond_the_window_follow_a_restored_link) {
    constexpr std::size_t payload_count = 300;
    for (std::size_t i = 0; i < payload_count; ++i) {
        send_to_b("job-" + std::to_string(i));
        a.sessions.flush(now);
    }
    a.sent.clear();
    a.sessions.handle_link_restored(now, "b:1");
    send_to_b("job-" + std::to_string(payload_count));
    run_for(2s);
    BOOST_REQUIRE_EQUAL(b.received.size(), payload_count + 1);
    for (std::size_t i = 0; i <= payload_count; ++i) {
        BOOST_TEST(b.received[i].first == "job-" + std::to_string(i));
    }
}

// Guards against duplicate runs: a witness forgets a start once it has read a
// heartbeat sent after the holder told of it, but that waited behind payloads
// which the witness, being slow, had not acknowledged.
BOOST_AUTO_TEST_CASE(payload_to_a_slow_peer_is_sent_before_heartbeats) {
    constexpr std::size_t unacknowledged_count = 10;
    std::vector<envelope> unread;
    const auto run_slowly = [&](duration time) {
        for (const auto end = now + time; now < end; now += 25ms) {
            a.sessions.tick(now);
            b.sessions.tick(now);
            a.sessions.flush(now);
            unread.insert(unread.end(), a.sent.begin(), a.sent.end());
            a.sent.clear();
            deliver(b, a, false);
        }
    };
    for (std::size_t i = 0; i < unacknowledged_count; ++i) {
        send_to_b("job");
        a.sessions.flush(now);
    }
    run_slowly(600ms);
    send_to_b("doubt");
    run_slowly(300ms);
    a.sent = std::move(unread);
    deliver(a, b, false);
    BOOST_REQUIRE_EQUAL(b.received.size(), unacknowledged_count + 1);
    BOOST_TEST(b.received.back().first == "doubt");
}

// Guards against duplicate runs: a host that is in contact for 500 ms counts as
// having told which of its starts may still be carried out, but that waited
// behind other payloads, few of which were sent at a time.
BOOST_AUTO_TEST_CASE(payloads_of_a_cut_arrive_soon_after_it) {
    constexpr std::size_t first_count = 5;
    constexpr std::size_t payload_count = 200;
    constexpr auto doubt_settle_time = 500ms;
    std::vector<envelope> held_to_a;
    std::vector<envelope> held_to_b;
    const auto send = [this](std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            send_to_b("job");
            a.sessions.flush(now);
        }
    };
    const auto hold_messages = [&](duration time) {
        for (const auto end = now + time; now < end; now += 25ms) {
            a.sessions.tick(now);
            b.sessions.tick(now);
            held_to_b.insert(held_to_b.end(), a.sent.begin(), a.sent.end());
            held_to_a.insert(held_to_a.end(), b.sent.begin(), b.sent.end());
            a.sent.clear();
            b.sent.clear();
        }
    };
    send(first_count);
    hold_messages(600ms);
    send(payload_count - first_count);
    hold_messages(600ms);
    a.sent = std::move(held_to_b);
    b.sent = std::move(held_to_a);
    run_for(doubt_settle_time);
    BOOST_TEST(a.dropped == 0);
    BOOST_TEST(b.received.size() == payload_count);
}

// An acknowledgement beyond what was sent must not keep later payloads back.
BOOST_AUTO_TEST_CASE(acknowledgement_of_unsent_payloads_keeps_none_back) {
    send_to_b("job-1");
    a.sessions.flush(now);
    deliver(a, b, false);
    b.sessions.tick(now + 200ms);
    for (auto& message : b.sent) {
        message.ack = 1000;
    }
    deliver(b, a, false);
    send_to_b("job-2");
    run_for(200ms);
    BOOST_TEST(b.received.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace figridge::dispatch
