#include <boost/test/unit_test.hpp>

#include "core/dispatch/doubt_ledger.hpp"

namespace figridge::dispatch {
namespace {

const task_key task{"0123456789abcdef", 0, 1};
const process_id holder{"10.1.0.2:1", 12};
const process_id successor{"10.1.0.3:1", 13};

struct doubt_fixture {
    // Without an endpoint, the coordinator of a lost holder tells.
    void tell(const std::string& endpoint = "endpoint-1",
              std::uint64_t token = 1000, bool over = false) {
        ledger.record(now, {{task, 1},
                            holder,
                            endpoint,
                            token,
                            over,
                            endpoint.empty(),
                            "pool",
                            ""});
    }

    void adopt(std::uint64_t token, const std::vector<task_run>& running = {}) {
        ledger.handle_adoption(now, {"endpoint-1", holder, token, running, {}});
    }

    // Advances the clock, with a tick every 25 ms.
    void advance(duration time) {
        for (const auto end = now + time; now < end;) {
            now += 25ms;
            ledger.tick(now, [this](const start_doubt& /*doubt*/) {
                return may_start_late;
            });
        }
    }

    timestamp now{10s};
    bool may_start_late = true;
    dispatch_settings settings;
    doubt_ledger ledger{settings};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(doubt_ledger_test, doubt_fixture)

// Guards against duplicate runs: no time ends a start without an answer.
BOOST_AUTO_TEST_CASE(doubt_is_open_until_its_holder_ends_it) {
    tell();
    advance(60s);
    BOOST_TEST(ledger.is_open(task));
    BOOST_TEST(ledger.is_open_for_job(task.job));
    BOOST_TEST(!ledger.is_open({task.job, 0, 2}));
    BOOST_TEST(!ledger.is_open_for_job("0123456789abcde0"));
    tell("endpoint-1", 1000, true);
    BOOST_TEST(!ledger.is_open(task));
    BOOST_TEST(ledger.size() == 0U);
}

// Guards against duplicate runs: a task may have unanswered starts on two
// endpoints, and the end of one says nothing of the other.
BOOST_AUTO_TEST_CASE(end_on_one_endpoint_leaves_the_doubt_on_another) {
    tell("endpoint-1");
    tell("endpoint-2");
    tell("endpoint-1", 1000, true);
    BOOST_TEST(ledger.is_open(task));
}

// Guards against tasks that wait to the end of their job although the endpoint
// has refused the start for good.
BOOST_AUTO_TEST_CASE(adoption_that_does_not_list_the_run_ends_the_doubt) {
    tell();
    adopt(1000);
    BOOST_TEST(ledger.is_open(task));
    adopt(1001);
    BOOST_TEST(!ledger.is_open(task));
}

// Guards against duplicate runs: a run found at an adoption is stopped, or ends
// with its lease, only later.
BOOST_AUTO_TEST_CASE(listed_run_keeps_the_doubt_until_its_lease_has_ended) {
    tell();
    adopt(1001, {{task, 1}});
    advance(1150ms);
    BOOST_TEST(ledger.is_open(task));
    advance(150ms);
    BOOST_TEST(!ledger.is_open(task));
}

// Guards against duplicate runs: messages of two holders arrive in any order.
BOOST_AUTO_TEST_CASE(
    doubt_told_after_the_adoption_counts_if_the_run_was_listed) {
    adopt(1001, {{task, 1}});
    now += 500ms;
    tell();
    BOOST_TEST(ledger.is_open(task));
    advance(800ms);
    BOOST_TEST(!ledger.is_open(task));
}

// Guards against a task that waits for nothing: see above.
BOOST_AUTO_TEST_CASE(doubt_told_after_the_adoption_does_not_count_otherwise) {
    adopt(1001);
    tell();
    BOOST_TEST(!ledger.is_open(task));
    tell("endpoint-1", 1001);
    BOOST_TEST(ledger.is_open(task));
}

// Guards against duplicate runs: a fence does not tell what the endpoint
// listed.
BOOST_AUTO_TEST_CASE(fence_without_a_list_ends_the_doubt_a_lease_later) {
    tell();
    ledger.handle_fence(now, {"endpoint-1", 1000});
    ledger.handle_fence(now, {"endpoint-1", 1001});
    advance(1150ms);
    BOOST_TEST(ledger.is_open(task));
    advance(150ms);
    BOOST_TEST(!ledger.is_open(task));
}

// Guards against duplicate runs: an endpoint may leave the platform's list for
// a moment only.
BOOST_AUTO_TEST_CASE(endpoint_that_is_listed_again_keeps_its_doubts) {
    tell();
    ledger.handle_removed(now, "endpoint-1");
    advance(10s);
    ledger.handle_listed("endpoint-1");
    advance(10s);
    BOOST_TEST(ledger.is_open(task));
    ledger.handle_removed(now, "endpoint-1");
    advance(14900ms);
    BOOST_TEST(ledger.is_open(task));
    advance(200ms);
    BOOST_TEST(!ledger.is_open(task));
}

// Guards against duplicate runs: a lost holder drops the tasks of its
// coordinator only 700 ms later, and may start them until then.
BOOST_AUTO_TEST_CASE(
    doubt_without_endpoint_is_open_while_the_holder_may_start) {
    tell("");
    advance(60s);
    BOOST_TEST(ledger.is_open(task));
    may_start_late = false;
    advance(25ms);
    BOOST_TEST(!ledger.is_open(task));
    tell("");
    advance(1100ms);
    BOOST_TEST(ledger.is_open(task));
    advance(200ms);
    BOOST_TEST(!ledger.is_open(task));
}

// Guards against tasks that wait to the end of their job: nobody ends what a
// coordinator has told of a lost holder that is in contact again.
BOOST_AUTO_TEST_CASE(
    doubt_of_a_coordinator_ends_when_the_holder_tells_its_own) {
    ledger.record(
        now, {{task, 1}, holder, "endpoint-1", 1000, false, true, "pool", ""});
    BOOST_TEST(ledger.of(holder).empty());
    advance(60s);
    BOOST_TEST(ledger.is_open(task));
    may_start_late = false;
    advance(25ms);
    BOOST_TEST(!ledger.is_open(task));
}

// Guards against tasks that wait to the end of their job: the end of a doubt
// was told while the hosts were cut off from each other.
BOOST_AUTO_TEST_CASE(end_of_all_doubts_of_a_holder_leaves_those_of_others) {
    tell();
    tell("");
    ledger.record(now, {{}, successor, "", 0, true, false, "", ""});
    BOOST_TEST(ledger.size() == 2U);
    ledger.record(now, {{}, holder, "", 0, true, false, "", ""});
    BOOST_TEST(ledger.size() == 1U);
    BOOST_TEST(ledger.of(holder).empty());
}

// Guards against memory that grows with starts whose endpoint never answers.
BOOST_AUTO_TEST_CASE(doubt_is_forgotten_after_ten_minutes) {
    tell();
    now += 599s;
    advance(25ms);
    BOOST_TEST(ledger.size() == 1U);
    advance(1s);
    BOOST_TEST(ledger.size() == 0U);
}

// Guards against memory that grows with each repetition of a doubt.
BOOST_AUTO_TEST_CASE(repeated_doubt_is_kept_once) {
    tell();
    tell();
    BOOST_TEST(ledger.size() == 1U);
    BOOST_REQUIRE_EQUAL(ledger.of(holder).size(), 1U);
    BOOST_TEST(ledger.of(successor).empty());
}

// Guards against two runs of a task at a time: the late start of a lost holder
// is on the list of an adoption, its job was given up, and nobody claims it.
BOOST_AUTO_TEST_CASE(listed_run_of_a_doubt_without_an_endpoint_is_waited_for) {
    tell("");
    advance(5s);
    adopt(2000, {{task, 1}});
    may_start_late = false;
    advance(1s);
    BOOST_TEST(ledger.is_open(task));
    advance(5s);
    BOOST_TEST(!ledger.is_open(task));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
