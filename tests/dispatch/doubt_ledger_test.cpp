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

namespace {

// The doubts that the calls below visit beside `count` doubts of other holders
// on other endpoints, of which nothing is due.
std::size_t visited_beside(std::size_t count) {
    const dispatch_settings settings;
    doubt_ledger ledger(settings);
    const auto never = [](const start_doubt& /*doubt*/) { return true; };
    timestamp now{10s};
    for (std::size_t i = 0; i < count; ++i) {
        const auto number = std::to_string(i);
        ledger.record(now, {{{"job-" + number, 0, 0}, 1},
                            {"10.2.0." + number + ":1", 1},
                            "other-" + number,
                            1000,
                            false,
                            false,
                            "pool",
                            ""});
    }
    ledger.record(
        now, {{task, 1}, holder, "endpoint-1", 1000, false, false, "pool", ""});
    const auto before = ledger.visited();
    for (int i = 0; i < 40; ++i) {
        now += 25ms;
        ledger.tick(now, never);
    }
    ledger.handle_adoption(now, {"endpoint-1", holder, 1001, {{task, 1}}, {}});
    ledger.handle_fence(now, {"endpoint-2", 1001});
    ledger.handle_removed(now, "endpoint-1");
    ledger.handle_listed("endpoint-1");
    ledger.handle_listed("endpoint-2");
    BOOST_TEST(ledger.is_open(task));
    BOOST_TEST(ledger.is_listed(now, task));
    BOOST_TEST(ledger.of(holder).size() == 1U);
    BOOST_TEST(ledger.of(successor).empty());
    ledger.record(now, {{}, holder, "", 0, true, false, "", ""});
    BOOST_TEST(!ledger.is_open(task));
    BOOST_TEST(ledger.size() == count);
    return ledger.visited() - before;
}

} // namespace

// Guards against hosts that spend their processor time on doubts that a call
// does not concern, the more the more of them are open.
BOOST_AUTO_TEST_CASE(cost_of_a_call_does_not_grow_with_other_doubts) {
    const auto few = visited_beside(100);
    BOOST_TEST(few <= 10U);
    BOOST_TEST(visited_beside(10'000) == few);
}

// Guards against ticks that ask about all doubts of lost holders.
BOOST_AUTO_TEST_CASE(doubts_of_lost_holders_are_asked_about_in_portions) {
    constexpr std::size_t count = 10'000;
    for (std::uint32_t i = 0; i < count; ++i) {
        ledger.record(
            now, {{{"job", 0, i}, 1}, holder, "", 0, false, true, "pool", ""});
    }
    now += 5s;
    std::size_t asked = 0;
    const auto ask = [&asked](const start_doubt& /*doubt*/) {
        ++asked;
        return false;
    };
    ledger.tick(now, ask);
    BOOST_TEST(asked == doubt_ledger::max_asked);
    for (std::size_t i = 0; i < count / doubt_ledger::max_asked; ++i) {
        now += 25ms;
        ledger.tick(now, ask);
    }
    BOOST_TEST(asked == count);
    BOOST_TEST(ledger.size() == 0U);
}

// Guards against a question about the same doubt with each tick.
BOOST_AUTO_TEST_CASE(open_doubt_of_a_lost_holder_is_asked_about_with_pauses) {
    tell("");
    std::size_t asked = 0;
    for (const auto end = now + 11200ms; now < end;) {
        now += 25ms;
        ledger.tick(now, [&asked](const start_doubt& /*doubt*/) {
            ++asked;
            return true;
        });
    }
    BOOST_TEST(asked == 100U);
}

// Guards against duplicate runs: the run is on the endpoint's newest list
// whichever other lists have it, and a list without it replaces that.
BOOST_AUTO_TEST_CASE(task_is_listed_as_long_as_a_present_list_has_it) {
    adopt(1001, {{task, 1}});
    BOOST_TEST(ledger.is_listed(now, task));
    ledger.handle_adoption(now, {"endpoint-2", holder, 1, {{task, 1}}, {}});
    adopt(1002);
    BOOST_TEST(ledger.is_listed(now, task));
    ledger.handle_fence(now, {"endpoint-2", 2});
    BOOST_TEST(!ledger.is_listed(now, task));
    adopt(1003, {{task, 1}});
    advance(1200ms);
    BOOST_TEST(ledger.is_listed(now, task));
    advance(100ms);
    BOOST_TEST(!ledger.is_listed(now, task));
    advance(11min);
    adopt(1004);
    BOOST_TEST(!ledger.is_listed(now, task));
}

// Guards against answers that repeat all doubts of a holder.
BOOST_AUTO_TEST_CASE(doubts_recorded_after_a_number_are_visited) {
    const auto count = [this](std::uint64_t after) {
        std::size_t found = 0;
        ledger.visit(holder, after,
                     [&found](const start_doubt& /*doubt*/) { ++found; });
        return found;
    };
    BOOST_TEST(count(0) == 0U);
    tell();
    const auto first = ledger.last_number();
    tell("");
    BOOST_TEST(count(0) == 2U);
    BOOST_TEST(count(first) == 1U);
    BOOST_TEST(count(ledger.last_number()) == 0U);
    std::vector<process_id> holders;
    ledger.visit_holders(
        [&holders](const process_id& found) { holders.push_back(found); });
    BOOST_TEST((holders == std::vector{holder}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
