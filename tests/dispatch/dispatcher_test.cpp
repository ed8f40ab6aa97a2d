// Tests a whole dispatcher: takeovers, grants, suspension, drain, peers, and
// catalogue versions.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "core/dispatch/route_table.hpp"
#include "quiet_dispatcher.hpp"

namespace figridge::dispatch {
namespace {

// A host that has begun to take over endpoint-1, on which nothing runs.
struct holding_dispatcher : quiet_dispatcher {
    holding_dispatcher() {
        core.set_catalogue(1, "one");
        core.set_endpoints(now, {make_endpoint("endpoint-1")});
        advance(600ms);
    }

    // Passes the row that the host wrote back to it, as if read from the store.
    void store_row() {
        auto row = store.writes.back().second.front();
        row.version = 5;
        core.set_holder(now, row);
    }

    void answer_hold(const std::vector<task_run>& running = {}) {
        const auto call = endpoints.holds.back();
        hold_reply reply;
        reply.number = call.number;
        reply.call = {call_status::ok, to_ms(now) + 500};
        reply.instance_started_ms = 1000;
        for (const auto& run : running) {
            reply.running.push_back({run, 0});
        }
        core.handle_hold(now, call.target, reply);
    }

    void complete_takeover() {
        BOOST_REQUIRE(store.writes.size() == 1U);
        core.handle_write_result(now, store.writes.back().first,
                                 store_status::ok);
        answer_hold();
    }

    // Delivers an envelope of a peer that has just heard this host, with
    // `content` as its first payload. The peer has handled `ack` payloads.
    void receive_from_peer(const char* failure_domain = "domain-1",
                           const payload& content = {}, std::uint64_t ack = 0) {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = failure_domain;
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = now.count();
        message.sequence = content.empty() ? 0 : 1;
        message.ack = ack;
        message.content = content;
        core.handle_envelope(now, message);
    }

    // The peer acknowledges the payloads sent to it up to `sequence`.
    void receive_acknowledgement(std::uint64_t sequence) {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.ack = sequence;
        core.handle_envelope(now, message);
    }

    // The highest sequence of a payload sent to any peer.
    [[nodiscard]] std::uint64_t last_sequence() const {
        std::uint64_t last = 0;
        for (const auto& [address, message] : peers.sent) {
            last = std::max(last, message.sequence);
        }
        return last;
    }

    // The grants sent so far, without resent ones.
    [[nodiscard]] std::vector<endpoint_grant> grants() const {
        std::map<std::uint64_t, std::vector<endpoint_grant>> sent;
        for (const auto& [address, message] : peers.sent) {
            if (!message.content.grants.empty()) {
                sent[message.sequence] = message.content.grants;
            }
        }
        std::vector<endpoint_grant> all;
        for (const auto& [sequence, list] : sent) {
            all.insert(all.end(), list.begin(), list.end());
        }
        return all;
    }

    void answer_start(std::size_t index) {
        const auto call = endpoints.starts.at(index);
        core.handle_start(now, call.target, call.run,
                          {call_status::ok, to_ms(now) + 500});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatcher_test, holding_dispatcher)

// The link is cut in one direction: the holder is heard, but does not hear this
// host.
BOOST_AUTO_TEST_CASE(holder_that_does_not_hear_this_host_gets_no_tasks) {
    // Payloads with assignments, without resent ones.
    const auto assignment_count = [this] {
        std::set<std::uint64_t> sequences;
        for (const auto& [address, message] : peers.sent) {
            if (!message.content.assignments.empty()) {
                sequences.insert(message.sequence);
            }
        }
        return sequences.size();
    };
    const auto receive = [this](timestamp echo) {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = echo.count();
        message.about = {1, false,  0.25,   1,  16'000, 0,
                         0, 16'000, 32'768, {}, true,   {}};
        message.about.free_cpu = {16'000};
        core.handle_envelope(now, message);
    };
    receive(now);
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(assignment_count() == 1U);
    const auto cut_at = now;
    for (int i = 0; i < 8; ++i) {
        advance(100ms);
        receive(cut_at);
    }
    core.submit(now, 2, make_job("0123456789abcde0"));
    BOOST_TEST(assignment_count() == 1U);
    receive(now); // the link is restored
    advance(25ms);
    BOOST_TEST(assignment_count() == 2U);
}

// Each assignment carries the payload of its job, up to 4,000 bytes.
BOOST_AUTO_TEST_CASE(tasks_returned_together_are_sent_in_one_assignment) {
    envelope message;
    message.from = {"10.1.0.2:1", 12};
    message.failure_domain = "domain-1";
    message.to_incarnation = 99;
    message.stamp_us = now.count();
    message.echo_us = now.count();
    message.about = {1, false,  0.25,   1,  16'000, 0,
                     0, 16'000, 32'768, {}, true,   {}};
    core.handle_envelope(now, message);
    const auto job = make_job("0123456789abcdef", 4);
    core.submit(now, 1, job);
    peers.sent.clear();
    now += 10ms;
    message.sequence = 1;
    message.stamp_us = now.count();
    message.ack = 1;
    for (std::uint32_t i = 0; i < 4; ++i) {
        message.content.updates.push_back(
            {{{job.work.id, 0, i}, 1}, update_kind::returned, {}, 0});
    }
    core.handle_envelope(now, message);
    std::vector<std::size_t> sent;
    for (const auto& [address, reply] : peers.sent) {
        for (const auto& assignment : reply.content.assignments) {
            sent.push_back(assignment.items.size());
        }
    }
    BOOST_TEST(sent == std::vector<std::size_t>{4},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(takeover_with_a_lost_reply_is_completed_by_its_row) {
    BOOST_REQUIRE(store.writes.size() == 1U);
    core.handle_write_result(now, store.writes.back().first,
                             store_status::unknown);
    BOOST_TEST(endpoints.holds.empty());
    store_row();
    BOOST_REQUIRE(endpoints.holds.size() == 1U);
    BOOST_TEST(endpoints.holds.back().target.token == stored_token_stride);
}

// A host that knows a peer which holds endpoint-1.
struct watching_dispatcher : quiet_dispatcher {
    watching_dispatcher() {
        core.set_catalogue(1, "one");
        hear();
        core.set_endpoints(now, {make_endpoint("endpoint-1")});
        core.set_holder(
            now, {"endpoint-1", "domain-1", {"10.1.0.2:1", 12}, 1000, 5});
        for (int i = 0; i < 40; ++i) {
            advance(75ms);
            hear();
        }
    }

    // Reads an envelope of the peer.
    void hear(std::uint32_t late_ms = 0) {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.about.cpu_share = 1.0;
        message.about.late_ms = late_ms;
        core.handle_envelope(now, message);
    }

    void tick_after(duration time) {
        now += time;
        core.tick(now);
    }
};

// Guards against endpoints that change hands since hosts lack processor time: a
// host that reads its inputs late takes over nothing for its own lateness.
BOOST_FIXTURE_TEST_CASE(late_host_takes_nothing_over, watching_dispatcher) {
    for (int i = 0; i < 10; ++i) {
        tick_after(300ms);
        tick_after(300ms);
        hear(); // waited to be read
    }
    BOOST_TEST(endpoints.holds.empty());
    BOOST_TEST(observer.lines["peer_lost"].empty());
    BOOST_TEST(peers.sent.back().second.about.late_ms == 300U);
    // The lateness is forgotten once it has gone.
    for (int i = 0; i < 20; ++i) {
        advance(100ms);
        hear();
    }
    advance(425ms);
    BOOST_TEST(endpoints.holds.empty());
    advance(125ms);
    BOOST_TEST(!endpoints.holds.empty());
}

// Guards against endpoints that change hands again and again: a holder that is
// silent at times and comes back keeps them.
BOOST_FIXTURE_TEST_CASE(holder_that_comes_back_keeps_its_endpoints,
                        watching_dispatcher) {
    advance(600ms);
    hear();
    BOOST_TEST(observer.lines["peer_lost"].size() == 1U);
    endpoints.holds.clear();
    for (int i = 0; i < 5; ++i) {
        advance(900ms);
        hear();
    }
    BOOST_TEST(observer.lines["peer_lost"].size() == 6U);
    BOOST_TEST(endpoints.holds.empty());
    BOOST_TEST(store.writes.empty());
    advance(2600ms);
    BOOST_TEST(!endpoints.holds.empty());
}

// Guards against the store, the endpoints and a host of 0.12 cores that all
// have to bear what a large host held at once; it is back within 2 s
// nevertheless.
BOOST_AUTO_TEST_CASE(endpoints_of_a_large_host_are_taken_over_in_parts) {
    auto settings = quiet_dispatcher::make_settings();
    settings.cpu_share = 0.12;
    quiet_dispatcher host(settings);
    std::vector<endpoint_record> listed;
    for (int i = 0; i < 40; ++i) {
        listed.push_back(
            quiet_dispatcher::make_endpoint("endpoint-" + std::to_string(i)));
    }
    host.core.set_endpoints(host.now, listed);
    const auto written = [&host] {
        std::size_t rows = 0;
        for (const auto& [request, batch] : host.store.writes) {
            rows += batch.size();
        }
        return rows;
    };
    host.advance(600ms);
    BOOST_TEST(written() > 0U);
    BOOST_TEST(written() <= 18U);
    host.advance(900ms);
    BOOST_TEST(written() < 40U);
    host.advance(700ms);
    BOOST_TEST(written() == 40U);
}

// Guards against the same by the lateness of the holder.
BOOST_FIXTURE_TEST_CASE(holder_that_says_it_is_late_keeps_its_endpoints,
                        watching_dispatcher) {
    hear(800);
    advance(1200ms);
    BOOST_TEST(observer.lines["peer_lost"].size() == 1U);
    BOOST_TEST(endpoints.holds.empty());
    advance(150ms);
    BOOST_TEST(!endpoints.holds.empty());
}

// Guards against a start over the capacity (LIMIT) and against duplicate runs:
// the takeover is stored, another process takes over while this one is paused,
// and the endpoint restarts, so it accepts the lower token again.
BOOST_AUTO_TEST_CASE(takeover_begun_before_a_process_pause_is_repeated) {
    BOOST_REQUIRE(store.writes.size() == 1U);
    now += 1s;
    core.tick(now);
    core.handle_write_result(now, store.writes.back().first, store_status::ok);
    store_row();
    advance(800ms);
    BOOST_TEST(endpoints.holds.empty());
    BOOST_TEST(store.writes.size() == 1U);
    advance(400ms);
    BOOST_REQUIRE(!endpoints.holds.empty());
    for (const auto& probe : endpoints.holds) {
        BOOST_TEST(probe.number == 0U, "not a probe");
    }
    answer_hold();
    advance(100ms);
    BOOST_REQUIRE(store.writes.size() == 2U);
    core.handle_write_result(now, store.writes.back().first, store_status::ok);
    BOOST_TEST(endpoints.holds.back().target.token == 2 * stored_token_stride);
}

// Guards against a start over the capacity (LIMIT) and against duplicate runs:
// the silent one of two peers takes the endpoint over, that restarts and knows
// no token, and this host uses it on. The store decides instead.
BOOST_AUTO_TEST_CASE(restarted_endpoint_beside_a_silent_peer_is_taken_again) {
    complete_takeover();
    const auto hear = [this](const char* address, std::uint64_t incarnation) {
        envelope message;
        message.from = {address, incarnation};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        core.handle_envelope(now, message);
    };
    const auto answer_as_restarted = [this] {
        const auto call = endpoints.holds.back();
        hold_reply reply;
        reply.number = call.number;
        reply.call = {call_status::ok, to_ms(now) + 500};
        reply.instance_started_ms = 2000;
        core.handle_hold(now, call.target, reply);
    };
    hear("10.1.0.3:1", 13);
    for (int i = 0; i < 7; ++i) {
        hear("10.1.0.2:1", 12);
        advance(100ms);
    }
    hear("10.1.0.2:1", 12);
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(endpoints.starts.empty());
    answer_as_restarted();
    BOOST_TEST(endpoints.starts.empty());
    const auto& fenced = observer.lines["endpoint_fenced"];
    BOOST_REQUIRE_EQUAL(fenced.size(), 1U);
    BOOST_TEST(fenced.front().at("why") == "peer_silent");
    for (int i = 0; i < 15 && store.writes.size() < 2; ++i) {
        hear("10.1.0.2:1", 12);
        advance(100ms);
        answer_as_restarted(); // a probe
    }
    BOOST_REQUIRE_EQUAL(store.writes.size(), 2U);
    core.handle_write_result(now, store.writes.back().first, store_status::ok);
    BOOST_TEST(endpoints.holds.back().target.token == 2 * stored_token_stride);
    answer_as_restarted();
    BOOST_TEST(observer.lines["endpoint_fenced"].size() == 1U);
    core.submit(now, 2, make_job("0123456789abcd00"));
    BOOST_TEST(!endpoints.starts.empty());
}

namespace {

// Endpoint-1 is held, and requires a label; it has answered as the instance of
// its entry.
struct labelled_endpoint : holding_dispatcher {
    labelled_endpoint() {
        complete_takeover();
        listed = make_endpoint("endpoint-1");
        listed.instance_started_ms = 1000;
        listed.labels = {"kind-a"};
        core.set_endpoint(now, listed);
        core.on_entries_wanted = [this] { ++entry_requests; };
    }

    // The endpoint has restarted, and answers the call that reads its clock.
    void answer_as_later_instance() {
        advance(20s);
        const auto call = endpoints.holds.back();
        hold_reply reply;
        reply.number = call.number;
        reply.call = {call_status::ok, 500};
        reply.instance_started_ms = 2000;
        core.handle_hold(now, call.target, reply);
    }

    void list_later_instance() {
        listed.instance_started_ms = 2000;
        listed.labels = {"kind-b"};
        core.set_endpoint(now, listed);
    }

    void submit(caller_token token, const std::string& label) {
        auto job = make_job("0123456789abcde" + std::to_string(token));
        job.work.steps[0].need.required_label = label;
        core.submit(now, token, job);
    }

    endpoint_record listed;
    int entry_requests = 0;
};

} // namespace

// Guards against a start on an endpoint without the label that the task
// requires (ROUTE): it had restarted as another kind, and its former entry was
// used on.
BOOST_FIXTURE_TEST_CASE(task_waits_for_the_entry_of_a_restarted_endpoint,
                        labelled_endpoint) {
    answer_as_later_instance();
    submit(1, "kind-a");
    submit(2, "kind-b");
    BOOST_TEST(endpoints.starts.empty());
    list_later_instance();
    advance(25ms);
    BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
    BOOST_TEST(endpoints.starts[0].run.task.job == "0123456789abcde2");
}

// Guards against a restarted endpoint that is not used until the list is read
// anyway.
BOOST_FIXTURE_TEST_CASE(missing_entry_is_asked_for_until_it_is_read,
                        labelled_endpoint) {
    answer_as_later_instance();
    BOOST_TEST(entry_requests == 1);
    advance(400ms);
    BOOST_TEST(entry_requests == 3);
    list_later_instance();
    advance(1s);
    BOOST_TEST(entry_requests == 3);
}

// Guards against an endpoint that is lost: its entry was read before it
// answered, and named an earlier start, as its clock had been set back.
BOOST_FIXTURE_TEST_CASE(entry_read_before_its_instance_answers_is_applied,
                        labelled_endpoint) {
    listed.instance_started_ms = 900;
    listed.labels = {"kind-b"};
    core.set_endpoint(now, listed);
    advance(20s);
    const auto call = endpoints.holds.back();
    hold_reply reply;
    reply.number = call.number;
    reply.call = {call_status::ok, 500};
    reply.instance_started_ms = 900;
    core.handle_hold(now, call.target, reply);
    submit(1, "kind-b");
    advance(25ms);
    BOOST_TEST(endpoints.starts.size() == 1U);
    BOOST_TEST(entry_requests == 0);
}

// Guards against endpoints that are lost while the store is away, and against
// tasks that run there without the label that they require.
BOOST_FIXTURE_TEST_CASE(restarted_endpoint_serves_without_labels_and_store,
                        labelled_endpoint) {
    answer_as_later_instance();
    core.note_endpoints_read(now - 1s);
    submit(1, "kind-a");
    submit(2, "");
    advance(1s);
    BOOST_TEST(endpoints.starts.empty());
    submit(3, "");
    advance(600ms);
    BOOST_REQUIRE(!endpoints.starts.empty());
    for (const auto& call : endpoints.starts) {
        BOOST_TEST(call.run.task.job != "0123456789abcde1");
    }
}

// Guards against a start without the label where only the worker is late to
// write its entry.
BOOST_FIXTURE_TEST_CASE(restarted_endpoint_waits_while_the_list_is_read,
                        labelled_endpoint) {
    answer_as_later_instance();
    for (int i = 0; i < 30; ++i) {
        core.note_endpoints_read(now);
        submit(static_cast<caller_token>(i % 10), "");
        advance(100ms);
    }
    BOOST_TEST(endpoints.starts.empty());
}

BOOST_AUTO_TEST_CASE(failed_takeover_is_retried) {
    core.handle_write_result(now, store.writes.back().first,
                             store_status::unavailable);
    advance(600ms);
    BOOST_TEST(store.writes.size() >= 2U);
    BOOST_TEST(endpoints.holds.empty());
}

BOOST_AUTO_TEST_CASE(row_of_another_holder_releases_the_endpoint) {
    complete_takeover();
    auto row = store.writes.back().second.front();
    row.holder = {"10.1.0.5:1", 55};
    row.token = 2 * stored_token_stride;
    row.version = 9;
    core.set_holder(now, row);
    const auto calls = endpoints.holds.size() + endpoints.starts.size();
    core.submit(now, 1, make_job("0123456789abcdef"));
    advance(300ms);
    BOOST_TEST(endpoints.starts.empty());
    // Probes with the other holder's token carry no lease deadline.
    for (std::size_t i = calls; i < endpoints.holds.size(); ++i) {
        BOOST_TEST(!endpoints.holds[i].lease_deadline_ms.has_value());
    }
}

// Guards against a task that is placed here and returned again and again: the
// host's own advert dates from its last input.
BOOST_AUTO_TEST_CASE(queued_task_waits_when_its_host_loses_its_endpoints) {
    complete_takeover();
    core.submit(now, 1, make_job("0123456789abcdef", 3)); // one is queued
    auto row = store.writes.back().second.front();
    row.holder = {"10.1.0.5:1", 55};
    row.token = 2 * stored_token_stride;
    row.version = 9;
    core.set_holder(now, row);
    BOOST_TEST(endpoints.starts.size() == 2U);
    BOOST_TEST(callers.answers.empty());
}

BOOST_AUTO_TEST_CASE(job_is_started_and_answered) {
    complete_takeover();
    core.submit(now, 1, make_job("0123456789abcdef", 2));
    BOOST_REQUIRE(endpoints.starts.size() == 2U);
    answer_start(0);
    answer_start(1);
    const auto call = endpoints.holds.back();
    hold_reply reply;
    reply.number = call.number;
    reply.call = {call_status::ok, to_ms(now) + 560};
    reply.instance_started_ms = 1000;
    reply.ended = {{1, endpoints.starts[0].run, end_kind::done},
                   {2, endpoints.starts[1].run, end_kind::done}};
    core.handle_hold(now, call.target, reply);
    BOOST_REQUIRE(callers.answers.size() == 1U);
    BOOST_TEST((callers.answers[0].second.outcome == job_outcome::completed));
}

// Guards against second runs whose record doesn't tell whether the process read
// answers late: it was delayed for less than a suspension.
BOOST_AUTO_TEST_CASE(delay_below_a_suspension_is_logged) {
    complete_takeover();
    advance(500ms);
    BOOST_REQUIRE(observer.lines["process_delayed"].empty());
    now += 250ms;
    core.submit(now, 1, make_job("0123456789abcdef"));
    core.tick(now);
    const auto& delays = observer.lines["process_delayed"];
    BOOST_REQUIRE_EQUAL(delays.size(), 1U);
    BOOST_TEST(delays.front().at("gap_ms") == "250");
    BOOST_TEST(observer.lines["process_stood_still"].empty());
    const auto& intervals = observer.latencies[latency_metric::tick_interval];
    BOOST_REQUIRE(intervals.size() > 2U);
    BOOST_TEST(to_ms(intervals.back()) == 250);
    BOOST_TEST(to_ms(intervals[intervals.size() - 2]) == 25);
}

BOOST_AUTO_TEST_CASE(long_suspension_abandons_jobs_and_starts_no_tasks) {
    complete_takeover();
    core.submit(now, 1, make_job("0123456789abcdef", 3));
    const auto before = endpoints.starts.size();
    BOOST_REQUIRE(before == 2U); // the third does not fit
    answer_start(0);
    answer_start(1);
    now += 1400ms; // callers resend after 1300 ms
    core.tick(now);
    BOOST_REQUIRE(callers.answers.size() == 1U);
    BOOST_TEST((callers.answers[0].second.outcome == job_outcome::gave_up));
    advance(200ms);
    BOOST_TEST(endpoints.starts.size() == before);
}

// Guards against duplicate runs: a process without processor time that never
// stands still reads the end of a caller's connection late, and starts a task
// of the job that the caller has sent to another host meanwhile.
BOOST_AUTO_TEST_CASE(process_that_is_late_without_a_pause_abandons_jobs) {
    complete_takeover();
    auto job = make_job("0123456789abcdef", 3);
    job.caller_timeout = 10s;
    core.submit(now, 1, job);
    BOOST_REQUIRE(endpoints.starts.size() == 2U); // the third does not fit
    answer_start(0);
    answer_start(1);
    for (int i = 0; i < 14; ++i) { // callers resend after 1300 ms
        now += 100ms;
        core.drop_caller(now, 2);
    }
    const auto call = endpoints.holds.back();
    hold_reply reply;
    reply.number = call.number;
    reply.call = {call_status::ok, to_ms(now) + 500};
    reply.instance_started_ms = 1000;
    reply.running = {{endpoints.starts[1].run, 0}};
    reply.ended = {{1, endpoints.starts[0].run, end_kind::done}};
    core.handle_hold(now, call.target, reply);
    BOOST_TEST(endpoints.starts.size() == 2U);
    BOOST_REQUIRE(callers.answers.size() == 1U);
    BOOST_TEST((callers.answers[0].second.outcome == job_outcome::gave_up));
}

BOOST_AUTO_TEST_CASE(runs_of_a_suspended_holder_end_before_new_ones_start) {
    complete_takeover();
    core.submit(now, 1, make_job("0123456789abcdef", 2));
    answer_start(0);
    answer_start(1);
    now += 5s;
    core.tick(now);
    // Both leases have expired, so the endpoint has room without any stop call.
    core.submit(now, 2, make_job("0123456789abcd00", 2));
    answer_hold();
    advance(100ms);
    for (const auto& start : endpoints.starts) {
        const bool first_job = start.run.task.job == "0123456789abcdef";
        BOOST_TEST((first_job ? start.run.run == 1U : true),
                   "run " << start.run.run << " of the abandoned job");
    }
}

// Endpoint rows that expire during a store outage are missing from the first
// full list and return two seconds later.
BOOST_AUTO_TEST_CASE(endpoint_missing_from_a_list_serves_until_it_is_removed) {
    complete_takeover();
    core.set_endpoints(now, {make_endpoint("endpoint-2")});
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(endpoints.starts.size() == 1U);
    core.remove_endpoint(now, "endpoint-1");
    core.submit(now, 2, make_job("0123456789abcd00"));
    BOOST_TEST(endpoints.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(newer_catalogue_of_a_peer_is_requested_and_reported) {
    std::vector<std::string> texts;
    core.on_catalogue_text = [&texts](const std::string& text) {
        texts.push_back(text);
    };
    auto message = make_full_envelope();
    message.content = {};
    message.sequence = 0;
    message.about.catalogue_version = 2;
    core.handle_envelope(now, message);
    advance(50ms);
    const auto asked =
        std::any_of(peers.sent.begin(), peers.sent.end(), [](const auto& item) {
            return !item.second.content.catalogue_queries.empty();
        });
    BOOST_TEST(asked);
    message.sequence = 1;
    message.ack_stream = peers.sent.back().second.stream;
    message.content.catalogues = {{"two"}};
    core.handle_envelope(now, message);
    BOOST_TEST(texts == std::vector<std::string>{"two"});
}

BOOST_AUTO_TEST_CASE(catalogue_that_is_not_newer_is_rejected) {
    route_table table;
    const auto make = [](std::uint64_t version) {
        route_catalogue catalogue;
        catalogue.version = version;
        catalogue.routes = {{"host", "/p" + std::to_string(version) + "/", {}}};
        return catalogue;
    };
    BOOST_TEST(table.apply(make(5)));
    BOOST_TEST(!table.apply(make(4)));
    BOOST_TEST(!table.apply(make(5)));
    BOOST_TEST(table.version() == 5U);
    BOOST_TEST((table.find("host", "/p5/x").found != nullptr));
    BOOST_TEST((table.find("host", "/p4/x").found == nullptr));
}

BOOST_AUTO_TEST_CASE(longest_prefix_wins) {
    route_table table;
    route_catalogue catalogue;
    catalogue.version = 1;
    catalogue.routes = {{"host", "/a/", {}}, {"host", "/a/b/", {}}};
    catalogue.routes[1].queue.name = "long";
    table.apply(catalogue);
    const auto match = table.find("host:80", "/a/b/id");
    BOOST_REQUIRE((match.found != nullptr));
    BOOST_TEST(match.found->queue.name == "long");
    BOOST_TEST(match.rest == "id");
}

BOOST_AUTO_TEST_CASE(peer_message_out_of_range_names_its_field) {
    const auto error_of = [](auto change) {
        auto message = make_full_envelope();
        change(message);
        return std::string(check_envelope(message).message());
    };
    BOOST_TEST(check_envelope(make_full_envelope()).ok());
    BOOST_TEST(error_of([](envelope& m) { m.echo_us = -1; }) ==
               "echo_us: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.content.updates[0].kind = static_cast<update_kind>(77);
               }) == "content.updates.kind: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.content.doubts[0].holder.incarnation = 0;
               }) == "content.doubts.holder: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.content.doubts[0].run.task.job.clear();
               }) == "content.doubts.run: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.content.relay_requests[0].unheard[0].address.clear();
               }) == "content.relay_requests.unheard: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.content.relayed[0].origin.incarnation = 0;
               }) == "content.relayed.origin: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.content.relayed[0].doubts[0].holder.address.clear();
               }) == "content.relayed.doubts.holder: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   auto& ended = m.content.relayed[0].doubts[0];
                   ended.run.task.job.clear();
                   ended.over = true;
               }) == "content.relayed.doubts.run: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.stream = std::numeric_limits<std::uint64_t>::max();
               }) == "stream: out of range");
    BOOST_TEST(error_of([](envelope& m) { m.about.late_ms = 60'001; }) ==
               "about.late_ms: out of range");
    BOOST_TEST(error_of([](envelope& m) {
                   m.ack_stream = std::numeric_limits<std::uint64_t>::max();
               }) == "ack_stream: out of range");
}

// Guards against a link that stops beside a host of an older version, which
// sends longer times, and against overflows.
BOOST_AUTO_TEST_CASE(longer_times_of_a_peer_are_limited) {
    complete_takeover();
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    constexpr auto least = std::numeric_limits<std::int64_t>::min();
    payload content;
    task_assignment assignment;
    assignment.job = "0123456789abcdef";
    assignment.pool = "pool";
    assignment.objective_us = least;
    assignment.patience_us = most;
    assignment.items = {
        {{{assignment.job, 0, 0}, 1}, {{6000, 64, 0}, 60, {}, {}}, {}, 0}};
    content.assignments = {assignment};
    assignment.objective_us = most;
    assignment.items[0].run.task.index = 1;
    content.assignments.push_back(assignment);
    receive_from_peer("domain-1", content);
    BOOST_TEST(endpoints.starts.size() == 2U);
}

// Guards against a link that stops: a payload that could not be read closed the
// connection each time it was sent again, and no later payload arrived.
BOOST_AUTO_TEST_CASE(payload_that_can_not_be_read_is_refused_alone) {
    const auto sent = make_full_envelope();
    msgpack::sbuffer packed;
    msgpack::pack(packed, sent);
    const auto handle = msgpack::unpack(packed.data(), packed.size());
    const auto whole = read_envelope(handle.get());
    BOOST_TEST(whole.content.ok());
    BOOST_TEST(whole.message.stream == sent.stream);
    BOOST_TEST(whole.message.content.updates.size() == 1U);
    constexpr std::size_t content_index = 9;
    handle.get().via.array.ptr[content_index] = msgpack::object(7);
    const auto odd = read_envelope(handle.get());
    BOOST_TEST(odd.content.message() == "content: unreadable");
    BOOST_TEST(odd.message.from.address == sent.from.address);
    BOOST_TEST(odd.message.sequence == sent.sequence);
    BOOST_TEST(odd.message.ack_stream == sent.ack_stream);
    BOOST_TEST(odd.message.content.empty());
    handle.get().via.array.ptr[0] = msgpack::object(7);
    BOOST_CHECK_THROW(read_envelope(handle.get()), msgpack::type_error);
}

// Guards against a sender that never learns that its payload was refused, and
// against a refusal that nothing counts.
BOOST_AUTO_TEST_CASE(sender_of_a_refused_payload_is_told_at_once) {
    core.add_member(now, "10.1.0.2:1");
    const auto ours = [this] { return peers.sent.back().second; };
    const auto receive = [this](const envelope& message) {
        core.handle_envelope(now, message);
    };
    advance(500ms);
    auto message = make_full_envelope();
    message.stamp_us = now.count();
    message.echo_us = now.count();
    message.content_echo_us = now.count();
    message.ack_stream = ours().stream;
    message.content.updates[0].kind = static_cast<update_kind>(77);
    const auto former = ours().stream;
    receive(message);
    BOOST_TEST(ours().stream > former);
    BOOST_TEST(ours().ack_stream == message.stream);
    BOOST_TEST(observer.counted("peer_messages_refused") == 1U);
    BOOST_TEST(observer.counted("peer_payloads_dropped") == 1U);
    receive(message); // sent again before the peer knew
    BOOST_TEST(observer.counted("peer_payloads_dropped") == 1U);
}

// The fields of an envelope before it had streams.
struct older_envelope : envelope {
    MSGPACK_DEFINE(from, failure_domain, to_incarnation, sequence, ack,
                   stamp_us, echo_us, content_echo_us, about, content,
                   first_sequence);
};

// Guards against hosts of two versions that can't read each other during an
// update.
BOOST_AUTO_TEST_CASE(envelopes_of_an_older_version_can_be_read_and_read_ours) {
    const auto sent = make_full_envelope();
    msgpack::sbuffer packed;
    msgpack::pack(packed, sent);
    older_envelope older;
    msgpack::unpack(packed.data(), packed.size()).get().convert(older);
    BOOST_TEST(older.first_sequence == sent.first_sequence);
    BOOST_TEST(older.stream == 0U);
    packed.clear();
    msgpack::pack(packed, older);
    envelope read;
    msgpack::unpack(packed.data(), packed.size()).get().convert(read);
    BOOST_TEST(read.first_sequence == sent.first_sequence);
    BOOST_TEST(read.stream == 0U);
    BOOST_TEST(read.ack_stream == 0U);
    packed.clear();
    msgpack::pack(packed, sent);
    msgpack::unpack(packed.data(), packed.size()).get().convert(read);
    BOOST_TEST(read.stream == sent.stream);
    BOOST_TEST(read.ack_stream == sent.ack_stream);
}

// The fields before hosts said how late they are.
struct older_advert : advert {
    MSGPACK_DEFINE(catalogue_version, draining, cpu_share, endpoints_held,
                   capacity_cpu, queued_cpu_ms, queued_tasks, largest_cpu,
                   largest_memory_mb, free_cpu, knows_endpoints,
                   queued_cpu_ms_by_priority);
};

// Guards against hosts of two versions that can't read each other during an
// update.
BOOST_AUTO_TEST_CASE(adverts_without_lateness_can_be_read_and_read_ours) {
    const auto repack = [](const auto& from, auto& to) {
        msgpack::sbuffer packed;
        msgpack::pack(packed, from);
        msgpack::unpack(packed.data(), packed.size()).get().convert(to);
    };
    auto sent = make_full_envelope().about;
    sent.late_ms = 300;
    older_advert older;
    repack(sent, older);
    BOOST_TEST(older.queued_cpu_ms_by_priority.size() == 1U);
    advert read;
    repack(older, read);
    BOOST_TEST(read.queued_cpu_ms_by_priority.size() == 1U);
    BOOST_TEST(read.late_ms == 0U);
    repack(sent, read);
    BOOST_TEST(read.late_ms == 300U);
}

// The fields before crashes of endpoints were reported.
struct older_item : task_assignment::item {
    MSGPACK_DEFINE(run, need, avoid);
};
struct older_payload : payload {
    MSGPACK_DEFINE(catalogue_queries, catalogues, assignments, withdrawals,
                   adoptions, claims, updates, grants);
};

// Guards against hosts of two versions that can't read each other during an
// update.
BOOST_AUTO_TEST_CASE(messages_without_crashes_can_be_read_and_read_ours) {
    const auto repack = [](const auto& from, auto& to) {
        msgpack::sbuffer packed;
        msgpack::pack(packed, from);
        msgpack::unpack(packed.data(), packed.size()).get().convert(to);
    };
    auto content = make_full_envelope().content;
    content.assignments[0].items[0].crashes = 1;
    older_payload older;
    repack(content, older);
    BOOST_TEST(older.grants.size() == 1U);
    BOOST_TEST(older.crashes.empty());
    payload read;
    repack(older, read);
    BOOST_TEST(read.grants.size() == 1U);
    BOOST_TEST(read.crashes.empty());
    BOOST_TEST(read.fences.empty());
    older_item item;
    repack(content.assignments[0].items[0], item);
    BOOST_TEST(item.avoid.size() == 1U);
    BOOST_TEST(item.crashes == 0U);
    task_assignment::item read_item;
    repack(item, read_item);
    BOOST_TEST(read_item.avoid.size() == 1U);
    BOOST_TEST(read_item.crashes == 0U);
    repack(content.assignments[0].items[0], read_item);
    BOOST_TEST(read_item.crashes == 1U);
}

BOOST_AUTO_TEST_CASE(changed_settings_keep_the_process_identity) {
    auto changed = make_settings();
    changed.self.address = "10.1.0.7:1";
    changed.self.incarnation = 5;
    changed.seeds = {"10.1.0.8:1"};
    core.update_settings(now, changed);
    advance(50ms);
    BOOST_TEST(peers.connected.contains("10.1.0.8:1"));
    for (const auto& [address, message] : peers.sent) {
        BOOST_TEST(message.from.incarnation == 99U);
    }
}

// A host that cannot reach the store knows only outdated rows.
BOOST_AUTO_TEST_CASE(probe_refused_as_stale_is_not_repeated) {
    holder_record row{"endpoint-2", "domain-1", {"10.1.0.5:1", 55}, 4, 4};
    core.set_holder(now, row);
    core.set_endpoint(now, make_endpoint("endpoint-2"));
    advance(600ms);
    const auto probe_count = [this] {
        return std::count_if(endpoints.holds.begin(), endpoints.holds.end(),
                             [](const hold_call& call) {
                                 return call.target.endpoint == "endpoint-2";
                             });
    };
    BOOST_REQUIRE(probe_count() > 0);
    const call_target target{"endpoint-2", "10.0.0.1:80", 4};
    core.handle_hold(now, target, {{call_status::stale_token, 500}, 0, {}, {}});
    const auto before = probe_count();
    advance(5s);
    BOOST_TEST(probe_count() == before);
    // Another host has taken the endpoint over meanwhile.
    core.handle_write_result(now, store.writes.back().first,
                             store_status::conflict);
    row.token = 2 * stored_token_stride;
    core.set_holder(now, row);
    advance(1s);
    BOOST_TEST(probe_count() > before);
}

// A host that has just started and has not heard its peers yet.
struct starting_dispatcher : quiet_dispatcher {
    // `age`: time since the sender last heard this host.
    void receive_grant(const endpoint_grant& grant, duration age = 0ms) {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.sequence = 1;
        message.first_sequence = 1;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = (now - age).count();
        message.content.grants = {grant};
        core.handle_envelope(now, message);
    }

    void list_endpoint(const process_id& holder) {
        core.set_catalogue(1, "one");
        core.set_endpoints(now, {make_endpoint("endpoint-1")});
        core.set_holder(now, {"endpoint-1", "domain-1", holder, 4, 5});
        advance(75ms);
        if (!endpoints.holds.empty()) {
            hold_reply reply;
            reply.call = {call_status::ok, 1000};
            core.handle_hold(now, endpoints.holds.back().target, reply);
        }
    }
};

// Guards against a takeover from a holder that reaches the endpoint: with an
// outdated address, another endpoint answers the probes.
BOOST_FIXTURE_TEST_CASE(probe_answered_by_another_endpoint_is_no_contact,
                        starting_dispatcher) {
    core.set_catalogue(1, "one");
    core.set_endpoints(now, {make_endpoint("endpoint-1")});
    core.set_holder(now, {"endpoint-1", "domain-1", {"10.1.0.5:1", 55}, 4, 5});
    std::size_t answered = 0;
    const auto answer_probes = [&](call_status status) {
        for (int i = 0; i < 40; ++i) {
            advance(25ms);
            for (; answered < endpoints.holds.size(); ++answered) {
                hold_reply reply;
                reply.call = {status, 1000};
                core.handle_hold(now, endpoints.holds[answered].target, reply);
            }
        }
    };
    answer_probes(call_status::other_instance);
    BOOST_TEST(answered > 0U);
    BOOST_TEST(store.writes.empty());
    answer_probes(call_status::ok);
    BOOST_TEST(store.writes.size() == 1U);
}

// After a restart of all hosts, the rows of all endpoints name ended processes.
// A host knows that its own former process has ended, so it need not wait.
BOOST_FIXTURE_TEST_CASE(started_host_takes_over_from_its_former_process_at_once,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.9:1", 98});
    BOOST_REQUIRE(store.writes.size() == 1U);
    // Above every token that a grant could have assigned.
    BOOST_TEST(store.writes[0].second[0].token == stored_token_stride);
    BOOST_TEST(store.writes[0].second[0].version == 5U);
}

BOOST_FIXTURE_TEST_CASE(started_host_waits_for_a_holder_it_has_not_heard_yet,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.2:1", 12});
    advance(300ms);
    BOOST_TEST(store.writes.empty());
}

// A restarted host reads rows of endpoints that were removed meanwhile.
BOOST_FIXTURE_TEST_CASE(row_of_a_removed_endpoint_is_not_taken_over,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.9:1", 98});
    core.set_holder(now, {"endpoint-2", "domain-1", {"10.1.0.9:1", 98}, 4, 6});
    advance(2s);
    for (const auto& [request, rows] : store.writes) {
        for (const auto& row : rows) {
            BOOST_TEST(row.endpoint == "endpoint-1");
        }
    }
    for (const auto& call : endpoints.holds) {
        BOOST_TEST(call.target.endpoint == "endpoint-1");
    }
}

BOOST_FIXTURE_TEST_CASE(draining_endpoint_gets_no_work_after_a_restart,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.9:1", 98});
    auto leaving = make_endpoint("endpoint-1");
    leaving.state = endpoint_state::draining;
    core.set_endpoint(now, leaving);
    BOOST_REQUIRE(!store.writes.empty());
    core.handle_write_result(now, store.writes.back().first, store_status::ok);
    hold_reply reply;
    reply.call = {call_status::ok, 1000};
    reply.number = endpoints.holds.back().number;
    core.handle_hold(now, endpoints.holds.back().target, reply);
    core.submit(now, 1, make_job("0123456789abcdef"));
    advance(500ms);
    BOOST_TEST(endpoints.starts.empty());
}

// While the store is unavailable, no host can take the endpoint over through
// it.
BOOST_AUTO_TEST_CASE(draining_holder_grants_endpoints_nobody_takes_over) {
    complete_takeover();
    receive_from_peer();
    core.drain(now);
    advance(400ms);
    receive_from_peer();
    BOOST_TEST(grants().empty());
    BOOST_TEST(!core.is_drained());
    advance(200ms);
    BOOST_REQUIRE_EQUAL(grants().size(), 1U);
    BOOST_TEST(grants()[0].endpoint == "endpoint-1");
    BOOST_TEST(grants()[0].token == stored_token_stride + 1);
    receive_acknowledgement(last_sequence());
    BOOST_TEST(core.is_drained());
    const auto calls = endpoints.holds.size() + endpoints.starts.size();
    core.submit(now, 1, make_job("0123456789abcdef"));
    advance(200ms);
    BOOST_TEST(endpoints.holds.size() + endpoints.starts.size() == calls);
}

// Guards against an endpoint without a holder: the process that granted it
// ended before the grant was delivered.
BOOST_AUTO_TEST_CASE(draining_holder_waits_until_its_grants_are_delivered) {
    complete_takeover();
    receive_from_peer();
    core.drain(now);
    advance(400ms);
    receive_from_peer();
    advance(200ms);
    BOOST_REQUIRE_EQUAL(grants().size(), 1U);
    BOOST_TEST(!core.is_drained());
    receive_acknowledgement(last_sequence());
    BOOST_TEST(core.is_drained());
}

// Guards against an endpoint without a holder: a receiver without a list of
// endpoints does not know the endpoint's address and ignored the grant.
BOOST_AUTO_TEST_CASE(host_that_knows_no_endpoints_is_granted_none) {
    complete_takeover();
    const auto receive = [this] {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.about.knows_endpoints = false;
        core.handle_envelope(now, message);
    };
    receive();
    core.drain(now);
    advance(400ms);
    receive();
    advance(200ms);
    BOOST_TEST(grants().empty());
}

BOOST_AUTO_TEST_CASE(draining_holder_without_a_successor_finishes) {
    complete_takeover();
    core.drain(now);
    advance(2s);
    BOOST_TEST(core.is_drained());
    BOOST_TEST(grants().empty());
}

// The former holder's grant is enough to call the endpoint; the row is written
// later.
BOOST_FIXTURE_TEST_CASE(granted_endpoint_is_held_at_once_and_stored_later,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.2:1", 12});
    receive_grant({"endpoint-1", 5, 5});
    BOOST_REQUIRE(!endpoints.holds.empty());
    BOOST_TEST(endpoints.holds.back().target.token == 5U);
    advance(100ms);
    BOOST_REQUIRE_EQUAL(store.writes.size(), 1U);
    BOOST_TEST(store.writes[0].second[0].token == 5U);
    BOOST_TEST(store.writes[0].second[0].version == 5U);
    core.handle_write_result(now, store.writes[0].first,
                             store_status::unavailable);
    advance(1s);
    BOOST_REQUIRE_EQUAL(store.writes.size(), 2U);
    core.handle_write_result(now, store.writes[1].first, store_status::ok);
    advance(2s);
    BOOST_TEST(store.writes.size() == 2U);
}

// The former holder may not know the current version of its own row.
BOOST_FIXTURE_TEST_CASE(row_of_a_granted_endpoint_is_written_over_the_newest,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.2:1", 12});
    receive_grant({"endpoint-1", 5, 5});
    advance(100ms);
    BOOST_REQUIRE(!store.writes.empty());
    core.handle_write_result(now, store.writes[0].first,
                             store_status::conflict);
    core.set_holder(now, {"endpoint-1", "domain-1", {"10.1.0.2:1", 12}, 4, 9});
    advance(1s);
    BOOST_REQUIRE(store.writes.size() >= 2U);
    BOOST_TEST(store.writes.back().second[0].version == 9U);
    BOOST_TEST(store.writes.back().second[0].token == 5U);
}

// All hosts ended right after a grant, so the endpoint knows a token that is in
// no row.
BOOST_FIXTURE_TEST_CASE(endpoint_granted_to_a_process_that_ended_is_taken_over,
                        starting_dispatcher) {
    core.set_catalogue(1, "one");
    core.set_endpoints(now, {make_endpoint("endpoint-1")});
    core.set_holder(now, {"endpoint-1", "domain-1", {"10.1.0.9:1", 98}, 4, 5});
    advance(75ms);
    BOOST_REQUIRE(!endpoints.holds.empty());
    hold_reply refusal;
    refusal.call = {call_status::stale_token, 1000};
    core.handle_hold(now, endpoints.holds.back().target, refusal);
    advance(1s);
    BOOST_TEST(store.writes.empty()); // a newer row may be read
    BOOST_TEST(endpoints.holds.size() == 1U);
    advance(1s);
    BOOST_REQUIRE_EQUAL(store.writes.size(), 1U);
    BOOST_TEST(store.writes[0].second[0].token == stored_token_stride);
}

BOOST_FIXTURE_TEST_CASE(grant_that_was_held_up_is_ignored,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.2:1", 12});
    receive_grant({"endpoint-1", 5, 5}, 1s);
    advance(100ms);
    BOOST_TEST(endpoints.holds.empty());
}

BOOST_FIXTURE_TEST_CASE(grant_older_than_the_known_row_is_ignored,
                        starting_dispatcher) {
    list_endpoint({"10.1.0.2:1", 12});
    receive_grant({"endpoint-1", 4, 5});
    advance(100ms);
    BOOST_TEST(endpoints.holds.empty());
    BOOST_TEST(store.writes.empty());
}

// A coordinator in another domain with one long-running task on this host.
struct long_run_fixture : holding_dispatcher {
    void receive(const payload& content = {}) {
        receive_from_peer("domain-2", content, last_sequence());
    }
    void begin_run() {
        complete_takeover();
        receive();
        task_assignment work;
        work.job = "0123456789abcdef";
        work.pool = "pool";
        work.objective_us = 20'000'000;
        work.patience_us = 20'000'000;
        task_need need;
        need.room = {6000, 64, 0};
        need.estimate_ms = 9000;
        work.items = {{{{work.job, 0, 0}, 1}, need, {}}};
        payload content;
        content.assignments = {work};
        receive(content);
        BOOST_REQUIRE_EQUAL(endpoints.starts.size(), 1U);
        answer_start(0);
    }
    // One tick. The endpoint answers each new hold call 100 ms later.
    void step() {
        now += 25ms;
        core.tick(now);
        const auto call = endpoints.holds.back();
        if (call.number != answered &&
            call.target.token == stored_token_stride) {
            answered = call.number;
            now += 100ms;
            hold_reply reply;
            reply.number = call.number;
            reply.call = {call_status::ok, to_ms(now) + 500};
            reply.instance_started_ms = 1000;
            reply.running = {{endpoints.starts[0].run, 10}};
            core.handle_hold(now, call.target, reply);
        }
    }
    std::uint64_t answered = 0;
};

// Guards against duplicate runs: shared work expired 5 s after the last
// payload, so the run of a coordinator that was cut off went on.
BOOST_FIXTURE_TEST_CASE(long_run_of_a_silent_coordinator_is_stopped,
                        long_run_fixture) {
    begin_run();
    for (const auto begun = now; now - begun < 5500ms;) {
        step();
        receive();
    }
    BOOST_TEST(endpoints.stops.empty());
    for (const auto cut = now; now - cut < 1s;) {
        step();
    }
    BOOST_TEST(endpoints.stops.size() == 1U);
}

// A coordinator and the holder of endpoint-1, connected by a link.
struct two_hosts_fixture {
    two_hosts_fixture() {
        for (auto* host : {&coordinator, &holder}) {
            host->core.set_catalogue(1, "one");
        }
        coordinator.core.add_member(now, "10.1.0.2:1");
        holder.core.add_member(now, "10.1.0.9:1");
        run_for(500ms);
        for (auto* host : {&coordinator, &holder}) {
            host->core.set_endpoints(
                now, {quiet_dispatcher::make_endpoint(endpoint)});
            host->core.set_holder(
                now, {endpoint, "domain-1", {"10.1.0.2:1", 12}, 4, 5});
        }
        run_for(500ms);
    }

    static dispatch_settings holder_settings() {
        auto settings = quiet_dispatcher::make_settings();
        settings.self = {"10.1.0.2:1", 12};
        return settings;
    }

    void deliver(quiet_dispatcher& from, quiet_dispatcher& to, bool cut) {
        for (const auto& [address, message] :
             std::exchange(from.peers.sent, {})) {
            for (const auto& assignment : message.content.assignments) {
                for (const auto& item : assignment.items) {
                    highest_run = std::max(highest_run, item.run.run);
                }
            }
            for (const auto& fence : message.content.fences) {
                fences[message.from.address].push_back(fence);
            }
            if (!cut) {
                to.core.handle_envelope(now, message);
            }
        }
    }

    // The endpoint answers the calls of the holder at once, or never.
    void answer_holder() {
        if (endpoint_silent) {
            return;
        }
        for (const auto& call : std::exchange(holder.endpoints.starts, {})) {
            started.push_back(call.run);
            running.push_back({call.run, 10});
            holder.core.handle_start(now, call.target, call.run,
                                     {call_status::ok, to_ms(now)});
        }
        for (const auto& call : std::exchange(holder.endpoints.stops, {})) {
            std::erase_if(running, [&call](const running_entry& entry) {
                return entry.run == call.run;
            });
            holder.core.handle_stop(now, call.target, call.run,
                                    {call_status::ok, to_ms(now)});
        }
        for (const auto& call : std::exchange(holder.endpoints.holds, {})) {
            hold_reply reply;
            reply.number = call.number;
            reply.call = {call_status::ok, to_ms(now)};
            reply.instance_started_ms = 1000;
            reply.running = running;
            holder.core.handle_hold(now, call.target, reply);
        }
    }

    void run_for(duration time, bool cut = false) {
        for (const auto end = now + time; now < end;) {
            now += 25ms;
            coordinator.core.tick(now);
            holder.core.tick(now);
            answer_holder();
            deliver(coordinator, holder, cut);
            deliver(holder, coordinator, cut);
            answer_holder();
        }
    }

    [[nodiscard]] std::size_t starts_of(const std::string& job) const {
        return static_cast<std::size_t>(std::count_if(
            started.begin(), started.end(),
            [&job](const task_run& run) { return run.task.job == job; }));
    }

    std::string endpoint = "endpoint-1";
    quiet_dispatcher coordinator;
    quiet_dispatcher holder{holder_settings()};
    timestamp now{100s};
    std::vector<task_run> started;
    std::vector<running_entry> running;
    std::uint32_t highest_run = 0; // of the assignments sent
    bool endpoint_silent = false;
    std::map<std::string, std::vector<endpoint_fence>> fences; // by sender
};

// Guards against jobs that are accepted and never start: after a partition in
// which the coordinator forgot the holder, the holder ignored its assignments
// and acknowledged them.
BOOST_FIXTURE_TEST_CASE(job_starts_at_a_holder_that_was_forgotten_in_a_cut,
                        two_hosts_fixture) {
    for (const auto* job : {"0123456789abcde0", "0123456789abcde1"}) {
        coordinator.core.submit(now, 1, quiet_dispatcher::make_job(job));
        run_for(100ms);
        BOOST_REQUIRE_EQUAL(starts_of(job), 1U);
    }
    run_for(4s, true);
    coordinator.core.remove_member("10.1.0.2:1");
    run_for(100ms, true);
    coordinator.core.add_member(now, "10.1.0.2:1");
    run_for(1s);
    coordinator.core.submit(now, 2,
                            quiet_dispatcher::make_job("0123456789abcdef"));
    run_for(100ms);
    BOOST_TEST(starts_of("0123456789abcdef") == 1U);
}

// Guards against two runs of a task at the same time: a coordinator that was
// removed after `suspect_after`, but before `abandon_after`, was never given
// up, so its run went on here while it placed the task again.
BOOST_FIXTURE_TEST_CASE(run_of_a_removed_coordinator_is_stopped,
                        two_hosts_fixture) {
    auto job = quiet_dispatcher::make_job("0123456789abcdef");
    job.caller_timeout = 20s;
    coordinator.core.submit(now, 1, job);
    run_for(100ms);
    BOOST_REQUIRE_EQUAL(running.size(), 1U);
    run_for(575ms, true);
    BOOST_REQUIRE_EQUAL(running.size(), 1U);
    holder.core.remove_member("10.1.0.9:1");
    run_for(1s, true);
    BOOST_TEST(running.empty());
}

// Guards against two runs of a task at the same time: a peer that was removed
// is heard again, and gets a task before this host notices the gap in its
// payloads.
BOOST_FIXTURE_TEST_CASE(task_placed_before_a_gap_is_noticed_is_not_given_up,
                        two_hosts_fixture) {
    coordinator.core.submit(now, 1,
                            quiet_dispatcher::make_job("0123456789abcde0"));
    run_for(100ms);
    for (int i = 0; i < 20; ++i) {
        now += 25ms;
        coordinator.core.tick(now);
        holder.core.tick(now);
        answer_holder();
        deliver(coordinator, holder, false);
        deliver(holder, coordinator, true);
    }
    coordinator.core.remove_member("10.1.0.2:1");
    coordinator.peers.sent.clear();
    now += 150ms;
    holder.core.tick(now);
    deliver(holder, coordinator, false);
    auto job = quiet_dispatcher::make_job("0123456789abcdef");
    job.caller_timeout = 20s;
    coordinator.core.submit(now, 2, job);
    run_for(3s);
    BOOST_TEST(starts_of("0123456789abcdef") == 1U);
    BOOST_TEST(highest_run == 1U);
}

// Guards against a job that waits until its caller gives up: the assignment was
// lost together with the state of its holder, which was then heard again.
BOOST_FIXTURE_TEST_CASE(task_assigned_to_a_host_removed_since_is_placed_again,
                        two_hosts_fixture) {
    auto job = quiet_dispatcher::make_job("0123456789abcdef");
    job.caller_timeout = 20s;
    coordinator.core.submit(now, 1, job);
    run_for(575ms, true);
    coordinator.core.remove_member("10.1.0.2:1");
    coordinator.core.add_member(now, "10.1.0.2:1");
    run_for(1500ms);
    BOOST_TEST(started.empty()); // the first run might still start
    run_for(1500ms);
    BOOST_REQUIRE_EQUAL(started.size(), 1U);
    BOOST_TEST(started[0].run == 2U);
}

// The holder of the task of an open job is killed. It has sent the start, which
// got no answer; the coordinator doesn't know that. No other host is there.
struct killed_holder_fixture : two_hosts_fixture {
    killed_holder_fixture() {
        coordinator.core.set_endpoints(
            now, {quiet_dispatcher::make_endpoint(endpoint)});
        coordinator.core.set_holder(
            now, {endpoint, "domain-1", {"10.1.0.2:1", 12}, 4, 5});
        endpoint_silent = true;
        auto job = quiet_dispatcher::make_job("0123456789abcdef");
        job.caller_timeout = 60s;
        coordinator.core.submit(now, 1, job);
        run_for(50ms);
        BOOST_REQUIRE_EQUAL(holder.endpoints.starts.size(), 1U);
    }

    // The holder is gone.
    void run_coordinator_for(duration time) {
        for (const auto end = now + time; now < end;) {
            now += 25ms;
            coordinator.core.tick(now);
        }
    }

    // Another host is heard, with this content.
    void receive_from_third_host(const payload& content) {
        envelope message;
        message.from = {"10.1.0.3:1", 13};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = now.count();
        message.sequence = 1;
        message.content = content;
        coordinator.core.handle_envelope(now, message);
    }

    [[nodiscard]] std::size_t placed_again() {
        return coordinator.observer.lines["task_placed_again"].size();
    }
};

// Guards against two runs of a task at the same time: the next instance of the
// endpoint carries the start out after the bound, unless it has answered a
// successor of the holder.
BOOST_FIXTURE_TEST_CASE(silent_endpoint_of_a_killed_holder_holds_its_task,
                        killed_holder_fixture) {
    run_coordinator_for(8s);
    BOOST_TEST(placed_again() == 0U);
    BOOST_TEST(coordinator.observer.lines["task_awaits_endpoints"].size() ==
               1U);
    payload content;
    content.adoptions = {{endpoint, {"10.1.0.2:1", 12}, 8, {}, {}}};
    receive_from_third_host(content);
    run_coordinator_for(50ms);
    BOOST_TEST(placed_again() == 1U);
}

// Guards against a second run beside one that a successor has found: the
// successor names another former holder, since an earlier adoption was missed,
// so the run is not claimed and goes on until it is stopped.
BOOST_FIXTURE_TEST_CASE(run_listed_for_another_former_holder_is_waited_for,
                        killed_holder_fixture) {
    run_coordinator_for(3s);
    payload content;
    content.adoptions = {{endpoint,
                          {"10.1.0.4:1", 14},
                          8,
                          {{{"0123456789abcdef", 0, 0}, 1}},
                          {}}};
    receive_from_third_host(content);
    run_coordinator_for(1s);
    BOOST_TEST(placed_again() == 0U);
    run_coordinator_for(300ms);
    BOOST_TEST(placed_again() == 1U);
}

// Guards against tasks that wait for an endpoint that is no more.
BOOST_FIXTURE_TEST_CASE(task_of_a_killed_holder_waits_for_no_gone_endpoint,
                        killed_holder_fixture) {
    run_coordinator_for(5s);
    coordinator.core.remove_endpoint(now, endpoint);
    run_coordinator_for(14s);
    BOOST_TEST(placed_again() == 0U);
    run_coordinator_for(2s);
    BOOST_TEST(placed_again() == 1U);
}

// Guards against two runs of a task at the same time: an endpoint that was
// unlisted and is listed again is held under the same row as before.
BOOST_FIXTURE_TEST_CASE(endpoint_listed_again_may_still_start_late,
                        killed_holder_fixture) {
    holder.core.remove_endpoint(now, endpoint);
    coordinator.core.remove_endpoint(now, endpoint);
    run_for(16s);
    for (auto* host : {&coordinator, &holder}) {
        host->core.set_endpoints(now,
                                 {quiet_dispatcher::make_endpoint(endpoint)});
    }
    auto job = quiet_dispatcher::make_job("0123456789abcde0");
    job.caller_timeout = 60s;
    endpoint_silent = false;
    run_for(1s);
    endpoint_silent = true;
    coordinator.core.submit(now, 2, job);
    run_for(50ms);
    BOOST_REQUIRE_EQUAL(holder.endpoints.starts.size(), 1U);
    run_coordinator_for(5s);
    for (auto& line : coordinator.observer.lines["task_placed_again"]) {
        BOOST_TEST(line["job"] != "0123456789abcde0");
    }
}

// Guards against tasks that wait until their caller's deadline: adoptions that
// were announced during a cut are not heard.
BOOST_FIXTURE_TEST_CASE(fence_told_after_a_cut_releases_a_lost_holders_task,
                        killed_holder_fixture) {
    run_coordinator_for(3s);
    payload content;
    content.fences = {{endpoint, 8}, {"unknown-endpoint", 9}, {endpoint, 3}};
    receive_from_third_host(content);
    // A run that the unheard adoption listed may not be over.
    run_coordinator_for(1100ms);
    BOOST_TEST(placed_again() == 0U);
    run_coordinator_for(200ms);
    BOOST_TEST(placed_again() == 1U);
}

// Guards against tasks of a lost holder that wait although its endpoints have
// answered a successor, which was cut off when it announced that.
BOOST_FIXTURE_TEST_CASE(host_in_contact_again_tells_of_its_answered_takeovers,
                        two_hosts_fixture) {
    run_for(1s, true);
    holder.core.set_endpoints(now,
                              {quiet_dispatcher::make_endpoint("endpoint-9")});
    holder.core.set_holder(
        now, {"endpoint-9", "domain-1", {"10.1.0.2:1", 12}, 4, 6});
    run_for(1s, true);
    fences.clear();
    run_for(1s);
    // The adoption of the other endpoint was heard.
    BOOST_REQUIRE_EQUAL(fences["10.1.0.2:1"].size(), 1U);
    BOOST_TEST(fences["10.1.0.2:1"][0].endpoint == "endpoint-9");
    BOOST_TEST(fences["10.1.0.2:1"][0].token == 4U);
    BOOST_TEST(fences["10.1.0.9:1"].empty());
}

// Guards against the same after payloads were dropped, the fences with them.
BOOST_FIXTURE_TEST_CASE(dropped_payloads_are_followed_by_the_fences_again,
                        two_hosts_fixture) {
    coordinator.core.remove_member("10.1.0.2:1");
    run_for(575ms, true);
    coordinator.core.remove_member("10.1.0.2:1");
    coordinator.core.add_member(now, "10.1.0.2:1");
    fences.clear();
    run_for(1s);
    BOOST_REQUIRE(!fences["10.1.0.2:1"].empty());
    BOOST_TEST(fences["10.1.0.2:1"].back().token == 4U);
}

// Guards against tasks that wait for a silent endpoint although their holder is
// there and tells which of its starts may still be carried out.
BOOST_FIXTURE_TEST_CASE(holder_in_contact_again_is_believed,
                        killed_holder_fixture) {
    run_for(575ms, true);
    coordinator.core.remove_member("10.1.0.2:1");
    coordinator.core.add_member(now, "10.1.0.2:1");
    run_for(1500ms);
    BOOST_TEST(placed_again() == 0U);
    run_for(1500ms);
    BOOST_TEST(placed_again() == 1U);
}

// Guards against a job that waits until its caller gives up: a process that
// stood still withdraws its jobs, and the withdrawal removed the task of the
// same job that came again in the same input.
BOOST_AUTO_TEST_CASE(job_that_comes_again_right_after_a_pause_is_started) {
    complete_takeover();
    core.submit(now, 1, make_job("0123456789abcde0", 2)); // fills the endpoint
    answer_start(0);
    answer_start(1);
    const auto job = make_job("0123456789abcdef");
    core.submit(now, 2, job); // queued
    const auto before = endpoints.starts.size();
    now += 1400ms;
    core.submit(now, 3, job);
    answer_hold(); // to the poll sent before the pause
    answer_hold();
    advance(100ms);
    const auto starts = std::count_if(
        endpoints.starts.begin() + static_cast<std::ptrdiff_t>(before),
        endpoints.starts.end(), [](const start_call& call) {
            return call.run.task.job == "0123456789abcdef";
        });
    BOOST_TEST(starts == 1);
}

// Guards against a run that nobody needs: a job may end in the input in which
// one of its runs is claimed, and the withdrawal came before the claim.
BOOST_AUTO_TEST_CASE(claimed_run_of_a_job_withdrawn_with_it_is_stopped) {
    BOOST_REQUIRE(store.writes.size() == 1U);
    core.handle_write_result(now, store.writes.back().first, store_status::ok);
    receive_from_peer();
    const task_run run{{"0123456789abcdef", 0, 0}, 1};
    answer_hold({run});
    task_need need;
    need.room = {6000, 64, 0};
    payload content;
    content.withdrawals = {{run.task.job}};
    content.claims = {{"endpoint-1", {{run, need}}}};
    receive_from_peer("domain-1", content);
    BOOST_TEST(endpoints.stops.size() == 1U);
}

// Guards against an earlier holder that comes back: the reply to its write may
// arrive after the row of the next holder.
BOOST_AUTO_TEST_CASE(late_reply_to_a_takeover_does_not_undo_a_later_one) {
    BOOST_REQUIRE(store.writes.size() == 1U);
    auto row = store.writes.back().second.front();
    row.holder = {"10.1.0.5:1", 55};
    row.token = 2 * stored_token_stride;
    row.version = 9;
    core.set_holder(now, row);
    core.handle_write_result(now, store.writes.back().first, store_status::ok);
    advance(700ms); // the holder is lost, so its endpoint is probed
    BOOST_REQUIRE(!endpoints.holds.empty());
    for (const auto& call : endpoints.holds) {
        BOOST_TEST(call.target.token == row.token); // probes only
        BOOST_TEST(!call.lease_deadline_ms.has_value());
    }
}

// Guards against one token in two hands: a host that has granted an endpoint
// away reads its own row again, which is the stored one until the receiver
// writes its own.
BOOST_AUTO_TEST_CASE(granted_endpoint_is_not_granted_again_after_its_old_row) {
    complete_takeover();
    receive_from_peer();
    core.drain(now);
    advance(400ms);
    receive_from_peer();
    advance(200ms);
    BOOST_REQUIRE_EQUAL(grants().size(), 1U);
    const auto calls = endpoints.holds.size();
    store_row();
    receive_from_peer();
    advance(200ms);
    BOOST_TEST(grants().size() == 1U);
    BOOST_TEST(endpoints.holds.size() == calls);
}

// Guards against an endpoint that is given up to a former holder: its adoption
// may have been held up by a cut.
BOOST_AUTO_TEST_CASE(held_up_adoption_of_a_former_holder_releases_nothing) {
    complete_takeover();
    payload content;
    content.adoptions = {{"endpoint-1", {"10.1.0.5:1", 55}, 4, {}, {}}};
    receive_from_peer("domain-1", content);
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against an input that is handled within another: the store answers a
// call at once when the budget of calls is used up.
BOOST_FIXTURE_TEST_CASE(store_that_refuses_at_once_is_asked_again,
                        quiet_dispatcher) {
    bool has_budget = false;
    store.on_write = [&](std::uint64_t request) {
        if (!has_budget) {
            core.handle_write_result(now, request, store_status::unavailable);
        }
    };
    core.set_catalogue(1, "one");
    core.set_endpoints(now, {make_endpoint("endpoint-1")});
    core.set_endpoint(now, make_endpoint("endpoint-2"));
    advance(800ms);
    BOOST_TEST(store.writes.size() > 1U);
    BOOST_TEST(endpoints.holds.empty());
    has_budget = true;
    advance(100ms);
    core.handle_write_result(now, store.writes.back().first, store_status::ok);
    BOOST_TEST(endpoints.holds.size() == 2U);
}

// Guards against a task that starts for a job that has been answered: its
// assignment and the withdrawal of its job may be sent in one payload.
BOOST_AUTO_TEST_CASE(assignment_withdrawn_in_the_same_input_is_not_sent) {
    const auto receive = [this](std::uint64_t sequence,
                                const payload& content) {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = now.count();
        message.about = {1, false,  0.25,   1,  16'000, 0,
                         0, 16'000, 32'768, {}, true,   {}};
        message.about.free_cpu = {16'000};
        message.sequence = sequence;
        message.content = content;
        core.handle_envelope(now, message);
    };
    receive(0, {});
    auto job = make_job("0123456789abcdef", 2);
    job.queue.attempts = 1;
    core.submit(now, 1, job);
    BOOST_REQUIRE(!peers.sent.back().second.content.assignments.empty());
    payload ends;
    ends.updates = {
        {{{job.work.id, 0, 0}, 1}, update_kind::returned, {}, 0},
        {{{job.work.id, 0, 1}, 1}, update_kind::failed, "endpoint-2", 4}};
    receive(1, ends);
    BOOST_REQUIRE_EQUAL(callers.answers.size(), 1U);
    const auto& sent = peers.sent.back().second.content;
    BOOST_TEST(sent.withdrawals.size() == 1U);
    BOOST_TEST(sent.assignments.empty());
}

// A host that holds two endpoints, each with room for one task. A task of a
// peer runs on one of them.
struct holder_of_a_peers_task : quiet_dispatcher {
    holder_of_a_peers_task() {
        std::vector<endpoint_record> listed;
        for (const auto* id : {"endpoint-1", "endpoint-2"}) {
            listed.push_back(make_endpoint(id));
            listed.back().capacity = {8'000, 32'768, 0};
        }
        core.set_catalogue(1, "one");
        core.set_endpoints(now, listed);
        advance(600ms);
        for (const auto& [request, rows] : std::exchange(store.writes, {})) {
            core.handle_write_result(now, request, store_status::ok);
        }
        for (const auto& call : std::exchange(endpoints.holds, {})) {
            hold_reply reply;
            reply.number = call.number;
            reply.call = {call_status::ok, to_ms(now) + 500};
            reply.instance_started_ms = 1000;
            core.handle_hold(now, call.target, reply);
        }
        hear(peer);
        assigned_at = now;
        hear(peer, 1);
        BOOST_REQUIRE(endpoints.starts.size() == 1U);
        core.handle_start(now, endpoints.starts[0].target,
                          endpoints.starts[0].run,
                          {call_status::ok, to_ms(now) + 500});
    }

    // Delivers an envelope of a host that has just heard this one. A sequence
    // above 0 carries the assignment of the task's first run.
    void hear(const process_id& from, std::uint64_t sequence = 0) {
        envelope message;
        message.from = from;
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = assigned_at.count();
        message.sequence = sequence;
        if (sequence > 0) {
            message.content.assignments = {{"0123456789abcdef",
                                            "payload",
                                            "pool",
                                            1,
                                            200'000,
                                            1'500'000,
                                            {{{{"0123456789abcdef", 0, 0}, 1},
                                              {{6000, 64, 0}, 60, {}, {}},
                                              {}}},
                                            "queue-1"}};
        }
        core.handle_envelope(now, message);
    }

    process_id peer{"10.1.0.2:1", 12};
    timestamp assigned_at{0};
};

// Guards against two runs at a time by one host, on two of its endpoints: the
// sender of the assignment fell silent and its row was removed, so its payload
// was handled again. The envelopes are those of a version without streams.
BOOST_FIXTURE_TEST_CASE(
    assignment_handled_again_after_its_sender_was_forgotten_starts_nothing,
    holder_of_a_peers_task) {
    advance(500ms);
    core.remove_member(peer.address);
    hear(peer, 1);
    advance(25ms);
    hear(peer, 1);
    advance(100ms);
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against the same if the job comes again through another host while the
// first run goes on.
BOOST_FIXTURE_TEST_CASE(
    job_that_comes_through_another_host_starts_no_second_run,
    holder_of_a_peers_task) {
    const process_id other{"10.1.0.3:1", 13};
    advance(100ms);
    assigned_at = now;
    hear(other);
    hear(other, 1);
    advance(100ms);
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Reports of a peer that lost two endpoints under the task of a job of this
// host.
struct crash_report_fixture : holding_dispatcher {
    crash_report_fixture() {
        complete_takeover();
        auto job = make_job("0123456789abcdef");
        job.caller_timeout = 20s;
        core.submit(now, 1, job);
    }

    static crash_report report(const std::string& endpoint,
                               crash_evidence evidence) {
        return {
            {{"0123456789abcdef", 0, 0}, 1}, "queue", endpoint, 1000, evidence};
    }
};

// Guards against tasks that crash endpoint after endpoint since the report of
// another host's holder doesn't reach the job's coordinator.
BOOST_FIXTURE_TEST_CASE(crashes_reported_by_a_peer_end_the_job,
                        crash_report_fixture) {
    payload content;
    content.crashes = {report("endpoint-2", crash_evidence::ended),
                       report("endpoint-3", crash_evidence::ended)};
    receive_from_peer("domain-1", content);
    advance(25ms);
    BOOST_REQUIRE_EQUAL(callers.answers.size(), 1U);
    const auto& answer = callers.answers[0].second;
    BOOST_TEST((answer.outcome == job_outcome::failed));
    BOOST_TEST(answer.reason ==
               "task 0.0 crashed endpoints endpoint-2, endpoint-3");
    BOOST_REQUIRE_EQUAL(observer.lines["job_failed"].size(), 1U);
    BOOST_TEST(observer.lines["job_failed"][0]["reason"] == answer.reason);
}

// Guards against a count that is lost with the holder that reported the
// crashes.
BOOST_FIXTURE_TEST_CASE(crashes_suspected_by_a_lost_holder_count,
                        crash_report_fixture) {
    payload content;
    content.crashes = {report("endpoint-2", crash_evidence::refusing),
                       report("endpoint-3", crash_evidence::refusing)};
    receive_from_peer("domain-1", content);
    advance(3s);
    BOOST_TEST(observer.lines["peer_lost"].size() == 1U);
    BOOST_TEST(callers.answers.empty());
    auto later = make_endpoint("endpoint-2");
    later.instance_started_ms = 2000;
    core.set_endpoints(now, {later});
    core.remove_endpoint(now, "endpoint-3");
    advance(25ms);
    BOOST_REQUIRE_EQUAL(callers.answers.size(), 1U);
    BOOST_TEST((callers.answers[0].second.outcome == job_outcome::failed));
    // The count outlives the job, too.
    core.submit(now, 2, make_job("0123456789abcdef"));
    BOOST_REQUIRE_EQUAL(callers.answers.size(), 2U);
    BOOST_TEST((callers.answers[1].second.outcome == job_outcome::failed));
}

// Guards against duplicate runs: a host that was cut off when a doubt was told
// gets the job again.
BOOST_AUTO_TEST_CASE(open_doubt_is_told_again_when_a_peer_comes_into_contact) {
    complete_takeover();
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_REQUIRE(endpoints.starts.size() == 1U);
    const auto call = endpoints.starts.back();
    advance(150ms);
    core.handle_start(now, call.target, call.run, {});
    advance(150ms);
    peers.sent.clear();
    receive_from_peer();
    advance(25ms);
    std::vector<start_doubt> told;
    for (const auto& [address, message] : peers.sent) {
        if (!message.content.doubts.empty()) {
            told = message.content.doubts;
        }
    }
    BOOST_REQUIRE_EQUAL(told.size(), 2U);
    BOOST_TEST(told[0].over); // of all that was told before
    BOOST_TEST(told[0].run.task.job.empty());
    BOOST_TEST(!told[1].over);
    BOOST_TEST((told[1].run == call.run));
    BOOST_TEST(told[1].endpoint == "endpoint-1");
}

// Guards against hosts that spend their processor time on messages: each end of
// a doubt was a message of its own to each peer.
BOOST_AUTO_TEST_CASE(ends_of_doubts_are_told_together) {
    complete_takeover();
    receive_from_peer();
    core.submit(now, 1, make_job("0123456789abcdef"));
    core.submit(now, 2, make_job("0123456789abcdee"));
    BOOST_REQUIRE(endpoints.starts.size() == 2U);
    const auto starts = endpoints.starts;
    advance(150ms);
    receive_from_peer();
    for (const auto& call : starts) {
        core.handle_start(now, call.target, call.run, {});
    }
    advance(150ms);
    receive_from_peer();
    peers.sent.clear();
    // The answered stops and the list after them end the doubts.
    for (const auto& call : starts) {
        core.handle_stop(now, call.target, call.run,
                         {call_status::ok, to_ms(now) + 500});
    }
    advance(25ms);
    answer_hold();
    std::vector<std::size_t> ends; // of each message
    const auto count_ends = [&] {
        for (const auto& [address, message] : std::exchange(peers.sent, {})) {
            const auto& doubts = message.content.doubts;
            const auto over = static_cast<std::size_t>(std::count_if(
                doubts.begin(), doubts.end(),
                [](const start_doubt& doubt) { return doubt.over; }));
            if (over > 0) {
                ends.push_back(over);
            }
        }
    };
    count_ends();
    BOOST_TEST(ends.empty());
    receive_from_peer();
    advance(125ms);
    count_ends();
    BOOST_REQUIRE_EQUAL(ends.size(), 1U);
    BOOST_TEST(ends[0] == 2U);
}

// Guards against duplicate runs: the caller sends the job again to a host that
// was told of an unanswered start of it.
BOOST_AUTO_TEST_CASE(job_that_a_peer_has_told_a_doubt_of_is_not_started) {
    complete_takeover();
    payload content;
    content.doubts.push_back({{{"0123456789abcdef", 0, 0}, 1},
                              {"10.1.0.2:1", 12},
                              "endpoint-7",
                              1000,
                              false,
                              false,
                              {},
                              {}});
    receive_from_peer("domain-1", content);
    core.submit(now, 1, make_job("0123456789abcdef", 2));
    advance(100ms);
    BOOST_REQUIRE(endpoints.starts.size() == 1U);
    BOOST_TEST(endpoints.starts.back().run.task.index == 1U);
}

// Guards against an endpoint that two hosts use: its former holder could
// neither hear the adoption nor read the row, and hears the successor again.
BOOST_AUTO_TEST_CASE(former_holder_releases_an_endpoint_on_a_fence) {
    complete_takeover();
    const auto token = endpoints.holds.back().target.token;
    BOOST_TEST(core.gauges(now)["endpoints_held"].get<int>() == 1);
    payload content;
    content.fences = {{"endpoint-1", token + 1000}};
    receive_from_peer("domain-1", content);
    BOOST_TEST(core.gauges(now)["endpoints_held"].get<int>() == 0);
}

// A host with two peers of its failure domain: `asker` and `teller`.
struct three_hosts : holding_dispatcher {
    // Delivers an envelope of a peer that hears this host.
    void hear(const process_id& from, const payload& content = {}) {
        envelope message;
        message.from = from;
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = now.count();
        message.ack = last_sequence();
        message.sequence = content.empty() ? 0 : ++sequences[from];
        message.content = content;
        core.handle_envelope(now, message);
    }

    // Advances the clock while this host hears these peers.
    void advance_hearing(duration time, const std::vector<process_id>& heard) {
        for (const auto end = now + time; now < end;) {
            for (const auto& peer : heard) {
                hear(peer);
            }
            advance(25ms);
        }
    }

    void request(const std::vector<process_id>& unheard) {
        payload content;
        content.relay_requests = {{unheard}};
        hear(asker, content);
        advance(25ms);
    }

    void tell(const start_doubt& doubt) {
        payload content;
        content.doubts = {doubt};
        hear(teller, content);
        advance(25ms);
    }

    // What `asker` passes on of `teller`.
    void hear_relayed(const std::vector<start_doubt>& doubts,
                      const std::vector<endpoint_fence>& fences = {}) {
        payload content;
        content.relayed = {{teller, doubts, fences}};
        hear(asker, content);
        advance(25ms);
    }

    [[nodiscard]] start_doubt make_doubt(bool over = false) const {
        return {{{"0123456789abcdef", 0, 0}, 1},
                teller,
                "endpoint-7",
                1000,
                over,
                false,
                {},
                {}};
    }

    // The payloads sent to the peer, without resent ones.
    [[nodiscard]] std::vector<payload> sent_to(const process_id& peer) const {
        std::map<std::uint64_t, payload> sent;
        for (const auto& [address, message] : peers.sent) {
            if (address == peer.address && message.sequence > 0) {
                sent[message.sequence] = message.content;
            }
        }
        std::vector<payload> all;
        for (auto& [sequence, content] : sent) {
            all.push_back(std::move(content));
        }
        return all;
    }

    [[nodiscard]] std::vector<relay_request>
    requests_to(const process_id& peer) const {
        std::vector<relay_request> all;
        for (const auto& content : sent_to(peer)) {
            all.insert(all.end(), content.relay_requests.begin(),
                       content.relay_requests.end());
        }
        return all;
    }

    [[nodiscard]] std::vector<relayed_report>
    relayed_to(const process_id& peer) const {
        std::vector<relayed_report> all;
        for (const auto& content : sent_to(peer)) {
            all.insert(all.end(), content.relayed.begin(),
                       content.relayed.end());
        }
        return all;
    }

    // Whether the task of the doubt is started when its job comes again.
    bool starts_job() {
        core.submit(now, 1, make_job("0123456789abcdef"));
        advance(25ms);
        return !endpoints.starts.empty();
    }

    process_id asker{"10.1.0.2:1", 12};
    process_id teller{"10.1.0.3:1", 13};
    std::map<process_id, std::uint64_t> sequences;
};

// Guards against messages that are sent although all hosts hear each other, and
// against periodic ones about a process that has ended.
BOOST_FIXTURE_TEST_CASE(peers_are_asked_once_about_a_silent_one, three_hosts) {
    advance_hearing(3s, {asker, teller});
    BOOST_TEST(requests_to(asker).empty());
    BOOST_TEST(requests_to(teller).empty());
    advance_hearing(10s, {asker});
    BOOST_REQUIRE_EQUAL(requests_to(asker).size(), 1U);
    BOOST_TEST((requests_to(asker)[0].unheard == std::vector{teller}));
    BOOST_REQUIRE_EQUAL(observer.lines["peer_asked_about"].size(), 1U);
    BOOST_TEST(observer.lines["peer_asked_about"][0]["peers"] ==
               teller.address);
    advance_hearing(1s, {asker, teller});
    BOOST_REQUIRE_EQUAL(requests_to(asker).size(), 2U);
    BOOST_TEST(requests_to(asker)[1].unheard.empty());
    BOOST_TEST(requests_to(teller).empty());
}

// Guards against duplicate runs: the request came after the doubt was told.
BOOST_FIXTURE_TEST_CASE(open_doubts_are_told_to_a_host_that_asks, three_hosts) {
    advance_hearing(100ms, {asker, teller});
    tell(make_doubt());
    BOOST_TEST(relayed_to(asker).empty());
    request({teller});
    BOOST_REQUIRE_EQUAL(relayed_to(asker).size(), 1U);
    BOOST_TEST((relayed_to(asker)[0].origin == teller));
    BOOST_REQUIRE_EQUAL(relayed_to(asker)[0].doubts.size(), 1U);
    BOOST_TEST(relayed_to(asker)[0].doubts[0].endpoint == "endpoint-7");
}

// Guards against duplicate runs where the doubt is told after the request, and
// against tasks that wait for a start that is over.
BOOST_FIXTURE_TEST_CASE(later_doubts_and_their_ends_are_passed_on,
                        three_hosts) {
    advance_hearing(100ms, {asker, teller});
    request({teller});
    tell(make_doubt());
    tell(make_doubt(true));
    advance_hearing(contact_relay::digest_interval, {asker, teller});
    const auto relayed = relayed_to(asker);
    BOOST_REQUIRE_EQUAL(relayed.size(), 2U);
    BOOST_TEST(!relayed[0].doubts.at(0).over);
    BOOST_TEST(relayed[1].doubts.at(0).over);
    request({});
    tell(make_doubt());
    BOOST_TEST(relayed_to(asker).size() == 2U);
}

// Guards against a report that a slow relay passes on after newer doubts and
// that ends them all.
BOOST_FIXTURE_TEST_CASE(end_of_all_doubts_is_passed_on_by_name, three_hosts) {
    advance_hearing(100ms, {asker, teller});
    tell(make_doubt());
    request({teller});
    start_doubt end_all;
    end_all.holder = teller;
    end_all.over = true;
    tell(end_all);
    advance_hearing(contact_relay::digest_interval, {asker, teller});
    const auto relayed = relayed_to(asker);
    BOOST_REQUIRE_EQUAL(relayed.size(), 2U);
    BOOST_REQUIRE_EQUAL(relayed[1].doubts.size(), 1U);
    BOOST_TEST(relayed[1].doubts[0].over);
    BOOST_TEST((relayed[1].doubts[0].run == make_doubt().run));
}

// Guards against an endpoint that two hosts use: its former holder asks after
// the successor has announced the adoption, or before.
BOOST_FIXTURE_TEST_CASE(former_holder_that_asks_learns_of_its_successor,
                        three_hosts) {
    advance_hearing(100ms, {asker, teller});
    core.set_holder(now, {"endpoint-1", "domain-1", asker, 5000, 1});
    core.set_holder(now, {"endpoint-1", "domain-1", teller, 6000, 2});
    request({teller});
    BOOST_TEST(relayed_to(asker).empty()); // it has not answered yet
    payload content;
    content.adoptions = {{"endpoint-1", asker, 6000, {}, {}}};
    hear(teller, content);
    advance(25ms);
    BOOST_REQUIRE_EQUAL(relayed_to(asker).size(), 1U);
    advance_hearing(contact_relay::digest_interval, {asker, teller});
    request({teller});
    BOOST_TEST(relayed_to(asker).size() == 1U); // it was told
    request({});
    request({teller});
    BOOST_REQUIRE_EQUAL(relayed_to(asker).size(), 2U);
    for (const auto& report : relayed_to(asker)) {
        BOOST_TEST((report.origin == teller));
        BOOST_REQUIRE_EQUAL(report.fences.size(), 1U);
        BOOST_TEST(report.fences[0].endpoint == "endpoint-1");
        BOOST_TEST(report.fences[0].token == 6000U);
    }
}

// Guards against a fleet that spends its processor time on reports: hosts that
// flap tell the same doubts and fences again and again, and each peer that asks
// about one was sent a message for each of these.
BOOST_FIXTURE_TEST_CASE(reports_about_flapping_hosts_are_bounded, three_hosts) {
    constexpr std::uint64_t tellers = 8;
    std::vector<process_id> all{asker};
    for (std::uint64_t host = 0; host < tellers; ++host) {
        all.push_back({"10.1.0." + std::to_string(host + 20) + ":1", host + 1});
    }
    advance_hearing(100ms, all);
    request({all.begin() + 1, all.end()});
    peers.sent.clear();
    const auto begin = now;
    for (; now - begin < 2s;) {
        for (std::uint64_t host = 1; host <= tellers; ++host) {
            payload content;
            start_doubt end_all;
            end_all.holder = all[host];
            end_all.over = true;
            auto doubt = make_doubt();
            doubt.holder = all[host];
            doubt.run.task.index = static_cast<std::uint32_t>(host);
            content.doubts = {end_all, doubt};
            content.fences = {{"endpoint-" + std::to_string(host), 10}};
            hear(all[host], content);
        }
        hear(asker);
        advance(25ms);
    }
    std::size_t digests = 0;
    for (const auto& content : sent_to(asker)) {
        digests += content.relayed.empty() ? 0 : 1;
    }
    BOOST_TEST(digests <= 2U);
    BOOST_TEST(relayed_to(asker).size() == tellers);
    BOOST_TEST(observer.lines["doubt_relayed"].size() <= 2U);
}

// Guards against the same by requests: each host asked all others about each
// change of its list of silent peers, every 100 ms.
BOOST_FIXTURE_TEST_CASE(requests_about_flapping_hosts_are_bounded,
                        three_hosts) {
    constexpr std::uint64_t hosts = 24;
    constexpr std::uint64_t flapping = 8;
    std::vector<process_id> all;
    for (std::uint64_t host = 0; host < hosts; ++host) {
        all.push_back({"10.1.0." + std::to_string(host + 20) + ":1", host + 1});
    }
    advance_hearing(500ms, all);
    const auto begin = now;
    for (std::uint64_t step = 0; now - begin < 4s; ++step) {
        for (std::uint64_t host = 0; host < hosts; ++host) {
            // Silent for 700 ms, heard for 100 ms, each at another time.
            const bool silent = host < flapping && (step + 4 * host) % 32 < 28;
            if (!silent) {
                hear(all[host]);
            }
        }
        advance(25ms);
    }
    std::size_t requests = 0;
    for (const auto& host : all) {
        requests += requests_to(host).size();
    }
    BOOST_TEST(requests > 0U);
    BOOST_TEST(requests <= contact_relay::max_relays *
                               (4s / contact_relay::request_interval + 1));
}

// Guards against a fleet that spends its processor time on what hosts know:
// with each flap, a peer was sent the fences of all held endpoints and all
// doubts.
BOOST_FIXTURE_TEST_CASE(peer_that_flaps_is_told_fences_and_doubts_once,
                        three_hosts) {
    complete_takeover();
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_REQUIRE(endpoints.starts.size() == 1U);
    const auto call = endpoints.starts.back();
    advance(150ms);
    core.handle_start(now, call.target, call.run, {});
    advance(150ms);
    const auto told = [this] {
        std::size_t entries = 0;
        for (const auto& content : sent_to(asker)) {
            entries += content.fences.size() + content.doubts.size();
        }
        return entries;
    };
    advance_hearing(100ms, {asker});
    const auto first = told();
    BOOST_TEST(first == 3U); // a fence, the end of earlier doubts, a doubt
    for (int flap = 0; flap < 10; ++flap) {
        advance(600ms);
        advance_hearing(100ms, {asker});
    }
    BOOST_TEST(observer.lines["peer_lost"].size() == 10U);
    BOOST_TEST(told() == first);
}

// Guards against reports that go round between hosts.
BOOST_FIXTURE_TEST_CASE(relayed_report_is_not_passed_on_again, three_hosts) {
    const process_id third{"10.1.0.4:1", 14};
    advance_hearing(100ms, {asker, teller, third});
    payload content;
    content.relay_requests = {{{teller, asker}}};
    hear(third, content);
    advance_hearing(600ms, {asker, third});
    hear_relayed({make_doubt()}, {{"endpoint-1", 9000}});
    BOOST_TEST(observer.counted("relayed_reports") == 1U);
    BOOST_TEST(relayed_to(third).empty());
}

// Guards against duplicate runs: the caller sends the job again to a host that
// does not hear the holder, but a peer that does.
BOOST_FIXTURE_TEST_CASE(job_with_a_relayed_doubt_is_not_started, three_hosts) {
    complete_takeover();
    advance_hearing(100ms, {asker, teller});
    advance_hearing(600ms, {asker});
    hear_relayed({make_doubt()});
    BOOST_TEST(!starts_job());
    answer_hold(); // which a start needs beside a silent peer
    BOOST_TEST(endpoints.starts.empty());
    hear_relayed({make_doubt(true)});
    advance(25ms);
    answer_hold();
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against requests to all hosts about each host that restarts in turn,
// and against calls before each start meanwhile.
BOOST_FIXTURE_TEST_CASE(peer_that_has_stopped_as_planned_is_not_asked_about,
                        three_hosts) {
    complete_takeover();
    advance_hearing(100ms, {asker, teller});
    envelope message;
    message.from = teller;
    message.failure_domain = "domain-1";
    message.to_incarnation = 99;
    message.stamp_us = now.count();
    message.echo_us = now.count();
    message.about.draining = true;
    core.handle_envelope(now, message);
    advance(25ms);
    core.handle_link_refused(now, teller.address, now - 10ms);
    advance_hearing(700ms, {asker});
    BOOST_TEST(observer.lines["peer_asked_about"].empty());
    BOOST_TEST(starts_job());
}

// Guards against duplicate runs: a witness stops as planned, and its holder is
// lost right after that.
BOOST_FIXTURE_TEST_CASE(draining_witness_waits_until_its_holders_have_told,
                        three_hosts) {
    advance_hearing(100ms, {asker, teller});
    payload content;
    content.start_notices = {
        {"0123456789abcdef", {{0, 0, 1, "endpoint-7", 1000}}}};
    hear(teller, content);
    core.drain(now);
    advance_hearing(100ms, {asker, teller});
    BOOST_TEST(!core.is_drained());
    advance_hearing(600ms, {asker, teller});
    BOOST_TEST(core.is_drained());
}

// Guards against a held-up report that reopens what its origin has ended since.
BOOST_FIXTURE_TEST_CASE(relayed_doubt_of_a_holder_in_contact_is_ignored,
                        three_hosts) {
    complete_takeover();
    advance_hearing(100ms, {asker, teller});
    hear_relayed({make_doubt()});
    BOOST_TEST(starts_job());
}

// Guards against a task that waits to its caller's deadline: a slow relay
// passes on a doubt that is over, and its end after the holder is heard again.
BOOST_FIXTURE_TEST_CASE(relayed_end_counts_although_the_holder_is_heard,
                        three_hosts) {
    complete_takeover();
    advance_hearing(100ms, {asker, teller});
    advance_hearing(600ms, {asker});
    hear_relayed({make_doubt()});
    advance_hearing(100ms, {asker, teller});
    hear_relayed({make_doubt(true)});
    starts_job();
    answer_hold(); // the start needs it right after the silence
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against an endpoint that two hosts use: its former holder does not
// hear the successor.
BOOST_FIXTURE_TEST_CASE(former_holder_releases_an_endpoint_on_a_relayed_fence,
                        three_hosts) {
    complete_takeover();
    const auto token = endpoints.holds.back().target.token;
    advance_hearing(100ms, {asker, teller});
    const auto endpoints_held = [this] {
        return core.gauges(now)["endpoints_held"].get<int>();
    };
    hear_relayed({}, {{"endpoint-1", token + 1000}});
    BOOST_TEST(endpoints_held() == 1); // `teller` tells it itself
    advance_hearing(600ms, {asker});
    hear_relayed({}, {{"endpoint-1", token - 1}});
    BOOST_TEST(endpoints_held() == 1);
    hear_relayed({}, {{"endpoint-1", token + 1000}});
    BOOST_TEST(endpoints_held() == 0);
}

// Guards against reports of unknown processes, or of this one, that end the
// process or change its own state.
BOOST_FIXTURE_TEST_CASE(relayed_report_of_an_odd_origin_does_no_harm,
                        three_hosts) {
    complete_takeover();
    advance_hearing(700ms, {asker});
    const process_id self{"10.1.0.9:1", 99};
    auto doubt = make_doubt();
    doubt.holder = self;
    payload content;
    content.relayed = {{self, {doubt}, {{"endpoint-1", 90'000}}},
                       {{"10.1.0.77:1", 77}, {}, {{"endpoint-77", 1}}}};
    content.relay_requests = {{{self, asker, {"10.1.0.77:1", 77}}}};
    hear(asker, content);
    advance(25ms);
    BOOST_TEST(core.gauges(now)["endpoints_held"].get<int>() == 1);
    BOOST_TEST(starts_job());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// A process that has started after all hosts ended at once: endpoint-1 was held
// by its predecessor, endpoint-2 by another host that has not started again.
struct restarted_dispatcher : quiet_dispatcher {
    restarted_dispatcher() : quiet_dispatcher(make_settings(), false) {
        core.set_catalogue(1, "one");
        core.set_endpoints(
            now, {make_endpoint("endpoint-1"), make_endpoint("endpoint-2")});
    }

    void read_holders() {
        core.set_holder(
            now, {"endpoint-1", "domain-1", {"10.1.0.9:1", 98}, 1000, 1});
        core.set_holder(
            now, {"endpoint-2", "domain-1", {"10.1.0.3:1", 13}, 1000, 1});
        core.note_holders_read(now);
    }

    // Advances the clock; writes are stored, and the endpoint answers calls.
    void advance_with(const std::set<std::string>& answering, duration time) {
        for (const auto end = now + time; now < end;) {
            advance(25ms);
            for (const auto& [request, rows] :
                 std::exchange(store.writes, {})) {
                core.handle_write_result(now, request, store_status::ok);
            }
            for (const auto& call : std::exchange(endpoints.holds, {})) {
                hold_reply reply;
                reply.number = call.number;
                if (answering.contains(call.target.endpoint)) {
                    reply.call = {call_status::ok, clock_ms()};
                    reply.instance_started_ms = 1000;
                }
                core.handle_hold(now, call.target, reply);
            }
        }
    }

    // Of an endpoint that began `endpoint_age` ago, as its clock counts from
    // then.
    [[nodiscard]] std::int64_t clock_ms() const {
        return to_ms(endpoint_age + (now - timestamp{100s}));
    }

    duration endpoint_age = 10s;
};

// The same, where endpoint-2 was held by the predecessor too and is in a
// failure domain none of whose hosts is there, so that it is taken over later.
struct restarted_beside_a_lost_domain : restarted_dispatcher {
    restarted_beside_a_lost_domain() {
        auto remote = make_endpoint("endpoint-2");
        remote.failure_domain = "domain-2";
        core.set_endpoints(now, {remote});
        core.set_holder(
            now, {"endpoint-1", "domain-1", {"10.1.0.9:1", 98}, 1000, 1});
        core.set_holder(
            now, {"endpoint-2", "domain-2", {"10.1.0.9:1", 98}, 1000, 1});
        core.note_holders_read(now);
    }

    static envelope make_envelope(timestamp now, const payload& content) {
        envelope message;
        message.from = {"10.1.0.4:1", 14};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.sequence = content.empty() ? 0 : 1;
        message.first_sequence = 1;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = now.count();
        message.content = content;
        return message;
    }

    // What the peer was told of instances.
    [[nodiscard]] std::vector<instance_age> told_ages() const {
        std::vector<instance_age> told;
        std::set<std::uint64_t> seen; // payloads are sent again
        for (const auto& [address, message] : peers.sent) {
            if (seen.insert(message.sequence).second) {
                told.insert(told.end(), message.content.instance_ages.begin(),
                            message.content.instance_ages.end());
            }
        }
        return told;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(restarted_dispatcher_test, restarted_dispatcher)

// Guards against two runs of a task at the same time: all hosts ended, and an
// endpoint that answers nobody carries out what it was sent before.
BOOST_AUTO_TEST_CASE(job_waits_for_the_endpoints_of_processes_never_heard) {
    read_holders();
    advance_with({"endpoint-1"}, 1s);
    auto job = make_job("0123456789abcdef");
    job.caller_timeout = 12s;
    core.submit(now, 1, job);
    advance_with({"endpoint-1"}, 4s);
    BOOST_TEST(endpoints.starts.empty());
    BOOST_TEST(callers.answers.empty());
    advance_with({"endpoint-1", "endpoint-2"}, 1s);
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// The same where the store can't be read, but a peer gives the host work.
BOOST_AUTO_TEST_CASE(job_waits_while_the_holders_of_endpoints_are_unknown) {
    core.submit(now, 1, make_job("0123456789abcdef"));
    advance_with({"endpoint-1", "endpoint-2"}, 1s);
    BOOST_TEST(endpoints.starts.empty());
    read_holders();
    advance_with({"endpoint-1", "endpoint-2"}, 400ms);
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against jobs that wait for a takeover of an endpoint that can't carry
// out an earlier start late: its instance is older than any start of the job.
BOOST_FIXTURE_TEST_CASE(job_does_not_wait_for_an_instance_older_than_it,
                        restarted_beside_a_lost_domain) {
    endpoint_age = 30s;
    advance_with({"endpoint-1", "endpoint-2"}, 1s);
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against two runs of a task at the same time: the instance has begun
// after a start was sent whose deadline is on the clock of an earlier one.
BOOST_FIXTURE_TEST_CASE(job_waits_for_an_instance_that_may_be_younger,
                        restarted_beside_a_lost_domain) {
    endpoint_age = 20s;
    advance_with({"endpoint-1", "endpoint-2"}, 1s);
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(endpoints.starts.empty());
}

// Guards against jobs that wait at each host until it has asked all endpoints
// itself, and against messages at each probe.
BOOST_FIXTURE_TEST_CASE(age_of_an_instance_is_told_to_peers_once,
                        restarted_beside_a_lost_domain) {
    core.handle_envelope(now, make_envelope(now, {}));
    endpoint_age = 30s;
    advance_with({"endpoint-1", "endpoint-2"}, 500ms);
    core.handle_envelope(now, make_envelope(now, {}));
    advance_with({"endpoint-1", "endpoint-2"}, 500ms);
    std::map<std::string, std::size_t> told;
    for (const auto& item : told_ages()) {
        ++told[item.endpoint];
        BOOST_TEST(item.instance_started_ms == 1000);
        BOOST_TEST(item.age_ms >= 30'000U);
        BOOST_TEST(item.age_ms <= 31'000U);
    }
    BOOST_TEST(told["endpoint-2"] >= 1U);
    BOOST_TEST(told["endpoint-2"] <= 2U); // again when it is in contact
}

// The same at the host that is told.
BOOST_FIXTURE_TEST_CASE(job_does_not_wait_for_an_instance_a_peer_has_heard,
                        restarted_beside_a_lost_domain) {
    advance_with({"endpoint-1"}, 1s);
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(endpoints.starts.empty());
    payload content;
    content.instance_ages = {{"endpoint-1", 1000, 40'000, 1000},
                             {"endpoint-2", 1000, 40'000, 1000}};
    core.handle_envelope(now, make_envelope(now, content));
    advance_with({"endpoint-1"}, 100ms);
    BOOST_TEST(endpoints.starts.size() == 1U);
}

// Guards against callers that are sent to a host that knows of no endpoint,
// while others serve them.
BOOST_AUTO_TEST_CASE(host_that_has_not_read_the_rows_is_not_ready) {
    core.set_catalogue(1, "one");
    advance_with({"endpoint-1", "endpoint-2"}, 100ms);
    BOOST_TEST(!core.is_ready(now));
}

// Guards against callers that wait at a host that has just started, while other
// hosts need not wait.
BOOST_AUTO_TEST_CASE(host_that_waits_for_endpoints_is_not_ready_for_a_while) {
    read_holders();
    advance_with({"endpoint-1"}, 1s);
    BOOST_TEST(endpoints.starts.empty());
    BOOST_TEST(!core.is_ready(now));
    advance_with({"endpoint-1"}, 3s);
    BOOST_TEST(core.is_ready(now));
}

// The same, against a host that is not used without need.
BOOST_AUTO_TEST_CASE(host_is_ready_once_all_endpoints_have_answered) {
    read_holders();
    advance_with({"endpoint-1", "endpoint-2"}, 1s);
    BOOST_TEST(core.is_ready(now));
}

// Guards against a pool that stands still because one endpoint is silent: what
// was sent to it before can't be a job that comes only now.
BOOST_AUTO_TEST_CASE(job_too_late_to_be_an_earlier_one_does_not_wait) {
    read_holders();
    advance_with({"endpoint-1"}, 1s);
    core.submit(now, 1, make_job("0123456789abcdef"));
    BOOST_TEST(endpoints.starts.empty());
    advance_with({"endpoint-1"}, 4s);
    BOOST_TEST(endpoints.starts.empty());
    core.submit(now, 2, make_job("0123456789abcd00"));
    BOOST_TEST(endpoints.starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
