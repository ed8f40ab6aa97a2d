// Notices of starts: what a holder tells its witness, what the witness keeps,
// and what it tells when the holder is lost.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "core/dispatch/start_teller.hpp"
#include "core/dispatch/start_witness.hpp"
#include "quiet_dispatcher.hpp"

namespace figridge::dispatch {
namespace {

const process_id holder{"10.1.0.2:1", 12};
const process_id other_holder{"10.1.0.3:1", 13};
const process_id witness_1{"10.2.0.1:1", 21};
const process_id witness_2{"10.2.0.2:1", 22};
const std::string job_id = "0123456789abcdef";

constexpr std::int64_t told_at = 5'000'000;

task_run run_of(std::uint32_t index) {
    return {{job_id, 0, index}, 1};
}

start_notice notice_of(std::uint32_t index) {
    return {job_id, {{0, index, 1, "endpoint-7", 1000}}};
}

struct teller_fixture {
    using notices = std::map<process_id, std::vector<start_notice>>;

    void add(const process_id& witness, std::uint32_t index) {
        teller.add(witness, run_of(index), "endpoint-1", 1000);
    }

    notices refresh(const std::set<std::uint32_t>& open) {
        return teller.refresh(now, [&open](const auto& start) {
            return open.contains(start.run.task.index);
        });
    }

    timestamp now{10s};
    start_teller teller;
};

// A host of domain-1 that has taken endpoint-1 over, and its peers.
struct notice_fixture : quiet_dispatcher {
    notice_fixture() {
        core.set_catalogue(1, "one");
        core.set_endpoints(now, {make_endpoint("endpoint-1")});
        advance(600ms);
        core.handle_write_result(now, store.writes.back().first,
                                 store_status::ok);
        hold_reply reply;
        reply.number = endpoints.holds.back().number;
        reply.call = {call_status::ok, to_ms(now) + 500};
        reply.instance_started_ms = 1000;
        core.handle_hold(now, endpoints.holds.back().target, reply);
    }

    // The process has just heard this host.
    void hear(const process_id& from, const std::string& failure_domain,
              const payload& content = {}, bool draining = false) {
        envelope message;
        message.from = from;
        message.failure_domain = failure_domain;
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = now.count();
        message.sequence = content.empty() ? 0 : ++sequences[from];
        message.about.draining = draining;
        message.content = content;
        core.handle_envelope(now, message);
    }

    void hear_notices(const std::vector<start_notice>& notices) {
        payload content;
        content.start_notices = notices;
        hear(holder, "domain-2", content);
    }

    // Hears the holder every 25 ms.
    void stay_in_contact(duration time) {
        for (const auto end = now + time; now < end;) {
            advance(25ms);
            hear(holder, "domain-2");
        }
    }

    // Another process at the address of the holder.
    void restart_holder() { hear({holder.address, 120}, "domain-2"); }

    void assign_by(const process_id& coordinator,
                   const std::string& failure_domain) {
        task_assignment assignment;
        assignment.job = job_id;
        assignment.pool = "pool";
        assignment.objective_us = duration(200ms).count();
        assignment.patience_us = duration(1500ms).count();
        task_need need;
        need.room = {6000, 64, 0};
        need.estimate_ms = 60;
        assignment.items = {{run_of(0), need, {}}};
        payload content;
        content.assignments = {assignment};
        hear(coordinator, failure_domain, content);
    }

    // The notices sent since the last call, and to whom.
    std::vector<std::pair<std::string, start_notice>> take_notices() {
        std::vector<std::pair<std::string, start_notice>> found;
        for (const auto& [address, message] : std::exchange(peers.sent, {})) {
            for (const auto& notice : message.content.start_notices) {
                found.emplace_back(address, notice);
            }
        }
        return found;
    }

    // The doubts sent to a peer.
    [[nodiscard]] std::vector<start_doubt>
    doubts_sent_to(const process_id& peer) const {
        std::vector<start_doubt> found;
        for (const auto& [address, message] : peers.sent) {
            if (address == peer.address) {
                found.insert(found.end(), message.content.doubts.begin(),
                             message.content.doubts.end());
            }
        }
        return found;
    }

    std::map<process_id, std::uint64_t> sequences;
};

} // namespace

BOOST_AUTO_TEST_SUITE(start_witness_test)

// Guards against duplicate runs: nobody else knows of the starts of a holder
// that is lost.
BOOST_AUTO_TEST_CASE(starts_of_a_lost_holder_are_doubts) {
    start_witness witness;
    witness.record(holder, told_at, notice_of(1));
    witness.record(holder, told_at + 1000, notice_of(2));
    witness.record(other_holder, told_at, notice_of(3));
    const auto doubts = witness.take(holder, told_at + 399'999);
    BOOST_REQUIRE_EQUAL(doubts.size(), 2U);
    BOOST_TEST((doubts[0].run == run_of(1)));
    BOOST_TEST((doubts[0].holder == holder));
    BOOST_TEST(doubts[0].endpoint == "endpoint-7");
    BOOST_TEST(doubts[0].token == 1000U);
    BOOST_TEST(doubts[0].holder_lost);
    BOOST_TEST(!doubts[0].over);
    BOOST_TEST((doubts[1].run == run_of(2)));
    BOOST_TEST(witness.take(holder, told_at).empty());
    BOOST_TEST(witness.size() == 1U);
}

// Guards against memory that grows with each start, and against tasks that wait
// for starts whose holder has told what became of them.
BOOST_AUTO_TEST_CASE(start_is_forgotten_once_its_holder_must_have_told_it) {
    start_witness witness;
    witness.record(holder, told_at, notice_of(1));
    witness.record(holder, told_at + 1000, notice_of(2));
    witness.tick([](const process_id&) { return told_at + 624'999; });
    BOOST_TEST(witness.size() == 2U);
    witness.tick([](const process_id&) { return told_at + 625'000; });
    BOOST_TEST(witness.size() == 1U);
    BOOST_TEST(witness.take(holder, told_at + 626'000).empty());
    BOOST_TEST(witness.size() == 0U);
}

// Guards against tasks that wait for starts which were answered.
BOOST_AUTO_TEST_CASE(notice_without_a_job_ends_what_its_sender_has_told) {
    start_witness witness;
    witness.record(holder, told_at, notice_of(1));
    witness.record(other_holder, told_at, notice_of(2));
    witness.record(holder, told_at, {});
    witness.record(holder, told_at, notice_of(3));
    const auto doubts = witness.take(holder, told_at);
    BOOST_REQUIRE_EQUAL(doubts.size(), 1U);
    BOOST_TEST((doubts[0].run == run_of(3)));
    BOOST_TEST(witness.size() == 1U);
}

BOOST_AUTO_TEST_CASE(starts_of_one_job_share_a_notice) {
    std::vector<start_notice> notices;
    BOOST_TEST(add_start(notices, run_of(1), "endpoint-1", 1000));
    BOOST_TEST(!add_start(notices, run_of(2), "endpoint-2", 2000));
    BOOST_TEST(add_start(notices, {{"job-2", 1, 0}, 3}, "endpoint-1", 1000));
    BOOST_REQUIRE_EQUAL(notices.size(), 2U);
    BOOST_REQUIRE_EQUAL(notices[0].items.size(), 2U);
    BOOST_TEST(notices[0].items[1].index == 2U);
    BOOST_TEST(notices[0].items[1].endpoint == "endpoint-2");
    BOOST_TEST(notices[0].items[1].token == 2000U);
    BOOST_TEST(notices[1].items[0].step == 1U);
    BOOST_TEST(notices[1].items[0].run == 3U);
}

// Guards against a price for each start that grows with the starts of the day.
BOOST_AUTO_TEST_CASE(packed_notice_of_one_start_is_small) {
    std::vector<start_notice> notices;
    add_start(notices, run_of(1), "certis-ba-box-117", 4000);
    msgpack::sbuffer packed;
    msgpack::pack(packed, notices[0]);
    BOOST_TEST_MESSAGE("bytes of a notice: " << packed.size());
    BOOST_TEST(packed.size() <= 48U);
}

// Guards against a witness that forgets a start which is still open, and
// against tasks that wait for starts which were answered.
BOOST_FIXTURE_TEST_CASE(refresh_tells_which_starts_are_open, teller_fixture) {
    add(witness_1, 1);
    add(witness_1, 2);
    add(witness_2, 3);
    BOOST_TEST(refresh({1, 2, 3}).empty());
    const auto told = refresh({2, 3});
    BOOST_REQUIRE_EQUAL(told.size(), 1U);
    const auto& notices = told.at(witness_1);
    BOOST_REQUIRE_EQUAL(notices.size(), 2U);
    BOOST_TEST(notices[0].job.empty());
    BOOST_TEST(notices[0].items.empty());
    BOOST_TEST(notices[1].job == job_id);
    BOOST_REQUIRE_EQUAL(notices[1].items.size(), 1U);
    BOOST_TEST(notices[1].items[0].index == 2U);
    BOOST_TEST(!teller.empty());
}

// Guards against messages for each start that is answered.
BOOST_FIXTURE_TEST_CASE(refreshes_are_apart, teller_fixture) {
    add(witness_1, 1);
    BOOST_TEST(refresh({}).size() == 1U);
    add(witness_1, 2);
    now += start_teller::refresh_interval - 1ms;
    BOOST_TEST(refresh({}).empty());
    now += 1ms;
    BOOST_TEST(refresh({}).size() == 1U);
    BOOST_TEST(teller.empty());
}

// Guards against duplicate runs: this host ends before it can tell which of its
// starts stay unanswered, and it is the coordinator as well.
BOOST_FIXTURE_TEST_CASE(start_is_told_to_a_witness_as_it_is_sent,
                        notice_fixture) {
    hear(other_holder, "domain-1");
    hear(witness_1, "domain-2", {}, true); // draining
    hear(witness_2, "domain-2");
    take_notices();
    core.submit(now, 1, make_job(job_id));
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    const auto notices = take_notices();
    BOOST_REQUIRE_EQUAL(notices.size(), 1U);
    BOOST_TEST(notices[0].first == witness_2.address);
    BOOST_TEST(notices[0].second.job == job_id);
    BOOST_REQUIRE_EQUAL(notices[0].second.items.size(), 1U);
    const auto& item = notices[0].second.items[0];
    BOOST_TEST(item.step == 0U);
    BOOST_TEST(item.index == 0U);
    BOOST_TEST(item.run == 1U);
    BOOST_TEST(item.endpoint == "endpoint-1");
    BOOST_TEST(item.token == endpoints.starts.back().target.token);
    BOOST_TEST(observer.counted("start_notices") == 1U);
}

// Guards against messages that tell what another failure domain knows already.
BOOST_FIXTURE_TEST_CASE(start_of_another_domains_coordinator_is_not_told,
                        notice_fixture) {
    hear(other_holder, "domain-1");
    hear(witness_2, "domain-3");
    hear(witness_1, "domain-2");
    take_notices();
    assign_by(witness_1, "domain-2");
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    BOOST_TEST(take_notices().empty());
}

// Guards against a witness that is the coordinator, with which it is lost.
BOOST_FIXTURE_TEST_CASE(witness_of_the_own_domain_is_not_the_coordinator,
                        notice_fixture) {
    hear(holder, "domain-1");
    hear(other_holder, "domain-1");
    take_notices();
    assign_by(other_holder, "domain-1");
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    const auto notices = take_notices();
    BOOST_REQUIRE_EQUAL(notices.size(), 1U);
    BOOST_TEST(notices[0].first == holder.address);
}

// Guards against tasks that wait for starts which were answered.
BOOST_FIXTURE_TEST_CASE(witness_is_told_that_a_start_was_answered,
                        notice_fixture) {
    hear(witness_1, "domain-2");
    core.submit(now, 1, make_job(job_id));
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    advance(75ms);
    BOOST_REQUIRE_EQUAL(take_notices().size(), 1U);
    const auto& call = endpoints.starts.back();
    core.handle_start(now, call.target, call.run,
                      {call_status::ok, to_ms(now) + 500});
    advance(25ms);
    const auto notices = take_notices();
    BOOST_REQUIRE_EQUAL(notices.size(), 1U);
    BOOST_TEST(notices[0].first == witness_1.address);
    BOOST_TEST(notices[0].second.job.empty());
    advance(100ms);
    BOOST_TEST(take_notices().empty());
}

// Guards against duplicate runs: the caller sends the job of a lost host again.
BOOST_FIXTURE_TEST_CASE(witness_tells_the_starts_of_a_lost_holder,
                        notice_fixture) {
    hear(other_holder, "domain-1");
    hear_notices({notice_of(0)});
    advance(25ms);
    BOOST_TEST(doubts_sent_to(other_holder).empty());
    restart_holder();
    const auto doubts = doubts_sent_to(other_holder);
    BOOST_REQUIRE_EQUAL(doubts.size(), 1U);
    BOOST_TEST((doubts[0].run == run_of(0)));
    BOOST_TEST((doubts[0].holder == holder));
    BOOST_TEST(doubts[0].endpoint == "endpoint-7");
    BOOST_TEST(doubts[0].holder_lost);
    BOOST_REQUIRE_EQUAL(observer.lines["start_in_doubt"].size(), 1U);
    BOOST_TEST(observer.lines["start_in_doubt"][0]["witness"] == "yes");
    core.submit(now, 1, make_job(job_id, 2));
    advance(50ms);
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    BOOST_TEST(endpoints.starts.back().run.task.index == 1U);
}

// The same where the holder is silent: it may be cut off, or its machine lost.
BOOST_FIXTURE_TEST_CASE(witness_tells_the_starts_of_a_silent_holder,
                        notice_fixture) {
    hear_notices({notice_of(0)});
    for (int i = 0; i < 20; ++i) {
        advance(25ms);
        hear(other_holder, "domain-1");
    }
    BOOST_TEST(doubts_sent_to(other_holder).size() == 1U);
}

// Guards against tasks that wait for starts whose holder has told itself which
// of them stay unanswered.
BOOST_FIXTURE_TEST_CASE(witness_forgets_the_starts_of_a_holder_it_hears,
                        notice_fixture) {
    hear_notices({notice_of(0)});
    stay_in_contact(625ms);
    restart_holder();
    BOOST_TEST(observer.lines["start_in_doubt"].empty());
}

// Guards against duplicate runs: the notice is read after its sender was lost.
BOOST_FIXTURE_TEST_CASE(notice_of_a_lost_holder_is_told_at_once,
                        notice_fixture) {
    hear(holder, "domain-2");
    const auto sent_at = now;
    now += 10ms;
    hear(holder, "domain-2");
    for (int i = 0; i < 60; ++i) {
        advance(25ms);
        hear(other_holder, "domain-1");
    }
    BOOST_REQUIRE(!observer.lines["peer_lost"].empty());
    envelope message;
    message.from = holder;
    message.failure_domain = "domain-2";
    message.to_incarnation = 99;
    message.stamp_us = sent_at.count(); // older than one that was read
    message.echo_us = sent_at.count();
    message.content_echo_us = sent_at.count();
    message.sequence = 1;
    message.content.start_notices = {notice_of(0)};
    core.handle_envelope(now, message);
    BOOST_TEST(observer.lines["start_in_doubt"].size() == 1U);
}

// Guards against tasks that wait without end for a start that the notice of a
// faulty peer has named.
BOOST_FIXTURE_TEST_CASE(witnessed_start_of_an_unknown_endpoint_ends,
                        notice_fixture) {
    hear_notices({notice_of(0)});
    restart_holder();
    BOOST_REQUIRE_EQUAL(observer.lines["start_in_doubt"].size(), 1U);
    BOOST_TEST(core.gauges(now)["start_doubts_open"] == 1);
    advance(1300ms);
    BOOST_TEST(core.gauges(now)["start_doubts_open"] == 0);
}

// Guards against a holder that spends the time of all others on its doubts, and
// against duplicate runs: none of them is lost or late.
BOOST_FIXTURE_TEST_CASE(doubts_beyond_the_budget_are_collected,
                        notice_fixture) {
    constexpr std::uint32_t tasks = 28;
    auto settings = make_settings();
    settings.max_open_starts = tasks; // all are left unanswered
    core.update_settings(now, settings);
    hear(holder, "domain-2");
    peers.sent.clear();
    std::map<std::uint32_t, timestamp> started;
    std::map<std::uint32_t, duration> told_after;
    std::size_t answered = 0;
    std::size_t messages = 0;
    for (std::uint32_t i = 0; i < tasks + 80; ++i) {
        now += 5ms;
        core.tick(now);
        hear(other_holder, "domain-1");
        if (i < tasks) {
            task_assignment assignment;
            assignment.job = job_id;
            assignment.pool = "pool";
            assignment.objective_us = duration(200ms).count();
            assignment.patience_us = duration(1500ms).count();
            task_need need;
            need.room = {100, 1, 0};
            need.estimate_ms = 60;
            assignment.items = {{run_of(i), need, {}}};
            payload content;
            content.assignments = {assignment};
            hear(holder, "domain-2", content);
        } else {
            hear(holder, "domain-2");
        }
        for (auto call = answered; call < endpoints.starts.size(); ++call) {
            started.try_emplace(endpoints.starts[call].run.task.index, now);
        }
        while (answered < endpoints.starts.size() &&
               now - started[endpoints.starts[answered].run.task.index] >=
                   150ms) {
            const auto call = endpoints.starts[answered++];
            core.handle_start(now, call.target, call.run, {});
        }
        for (const auto& [address, message] : std::exchange(peers.sent, {})) {
            if (address != other_holder.address) {
                continue;
            }
            messages += message.content.doubts.empty() ? 0 : 1;
            for (const auto& doubt : message.content.doubts) {
                const auto index = doubt.run.task.index;
                told_after.try_emplace(index, now - started[index]);
            }
        }
    }
    BOOST_TEST(started.size() == tasks);
    BOOST_TEST(told_after.size() == started.size());
    for (const auto& [index, time] : told_after) {
        BOOST_TEST(to_ms(time) <= 375);
    }
    BOOST_TEST_MESSAGE("starts " << started.size() << ", messages "
                                 << messages);
    BOOST_TEST(messages <= 16U);
}

BOOST_AUTO_TEST_CASE(notices_out_of_range_are_refused) {
    payload content;
    content.start_notices = {{}, notice_of(1)};
    BOOST_TEST(check_content(content).ok());
    content.start_notices[1].job.clear();
    BOOST_TEST(!check_content(content).ok());
    content.start_notices = {notice_of(1)};
    content.start_notices[0].items[0].endpoint.clear();
    BOOST_TEST(!check_content(content).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
