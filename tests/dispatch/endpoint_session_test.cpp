#include <boost/test/unit_test.hpp>

#include "session_fixture.hpp"

namespace figridge::dispatch {
namespace {

BOOST_FIXTURE_TEST_SUITE(endpoint_session_test, session_fixture)

BOOST_AUTO_TEST_CASE(first_call_renews_no_lease) {
    BOOST_REQUIRE_EQUAL(port.holds.size(), 1U);
    BOOST_TEST(!port.holds[0].lease_deadline_ms.has_value());
    BOOST_TEST(port.holds[0].target.token == 7U);
}

BOOST_AUTO_TEST_CASE(runs_found_at_takeover_occupy_everything_until_claimed) {
    answer_hold({run_of(0)});
    BOOST_REQUIRE_EQUAL(events.adoptions.size(), 1U);
    BOOST_TEST(events.adoptions[0].running.size() == 1U);
    BOOST_TEST(session->room().cpu_millis == 0U);
    BOOST_TEST(!session->takes_work());

    adoption_claim claim{endpoint.id,
                         {{run_of(0), {{6000, 64, 0}, 60, {}, {}}}}};
    session->claim(now, {"10.1.0.2:1", 9}, claim);
    BOOST_TEST(session->takes_work());
    BOOST_TEST(session->room().cpu_millis == 10'000U);
}

// The former holder may have renewed the lease just before it was replaced.
BOOST_AUTO_TEST_CASE(adopted_run_outlives_no_lease_of_this_holder) {
    answer_hold({run_of(0)});
    adoption_claim claim{endpoint.id,
                         {{run_of(0), {{6000, 64, 0}, 60, {}, {}}}}};
    session->claim(now, {"10.1.0.2:1", 9}, claim);
    pass(100ms);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(session->room().cpu_millis == 10'000U);
}

BOOST_AUTO_TEST_CASE(unclaimed_run_is_stopped_and_counts_until_it_is_gone) {
    answer_hold({run_of(0)});
    pass(100ms);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    BOOST_TEST(session->room().cpu_millis == 0U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    BOOST_TEST(session->room().cpu_millis == 0U);
    answer_hold({}, {{1, run_of(0), end_kind::stopped}});
    BOOST_TEST(session->room().cpu_millis == 16'000U);
}

BOOST_AUTO_TEST_CASE(start_without_answer_counts_until_its_stop_is_certain) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    BOOST_TEST(session->room().cpu_millis == 10'000U);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    // The start is carried out after all: it is listed, and still counted.
    answer_hold({run_of(0)});
    BOOST_TEST(session->room().cpu_millis == 10'000U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_hold({}, {{1, run_of(0), end_kind::stopped}});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0] == std::pair(run_of(0), update_kind::stopped)));
    BOOST_TEST(session->room().cpu_millis == 16'000U);
}

BOOST_AUTO_TEST_CASE(start_that_never_came_is_over_once_its_stop_was_answered) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_hold({}); // sent before the stop was answered: proves nothing
    BOOST_TEST(events.ends.empty());
    pass(200ms);
    answer_hold({}); // sent right after
    pass(200ms);
    answer_hold({});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
}

// Orders that get no answer may be carried out seconds later.
BOOST_AUTO_TEST_CASE(start_without_answer_is_over_when_it_would_come_too_late) {
    answer_hold({});
    start(0);
    const auto sent = now;
    now += settings.call_timeout;
    answer_start(0, call_status::unanswered);
    for (int i = 0; i < 40 && events.ends.empty(); ++i) {
        pass(25ms);
        session->handle_stop(now, run_of(0), {call_status::unanswered, -1});
        answer_hold({});
    }
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST(to_ms(now - sent) < 400);
    BOOST_TEST(port.starts[0].lease_deadline_ms < to_ms(now) + 500);
}

BOOST_AUTO_TEST_CASE(start_on_an_endpoint_long_idle_is_not_too_late) {
    answer_hold({});
    pass(20s);
    start(0);
    BOOST_TEST(port.starts[0].lease_deadline_ms >= clock_ms() + 200);
}

BOOST_AUTO_TEST_CASE(higher_token_met_ends_all_calls) {
    answer_hold({});
    start(0);
    answer_start(0);
    session->handle_hold(now,
                         {{call_status::stale_token, clock_ms()}, 0, {}, {}});
    BOOST_TEST(events.fenced == 1);
    const auto holds = port.holds.size();
    pass(2s);
    BOOST_TEST(port.holds.size() == holds);
    BOOST_TEST(port.stops.empty());
}

BOOST_AUTO_TEST_CASE(other_life_at_the_same_id_has_no_runs) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({}, {}, 2000);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
    BOOST_TEST(session->room().cpu_millis == 16'000U);
}

// The list may still have the row of an earlier life.
BOOST_AUTO_TEST_CASE(row_of_an_earlier_life_ends_nothing) {
    answer_hold({}, {}, 2000);
    start(0);
    answer_start(0);
    auto stale = endpoint;
    stale.born_ms = 1000;
    session->update(now, stale);
    answer_hold({run_of(0)}, {}, 2000);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(session->room().cpu_millis == 10'000U);
}

BOOST_AUTO_TEST_CASE(
    silent_endpoint_is_empty_when_its_slow_clock_passed_the_lease) {
    answer_hold({});
    start(0);
    answer_start(0);
    const auto sent = now;
    hold_reply silence;
    for (int i = 0; i < 100 && events.ends.empty(); ++i) {
        session->handle_hold(now, silence);
        pass(25ms);
    }
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    const auto waited = now - sent;
    // 1,000 ms of lease on a clock that is 2% slow.
    BOOST_TEST(to_ms(waited) > 1020);
    BOOST_TEST(to_ms(waited) < 1150);
}

BOOST_AUTO_TEST_CASE(lease_is_not_renewed_on_a_silent_endpoint) {
    answer_hold({});
    start(0);
    answer_start(0);
    session->handle_hold(now, {});
    pass(200ms);
    BOOST_TEST(!port.holds.back().lease_deadline_ms.has_value());
    answer_hold({run_of(0)});
    BOOST_TEST(port.holds.back().lease_deadline_ms.has_value());
}

BOOST_AUTO_TEST_CASE(ends_are_acknowledged_once_the_endpoint_is_idle) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({}, {{1, run_of(0), end_kind::done}});
    pass(500ms);
    BOOST_TEST(port.holds.back().acknowledged == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace figridge::dispatch
