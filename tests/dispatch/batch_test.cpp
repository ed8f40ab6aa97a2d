// A dispatcher that handles inputs in batches.
#include <boost/test/unit_test.hpp>

#include "quiet_dispatcher.hpp"

namespace figridge::dispatch {
namespace {

// A host that holds endpoint-1 and serves.
struct serving_dispatcher : quiet_dispatcher {
    serving_dispatcher() {
        core.set_catalogue(1, "one");
        core.set_endpoints(now, {make_endpoint("endpoint-1")});
        advance(600ms);
        BOOST_REQUIRE_EQUAL(store.writes.size(), 1U);
        core.handle_write_result(now, store.writes.back().first,
                                 store_status::ok);
        answer_hold();
        advance(25ms);
    }

    void answer_hold() {
        const auto call = endpoints.holds.back();
        hold_reply reply;
        reply.number = call.number;
        reply.call = {call_status::ok, to_ms(now) + 500};
        reply.instance_started_ms = 1000;
        core.handle_hold(now, call.target, reply);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatcher_batch_test, serving_dispatcher)

// Guards against inputs whose starts and messages cost as much as those of a
// whole batch.
BOOST_AUTO_TEST_CASE(starts_wait_for_the_end_of_the_batch) {
    core.batch_inputs();
    core.submit(now, 1, make_job("0123456789abcde1"));
    core.submit(now, 2, make_job("0123456789abcde2"));
    BOOST_TEST(endpoints.starts.empty());
    core.end_batch(now);
    BOOST_TEST(endpoints.starts.size() == 2U);
    core.end_batch(now);
    BOOST_TEST(endpoints.starts.size() == 2U);
}

BOOST_AUTO_TEST_CASE(starts_are_sent_with_each_input_by_default) {
    core.submit(now, 1, make_job("0123456789abcde1"));
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against starts that were decided on before a pause of the process, in
// which another host may have taken over the endpoint.
BOOST_AUTO_TEST_CASE(batch_that_ends_after_a_pause_starts_nothing) {
    core.batch_inputs();
    core.submit(now, 1, make_job("0123456789abcde1"));
    now += 600ms;
    core.end_batch(now);
    BOOST_TEST(endpoints.starts.empty());
    answer_hold();
    core.end_batch(now);
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// The same, if another input of the batch comes first.
BOOST_AUTO_TEST_CASE(input_after_a_pause_ends_the_batch) {
    core.batch_inputs();
    core.submit(now, 1, make_job("0123456789abcde1"));
    now += 2s;
    core.submit(now, 2, make_job("0123456789abcde2"));
    BOOST_TEST(endpoints.starts.empty());
    BOOST_REQUIRE_EQUAL(callers.answers.size(), 1U);
    BOOST_TEST(callers.answers[0].first == 1U);
    BOOST_TEST((callers.answers[0].second.outcome == job_outcome::gave_up));
}

// Guards against a start that waits for ever: while a host is not heard, it
// needs the endpoint's answer in the same input.
BOOST_AUTO_TEST_CASE(inputs_are_not_batched_while_a_host_is_not_heard) {
    const auto hear = [this] {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        core.handle_envelope(now, message);
    };
    core.batch_inputs();
    core.add_member(now, "10.1.0.2:1");
    for (int i = 0; i < 10; ++i) {
        hear();
        advance(100ms);
        core.end_batch(now);
    }
    for (int i = 0; i < 8; ++i) {
        advance(100ms);
        core.end_batch(now);
    }
    core.submit(now, 1, make_job("0123456789abcde1"));
    core.end_batch(now);
    now += 5ms;
    BOOST_TEST(endpoints.starts.empty());
    answer_hold();
    BOOST_TEST(endpoints.starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
