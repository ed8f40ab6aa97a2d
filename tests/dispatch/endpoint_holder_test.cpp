// Placement of tasks by an endpoint holder, and its reports to coordinators.
#include <boost/test/unit_test.hpp>

#include "core/dispatch/endpoint_holder.hpp"
#include "quiet_observer.hpp"
#include "session_fixture.hpp"

namespace figridge::dispatch {
namespace {

class recording_holder_events final : public holder_events {
public:
    void send_update(const process_id& /*coordinator*/,
                     const task_update& update) override {
        updates.push_back(update);
    }
    void announce(const endpoint_adoption& /*adoption*/) override {}
    void announce_crash(const crash_report& report) override {
        crashes.push_back(report);
    }
    [[nodiscard]] timestamp
    last_contact(const process_id& /*coordinator*/) const override {
        return timestamp::max();
    }

    std::vector<task_update> updates;
    std::vector<crash_report> crashes;
};

// A holder of two endpoints of 16 cores each.
struct holder_fixture {
    holder_fixture() {
        for (const auto* id : {"endpoint-1", "endpoint-2"}) {
            endpoint_record endpoint;
            endpoint.id = id;
            endpoint.pool = "pool";
            endpoint.capacity = {16'000, 32'768, 0};
            holder.take(now, endpoint, 1, {});
            answer_hold(id, {});
        }
    }

    void answer_hold(const std::string& endpoint,
                     const std::vector<running_entry>& running) {
        const auto call = std::find_if(
            port.holds.rbegin(), port.holds.rend(),
            [&](const auto& sent) { return sent.target.endpoint == endpoint; });
        hold_reply reply;
        reply.number = call->number;
        reply.call = {call_status::ok, to_ms(now) + 500};
        reply.instance_started_ms = 1000;
        reply.running = running;
        holder.handle_hold(now, endpoint, 1, reply);
    }

    // Tasks of one job, each on six cores for about 60 ms.
    void assign(const std::string& job, std::uint32_t tasks,
                duration objective = 200ms) {
        task_assignment assignment;
        assignment.job = job;
        assignment.pool = "pool";
        assignment.queue = "queue-1";
        assignment.objective_us = objective.count();
        assignment.patience_us = duration(1500ms).count();
        for (std::uint32_t i = 0; i < tasks; ++i) {
            task_need need;
            need.room = {6000, 64, 0};
            need.estimate_ms = 60;
            assignment.items.push_back({{{job, 0, i}, 1}, need, {}});
        }
        holder.assign(now, coordinator, assignment);
        holder.dispatch(now);
    }

    // The list shows this capacity of an endpoint.
    void shrink(const std::string& id, std::uint32_t cpu_millis) {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.pool = "pool";
        endpoint.capacity = {cpu_millis, 32'768, 0};
        holder.update_endpoint(now, endpoint);
    }

    void answer_starts() {
        for (; answered < port.starts.size(); ++answered) {
            const auto& call = port.starts[answered];
            holder.handle_start(now, call.target.endpoint, 1, call.run,
                                {call_status::ok, to_ms(now) + 500});
        }
    }

    // The runs started on an endpoint, each with this progress.
    [[nodiscard]] std::vector<running_entry>
    runs_on(const std::string& endpoint, std::uint32_t percent) const {
        std::vector<running_entry> runs;
        for (const auto& call : port.starts) {
            if (call.target.endpoint == endpoint) {
                runs.push_back({call.run, percent});
            }
        }
        return runs;
    }

    // For this time, these endpoints refuse connections.
    void refuse_calls(const std::set<std::string>& endpoints, duration time) {
        for (const auto end = now + time; now < end;) {
            const auto holds = port.holds;
            for (; answered_holds < holds.size(); ++answered_holds) {
                const auto& call = holds[answered_holds];
                if (endpoints.contains(call.target.endpoint)) {
                    hold_reply reply;
                    reply.number = call.number;
                    reply.call.status = call_status::not_sent;
                    holder.handle_hold(now, call.target.endpoint, 1, reply);
                }
            }
            now += 25ms;
            holder.tick(now);
        }
    }

    // For this time, the endpoints list the runs started there in each reply to
    // a poll, and answer no stop.
    void stay_without_stops(duration time) {
        for (const auto end = now + time; now < end;) {
            const auto holds = port.holds;
            for (; answered_holds < holds.size(); ++answered_holds) {
                const auto& call = holds[answered_holds];
                hold_reply reply;
                reply.number = call.number;
                reply.call = {call_status::ok, to_ms(now) + 500};
                reply.instance_started_ms = 1000;
                reply.running = runs_on(call.target.endpoint, 10);
                holder.handle_hold(now, call.target.endpoint, 1, reply);
            }
            for (; unanswered_stops < port.stops.size(); ++unanswered_stops) {
                const auto& call = port.stops[unanswered_stops];
                holder.handle_stop(now, call.target.endpoint, 1, call.run, {});
            }
            now += 25ms;
            holder.tick(now);
            holder.dispatch(now);
        }
    }

    // The latest lease deadline sent to an endpoint, by start or renewal.
    [[nodiscard]] std::int64_t
    latest_deadline(const std::string& endpoint) const {
        std::int64_t latest = 0;
        for (const auto& call : port.holds) {
            if (call.target.endpoint == endpoint) {
                latest = std::max(latest, call.lease_deadline_ms.value_or(0));
            }
        }
        for (const auto& call : port.starts) {
            if (call.target.endpoint == endpoint) {
                latest = std::max(latest, call.lease_deadline_ms);
            }
        }
        return latest;
    }

    const process_id coordinator{"10.1.0.2:1", 9};
    dispatch_settings settings;
    recording_endpoint_port port;
    quiet_observer observer;
    recording_holder_events events;
    timestamp now{100s};
    endpoint_holder holder{settings, port, observer, events};
    std::size_t answered = 0;
    std::size_t answered_holds = 2;
    std::size_t unanswered_stops = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_holder_test, holder_fixture)

BOOST_AUTO_TEST_CASE(runs_on_a_slow_endpoint_move_to_free_endpoints) {
    assign("0123456789abcdef", 2);
    answer_starts();
    const auto slow = port.starts.front().target.endpoint;
    now += 150ms;
    answer_hold(slow, runs_on(slow, 10));
    holder.tick(now);
    BOOST_TEST(port.stops.size() == 2U);
}

BOOST_AUTO_TEST_CASE(runs_on_a_slow_endpoint_stay_if_no_other_is_free) {
    assign("0123456789abcdef", 4);
    answer_starts();
    const auto slow = port.starts.front().target.endpoint;
    now += 150ms;
    answer_hold(slow, runs_on(slow, 10));
    holder.tick(now);
    BOOST_TEST(port.stops.empty());
}

BOOST_AUTO_TEST_CASE(task_with_time_left_does_not_start_on_a_slow_endpoint) {
    assign("0123456789abcdef", 4);
    answer_starts();
    now += 150ms;
    const auto slow = port.starts.front().target.endpoint;
    auto runs = runs_on(slow, 10);
    answer_hold(slow, runs);
    runs.pop_back(); // frees resources on the slow endpoint only
    answer_hold(slow, runs);
    const auto before = port.starts.size();
    assign("0123456789abcd00", 1);
    BOOST_TEST(port.starts.size() == before);
    // The task is now late on any endpoint, but starts because its caller still
    // waits.
    now += 300ms;
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() == before + 1);
}

// If most endpoints are slow, waiting for a faster one does not help.
BOOST_AUTO_TEST_CASE(task_starts_on_a_slow_endpoint_if_most_are_slow) {
    assign("0123456789abcdef", 4);
    answer_starts();
    now += 150ms;
    auto runs = runs_on("endpoint-1", 10);
    answer_hold("endpoint-1", runs);
    answer_hold("endpoint-2", runs_on("endpoint-2", 10));
    holder.tick(now);
    runs.pop_back();
    answer_hold("endpoint-1", runs);
    const auto before = port.starts.size();
    assign("0123456789abcd00", 1);
    BOOST_TEST(port.starts.size() == before + 1);
}

BOOST_AUTO_TEST_CASE(removed_endpoint_is_held_until_its_runs_end) {
    assign("0123456789abcdef", 1);
    answer_starts();
    const auto busy = port.starts.front().target.endpoint;
    holder.mark_gone(now, "endpoint-1");
    holder.mark_gone(now, "endpoint-2");
    holder.tick(now);
    BOOST_TEST(holder.sessions().size() == 1U);
    BOOST_TEST(holder.holds(busy));
    now += 150ms;
    answer_hold(busy, {});
    holder.tick(now);
    BOOST_TEST(holder.sessions().empty());
}

BOOST_AUTO_TEST_CASE(advert_omits_free_resources_of_a_slow_endpoint) {
    assign("0123456789abcdef", 2);
    answer_starts();
    const auto slow = port.starts.front().target.endpoint;
    now += 150ms;
    answer_hold(slow, runs_on(slow, 10));
    advert about;
    holder.fill(about);
    BOOST_TEST(about.free_cpu.size() == 1U);
    BOOST_TEST(about.capacity_cpu < 24'000U);
}

// Guards against tasks placed where they don't fit: other hosts go by the
// advert.
BOOST_AUTO_TEST_CASE(advert_shows_a_shrunk_capacity) {
    assign("0123456789abcdef", 2);
    answer_starts();
    shrink("endpoint-1", 8000);
    shrink("endpoint-2", 8000);
    advert about;
    holder.fill(about);
    BOOST_TEST(about.largest_cpu == 8000U);
    BOOST_TEST(about.capacity_cpu == 16'000U);
    BOOST_TEST(*std::max_element(about.free_cpu.begin(),
                                 about.free_cpu.end()) <= 8000U);
}

// Guards against a task that waits in the queue of a holder whose endpoints
// have all become too small for it, while others could take it later.
BOOST_AUTO_TEST_CASE(queued_task_that_fits_no_endpoint_any_more_is_returned) {
    assign("job-1", 4);
    answer_starts();
    assign("job-2", 1);
    events.updates.clear();
    shrink("endpoint-1", 5000);
    holder.return_queued({});
    BOOST_TEST(events.updates.empty());
    shrink("endpoint-2", 5000);
    holder.return_queued({});
    BOOST_REQUIRE_EQUAL(events.updates.size(), 1U);
    BOOST_TEST(events.updates[0].run.task.job == "job-2");
    BOOST_TEST((events.updates[0].kind == update_kind::returned));
    BOOST_TEST(holder.queue().empty());
}

// Guards against an endpoint that is taken out of use because it enforces its
// capacity: a refusal for room is no fault of it.
BOOST_AUTO_TEST_CASE(start_refused_for_room_is_reported_and_no_fault) {
    assign("job-1", 2);
    BOOST_REQUIRE_EQUAL(port.starts.size(), 2U);
    for (const auto& call : port.starts) {
        holder.handle_start(now, call.target.endpoint, 1, call.run,
                            {call_status::no_room, to_ms(now) + 500});
    }
    BOOST_REQUIRE_EQUAL(events.updates.size(), 2U);
    BOOST_TEST((events.updates[0].kind == update_kind::refused));
    BOOST_TEST((events.updates[1].kind == update_kind::refused));
    for (const auto& [id, session] : holder.sessions()) {
        BOOST_TEST(session->health().accepts_tasks(now));
        BOOST_TEST(session->health().consecutive_faults() == 0U);
    }
}

// Guards against calls in a loop: the endpoint would refuse the next start too.
BOOST_AUTO_TEST_CASE(endpoint_that_refused_for_room_is_full_until_it_changes) {
    assign("job-1", 1);
    const auto full = port.starts[0].target.endpoint;
    holder.handle_start(now, full, 1, port.starts[0].run,
                        {call_status::no_room, to_ms(now) + 500});
    assign("job-2", 4);
    for (std::size_t i = 1; i < port.starts.size(); ++i) {
        BOOST_TEST(port.starts[i].target.endpoint != full);
    }
    const auto before = port.starts.size();
    BOOST_TEST(before < 5U);
    shrink(full, 15'000); // its row has changed
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() > before);
}

// The same, if its row doesn't change.
BOOST_AUTO_TEST_CASE(endpoint_that_refused_for_room_is_tried_again) {
    assign("job-1", 1);
    const auto full = port.starts[0].target.endpoint;
    holder.handle_start(now, full, 1, port.starts[0].run,
                        {call_status::no_room, to_ms(now) + 500});
    assign("job-2", 4, 2s);
    const auto before = port.starts.size();
    now += 1s;
    holder.tick(now);
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() > before);
}

// Guards against duplicate runs: without the token in the report of a start,
// the coordinator treated an adoption delayed by a network cut as current.
BOOST_AUTO_TEST_CASE(each_report_of_a_run_carries_the_token_it_is_held_under) {
    assign("job-1", 1);
    answer_starts();
    BOOST_REQUIRE_EQUAL(events.updates.size(), 1U);
    BOOST_TEST((events.updates[0].kind == update_kind::started));
    BOOST_TEST(events.updates[0].token == 1U);
    holder.release(now, port.starts[0].target.endpoint);
    BOOST_REQUIRE_EQUAL(events.updates.size(), 2U);
    BOOST_TEST((events.updates[1].kind == update_kind::disowned));
    BOOST_TEST(events.updates[1].token == 1U);
}

// Guards against tasks that wait for ever: the coordinator learned of the
// adoption late, and the run was stopped before its claim arrived.
BOOST_AUTO_TEST_CASE(late_claim_of_a_run_that_is_over_is_answered) {
    const task_run run{{"0123456789abcdef", 0, 0}, 1};
    endpoint_record endpoint;
    endpoint.id = "endpoint-3";
    endpoint.pool = "pool";
    endpoint.capacity = {16'000, 32'768, 0};
    holder.take(now, endpoint, 1, {"10.1.0.7:1", 7});
    answer_hold("endpoint-3", {{run, 10}});
    now += 100ms; // no claim arrives in time
    holder.tick(now);
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    holder.handle_stop(now, "endpoint-3", 1, run,
                       {call_status::ok, to_ms(now) + 500});
    answer_hold("endpoint-3", {});
    events.updates.clear();
    holder.claim(now, coordinator,
                 {"endpoint-3", {{run, {{6000, 64, 0}, 60, {}, {}}}}});
    BOOST_REQUIRE_EQUAL(events.updates.size(), 1U);
    BOOST_TEST((events.updates[0].kind == update_kind::lost));
}

// Guards against duplicate runs: a claim may arrive before the run list that
// shows the run.
BOOST_AUTO_TEST_CASE(claim_before_the_first_list_is_not_answered) {
    endpoint_record endpoint;
    endpoint.id = "endpoint-3";
    endpoint.pool = "pool";
    endpoint.capacity = {16'000, 32'768, 0};
    holder.take(now, endpoint, 1, {"10.1.0.7:1", 7});
    const task_run run{{"0123456789abcdef", 0, 0}, 1};
    holder.claim(now, coordinator,
                 {"endpoint-3", {{run, {{6000, 64, 0}, 60, {}, {}}}}});
    BOOST_TEST(events.updates.empty());
}

// Guards against duplicate runs: a run of an abandoned coordinator went on past
// the bound after which that places the task again, because its stops got no
// answer while the lease was renewed.
BOOST_AUTO_TEST_CASE(lease_ends_if_no_stop_of_an_abandoned_run_is_answered) {
    assign("job-1", 1);
    answer_starts();
    const auto busy = port.starts.front().target.endpoint;
    stay_without_stops(500ms);
    const auto abandoned_at = now;
    holder.abandon(now, coordinator);
    assign("job-2", 8); // starts extend the lease as well
    stay_without_stops(2s);
    const auto lease_ends = to_ms(abandoned_at) + 500 + 1000;
    BOOST_TEST(latest_deadline(busy) <= lease_ends);
}

// Guards against duplicate runs: the same for a job whose caller left, which
// may start at another host 1.3 s later.
BOOST_AUTO_TEST_CASE(lease_ends_if_no_stop_of_a_withdrawn_run_is_answered) {
    assign("job-1", 1);
    assign("job-2", 3);
    answer_starts();
    const auto busy = port.starts.front().target.endpoint;
    stay_without_stops(500ms);
    const auto withdrawn_at = now;
    holder.withdraw(now, coordinator, "job-1");
    stay_without_stops(2s);
    const auto lease_ends = to_ms(withdrawn_at) + 500 + 1000;
    BOOST_TEST(latest_deadline(busy) <= lease_ends);
}

// Guards against duplicate runs: the same if the start is not answered yet.
BOOST_AUTO_TEST_CASE(lease_ends_if_the_coordinator_is_abandoned_at_the_start) {
    assign("job-1", 1);
    const auto busy = port.starts.front().target.endpoint;
    const auto abandoned_at = now;
    holder.abandon(now, coordinator);
    stay_without_stops(150ms);
    holder.handle_start(now, busy, 1, port.starts.front().run, {});
    stay_without_stops(2s);
    const auto lease_ends = to_ms(abandoned_at) + 500 + 1000;
    BOOST_TEST(latest_deadline(busy) <= lease_ends);
}

// An ordinary stop, which is answered, costs the other runs no lease.
BOOST_AUTO_TEST_CASE(lease_is_renewed_as_soon_as_the_stop_is_answered) {
    assign("job-1", 1);
    assign("job-2", 3);
    answer_starts();
    stay_without_stops(100ms);
    holder.withdraw(now, coordinator, "job-1");
    BOOST_REQUIRE_EQUAL(port.stops.size(), 1U);
    const auto& stop = port.stops.front();
    const auto busy = stop.target.endpoint;
    now += 2ms;
    hold_reply list; // answers the poll that was in flight
    list.number = port.holds.back().number;
    list.call = {call_status::ok, to_ms(now) + 500};
    list.instance_started_ms = 1000;
    list.running = runs_on(busy, 10);
    holder.handle_hold(now, busy, 1, list);
    now += 3ms;
    holder.handle_stop(now, busy, 1, stop.run,
                       {call_status::ok, to_ms(now) + 500});
    stay_without_stops(25ms);
    BOOST_TEST(latest_deadline(busy) >= to_ms(now) + 500 + 950);
}

// Guards against runs that are not seen: an endpoint that had left the list and
// came back under the same token was adopted from a reply to a call of before,
// and its lists were ignored from then on.
BOOST_AUTO_TEST_CASE(reply_to_a_call_of_a_former_session_is_ignored) {
    assign("job-1", 1);
    answer_starts();
    const auto start = port.starts.front();
    const auto id = start.target.endpoint;
    hold_reply end;
    end.number = port.holds.back().number;
    end.call = {call_status::ok, to_ms(now) + 500};
    end.instance_started_ms = 1000;
    end.ended = {{1, start.run, end_kind::done}};
    holder.handle_hold(now, id, 1, end);
    now += 400ms;
    holder.tick(now); // acknowledges the end
    hold_reply late = end;
    late.number = port.holds.back().number;
    late.ended.clear();
    BOOST_REQUIRE(late.number != end.number);
    const auto listed = holder.sessions().at(id)->endpoint();
    holder.mark_gone(now, id);
    holder.tick(now);
    BOOST_REQUIRE(!holder.holds(id));
    holder.take(now, listed, 1, {});
    holder.handle_hold(now, id, 1, late);
    BOOST_TEST((holder.sessions().at(id)->phase() == session_phase::adopting));
    answer_hold(id, {{start.run, 10}});
    BOOST_TEST((holder.sessions().at(id)->phase() == session_phase::claiming));
}

// Guards against duplicate runs: the job came again through another coordinator
// while no stop of its run here had been answered.
BOOST_AUTO_TEST_CASE(task_whose_run_may_go_on_here_does_not_start) {
    assign("job-1", 1);
    answer_starts();
    holder.abandon(now, coordinator);
    const auto run = port.starts.front().run;
    task_assignment again;
    again.job = "job-1";
    again.pool = "pool";
    again.objective_us = duration(200ms).count();
    again.patience_us = duration(9s).count();
    again.items = {{run, {{6000, 64, 0}, 60, {}, {}}, {}}};
    holder.assign(now, {"10.1.0.3:1", 4}, again);
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() == 1U);
    holder.return_queued({16'000});
    BOOST_TEST(holder.queue().size() == 1U);
    stay_without_stops(500ms);
    BOOST_TEST(port.starts.size() == 1U);
    stay_without_stops(1s);
    answer_hold("endpoint-1", {});
    answer_hold("endpoint-2", {});
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() == 2U);
}

// Guards against duplicate runs: a coordinator out of contact places its tasks
// again, so those that wait here must not start.
BOOST_AUTO_TEST_CASE(queued_task_of_an_abandoned_coordinator_does_not_start) {
    assign("job-1", 4);
    answer_starts();
    assign("job-2", 2);
    BOOST_REQUIRE_EQUAL(holder.queue().size(), 2U);
    events.updates.clear();
    holder.abandon(now, coordinator);
    BOOST_TEST(holder.queue().empty());
    BOOST_REQUIRE_EQUAL(events.updates.size(), 2U);
    BOOST_TEST((events.updates[0].kind == update_kind::returned));
    answer_hold("endpoint-1", {});
    answer_hold("endpoint-2", {});
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() == 4U);
}

// Guards against duplicate runs: a reply that arrives after the endpoint has
// changed hands says nothing to the coordinator.
BOOST_AUTO_TEST_CASE(replies_after_a_release_are_ignored) {
    assign("job-1", 1);
    const auto start = port.starts.front();
    holder.release(now, start.target.endpoint);
    BOOST_REQUIRE_EQUAL(events.updates.size(), 1U);
    BOOST_TEST((events.updates[0].kind == update_kind::disowned));
    holder.handle_start(now, start.target.endpoint, 1, start.run,
                        {call_status::too_late, to_ms(now) + 500});
    BOOST_TEST(events.updates.size() == 1U);
}

// Many endpoints that refuse connections at the same moment are cut off, or
// share a rack that is lost: no task is at fault.
BOOST_AUTO_TEST_CASE(endpoints_that_refuse_at_once_are_not_suspected) {
    for (const auto* id : {"endpoint-3", "endpoint-4"}) {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.pool = "pool";
        endpoint.capacity = {16'000, 32'768, 0};
        holder.take(now, endpoint, 1, {});
        answer_hold(id, {});
    }
    assign("0123456789abcdef", 8);
    answer_starts();
    refuse_calls({"endpoint-1", "endpoint-2", "endpoint-3"}, 300ms);
    BOOST_TEST(events.crashes.empty());
}

BOOST_AUTO_TEST_CASE(endpoint_that_refuses_alone_is_suspected) {
    assign("0123456789abcdef", 2);
    answer_starts();
    refuse_calls({"endpoint-1", "endpoint-2"}, 50ms);
    BOOST_TEST(events.crashes.empty());
    refuse_calls({"endpoint-1", "endpoint-2"}, 100ms);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 2U);
    BOOST_TEST((events.crashes[0].evidence == crash_evidence::refusing));
    BOOST_TEST(events.crashes[0].queue == "queue-1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
