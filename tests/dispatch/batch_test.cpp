// A dispatcher that handles inputs in batches, or refuses jobs before their
// bodies are read.
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

    // Ticks that come late, until few jobs are accepted.
    void run_late() {
        for (int i = 0; i < 40; ++i) {
            now += 60ms;
            core.tick(now);
            if (i % 5 == 0) {
                answer_hold();
            }
        }
    }

    std::optional<job_answer> refuse(const std::string& id,
                                     duration patience = 1500ms) {
        return core.refuse_unread(
            now, {id, make_job(id).queue, patience, "request"});
    }

    // Of this many new jobs, how many are refused.
    int count_refused(int jobs, const std::string& prefix) {
        int refused = 0;
        for (int i = 0; i < jobs; ++i) {
            refused += refuse(prefix + std::to_string(i)) ? 1 : 0;
        }
        return refused;
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

BOOST_FIXTURE_TEST_SUITE(unread_jobs_test, serving_dispatcher)

BOOST_AUTO_TEST_CASE(host_in_time_refuses_no_unread_job) {
    advance(5s);
    BOOST_TEST(count_refused(100, "job-") == 0);
}

// Guards against a host that parses the bodies of jobs that it then refuses.
BOOST_AUTO_TEST_CASE(late_host_refuses_most_jobs_unread) {
    run_late();
    BOOST_TEST(count_refused(100, "job-") > 80);
    const auto refusal = refuse("last");
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->outcome == job_outcome::refused));
    BOOST_TEST(refusal->reason == "host_overloaded");
    BOOST_TEST(refusal->retry_after.count() > 0);
}

// Guards against "not run" for a job that runs here.
BOOST_AUTO_TEST_CASE(open_job_is_never_refused_unread) {
    core.submit(now, 1, make_job("0123456789abcde1"));
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    for (int i = 0; i < 20; ++i) {
        now += 60ms;
        core.tick(now);
    }
    BOOST_REQUIRE(callers.answers.empty());
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(!refuse("0123456789abcde1").has_value());
    }
    BOOST_TEST(count_refused(100, "job-") > 50);
}

// Guards against "not run" for a job that was given up with a run.
BOOST_AUTO_TEST_CASE(job_that_has_run_is_never_refused_unread) {
    core.submit(now, 1, make_job("0123456789abcde1"));
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    core.drop_caller(now, 1);
    for (int i = 0; i < 20; ++i) {
        now += 60ms;
        core.tick(now);
    }
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(!refuse("0123456789abcde1").has_value());
    }
}

// Guards against a job that is accepted unread and then refused, or counted
// twice.
BOOST_AUTO_TEST_CASE(admitted_job_is_not_refused_when_it_is_read) {
    run_late();
    auto job = make_job("0123456789abcde1");
    job.admitted = true;
    for (caller_token token = 1; token <= 20; ++token) {
        job.work.id = "job-" + std::to_string(token);
        core.submit(now, token, job);
    }
    for (const auto& [token, answer] : callers.answers) {
        BOOST_TEST(answer.reason != "host_overloaded");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(holder_views_lateness)

// Guards against tasks placed with a holder that reads them late.
BOOST_AUTO_TEST_CASE(late_holder_counts_as_a_longer_queue) {
    holder_views views{"domain-1"};
    advert about;
    about.capacity_cpu = 16'000;
    about.largest_cpu = 16'000;
    about.largest_memory_mb = 1024;
    about.free_cpu = {16'000};
    task_need need;
    need.room = {6000, 64, 0};
    need.estimate_ms = 60;
    const process_id late{"10.1.0.1:1", 1};
    const process_id other{"10.1.0.2:1", 2};
    about.late_ms = 700;
    views.update(timestamp{1s}, late, "domain-1", about);
    BOOST_CHECK(views.min_queue_wait(0) >= 700ms);
    about.late_ms = 0;
    views.update(timestamp{1s}, other, "domain-2", about);
    BOOST_CHECK(views.min_queue_wait(0) < 10ms);
    const auto chosen = views.place(timestamp{1s}, need);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->address == other.address);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
