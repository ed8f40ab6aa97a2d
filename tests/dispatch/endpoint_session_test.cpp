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
    BOOST_TEST(session->free_resources().cpu_millis == 0U);
    BOOST_TEST(!session->accepts_tasks());

    adoption_claim claim{endpoint.id,
                         {{run_of(0), {{6000, 64, 0}, 60, {}, {}}}}};
    session->claim(now, {"10.1.0.2:1", 9}, claim);
    BOOST_TEST(session->accepts_tasks());
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
}

// The former holder may have renewed the lease just before it was replaced.
BOOST_AUTO_TEST_CASE(adopted_run_outlives_no_lease_of_this_holder) {
    answer_hold({run_of(0)});
    adoption_claim claim{endpoint.id,
                         {{run_of(0), {{6000, 64, 0}, 60, {}, {}}}}};
    session->claim(now, {"10.1.0.2:1", 9}, claim);
    pass(100ms);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
}

BOOST_AUTO_TEST_CASE(unclaimed_run_is_stopped_and_counts_until_it_is_gone) {
    answer_hold({run_of(0)});
    pass(100ms);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    BOOST_TEST(session->free_resources().cpu_millis == 0U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    BOOST_TEST(session->free_resources().cpu_millis == 0U);
    answer_hold({}, {{1, run_of(0), end_kind::stopped}});
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

BOOST_AUTO_TEST_CASE(start_without_answer_counts_until_its_stop_is_certain) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    // The start is carried out after all: it is listed, and still counted.
    answer_hold({run_of(0)});
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_hold({}, {{1, run_of(0), end_kind::stopped}});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0] == std::pair(run_of(0), update_kind::stopped)));
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

// The task is placed again only after that list; a long poll is on its way.
BOOST_AUTO_TEST_CASE(start_without_answer_is_judged_right_after_its_stop) {
    answer_hold({});
    start(1);
    answer_start(1); // the poll begins
    const auto poll = port.holds.back();
    start(0);
    now += 150ms;
    answer_start(0, call_status::unanswered);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    const auto look = port.holds.back();
    BOOST_TEST(look.number > poll.number);
    BOOST_TEST(look.wait_ms == 0U);
    BOOST_TEST(!look.lease_deadline_ms.has_value());
    now += 2ms;
    answer_call(look, {run_of(1)});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0] == std::pair(run_of(0), update_kind::lost)));
}

// Replies may overtake each other.
BOOST_AUTO_TEST_CASE(list_asked_for_earlier_changes_nothing) {
    answer_hold({});
    start(1);
    answer_start(1);
    const auto poll = port.holds.back();
    start(0);
    answer_start(0, call_status::unanswered);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    start(2);
    answer_start(2); // after both calls
    answer_call(port.holds.back(), {run_of(1)});
    answer_call(poll, {run_of(0), run_of(1)});
    BOOST_TEST(events.ends.size() == 1U);
    BOOST_TEST(session->ledger().size() == 2U);
    BOOST_TEST(session->ledger().find(run_of(0)) == nullptr);
}

BOOST_AUTO_TEST_CASE(start_that_never_came_is_over_once_its_stop_was_answered) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    const auto poll = port.holds.back();
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_call(poll, {}); // sent before the stop was answered: proves nothing
    BOOST_TEST(events.ends.empty());
    answer_hold({}); // sent right after
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
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

// The endpoint died before the start came and had begun again by then.
BOOST_AUTO_TEST_CASE(run_started_in_the_next_life_goes_on_counting) {
    answer_hold({});
    start(0);
    answer_start(0);
    pass(25ms);
    start(1);
    answer_start(1);
    answer_hold({run_of(1)}, {}, 2000);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].first == run_of(0)));
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
}

BOOST_AUTO_TEST_CASE(start_on_its_way_to_the_next_life_goes_on_counting) {
    answer_hold({});
    start(0);
    answer_start(0);
    start(1);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    answer_start(1);
    answer_hold({run_of(1)}, {}, 3000);
    BOOST_TEST((events.ends == std::vector<std::pair<task_run, update_kind>>{
                                   {run_of(0), update_kind::lost}}));
}

BOOST_AUTO_TEST_CASE(clock_of_the_next_life_is_read_from_its_lists_only) {
    answer_hold({});
    start(0);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    answer_start(0); // which life's clock it tells is not known
    pass(200ms);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(!session->accepts_tasks());
}

// A stop that the former life answered says nothing of the next one.
BOOST_AUTO_TEST_CASE(uncertain_start_is_stopped_again_in_the_next_life) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.ends.empty());
    pass(50ms);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 2U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    pass(200ms);
    answer_hold({}, {}, 2000);
    pass(200ms);
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.ends.size() == 1U);
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

BOOST_AUTO_TEST_CASE(runs_of_a_life_that_is_never_heard_again_are_over) {
    answer_hold({});
    start(0);
    answer_start(0);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    for (int i = 0; i < 60; ++i) {
        session->handle_hold(now, {});
        pass(25ms);
    }
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
}

// The list may still have the row of an earlier life.
BOOST_AUTO_TEST_CASE(row_of_an_earlier_life_ends_nothing) {
    answer_hold({}, {}, 2000);
    start(0);
    answer_start(0);
    auto stale = endpoint;
    stale.instance_started_ms = 1000;
    session->update(now, stale);
    answer_hold({run_of(0)}, {}, 2000);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
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

// Some answers of endpoints get lost while everything runs on.
BOOST_AUTO_TEST_CASE(runs_outlive_one_lost_answer_to_a_renewal) {
    answer_hold({});
    start(0);
    answer_start(0);
    const auto granted = *port.holds.back().lease_deadline_ms;
    now += settings.renew_interval;
    answer_hold({run_of(0)}); // this one's successor gets no answer
    const auto unanswered = *port.holds.back().lease_deadline_ms;
    BOOST_TEST(unanswered > granted);
    now += settings.renew_interval + settings.call_timeout;
    session->handle_hold(now, {});
    session->tick(now);
    answer_hold({run_of(0)});
    BOOST_REQUIRE(port.holds.back().lease_deadline_ms.has_value());
    constexpr std::int64_t margin_ms = 50; // round trips and late timers
    BOOST_TEST(clock_ms() + margin_ms < granted);
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

BOOST_AUTO_TEST_CASE(silent_endpoint_without_runs_is_asked_until_it_answers) {
    answer_hold({});
    const auto asked = port.holds.size();
    start(0);
    session->handle_start(now, run_of(0), {call_status::not_sent, -1});
    BOOST_TEST(!session->accepts_tasks());
    pass(300ms);
    BOOST_REQUIRE(port.holds.size() > asked);
    BOOST_TEST(!port.holds.back().lease_deadline_ms.has_value());
    answer_hold({});
    BOOST_TEST(session->accepts_tasks());
}

BOOST_AUTO_TEST_CASE(silent_endpoint_is_asked_more_and_more_seldom) {
    answer_hold({});
    start(0);
    session->handle_start(now, run_of(0), {call_status::not_sent, -1});
    for (int i = 0; i < 40; ++i) {
        session->handle_hold(now, {});
        pass(200ms);
    }
    BOOST_TEST(port.holds.size() < 20U);
}

BOOST_AUTO_TEST_CASE(ends_are_acknowledged_once_the_endpoint_is_idle) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({}, {{1, run_of(0), end_kind::done}});
    pass(500ms);
    BOOST_TEST(port.holds.back().acknowledged == 1U);
}

// Many endpoints turn slow at once; none of their tasks ends for long.
BOOST_AUTO_TEST_CASE(endpoint_whose_tasks_all_fall_behind_is_slow) {
    answer_hold({});
    start(0);
    answer_start(0);
    start(1);
    answer_start(1);
    pass(150ms);
    answer_hold_at({{run_of(0), 20}, {run_of(1), 25}});
    BOOST_TEST(session->health().is_slow(now));
    pass(2s);
    BOOST_TEST(!session->health().is_slow(now));
}

BOOST_AUTO_TEST_CASE(one_long_task_makes_no_endpoint_slow) {
    answer_hold({});
    start(0);
    answer_start(0);
    start(1);
    answer_start(1);
    pass(100ms);
    answer_hold_at({{run_of(0), 20}, {run_of(1), 95}});
    BOOST_TEST(!session->health().is_slow(now));
    answer_hold_at({{run_of(0), 40}});
    BOOST_TEST(!session->health().is_slow(now));
}

// While this process stood still another may have taken the endpoint over, and
// a later life has forgotten its token.
BOOST_AUTO_TEST_CASE(life_that_began_during_a_standstill_is_not_used) {
    answer_hold({});
    BOOST_TEST(session->accepts_tasks());
    session->suspend(now);
    BOOST_TEST(!session->accepts_tasks());
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
    BOOST_TEST(!session->accepts_tasks());
}

BOOST_AUTO_TEST_CASE(life_that_goes_on_after_a_standstill_is_used) {
    answer_hold({});
    session->suspend(now);
    BOOST_TEST(port.holds.size() == 2U);
    answer_hold({});
    BOOST_TEST(events.fenced == 0);
    BOOST_TEST(session->accepts_tasks());
}

// A host that hears nobody goes on, but a later life of the endpoint may have
// another holder.
BOOST_AUTO_TEST_CASE(life_that_began_while_no_host_was_heard_is_not_used) {
    answer_hold({});
    session->reject_later_instances();
    BOOST_TEST(session->accepts_tasks());
    start(0);
    answer_start(0);
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace figridge::dispatch
