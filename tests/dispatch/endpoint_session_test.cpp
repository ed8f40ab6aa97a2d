#include <boost/test/unit_test.hpp>

#include "session_fixture.hpp"

namespace figridge::dispatch {
namespace {

// An idle endpoint is polled after this.
constexpr duration clock_reading_pause = 20s;

BOOST_FIXTURE_TEST_SUITE(endpoint_session_test, session_fixture)

BOOST_AUTO_TEST_CASE(first_call_renews_no_lease) {
    BOOST_REQUIRE_EQUAL(port.holds.size(), 1U);
    BOOST_TEST(!port.holds[0].lease_deadline_ms.has_value());
    BOOST_TEST(port.holds[0].target.token == 7U);
}

BOOST_AUTO_TEST_CASE(runs_found_at_takeover_occupy_the_endpoint_until_claimed) {
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
BOOST_AUTO_TEST_CASE(adopted_run_keeps_the_lease_of_the_former_holder) {
    answer_hold({run_of(0)});
    adoption_claim claim{endpoint.id,
                         {{run_of(0), {{6000, 64, 0}, 60, {}, {}}}}};
    session->claim(now, {"10.1.0.2:1", 9}, claim);
    pass(100ms);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
}

BOOST_AUTO_TEST_CASE(unclaimed_run_is_stopped_and_occupies_until_it_ends) {
    answer_hold({run_of(0)});
    pass(100ms);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    BOOST_TEST(session->free_resources().cpu_millis == 0U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    BOOST_TEST(session->free_resources().cpu_millis == 0U);
    answer_hold({}, {{1, run_of(0), end_kind::stopped}});
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

// Guards against a start over the capacity (LIMIT): the endpoint shrinks below
// what runs there.
BOOST_AUTO_TEST_CASE(shrunk_capacity_leaves_no_room_until_enough_has_ended) {
    answer_hold({});
    start(0);
    answer_start(0);
    start(1);
    answer_start(1);
    endpoint.capacity = {8000, 32'768, 0};
    session->update(now, endpoint);
    BOOST_TEST(session->free_resources().cpu_millis == 0U);
    answer_hold({run_of(1)}, {{1, run_of(0), end_kind::done}});
    BOOST_TEST(session->free_resources().cpu_millis == 2000U);
    endpoint.capacity = {16'000, 32'768, 0};
    session->update(now, endpoint);
    BOOST_TEST(session->free_resources().cpu_millis == 10'000U);
}

// Guards against a start over a shrunk capacity (LIMIT): what is being stopped
// counts until its end is listed.
BOOST_AUTO_TEST_CASE(run_being_stopped_counts_against_a_shrunk_capacity) {
    answer_hold({});
    start(0);
    answer_start(0);
    endpoint.capacity = {8000, 32'768, 0};
    session->update(now, endpoint);
    session->stop(now, run_of(0));
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    BOOST_TEST(session->free_resources().cpu_millis == 2000U);
    answer_hold({}, {{1, run_of(0), end_kind::stopped}});
    BOOST_TEST(session->free_resources().cpu_millis == 8000U);
}

// Guards against a start over the capacity (LIMIT): the row is older than the
// runs found at the takeover, which need more than it says.
BOOST_AUTO_TEST_CASE(claimed_runs_may_exceed_a_shrunk_capacity) {
    answer_hold({run_of(0), run_of(1)});
    endpoint.capacity = {8000, 32'768, 0};
    session->update(now, endpoint);
    adoption_claim claim{endpoint.id,
                         {{run_of(0), {{6000, 64, 0}, 60, {}, {}}},
                          {run_of(1), {{6000, 64, 0}, 60, {}, {}}}}};
    session->claim(now, {"10.1.0.2:1", 9}, claim);
    BOOST_TEST(session->accepts_tasks());
    BOOST_TEST(session->free_resources().cpu_millis == 0U);
}

BOOST_AUTO_TEST_CASE(unanswered_start_occupies_resources_until_stopped) {
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

// The task is placed again only after a run list requested after the stop; the
// long poll already in flight was requested before it.
BOOST_AUTO_TEST_CASE(
    unanswered_start_is_decided_by_a_list_right_after_its_stop) {
    answer_hold({});
    start(1);
    answer_start(1); // starts the long poll
    const auto poll = port.holds.back();
    start(0);
    now += 150ms;
    answer_start(0, call_status::unanswered);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    const auto list_call = port.holds.back();
    BOOST_TEST(list_call.number > poll.number);
    BOOST_TEST(list_call.wait_ms == 0U);
    BOOST_TEST(!list_call.lease_deadline_ms.has_value());
    now += 2ms;
    answer_call(list_call, {run_of(1)});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0] == std::pair(run_of(0), update_kind::lost)));
}

// Replies may arrive out of order.
BOOST_AUTO_TEST_CASE(run_list_of_an_earlier_call_is_ignored) {
    answer_hold({});
    start(1);
    answer_start(1);
    const auto poll = port.holds.back();
    start(0);
    answer_start(0, call_status::unanswered);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    start(2);
    answer_start(2); // answered after both calls were sent
    answer_call(port.holds.back(), {run_of(1)});
    answer_call(poll, {run_of(0), run_of(1)});
    BOOST_TEST(events.ends.size() == 1U);
    BOOST_TEST(session->ledger().size() == 2U);
    BOOST_TEST(session->ledger().find(run_of(0)) == nullptr);
}

BOOST_AUTO_TEST_CASE(
    start_that_never_arrived_is_lost_once_its_stop_is_answered) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    const auto poll = port.holds.back();
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_call(poll, {}); // sent before the stop was answered: inconclusive
    BOOST_TEST(events.ends.empty());
    answer_hold({}); // sent after the stop was answered
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
}

// A start that gets no answer may be carried out seconds later.
BOOST_AUTO_TEST_CASE(unanswered_start_is_lost_after_its_start_deadline) {
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

BOOST_AUTO_TEST_CASE(start_after_a_long_idle_time_has_a_future_deadline) {
    answer_hold({});
    pass(20s);
    start(0);
    BOOST_TEST(port.starts[0].lease_deadline_ms >= clock_ms() + 200);
}

BOOST_AUTO_TEST_CASE(no_calls_are_sent_after_fencing) {
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

BOOST_AUTO_TEST_CASE(new_instance_has_no_runs_of_the_former_one) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({}, {}, 2000);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

// The endpoint crashed and had restarted before the start arrived.
BOOST_AUTO_TEST_CASE(run_started_on_the_next_instance_stays_in_the_ledger) {
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

BOOST_AUTO_TEST_CASE(start_in_flight_to_the_next_instance_stays_in_the_ledger) {
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

BOOST_AUTO_TEST_CASE(clock_of_the_next_instance_is_read_only_from_its_lists) {
    answer_hold({});
    start(0);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    answer_start(0); // its clock may be that of either instance
    pass(200ms);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(!session->accepts_tasks());
}

// Guards against duplicate runs: the answer to a poll of the former instance
// may arrive after the platform's list has shown the next one. Taken for a list
// of an even later instance, it let tasks start with deadlines on the former
// clock, far in the future.
BOOST_AUTO_TEST_CASE(late_list_of_a_former_instance_is_ignored) {
    answer_hold({});
    start(0);
    answer_start(0);
    const auto poll = port.holds.back();
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    answer_call(poll, {run_of(0)}, {}, 1000);
    BOOST_TEST(!session->accepts_tasks());
    BOOST_TEST(events.ends.empty());
    pass(25ms);
    BOOST_REQUIRE_GT(port.holds.back().number, poll.number);
    BOOST_TEST(port.holds.back().acknowledged == 0U);
    answer_hold({}, {}, 3000);
    BOOST_TEST(events.ends.size() == 1U);
    BOOST_TEST(session->accepts_tasks());
}

// Guards against duplicate runs: answers on different connections may overtake
// each other. The clock of a former instance, read for that of the present one,
// let all leases count as expired while their runs went on.
BOOST_AUTO_TEST_CASE(clock_of_a_former_instance_is_not_read_from_late_answers) {
    answer_hold({});
    start(0);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    now += 25ms;
    session->update(now, restarted);
    session->tick(now);
    hold_reply list;
    list.number = port.holds.back().number;
    list.call = {call_status::ok, 50};
    list.instance_started_ms = 3000;
    session->handle_hold(now, list);
    start(1);
    session->handle_start(now, run_of(1), {call_status::ok, 50});
    answer_start(0);
    session->tick(now);
    const auto lost =
        std::count_if(events.ends.begin(), events.ends.end(),
                      [](const auto& end) { return end.first == run_of(1); });
    BOOST_TEST(lost == 0);
}

// A stop answered by the former instance does not apply to the next one.
BOOST_AUTO_TEST_CASE(uncertain_start_is_stopped_again_on_the_next_instance) {
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

// Guards against duplicate runs: the former instance answered the stop, and the
// answer is read after the next instance was noticed. That one has seen no stop
// and may still carry the start out.
BOOST_AUTO_TEST_CASE(late_stop_answer_of_a_former_instance_decides_nothing) {
    answer_hold({});
    start(0);
    now += 150ms;
    answer_start(0, call_status::unanswered);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    pass(25ms);
    answer_hold({}, {}, 3000);
    pass(25ms);
    answer_hold({}, {}, 3000);
    BOOST_TEST(events.ends.empty());
    BOOST_REQUIRE_EQUAL(port.stops.size(), 2U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    pass(25ms);
    answer_hold({}, {}, 3000);
    BOOST_TEST(events.ends.size() == 1U);
}

// Guards against duplicate runs: the endpoint restarts a second time before the
// list of the instance that answered the stop.
BOOST_AUTO_TEST_CASE(stop_is_repeated_if_an_instance_ends_before_its_list) {
    answer_hold({});
    start(0);
    now += 150ms;
    answer_start(0, call_status::unanswered);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    session->handle_stop(now, run_of(0), {call_status::unanswered, -1});
    pass(125ms);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 2U);
    session->handle_stop(now, run_of(0), {call_status::ok, 100});
    pass(25ms);
    session->handle_hold(now, {{}, 0, {}, {}, port.holds.back().number});
    pass(200ms);
    answer_hold({}, {}, 4000);
    pass(25ms);
    answer_hold({}, {}, 4000);
    BOOST_TEST(events.ends.empty());
    BOOST_REQUIRE_EQUAL(port.stops.size(), 3U);
}

BOOST_AUTO_TEST_CASE(runs_are_lost_if_the_next_instance_never_answers) {
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

// The platform's list may still have the row of an earlier instance.
BOOST_AUTO_TEST_CASE(row_of_an_earlier_instance_ends_no_run) {
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
    runs_of_a_silent_endpoint_are_lost_after_its_lease_on_a_slow_clock) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({run_of(0)});
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

// Guards against duplicate runs: the endpoint restarts under its id, answers a
// start before its holder knows, and falls silent. It may have read the poll
// sent then up to a call's time limit later, and has renewed the lease for a
// whole second from there.
BOOST_AUTO_TEST_CASE(answered_start_may_run_on_an_unknown_next_instance) {
    answer_hold({});
    pass(2s);
    start(0);
    // The clock of an instance that has just begun.
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    BOOST_REQUIRE(port.holds.back().lease_deadline_ms);
    const auto renewed_at = now;
    refuse_calls(1150ms);
    BOOST_TEST(events.ends.empty());
    refuse_calls(150ms);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
    BOOST_TEST(to_ms(now - renewed_at) <= 1300);
}

// Guards against the same where a start that is carried out late, or a renewal,
// extends the lease of the answered run on the unknown instance.
BOOST_AUTO_TEST_CASE(unanswered_calls_extend_the_lease_of_an_unknown_instance) {
    answer_hold({});
    pass(2s);
    start(0);
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    start(1);
    answer_start(1, call_status::unanswered);
    refuse_calls(20s);
    BOOST_TEST(events.ends.empty());
    answer_hold({});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 2U);
}

BOOST_AUTO_TEST_CASE(
    unanswered_renewal_extends_the_lease_of_an_unknown_instance) {
    answer_hold({});
    pass(2s);
    start(0);
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    hold_reply silence;
    silence.number = port.holds.back().number;
    BOOST_REQUIRE(port.holds.back().lease_deadline_ms);
    session->handle_hold(now, silence);
    answered_holds = port.holds.size();
    refuse_calls(20s);
    BOOST_TEST(events.ends.empty());
    answer_hold({});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
}

// The next two guard against duplicate runs: this process was late and read an
// answer after the time limit of its call, which may have been carried out as
// late, by an instance that nobody knows of.

BOOST_AUTO_TEST_CASE(start_answered_late_counts_a_lease_from_its_answer) {
    answer_hold({});
    pass(2s);
    start(0);
    now += 1s;                     // the process is late
    events.contact = timestamp{0}; // nothing is renewed
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    hold_reply refused;
    refused.call.status = call_status::not_sent;
    refused.number = port.holds.back().number;
    session->handle_hold(now, refused);
    refuse_calls(900ms);
    BOOST_TEST(events.ends.empty());
    refuse_calls(400ms);
    BOOST_TEST(events.ends.size() == 1U);
}

BOOST_AUTO_TEST_CASE(renewal_answered_late_extends_an_unknown_lease) {
    answer_hold({});
    pass(2s);
    start(0);
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    const auto renewal = port.holds.back();
    BOOST_REQUIRE(renewal.lease_deadline_ms);
    now += settings.renew_interval + settings.call_timeout + 1ms;
    answer_call(renewal, {run_of(0)});
    start(1);
    session->handle_start(now, run_of(1), {call_status::ok, 20});
    hold_reply refused;
    refused.call.status = call_status::not_sent;
    refused.number = port.holds.back().number;
    session->handle_hold(now, refused);
    refuse_calls(20s);
    const auto ended = std::count(events.ends.begin(), events.ends.end(),
                                  std::pair(run_of(1), update_kind::lost));
    BOOST_TEST(ended == 0);
}

// Guards against a start on an instance that nobody knows of: this process was
// late and read an earlier list, after which the endpoint restarted.
BOOST_AUTO_TEST_CASE(list_read_late_confirms_no_instance) {
    answer_hold({});
    session->reject_later_instances(fence_cause::peer_silent);
    now += 1s;
    BOOST_TEST(!session->confirm_instance(now)); // asks for a list
    now += settings.call_timeout + 1ms;
    answer_hold({});
    BOOST_TEST(!session->confirm_instance(now)); // asks again
    answer_hold({});
    BOOST_TEST(session->confirm_instance(now));
}

// Guards against duplicate runs: the endpoint restarts under its id and carries
// a start out seconds later, before its holder knows of the restart. The
// deadline of the start, on the clock of the former instance, is far ahead of
// the new clock.
BOOST_AUTO_TEST_CASE(no_time_ends_an_unanswered_start) {
    answer_hold({});
    pass(2s);
    start(0);
    answer_start(0, call_status::unanswered);
    refuse_calls(60s);
    pass(60s);
    BOOST_TEST(events.ends.empty());
}

BOOST_AUTO_TEST_CASE(answered_stop_and_a_later_list_end_an_unanswered_start) {
    answer_hold({});
    pass(2s);
    start(0);
    answer_start(0, call_status::unanswered);
    refuse_calls(2s);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    BOOST_TEST(events.ends.empty());
    answer_hold({});
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
}

// Guards against duplicate runs: a start of a former instance's clock, proven
// not to run by its stop, is refused late by the present one and extends the
// lease of the other runs there.
BOOST_AUTO_TEST_CASE(stopped_start_of_a_former_clock_extends_other_leases) {
    answer_hold({});
    pass(2s);
    start(0);
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    start(1);
    answer_start(1, call_status::unanswered);
    answer_hold({run_of(0)}, {}, 2000);
    // The stop that was sent before the instance was noticed does not count.
    session->handle_stop(now, run_of(1), {call_status::ok, clock_ms()});
    pass(25ms);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 2U);
    unanswered_stops = port.stops.size();
    session->handle_stop(now, run_of(1), {call_status::ok, clock_ms()});
    answer_hold({run_of(0)}, {}, 2000);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].first == run_of(1)));
    BOOST_TEST(session->awaits_former_start());
    refuse_calls(15s);
    BOOST_TEST(events.ends.size() == 1U);
    refuse_calls(2s);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 2U);
    BOOST_TEST((events.ends[1].first == run_of(0)));
    BOOST_TEST(!session->awaits_former_start());
}

// Guards against a run that stays for good: its endpoint is lost without a
// trace, so that no call is answered and no connection refused.
BOOST_AUTO_TEST_CASE(unanswered_start_on_a_gone_and_silent_endpoint_ends) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    session->handle_hold(now, {});
    pass(20s);
    session->mark_gone(now);
    pass(12s);
    BOOST_TEST(events.ends.empty());
    pass(4s);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
}

// A lost answer to a renewal must not let the lease expire.
BOOST_AUTO_TEST_CASE(runs_outlive_one_lost_answer_to_a_renewal) {
    answer_hold({});
    start(0);
    answer_start(0);
    const auto granted = *port.holds.back().lease_deadline_ms;
    now += settings.renew_interval;
    answer_hold({run_of(0)}); // the renewal after this one gets no answer
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

BOOST_AUTO_TEST_CASE(silent_endpoint_without_runs_is_polled_until_it_answers) {
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

BOOST_AUTO_TEST_CASE(polls_of_a_silent_endpoint_back_off) {
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

// Guards against a done task that runs again: a call acknowledged the ends of a
// former instance to the next one, which then forgot the end of its own run
// unseen. A start that is answered with another clock may be the next
// instance's.
BOOST_AUTO_TEST_CASE(ends_are_not_acknowledged_to_a_possible_next_instance) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({}, {{1, run_of(0), end_kind::done}});
    start(1);
    // The clock of an instance that began after the last reading.
    session->handle_start(now, run_of(1), {call_status::ok, 20});
    BOOST_TEST(port.holds.back().acknowledged == 0U);
    answer_hold({run_of(1)}); // so it is the known instance
    BOOST_TEST(port.holds.back().acknowledged == 1U);
}

// Guards against a second call for each end: a start that the known instance
// has answered, as its clock tells, is no reason to withhold acknowledgements.
BOOST_AUTO_TEST_CASE(
    start_answered_by_the_known_clock_holds_back_no_acknowledgement) {
    answer_hold({});
    start(0);
    answer_start(0);
    now += 600ms;
    answer_hold({run_of(0)});
    start(1);
    answer_start(1);
    answer_hold({run_of(1)}, {{1, run_of(0), end_kind::done}});
    start(2);
    answer_start(2);
    now += 100ms;
    answer_hold({run_of(2)}, {{2, run_of(1), end_kind::done}});
    start(3);
    answer_start(3);
    BOOST_TEST(port.holds.back().acknowledged == 2U);
}

// Guards against the same by the list that decides about an unanswered start.
BOOST_AUTO_TEST_CASE(list_for_an_unanswered_start_acknowledges_no_ends) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({}, {{1, run_of(0), end_kind::done}});
    start(1);
    answer_start(1, call_status::unanswered);
    session->handle_stop(now, run_of(1), {call_status::ok, clock_ms()});
    BOOST_REQUIRE(!port.holds.empty());
    BOOST_TEST(port.holds.back().acknowledged == 0U);
    for (const auto& call : port.holds) {
        BOOST_TEST(call.acknowledged == 0U);
    }
}

// Guards against the same after the answer to a start was lost: its stop is
// answered, but perhaps by a next instance on which the run has ended.
BOOST_AUTO_TEST_CASE(unanswered_start_holds_back_acknowledgements) {
    answer_hold({});
    start(0);
    answer_start(0);
    now += 600ms;
    answer_hold({}, {{1, run_of(0), end_kind::done}});
    start(1);
    answer_start(1, call_status::unanswered);
    const auto poll = port.holds.back();
    session->handle_hold(now, {{}, 0, {}, {}, poll.number});
    session->handle_stop(now, run_of(1), {call_status::ok, 20});
    pass(200ms);
    BOOST_REQUIRE(port.holds.back().number > poll.number + 1);
    for (const auto& call : port.holds) {
        BOOST_TEST(call.acknowledged == 0U);
    }
}

// Many endpoints may turn slow at once, and then none of their tasks ends for a
// long time, so slowness is detected from the progress of running tasks.
BOOST_AUTO_TEST_CASE(endpoint_whose_tasks_all_fall_behind_is_slow) {
    answer_hold({});
    start(0);
    answer_start(0);
    start(1);
    answer_start(1);
    pass(150ms);
    answer_hold_with_progress({{run_of(0), 20}, {run_of(1), 25}});
    BOOST_TEST(session->health().is_slow(now));
    pass(2s);
    BOOST_TEST(!session->health().is_slow(now));
}

BOOST_AUTO_TEST_CASE(one_long_task_does_not_make_an_endpoint_slow) {
    answer_hold({});
    start(0);
    answer_start(0);
    start(1);
    answer_start(1);
    pass(100ms);
    answer_hold_with_progress({{run_of(0), 20}, {run_of(1), 95}});
    BOOST_TEST(!session->health().is_slow(now));
    answer_hold_with_progress({{run_of(0), 40}});
    BOOST_TEST(!session->health().is_slow(now));
}

// While this process was paused, another may have taken the endpoint over; a
// later instance does not know that holder's token.
BOOST_AUTO_TEST_CASE(instance_started_during_a_process_pause_is_fenced) {
    answer_hold({});
    BOOST_TEST(session->accepts_tasks());
    session->suspend(now);
    BOOST_TEST(!session->accepts_tasks());
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
    BOOST_TEST(!session->accepts_tasks());
}

BOOST_AUTO_TEST_CASE(known_instance_is_used_again_after_a_process_pause) {
    answer_hold({});
    session->suspend(now);
    BOOST_TEST(port.holds.size() == 2U);
    answer_hold({});
    BOOST_TEST(events.fenced == 0);
    BOOST_TEST(session->accepts_tasks());
}

// Guards against a start over the capacity (LIMIT) and against duplicate runs:
// the process was late again, so the endpoint may have been taken over and
// restarted since it gave the answer.
BOOST_AUTO_TEST_CASE(answer_read_late_does_not_end_a_process_pause) {
    answer_hold({});
    session->suspend(now);
    now += settings.call_timeout + 1ms;
    answer_hold({});
    BOOST_TEST(!session->accepts_tasks());
    answer_hold({});
    BOOST_TEST(session->accepts_tasks());
}

// An isolated host keeps using its endpoints, but a later instance of one may
// have another holder.
BOOST_AUTO_TEST_CASE(instance_started_while_isolated_is_fenced) {
    answer_hold({});
    session->reject_later_instances();
    BOOST_TEST(session->accepts_tasks());
    start(0);
    answer_start(0);
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
}

// Guards against a start over the capacity (LIMIT) and against duplicate runs:
// the platform's list shows the later instance before that answers, and its
// answer then counts as one of the known instance.
BOOST_AUTO_TEST_CASE(instance_listed_after_a_process_pause_is_fenced) {
    answer_hold({});
    session->suspend(now);
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
    BOOST_TEST(!session->accepts_tasks());
}

BOOST_AUTO_TEST_CASE(instance_listed_while_isolated_is_fenced) {
    answer_hold({});
    session->reject_later_instances();
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
    BOOST_TEST(!session->accepts_tasks());
}

// Guards against a start over the capacity (LIMIT) on an endpoint that has
// forgotten the successor's token: an answer of the known instance ended the
// doubt, although a host was still not heard.
BOOST_AUTO_TEST_CASE(later_instance_is_fenced_as_long_as_a_peer_is_silent) {
    answer_hold({});
    session->reject_later_instances(fence_cause::peer_silent);
    now += 25ms;
    BOOST_TEST(!session->confirm_instance(now));
    answer_hold({});
    now += 25ms;
    BOOST_TEST(!session->confirm_instance(now));
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
    BOOST_TEST((session->fenced_for() == fence_cause::peer_silent));
}

// Guards against the same: the restart was noticed after the start.
BOOST_AUTO_TEST_CASE(start_beside_a_silent_peer_needs_an_answer_just_before) {
    answer_hold({});
    BOOST_TEST(session->confirm_instance(now));
    session->reject_later_instances(fence_cause::peer_silent);
    now += 25ms;
    const auto before = port.holds.size();
    BOOST_TEST(!session->confirm_instance(now));
    BOOST_TEST(!session->confirm_instance(now));
    BOOST_REQUIRE_EQUAL(port.holds.size(), before + 1); // asked once
    BOOST_TEST(!port.holds.back().lease_deadline_ms.has_value());
    answer_hold({});
    BOOST_TEST(session->confirm_instance(now));
    now += 1ms;
    BOOST_TEST(!session->confirm_instance(now));
}

// The next three guard against duplicate runs: an idle endpoint has restarted
// unnoticed, so that a start on a new connection is carried out late by an
// instance that knows neither its deadline's clock nor any token.

BOOST_AUTO_TEST_CASE(start_waits_for_a_connection_to_the_known_instance) {
    answer_hold({});
    port.connected = false;
    const auto before = port.holds.size();
    BOOST_TEST(!session->confirm_instance(now));
    BOOST_TEST(!session->confirm_instance(now));
    BOOST_REQUIRE_EQUAL(port.holds.size(), before + 1); // asked once
    port.connected = true;
    answer_hold({});
    BOOST_TEST(session->confirm_instance(now));
}

BOOST_AUTO_TEST_CASE(start_names_the_instance_whose_clock_was_read) {
    answer_hold({});
    start(0);
    BOOST_TEST(port.starts.back().instance_started_ms == 1000);
    port.connected_to = 2000; // of a restart that was not noticed
    BOOST_TEST(!session->confirm_instance(now));
    answer_hold({}, {}, 2000);
    BOOST_TEST(session->confirm_instance(now));
    start(1);
    BOOST_TEST(port.starts.back().instance_started_ms == 2000);
}

BOOST_AUTO_TEST_CASE(start_without_a_connection_has_no_effect) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::not_connected);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends.front().second == update_kind::refused));
    BOOST_TEST(session->health().consecutive_faults() == 0U);
    BOOST_TEST(!session->refusing_since().has_value());
    BOOST_TEST(session->accepts_tasks());
}

// Guards against an endpoint that is lost for the rest of a cut: the platform's
// list may show its restart late, and the instance was fenced after each
// takeover.
BOOST_AUTO_TEST_CASE(unlisted_instance_is_used_right_after_its_takeover) {
    endpoint.instance_started_ms = 1000;
    const auto take = [&](std::uint64_t token) {
        session = std::make_unique<endpoint_session>(
            settings, port, events, endpoint, token, process_id{});
        session->begin(now);
        session->reject_later_instances(fence_cause::peer_silent);
    };
    take(8);
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 0);
    BOOST_TEST(session->awaits_entry());
    session->use_without_entry();
    BOOST_TEST(session->accepts_tasks());
    take(9);
    now += 450ms; // another host may have taken it over by now
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 1);
}

// Guards against endpoints that stop for a second with each restart after a
// cut.
BOOST_AUTO_TEST_CASE(later_instance_is_used_once_all_peers_are_heard) {
    answer_hold({});
    session->reject_later_instances(fence_cause::peer_silent);
    const auto before = port.holds.size();
    session->accept_later_instances(now);
    BOOST_TEST(!session->confirm_instance(now + 25ms));
    BOOST_REQUIRE_EQUAL(port.holds.size(), before + 1);
    answer_hold({});
    BOOST_TEST(session->confirm_instance(now + 25ms));
    start(0);
    answer_start(0);
    answer_hold({}, {}, 2000);
    BOOST_TEST(events.fenced == 0);
}

// Guards against duplicate runs: renewals for other runs kept the lease of a
// run whose stop got no answer, past the bound after which its task is placed
// again.
BOOST_AUTO_TEST_CASE(lease_of_an_unclaimed_run_ends_if_its_stop_is_unanswered) {
    answer_hold({run_of(0)});
    stay_without_stops({run_of(0)});
    BOOST_TEST(renewals() == 0);
    BOOST_TEST(port.stops.size() > 5U);
    BOOST_TEST(port.holds.size() < 40U);
}

// Guards against duplicate runs: the same for a run that was found later.
BOOST_AUTO_TEST_CASE(lease_of_an_unknown_run_ends_if_its_stop_is_unanswered) {
    answer_hold({});
    start(1);
    answer_start(1);
    answer_hold({run_of(0), run_of(1)});
    const auto before = renewals();
    stay_without_stops({run_of(0), run_of(1)});
    BOOST_TEST(renewals() == before);
}

// A stop whose run is placed again only when its end is certain costs the other
// runs no lease.
BOOST_AUTO_TEST_CASE(unanswered_start_does_not_end_the_lease_of_other_runs) {
    answer_hold({});
    start(1);
    answer_start(1);
    start(0);
    answer_start(0, call_status::unanswered);
    const auto before = renewals();
    stay_without_stops({run_of(0), run_of(1)});
    BOOST_TEST(renewals() > before + 2);
    BOOST_TEST(session->ledger().size() == 2U);
}

// Guards against runs that end with their lease although their endpoint answers
// again: the next poll waited for up to 500 ms after a stop had been answered.
BOOST_AUTO_TEST_CASE(lease_is_renewed_once_an_endpoint_answers_again) {
    answer_hold({});
    start(1);
    answer_start(1);
    start(0);
    answer_start(0, call_status::unanswered);
    refuse_calls(600ms);
    const auto before = renewals();
    while (unanswered_stops == port.stops.size()) {
        pass(25ms);
    }
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    BOOST_TEST(renewals() == before + 1);
}

// Guards against duplicate runs: the clock of an idle endpoint was not read, so
// a start could be carried out later than the bound for the runs of a host that
// ends allows.
BOOST_AUTO_TEST_CASE(start_after_idleness_on_a_slow_clock_is_void_in_time) {
    answer_hold({});
    const auto read_at = now;
    const auto first_reading = clock_ms();
    const auto slow_clock = [&] {
        return first_reading + to_ms(now - read_at) * 98 / 100;
    };
    for (int i = 0; i < 120; ++i) {
        pass(1s);
        if (port.holds.size() > answered_holds) {
            answered_holds = port.holds.size();
            hold_reply reply;
            reply.number = port.holds.back().number;
            reply.call = {call_status::ok, slow_clock()};
            reply.instance_started_ms = 1000;
            session->handle_hold(now, reply);
        }
    }
    start(0);
    const auto window = port.starts[0].lease_deadline_ms - slow_clock();
    BOOST_TEST(window >= to_ms(settings.start_window));
    BOOST_TEST(window <= to_ms(settings.lease_limit));
    BOOST_TEST(port.holds.size() < 10U);
}

// Guards against an endpoint that is called once a round trip: a reading that
// arrives late, or none at all, leaves the clock as old as before.
BOOST_AUTO_TEST_CASE(ignored_clock_reading_is_not_requested_again_at_once) {
    answer_hold({});
    const auto first_reading = clock_ms();
    pass(21s);
    for (int round = 0; round < 50; ++round) {
        hold_reply reply;
        reply.number = port.holds.back().number;
        reply.call = {call_status::ok, first_reading};
        reply.instance_started_ms = 1000;
        session->handle_hold(now, reply);
    }
    BOOST_TEST(port.holds.size() <= 3U);
}

// Guards against endpoints that stay unused: the restart of an idle endpoint
// was learned from the platform's list, and nothing read the new clock.
BOOST_AUTO_TEST_CASE(idle_endpoint_that_restarted_is_used_again) {
    answer_hold({});
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    pass(50ms);
    BOOST_REQUIRE_EQUAL(port.holds.size(), 2U);
    answer_hold({}, {}, 3000);
    BOOST_TEST(session->accepts_tasks());
}

// Guards against duplicate runs: a start that the next instance may still carry
// out was reported lost before its call was answered.
BOOST_AUTO_TEST_CASE(start_in_flight_to_the_next_instance_is_not_lost_in_time) {
    answer_hold({});
    start(0);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    pass(1500ms);
    BOOST_TEST(events.ends.empty());
    answer_start(0, call_status::unanswered);
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(port.stops.size() == 1U);
}

// Guards against an entry that stays for good: an endpoint that restarted with
// a start in flight leaves, so that no stop of the run is ever answered.
BOOST_AUTO_TEST_CASE(run_ends_with_an_endpoint_that_left_for_good) {
    answer_hold({});
    start(0);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    answer_start(0, call_status::unanswered);
    refuse_calls(3s);
    BOOST_TEST(events.ends.empty()); // the platform still lists the endpoint
    session->mark_gone(now);
    refuse_calls(100ms);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
    BOOST_TEST(session->ledger().empty());
}

// Guards against duplicate runs: an entry that the platform lost, or a cut that
// refuses connections for a moment, does not end a run on the next instance.
BOOST_AUTO_TEST_CASE(run_of_an_endpoint_that_may_be_there_is_not_over) {
    answer_hold({});
    start(0);
    auto restarted = endpoint;
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    answer_start(0, call_status::unanswered);
    session->mark_gone(now);
    pass(3s); // silent, not refusing
    BOOST_TEST(events.ends.empty());
    refuse_calls(1s);
    BOOST_TEST(events.ends.empty());
}

// Guards against duplicate runs: a claim that arrives after the claim window
// must not renew the lease of a run whose stop is under way.
BOOST_AUTO_TEST_CASE(late_claim_does_not_keep_a_run_that_is_being_stopped) {
    answer_hold({run_of(0)});
    pass(100ms);
    adoption_claim claim{endpoint.id,
                         {{run_of(0), {{6000, 64, 0}, 60, {}, {}}}}};
    session->claim(now, {"10.1.0.2:1", 9}, claim);
    stay_without_stops({run_of(0)}, 700ms);
    BOOST_TEST(renewals() == 0);
    BOOST_TEST(events.ends.empty());
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_hold({});
    pass(100ms);
    answer_hold({});
    BOOST_TEST(events.ends.size() == 1U);
}

// Guards against duplicate runs: only an answer that rules the run out ends it.
BOOST_AUTO_TEST_CASE(refused_start_is_over_and_unanswered_start_is_not) {
    answer_hold({});
    const std::vector<std::pair<call_status, update_kind>> certain{
        {call_status::outdated_run, update_kind::outdated},
        {call_status::too_late, update_kind::refused},
        {call_status::no_room, update_kind::refused},
        {call_status::unavailable, update_kind::refused},
        {call_status::rejected, update_kind::refused},
        {call_status::not_sent, update_kind::refused},
    };
    std::uint32_t index = 0;
    for (const auto& [status, kind] : certain) {
        start(index);
        answer_start(index, status);
        BOOST_REQUIRE_EQUAL(events.ends.size(), index + 1);
        BOOST_TEST((events.ends.back() == std::pair(run_of(index), kind)));
        ++index;
    }
    start(index);
    answer_start(index, call_status::unanswered);
    BOOST_TEST(events.ends.size() == index);
    BOOST_TEST(session->ledger().size() == 1U);
}

// Guards against tasks that wait for an instance that is gone, and against use
// of the next one before its runs are known.
BOOST_AUTO_TEST_CASE(answer_of_another_instance_ends_all_runs) {
    answer_hold({});
    start(0);
    answer_start(0);
    start(1);
    hold_reply other;
    other.number = port.holds.back().number;
    other.call = {call_status::other_instance, -1};
    session->handle_hold(now, other);
    BOOST_TEST(events.ends.size() == 2U);
    BOOST_TEST(!session->accepts_tasks());
    BOOST_TEST(!session->knows_runs());
    answer_start(1, call_status::other_instance);
    BOOST_TEST(events.ends.size() == 2U);
    BOOST_TEST(events.started.size() == 1U);
}

// Guards against duplicate runs: an endpoint starts again at another address,
// and the answer of the endpoint that has its former address is read late.
BOOST_AUTO_TEST_CASE(late_answer_at_a_former_address_ends_no_run) {
    answer_hold({});
    start(0);
    start(1);
    answer_start(1, call_status::unanswered); // its stop is in flight
    const auto poll = port.holds.back();
    auto restarted = endpoint;
    restarted.address = "10.0.0.2:80";
    restarted.instance_started_ms = 3000;
    session->update(now, restarted);
    hold_reply other;
    other.number = poll.number;
    other.call = {call_status::other_instance, -1};
    session->handle_hold(now, other);
    pass(25ms);
    answer_hold({}, {}, 3000);
    start(2);
    answer_start(2);
    answer_start(0, call_status::other_instance);
    session->handle_stop(now, run_of(1), other.call);
    BOOST_TEST(session->ledger().find(run_of(2)) != nullptr);
    BOOST_TEST(session->knows_runs());
}

// Guards against duplicate runs: another writer's entry gives an endpoint the
// address of another one, whose answer says nothing of the first one's runs.
BOOST_AUTO_TEST_CASE(answer_at_an_address_of_an_odd_entry_ends_no_run) {
    answer_hold({});
    start(0);
    answer_start(0);
    const auto before = port.holds.size();
    auto odd = endpoint;
    odd.instance_started_ms = 1000;
    odd.address = "10.0.0.2:80";
    session->update(now, odd);
    const auto answer_at_other_address = [this] {
        hold_reply other;
        other.number = port.holds.back().number;
        other.call = {call_status::other_instance, -1};
        session->handle_hold(now, other);
    };
    answer_hold({run_of(0)}); // sent to the former address
    pass(25ms);
    BOOST_REQUIRE_GT(port.holds.size(), before);
    BOOST_TEST(port.holds.back().target.address == "10.0.0.2:80");
    answer_at_other_address();
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(!session->accepts_tasks());
    odd.address = endpoint.address;
    session->update(now, odd);
    pass(100ms);
    answer_hold({run_of(0)});
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(session->accepts_tasks());
    // Without a correction, the lease decides.
    odd.address = "10.0.0.2:80";
    session->update(now, odd);
    for (int i = 0; i < 80 && events.ends.empty(); ++i) {
        pass(25ms);
        answer_at_other_address();
    }
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::lost));
}

// Guards against a busy endpoint: an entry of the platform's list that names
// the address of another endpoint led to a call with each tick.
BOOST_AUTO_TEST_CASE(endpoint_of_another_instance_is_polled_with_pauses) {
    answer_hold({});
    const auto before = port.holds.size();
    for (const auto end = now + 2s; now < end;) {
        if (port.holds.size() > answered_holds) {
            answered_holds = port.holds.size();
            hold_reply other;
            other.number = port.holds.back().number;
            other.call = {call_status::other_instance, -1};
            session->handle_hold(now, other);
        }
        if (port.starts.empty()) {
            start(0); // ends the pause of an idle endpoint
            answer_start(0);
        }
        pass(25ms);
    }
    // Pauses of 0, 100, 200, 300, 400 and 500 ms.
    BOOST_TEST(port.holds.size() - before <= 8U);
    answer_hold({});
    BOOST_TEST(session->accepts_tasks());
}

// Guards against runs that are given up, or an endpoint that is not used any
// more, when its entry in the platform's list has a start far in the future.
BOOST_AUTO_TEST_CASE(entry_of_an_instance_that_never_began_ends_no_run) {
    answer_hold({});
    start(0);
    answer_start(0);
    auto odd = endpoint;
    odd.instance_started_ms = 9'000'000'000'000'000;
    for (int i = 0; i < 4; ++i) {
        const auto before = renewals();
        session->update(now, odd);
        stay_without_stops({run_of(0)}, 500ms);
        BOOST_TEST(events.ends.empty());
        BOOST_TEST(session->accepts_tasks());
        BOOST_TEST(renewals() > before);
    }
    BOOST_TEST(port.stops.empty());
}

// Guards against a start without the label that it requires (ROUTE), over the
// capacity (LIMIT) or on an endpoint that leaves (DRAIN): an instance was used
// with the entry of the one before it.
BOOST_AUTO_TEST_CASE(later_instance_gets_tasks_once_its_entry_is_read) {
    endpoint.instance_started_ms = 1000;
    endpoint.labels = {"kind-a"};
    session->update(now, endpoint);
    answer_hold({});
    BOOST_TEST(session->accepts_tasks());
    pass(clock_reading_pause);
    answer_hold({}, {}, 2000);
    BOOST_TEST(session->awaits_entry());
    BOOST_TEST(!session->accepts_tasks());
    // A list that is read late.
    session->update(now, endpoint);
    BOOST_TEST(!session->accepts_tasks());
    auto later = endpoint;
    later.instance_started_ms = 2000;
    later.labels = {"kind-b"};
    later.capacity.cpu_millis = 8'000;
    session->update(now, later);
    BOOST_TEST(!session->awaits_entry());
    BOOST_TEST(session->accepts_tasks());
    BOOST_TEST(session->endpoint().labels == later.labels);
    BOOST_TEST(session->free_resources().cpu_millis == 8'000U);
    later.state = endpoint_state::draining;
    session->update(now, later);
    BOOST_TEST(!session->accepts_tasks());
}

// The same where the entry of the former instance is read once more.
BOOST_AUTO_TEST_CASE(entry_of_a_former_instance_is_ignored) {
    endpoint.instance_started_ms = 1000;
    endpoint.labels = {"kind-a"};
    session->update(now, endpoint);
    answer_hold({});
    auto later = endpoint;
    later.instance_started_ms = 2000;
    later.labels = {"kind-b"};
    later.capacity.cpu_millis = 8'000;
    session->update(now, later);
    answer_hold({}, {}, 1000); // to a call sent before
    answer_hold({}, {}, 2000);
    session->update(now, endpoint);
    BOOST_TEST(session->accepts_tasks());
    BOOST_TEST(session->endpoint().labels == later.labels);
    BOOST_TEST(session->free_resources().cpu_millis == 8'000U);
}

// The same where the clock of the endpoint was set back before it restarted.
BOOST_AUTO_TEST_CASE(instance_with_an_earlier_start_waits_for_its_entry) {
    endpoint.instance_started_ms = 2000;
    endpoint.labels = {"kind-a"};
    session->update(now, endpoint);
    answer_hold({}, {}, 2000);
    pass(clock_reading_pause);
    answer_hold({}, {}, 1000);
    BOOST_TEST(!session->accepts_tasks());
    endpoint.instance_started_ms = 1000;
    endpoint.labels = {"kind-b"};
    session->update(now, endpoint);
    BOOST_TEST(session->accepts_tasks());
    BOOST_TEST(session->endpoint().labels == endpoint.labels);
}

// Guards against endpoints that are lost while the list can't be read: rack and
// room stay with the machine, labels may not.
BOOST_AUTO_TEST_CASE(instance_without_an_entry_has_no_labels) {
    endpoint.instance_started_ms = 1000;
    endpoint.labels = {"kind-a"};
    session->update(now, endpoint);
    answer_hold({});
    pass(clock_reading_pause);
    answer_hold({}, {}, 2000);
    session->use_without_entry();
    BOOST_TEST(session->accepts_tasks());
    BOOST_TEST(session->endpoint().labels.empty());
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

// Guards against duplicate runs: the caller of a coordinator that ended resends
// its job 1.3 s later, while the lease was renewed until 700 ms after that end.
BOOST_AUTO_TEST_CASE(
    lease_ends_before_the_caller_of_a_lost_coordinator_resends) {
    answer_hold({});
    start(0);
    answer_start(0);
    events.contact = now;
    const auto ended_at = clock_ms();
    const auto resent_at = ended_at + to_ms(settings.resend_after);
    for (int i = 0; i < 28; ++i) {
        pass(25ms);
        if (port.holds.size() > answered_holds) {
            answered_holds = port.holds.size();
            answer_hold({run_of(0)});
        }
        const auto lease = port.holds.back().lease_deadline_ms;
        BOOST_REQUIRE(lease);
        BOOST_TEST(clock_ms() + (*lease - clock_ms()) * 102 / 100 <= resent_at);
        BOOST_TEST(*lease >= clock_ms() + 400);
    }
    pass(600ms); // out of contact for longer than a lease may last
    answer_hold({run_of(0)});
    BOOST_TEST(!port.holds.back().lease_deadline_ms);
}

// Guards against runs that end early: the lease of the other runs is renewed
// although the coordinator of a stopped run is not in contact.
BOOST_AUTO_TEST_CASE(
    confirmed_stop_of_a_silent_coordinators_run_frees_the_lease) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({run_of(0)});
    events.contact = now - 5s;
    session->revoke(now, run_of(0));
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    pass(200ms);
    answer_hold({run_of(0)});
    pass(200ms);
    BOOST_TEST(port.holds.back().lease_deadline_ms.has_value());
}

// A coordinator in contact costs no lease time.
BOOST_AUTO_TEST_CASE(lease_is_renewed_in_full_between_two_heartbeats) {
    answer_hold({});
    events.contact = now - 200ms;
    start(0);
    answer_start(0);
    BOOST_TEST(port.holds.back().lease_deadline_ms.value_or(0) ==
               clock_ms() + to_ms(settings.lease_limit));
    BOOST_TEST(port.starts.back().lease_deadline_ms ==
               clock_ms() + to_ms(settings.start_window));
}

// --- crashes ---

// A cut that resets and refuses connections looks like a crash.
BOOST_AUTO_TEST_CASE(crash_of_a_refusing_endpoint_is_only_suspected) {
    answer_hold({});
    start(0);
    answer_start(0);
    refuse_calls(200ms);
    session->report_suspected_crash();
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 1U);
    BOOST_TEST((events.crashes[0].second == crash_evidence::refusing));
    pass(500ms);
    answer_hold({run_of(0)});
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 2U);
    BOOST_TEST((events.crashes[1].second == crash_evidence::none));
}

BOOST_AUTO_TEST_CASE(silent_endpoint_is_not_suspected_of_a_crash) {
    answer_hold({});
    start(0);
    answer_start(0);
    pass(2s);
    session->report_suspected_crash();
    BOOST_TEST(events.crashes.empty());
}

// The runs of a silent endpoint are lost long before it is known whether it has
// crashed.
BOOST_AUTO_TEST_CASE(lost_run_counts_as_crashed_when_a_later_instance_answers) {
    answer_hold({});
    start(0);
    answer_start(0);
    refuse_calls(2s);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST(events.crashes.empty());
    pass(500ms);
    answer_hold({}, {}, 2000);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 1U);
    BOOST_TEST((events.crashes[0].second == crash_evidence::ended));
    BOOST_TEST(events.instances_began == 1);
}

BOOST_AUTO_TEST_CASE(run_lost_with_a_listed_later_instance_has_crashed) {
    answer_hold({});
    start(0);
    answer_start(0);
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 1U);
    BOOST_TEST((events.crashes[0].second == crash_evidence::ended));
}

// Guards against a job that fails although no endpoint crashed: an odd entry
// names a start in the future, and its instance and the present one both seemed
// to have ended under the same run.
BOOST_AUTO_TEST_CASE(run_is_lost_with_one_instance_only) {
    answer_hold({});
    start(0);
    answer_start(0);
    answer_hold({run_of(0)});
    auto odd = endpoint;
    odd.instance_started_ms = 9'000'000'000'000'000;
    session->update(now, odd);
    answer_hold({run_of(0)}); // to a call sent before
    answer_hold({run_of(0)});
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(events.crashes.size() <= 1U);
    session->update(now, odd);
    answer_hold({run_of(0)});
    answer_hold({run_of(0)});
    BOOST_TEST(events.ends.empty());
    BOOST_TEST(events.crashes.size() <= 1U);
}

// Guards against a task that is given up after one crash: its run was started
// on a later instance, before the holder noticed that, and counted as lost with
// the former one.
BOOST_AUTO_TEST_CASE(run_started_on_the_next_instance_has_not_crashed) {
    answer_hold({});
    pass(2s);
    start(0);
    // The clock of an instance that has just begun.
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    answer_hold({run_of(0)}, {}, 2000);
    BOOST_TEST(events.crashes.empty());
    // That instance is the one it is lost with.
    answer_hold({}, {}, 3000);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 1U);
    BOOST_TEST((events.crashes[0].second == crash_evidence::ended));
    BOOST_TEST(events.crashed_instances[0] == 2000);
}

// The same failure where the platform's list shows the later instance, on which
// the run has ended when it answers.
BOOST_AUTO_TEST_CASE(run_ended_on_the_next_instance_has_not_crashed) {
    answer_hold({});
    pass(2s);
    start(0);
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    pass(25ms);
    answer_hold({}, {{1, run_of(0), end_kind::done}}, 2000);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST((events.ends[0].second == update_kind::done));
    BOOST_TEST(events.crashes.empty());
}

// The same failure where the start is carried out late.
BOOST_AUTO_TEST_CASE(run_started_late_on_the_next_instance_has_not_crashed) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    pass(25ms);
    answer_hold({}, {}, 2000);
    pass(25ms);
    answer_hold({run_of(0)}, {}, 2000);
    BOOST_TEST(events.crashes.empty());
}

// Guards against a task that crashes endpoints right after its starts and is
// not counted: the next instance does not list the run.
BOOST_AUTO_TEST_CASE(run_that_the_next_instance_does_not_list_has_crashed) {
    answer_hold({});
    pass(2s);
    start(0);
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    pass(25ms);
    answer_hold({}, {}, 2000);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 1U);
    BOOST_TEST((events.crashes[0].second == crash_evidence::ended));
    BOOST_TEST(events.crashed_instances[0] == 1000);
}

// Guards against a job that is given up although its task has crashed one
// endpoint: a start without an answer, which was never carried out, counted as
// lost with an endpoint that something else had ended.
BOOST_AUTO_TEST_CASE(unanswered_start_that_no_instance_lists_has_not_crashed) {
    answer_hold({});
    start(0);
    answer_start(0, call_status::unanswered);
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    pass(25ms);
    session->handle_stop(now, run_of(0), {call_status::unanswered, -1});
    pass(125ms);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    answer_hold({}, {}, 2000);
    BOOST_REQUIRE_EQUAL(events.ends.size(), 1U);
    BOOST_TEST(events.crashes.empty());
}

// Guards against a run that counts twice, or not at all: the next instance ends
// before it has answered, so that nothing shows with which of the two the run
// was lost.
BOOST_AUTO_TEST_CASE(run_lost_with_one_of_two_instances_counts_once) {
    answer_hold({});
    pass(2s);
    start(0);
    session->handle_start(now, run_of(0), {call_status::ok, 20});
    endpoint.instance_started_ms = 2000;
    session->update(now, endpoint);
    pass(25ms);
    refuse_calls(200ms);
    session->report_suspected_crash();
    endpoint.instance_started_ms = 3000;
    session->update(now, endpoint);
    pass(25ms);
    answer_hold({}, {}, 3000);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 1U);
    BOOST_TEST((events.crashes[0].second == crash_evidence::ended));
}

BOOST_AUTO_TEST_CASE(run_of_another_instances_endpoint_has_crashed) {
    answer_hold({});
    start(0);
    answer_start(0);
    pass(50ms);
    hold_reply reply;
    reply.number = port.holds.back().number;
    reply.call.status = call_status::other_instance;
    session->handle_hold(now, reply);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 1U);
    BOOST_TEST((events.crashes[0].second == crash_evidence::ended));
}

BOOST_AUTO_TEST_CASE(refusing_endpoint_that_leaves_the_list_has_crashed) {
    answer_hold({});
    start(0);
    answer_start(0);
    refuse_calls(200ms);
    session->report_suspected_crash();
    session->mark_gone(now);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 2U);
    BOOST_TEST((events.crashes[1].second == crash_evidence::ended));
}

BOOST_AUTO_TEST_CASE(end_of_a_draining_endpoint_is_no_crash) {
    answer_hold({});
    start(0);
    answer_start(0);
    endpoint.state = endpoint_state::draining;
    session->update(now, endpoint);
    refuse_calls(200ms);
    session->report_suspected_crash();
    session->mark_gone(now);
    BOOST_TEST(events.crashes.empty());
}

// Each answer lets the next stop be sent; none is sent twice.
BOOST_AUTO_TEST_CASE(stops_wait_until_earlier_ones_are_answered) {
    constexpr std::uint32_t runs = 100;
    answer_hold({});
    for (std::uint32_t i = 0; i < runs; ++i) {
        start(i, 50);
        answer_start(i);
    }
    for (std::uint32_t i = 0; i < runs; ++i) {
        session->stop(now, run_of(i));
    }
    BOOST_TEST(port.stops.size() == settings.max_open_stops);
    for (std::size_t i = 0; i < port.stops.size(); ++i) {
        session->handle_stop(now, port.stops[i].run,
                             {call_status::ok, clock_ms()});
        BOOST_TEST(session->ledger().stopping() <= settings.max_open_stops);
    }
    BOOST_TEST(port.stops.size() == runs);
    pass(1s);
    BOOST_TEST(port.stops.size() == runs);
}

// The counts that stand for walks over all runs.
BOOST_AUTO_TEST_CASE(ledger_counts_follow_the_runs) {
    answer_hold({});
    start(0);
    BOOST_TEST(session->ledger().starting() == 1U);
    answer_start(0);
    start(1);
    answer_start(1, call_status::unanswered);
    BOOST_TEST(session->ledger().starting() == 0U);
    BOOST_TEST(session->ledger().stopping() == 1U);
    session->revoke(now, run_of(0));
    BOOST_TEST(session->awaits_revocation());
    BOOST_TEST(session->ledger().stopping() == 2U);
    session->handle_stop(now, run_of(0), {call_status::ok, clock_ms()});
    session->handle_stop(now, run_of(1), {call_status::ok, clock_ms()});
    BOOST_TEST(!session->awaits_revocation());
    BOOST_TEST(session->ledger().stopping() == 0U);
    BOOST_TEST(session->ledger().awaiting_list() == 1U);
    answer_hold({});
    answer_hold({});
    BOOST_TEST(session->ledger().empty());
    BOOST_TEST(session->ledger().awaiting_list() == 0U);
    BOOST_TEST(session->free_resources().cpu_millis == 16'000U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace figridge::dispatch
