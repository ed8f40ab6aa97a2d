// Placement of tasks by an endpoint holder, and its reports to coordinators.
#include <boost/test/unit_test.hpp>

#include "core/dispatch/endpoint_holder.hpp"
#include "recording_observer.hpp"
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
    void announce_doubt(const start_doubt& doubt) override {
        doubts.push_back(doubt);
        updates_before_doubt.push_back(updates.size());
    }
    void note_start(const process_id& coordinator, const task_run& run,
                    const std::string& endpoint, std::uint64_t token) override {
        starts.push_back({coordinator, run, endpoint, token});
    }
    [[nodiscard]] timestamp
    last_contact(const process_id& /*coordinator*/) const override {
        return timestamp::max();
    }

    struct noted_start {
        process_id coordinator;
        task_run run;
        std::string endpoint;
        std::uint64_t token = 0;
    };

    std::vector<noted_start> starts;
    std::vector<task_update> updates;
    std::vector<crash_report> crashes;
    std::vector<start_doubt> doubts;
    std::vector<std::size_t> updates_before_doubt;
};

// A holder of two endpoints of 16 cores each.
struct holder_fixture {
    holder_fixture() {
        evacuated.replace(1, {});
        hold("endpoint-1");
        hold("endpoint-2");
    }

    void hold(const std::string& id) {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.pool = "pool";
        endpoint.capacity = {16'000, 32'768, 0};
        holder.take(now, endpoint, 1, {});
        answer_hold(id, {});
    }

    // Holds eight endpoints, a quarter of whose load is of queue-1, three of
    // which crashed with runs of that queue only. All others are idle then.
    void confine_queue_1() {
        for (int i = 3; i <= 8; ++i) {
            hold("endpoint-" + std::to_string(i));
        }
        assign("load-1", 4);
        queue = "queue-2";
        assign("load-2", 12);
        BOOST_REQUIRE_EQUAL(port.starts.size(), 16U);
        answer_starts();
        now += 100ms;
        holder.tick(now);
        for (std::int64_t instance = 1; instance <= 3; ++instance) {
            holder.record_crash(now, {{{"crashed", 0, 0}, 1},
                                      "queue-1",
                                      "endpoint-8",
                                      instance,
                                      crash_evidence::refusing});
        }
        end_all_runs();
        now += 25ms;
        holder.tick(now);
        BOOST_REQUIRE(holder.compartment().queue() == "queue-1");
        BOOST_REQUIRE_EQUAL(holder.compartment().members().size(), 4U);
        port.starts.clear();
        answered = 0;
    }

    void end_all_runs() {
        for (int i = 1; i <= 8; ++i) {
            end_runs("endpoint-" + std::to_string(i));
        }
    }

    // Starts of a job in the compartment, and elsewhere.
    [[nodiscard]] std::pair<std::size_t, std::size_t>
    starts_by_side(const std::string& job) const {
        std::pair<std::size_t, std::size_t> count;
        for (const auto& call : port.starts) {
            if (call.run.task.job == job) {
                ++(holder.compartment().contains(call.target.endpoint)
                       ? count.first
                       : count.second);
            }
        }
        return count;
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

    // Tasks of one job, each on six cores unless `cpu_millis` was changed.
    void assign(const std::string& job, std::uint32_t tasks,
                duration objective = 200ms, std::uint32_t crashes = 0) {
        task_assignment assignment;
        assignment.job = job;
        assignment.pool = "pool";
        assignment.priority = priority;
        assignment.queue = queue;
        assignment.objective_us = objective.count();
        assignment.patience_us = duration(1500ms).count();
        for (std::uint32_t i = 0; i < tasks; ++i) {
            task_need need;
            need.room = {cpu_millis, 64, 0};
            need.estimate_ms = estimate_ms;
            need.required_label = label;
            assignment.items.push_back({{{job, 0, i}, 1}, need, {}, crashes});
        }
        holder.assign(now, coordinator, assignment);
        holder.dispatch(now);
    }

    // One task of a job, under which an endpoint has, or may have, crashed.
    void assign_suspect(const std::string& job) { assign(job, 1, 200ms, 1); }

    // The first list may be of a call sent before the last start was answered.
    void end_runs(const std::string& endpoint) {
        answer_hold(endpoint, {});
        answer_hold(endpoint, {});
    }

    // Where the task of this job was started; empty if it was not.
    [[nodiscard]] std::string endpoint_of(const std::string& job) const {
        for (const auto& call : port.starts) {
            if (call.run.task.job == job) {
                return call.target.endpoint;
            }
        }
        return {};
    }

    // The list shows this capacity of an endpoint.
    void shrink(const std::string& id, std::uint32_t cpu_millis) {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.pool = "pool";
        endpoint.capacity = {cpu_millis, 32'768, 0};
        holder.update_endpoint(now, endpoint);
    }

    // The last start gets no answer within the time limit of calls.
    task_run leave_start_unanswered() {
        const auto call = port.starts.back();
        now += 150ms;
        holder.handle_start(now, call.target.endpoint, 1, call.run, {});
        return call.run;
    }

    // The stop of the run is answered, and a list asked for later lacks it.
    void confirm_stop(const task_run& run) {
        const auto endpoint = endpoint_of(run.task.job);
        holder.handle_stop(now, endpoint, 1, run,
                           {call_status::ok, to_ms(now) + 500});
        answer_hold(endpoint, {});
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
    recording_observer observer;
    recording_holder_events events;
    timestamp now{100s};
    evacuation evacuated;
    endpoint_holder holder{settings, port, observer, events, evacuated};
    std::string queue = "queue-1"; // of the tasks assigned next
    std::uint32_t priority = 0;
    std::uint32_t cpu_millis = 6000;
    std::uint32_t estimate_ms = 60;
    std::string label;
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

// Two runs of 600 ms on one endpoint and one of 300 ms on the other leave 4 and
// 10 cores free, so that a task of 14 waits.
struct look_ahead_fixture : holder_fixture {
    look_ahead_fixture() {
        settings.look_ahead = true;
        estimate_ms = 600;
        assign("load-1", 2);
        estimate_ms = 300;
        assign("load-2", 1);
        answer_starts();
        BOOST_REQUIRE_EQUAL(port.starts.size(), 3U);
        cpu_millis = 14'000;
        assign("large", 1);
        BOOST_REQUIRE(endpoint_of("large").empty());
        cpu_millis = 6000;
    }

    [[nodiscard]] std::string endpoint_with_runs(std::size_t runs) const {
        for (const auto& [id, session] : holder.sessions()) {
            if (session->ledger().size() == runs) {
                return id;
            }
        }
        return {};
    }
};

// Guards against a large task that is delayed by later small ones, and against
// room that stays unused although it is free in time.
BOOST_FIXTURE_TEST_CASE(only_short_tasks_start_ahead_of_a_reserved_one,
                        look_ahead_fixture) {
    const auto reserved = endpoint_with_runs(1);
    estimate_ms = 900;
    assign("long", 1);
    BOOST_TEST(endpoint_of("long").empty());
    // The long one has a reservation on the other endpoint.
    BOOST_REQUIRE_EQUAL(observer.lines["start_reserved"].size(), 2U);
    BOOST_TEST(observer.lines["start_reserved"][0]["job"] == "large");
    BOOST_TEST(observer.lines["start_reserved"][0]["endpoint"] == reserved);
    estimate_ms = 100;
    assign("short", 1);
    BOOST_TEST(endpoint_of("short") == reserved);
    BOOST_TEST(observer.lines["start_reserved"].back()["change"] ==
               "started_ahead");
    BOOST_TEST(observer.counted("look_ahead") == 3U);
    answer_starts();
    now += 300ms;
    // Without progress the endpoint would count as slow.
    answer_hold(reserved, runs_on(reserved, 99));
    end_runs(reserved);
    holder.dispatch(now);
    BOOST_TEST(endpoint_of("large") == reserved);
    BOOST_TEST(endpoint_of("long").empty());
}

BOOST_FIXTURE_TEST_CASE(reservations_end_with_the_setting, look_ahead_fixture) {
    estimate_ms = 900;
    assign("long", 1);
    BOOST_TEST(endpoint_of("long").empty());
    settings.look_ahead = false;
    holder.dispatch(now);
    BOOST_TEST(!endpoint_of("long").empty());
    BOOST_TEST(observer.lines["start_reserved"].back()["change"] == "given_up");
}

// Guards against room kept for a task whose endpoint is lost.
BOOST_FIXTURE_TEST_CASE(reservation_on_a_released_endpoint_is_made_elsewhere,
                        look_ahead_fixture) {
    const auto other = endpoint_with_runs(2);
    holder.release(now, endpoint_with_runs(1));
    now += 25ms;
    cpu_millis = 4000;
    estimate_ms = 900;
    assign("another", 1);
    BOOST_TEST(endpoint_of("another").empty());
    BOOST_TEST(observer.lines["start_reserved"].back()["change"] == "made");
    BOOST_TEST(observer.lines["start_reserved"].back()["endpoint"] == other);
}

// Guards against a start over the capacity (LIMIT) on an endpoint that has
// restarted and forgotten the token of its next holder, which is not heard.
BOOST_AUTO_TEST_CASE(task_beside_a_silent_peer_starts_after_an_answer) {
    holder.set_unheard_successors(fence_cause::peer_silent);
    now += 25ms;
    const auto asked = port.holds.size();
    assign("0123456789abcdef", 4);
    BOOST_TEST(port.starts.empty());
    BOOST_REQUIRE_EQUAL(port.holds.size(), asked + 2); // each endpoint once
    answer_hold("endpoint-1", {});
    holder.dispatch(now);
    BOOST_TEST(runs_on("endpoint-1", 0).size() == 2U);
    BOOST_TEST(runs_on("endpoint-2", 0).empty());
    answer_hold("endpoint-2", {});
    holder.dispatch(now);
    BOOST_TEST(runs_on("endpoint-2", 0).size() == 2U);
    // Once all are heard, one more answer of each endpoint is enough.
    holder.set_unheard_successors(std::nullopt);
    now += 100ms;
    answer_starts();
    end_runs("endpoint-1");
    end_runs("endpoint-2");
    now += 100ms;
    const auto before = port.starts.size();
    assign("0123456789abcd00", 1);
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
    refuse_calls({"endpoint-1", "endpoint-2", "endpoint-3"}, 1300ms);
    BOOST_TEST(events.crashes.empty());
}

BOOST_AUTO_TEST_CASE(endpoint_that_refuses_alone_is_suspected) {
    assign("0123456789abcdef", 2);
    answer_starts();
    refuse_calls({"endpoint-1", "endpoint-2"}, 900ms); // a cut
    BOOST_TEST(events.crashes.empty());
    refuse_calls({"endpoint-1", "endpoint-2"}, 150ms);
    BOOST_REQUIRE_EQUAL(events.crashes.size(), 2U);
    BOOST_TEST((events.crashes[0].evidence == crash_evidence::refusing));
    BOOST_TEST(events.crashes[0].queue == "queue-1");
}

// The coordinator answers a job as not run once all its tasks were returned.
BOOST_AUTO_TEST_CASE(recall_returns_only_tasks_that_were_not_started) {
    assign("0123456789abcdef", 6);
    BOOST_REQUIRE_EQUAL(port.starts.size(), 4U);
    holder.recall(coordinator, "0123456789abcdef");
    BOOST_REQUIRE_EQUAL(events.updates.size(), 2U);
    for (const auto& update : events.updates) {
        BOOST_TEST((update.kind == update_kind::returned));
        BOOST_TEST(std::none_of(port.starts.begin(), port.starts.end(),
                                [&update](const start_call& call) {
                                    return call.run == update.run;
                                }));
    }
    BOOST_TEST(holder.queue().empty());
}

BOOST_AUTO_TEST_CASE(recall_of_another_coordinators_job_returns_nothing) {
    assign("0123456789abcdef", 6);
    holder.recall({"10.1.0.77:1", 77}, "0123456789abcdef");
    BOOST_TEST(events.updates.empty());
    BOOST_TEST(holder.queue().size() == 2U);
}

// Guards against neighbours of a deadly task that lose their endpoint: a task
// under which one has crashed was started beside other runs.
BOOST_AUTO_TEST_CASE(suspect_starts_only_where_nothing_runs) {
    assign("job-1", 1);
    answer_starts();
    assign_suspect("suspect-1");
    BOOST_REQUIRE_EQUAL(port.starts.size(), 2U);
    BOOST_TEST(endpoint_of("suspect-1") != endpoint_of("job-1"));
    answer_starts();
    answer_hold(endpoint_of("suspect-1"), {});
    assign("job-2", 3);
    answer_starts();
    BOOST_REQUIRE_EQUAL(port.starts.size(), 5U);
    assign_suspect("suspect-2");
    BOOST_TEST(endpoint_of("suspect-2").empty());
}

// Guards against the same: others were started beside a task under which an
// endpoint has crashed.
BOOST_AUTO_TEST_CASE(nothing_starts_beside_a_suspect) {
    assign_suspect("suspect-1");
    BOOST_REQUIRE_EQUAL(port.starts.size(), 1U);
    const auto isolated = endpoint_of("suspect-1");
    advert about;
    holder.fill(about);
    BOOST_TEST(about.free_cpu.size() == 1U);
    assign("job-1", 4);
    answer_starts();
    BOOST_TEST(runs_on(isolated, 0).size() == 1U);
    BOOST_TEST(port.starts.size() == 3U);
    BOOST_TEST(holder.queue().size() == 2U);
    answer_hold(isolated, {}); // its run has ended
    holder.dispatch(now);
    BOOST_TEST(runs_on(isolated, 0).size() == 3U);
}

// Guards against a suspect that never starts: under full load no endpoint is
// idle unless one gets no new tasks for a while.
BOOST_AUTO_TEST_CASE(endpoint_is_emptied_for_a_waiting_suspect) {
    assign("job-1", 3);
    answer_starts();
    // One endpoint has two runs, the other one has one, which ends later.
    now += 20ms;
    assign("job-2", 1);
    answer_starts();
    const auto late = endpoint_of("job-2");
    const std::string early =
        late == "endpoint-1" ? "endpoint-2" : "endpoint-1";
    assign_suspect("suspect-1");
    assign("job-3", 2);
    auto left = runs_on(early, 10);
    BOOST_REQUIRE_EQUAL(left.size(), 2U);
    left.pop_back();
    answer_hold(early, left);
    holder.dispatch(now);
    BOOST_TEST(endpoint_of("suspect-1").empty());
    BOOST_TEST(endpoint_of("job-3").empty());
    advert about;
    holder.fill(about);
    BOOST_TEST(about.free_cpu.size() == 1U);
    answer_hold(early, {});
    holder.dispatch(now);
    BOOST_TEST(endpoint_of("suspect-1") == early);
    BOOST_TEST(endpoint_of("job-3").empty());
}

// Guards against an endpoint that stays empty for a task that was withdrawn.
BOOST_AUTO_TEST_CASE(reserved_endpoint_is_used_again_without_its_suspect) {
    assign("job-1", 4);
    answer_starts();
    assign_suspect("suspect-1");
    assign("job-2", 4);
    holder.withdraw(now, coordinator, "suspect-1");
    end_runs("endpoint-1");
    end_runs("endpoint-2");
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() == 8U);
}

// Guards against suspects that take all endpoints of a holder.
BOOST_AUTO_TEST_CASE(few_endpoints_at_a_time_run_suspects) {
    assign_suspect("suspect-1");
    assign_suspect("suspect-2");
    answer_starts();
    BOOST_REQUIRE_EQUAL(port.starts.size(), 1U);
    answer_hold(endpoint_of("suspect-1"), {});
    holder.dispatch(now);
    BOOST_TEST(!endpoint_of("suspect-2").empty());
}

// Guards against the same: the next suspect was started as soon as the lease of
// the first one had passed.
BOOST_AUTO_TEST_CASE(endpoint_lost_under_a_suspect_counts_until_it_is_gone) {
    assign_suspect("suspect-1");
    answer_starts();
    const auto lost = endpoint_of("suspect-1");
    now += 100ms;
    assign_suspect("suspect-2");
    refuse_calls({lost}, 1400ms);
    BOOST_REQUIRE(holder.sessions().at(lost)->ledger().empty());
    holder.dispatch(now);
    BOOST_REQUIRE_EQUAL(holder.queue().size(), 1U);
    BOOST_TEST(endpoint_of("suspect-2").empty());
    holder.mark_gone(now, lost);
    holder.tick(now);
    holder.dispatch(now);
    BOOST_TEST(!endpoint_of("suspect-2").empty());
    BOOST_TEST(endpoint_of("suspect-2") != lost);
}

// Guards against the same count for an endpoint that was only cut off.
BOOST_AUTO_TEST_CASE(endpoint_that_answers_again_is_not_lost_under_a_suspect) {
    assign_suspect("suspect-1");
    answer_starts();
    const auto cut = endpoint_of("suspect-1");
    now += 100ms;
    assign_suspect("suspect-2");
    refuse_calls({cut}, 1400ms);
    BOOST_REQUIRE(holder.sessions().at(cut)->is_lost_under_suspect());
    answer_hold(cut, {});
    holder.dispatch(now);
    BOOST_TEST(!endpoint_of("suspect-2").empty());
}

// Guards against suspects that holders send to and fro, and against other tasks
// that are sent to other holders because a suspect waits here.
BOOST_AUTO_TEST_CASE(waiting_suspect_stays_and_holds_nobody_up) {
    assign_suspect("suspect-1");
    assign_suspect("suspect-2");
    BOOST_REQUIRE_EQUAL(holder.queue().size(), 1U);
    advert about;
    holder.fill(about);
    BOOST_TEST(about.queued_tasks == 0U);
    events.updates.clear();
    holder.return_queued({16'000, 16'000});
    BOOST_TEST(events.updates.empty());
    BOOST_TEST(holder.queue().size() == 1U);
    assign("job-1", 1);
    BOOST_TEST(!endpoint_of("job-1").empty());
}

// Guards against a suspect that is stopped on a slow endpoint and then waits
// for another idle one.
BOOST_AUTO_TEST_CASE(suspect_stays_on_a_slow_endpoint) {
    assign_suspect("suspect-1");
    answer_starts();
    const auto slow = endpoint_of("suspect-1");
    now += 150ms;
    answer_hold(slow, runs_on(slow, 10));
    BOOST_REQUIRE(holder.sessions().at(slow)->health().is_slow(now));
    holder.tick(now);
    BOOST_TEST(port.stops.empty());
}

// Guards against tasks of one queue that crash the endpoints of all.
BOOST_AUTO_TEST_CASE(confined_queue_starts_only_in_its_compartment) {
    confine_queue_1();
    queue = "queue-1";
    assign("job-1", 16);
    BOOST_TEST(
        (starts_by_side("job-1") == std::pair<std::size_t, std::size_t>(8, 0)));
    advert about;
    holder.fill(about);
    BOOST_TEST(about.free_cpu.size() == 4U);
    BOOST_TEST(about.queued_tasks == 0U);
    events.updates.clear();
    holder.return_queued({16'000, 16'000});
    BOOST_TEST(events.updates.empty());
    queue = "queue-2";
    assign("job-2", 2); // is not held up
    BOOST_TEST(
        (starts_by_side("job-2") == std::pair<std::size_t, std::size_t>(0, 2)));
}

// Guards against tasks of other queues that crash with their endpoint although
// another one has room, and against room left unused by short tasks.
BOOST_AUTO_TEST_CASE(short_tasks_of_others_use_the_compartment_last) {
    confine_queue_1();
    assign("job-2", 8);
    BOOST_TEST(
        (starts_by_side("job-2") == std::pair<std::size_t, std::size_t>(0, 8)));
    assign("job-3", 2);
    BOOST_TEST(
        (starts_by_side("job-3") == std::pair<std::size_t, std::size_t>(2, 0)));
}

// Guards against long tasks of other queues that would probably be lost there.
BOOST_AUTO_TEST_CASE(long_tasks_of_others_stay_out_of_the_compartment) {
    confine_queue_1();
    estimate_ms = 1000;
    assign("job-2", 16);
    BOOST_TEST(
        (starts_by_side("job-2") == std::pair<std::size_t, std::size_t>(0, 8)));
}

// Guards against a confined queue that is starved in its own compartment: short
// tasks of urgent queues took each place that became free there.
BOOST_AUTO_TEST_CASE(others_stay_out_while_the_confined_queue_waits) {
    confine_queue_1();
    queue = "queue-1";
    priority = 2;
    assign("job-1", 9);
    queue = "queue-2";
    priority = 0;
    assign("job-2", 9);
    answer_starts();
    BOOST_TEST(holder.queue().size() == 2U);
    const auto inside = *holder.compartment().members().begin();
    auto left = runs_on(inside, 10);
    BOOST_REQUIRE_EQUAL(left.size(), 2U);
    left.pop_back();
    answer_hold(inside, left);
    answer_hold(inside, left);
    holder.dispatch(now);
    BOOST_TEST(
        (starts_by_side("job-1") == std::pair<std::size_t, std::size_t>(9, 0)));
    BOOST_TEST(
        (starts_by_side("job-2") == std::pair<std::size_t, std::size_t>(0, 8)));
}

// Guards against a deadly task of another queue beside the others' runs.
BOOST_AUTO_TEST_CASE(suspects_of_any_queue_start_in_the_compartment) {
    confine_queue_1();
    assign_suspect("suspect-1");
    BOOST_TEST((starts_by_side("suspect-1") ==
                std::pair<std::size_t, std::size_t>(1, 0)));
}

// Guards against tasks that can't start at all: no endpoint on their side has
// what they need.
BOOST_AUTO_TEST_CASE(task_that_no_endpoint_of_its_side_can_run_may_cross) {
    confine_queue_1();
    const auto inside = *holder.compartment().members().begin();
    std::string outside = "endpoint-1";
    for (int i = 1; holder.compartment().contains(outside); ++i) {
        outside = "endpoint-" + std::to_string(i);
    }
    for (const auto& id : {inside, outside}) {
        auto endpoint = holder.sessions().at(id)->endpoint();
        endpoint.labels = {id};
        holder.update_endpoint(now, endpoint);
    }
    label = outside;
    queue = "queue-1";
    assign("job-1", 1);
    BOOST_TEST(endpoint_of("job-1") == outside);
    label = inside;
    queue = "queue-2";
    estimate_ms = 1000;
    assign("job-2", 1);
    BOOST_TEST(endpoint_of("job-2") == inside);
}

// Guards against duplicate runs: the caller sends the job again to a host that
// does not know of a start that may still be carried out.
BOOST_AUTO_TEST_CASE(start_that_stays_unanswered_is_told_once) {
    assign("0123456789abcdef", 1);
    const auto run = leave_start_unanswered();
    holder.tick(now);
    BOOST_TEST(events.doubts.empty());
    now += 100ms;
    holder.tick(now);
    BOOST_REQUIRE_EQUAL(events.doubts.size(), 1U);
    const auto& doubt = events.doubts.front();
    BOOST_TEST((doubt.run == run));
    BOOST_TEST((doubt.holder == settings.self));
    BOOST_TEST(doubt.endpoint == endpoint_of("0123456789abcdef"));
    BOOST_TEST(doubt.token == 1U);
    BOOST_TEST(!doubt.over);
    now += 25ms;
    holder.tick(now);
    BOOST_TEST(events.doubts.size() == 1U);
}

// Guards against duplicate runs: a witness must know of each start before the
// holder can tell whether it stays unanswered, and until then.
BOOST_AUTO_TEST_CASE(start_is_noted_and_untold_until_answered_or_told) {
    assign("0123456789abcdef", 2);
    BOOST_REQUIRE_EQUAL(events.starts.size(), 2U);
    const auto& noted = events.starts.back();
    const auto call = port.starts.back();
    BOOST_TEST((noted.coordinator == coordinator));
    BOOST_TEST((noted.run == call.run));
    BOOST_TEST(noted.endpoint == call.target.endpoint);
    BOOST_TEST(noted.token == 1U);
    const auto is_untold = [this](const start_call& sent) {
        return holder.is_untold_start(sent.target.endpoint, 1, sent.run);
    };
    BOOST_TEST(is_untold(call));
    BOOST_TEST(!holder.is_untold_start(call.target.endpoint, 2, call.run));
    BOOST_TEST(!holder.is_untold_start("endpoint-9", 1, call.run));
    const auto& answered = port.starts.front();
    holder.handle_start(now, answered.target.endpoint, 1, answered.run,
                        {call_status::ok, to_ms(now) + 500});
    BOOST_TEST(!is_untold(answered));
    leave_start_unanswered();
    BOOST_TEST(is_untold(call));
    now += 100ms;
    holder.tick(now);
    BOOST_REQUIRE_EQUAL(events.doubts.size(), 1U);
    BOOST_TEST(!is_untold(call));
}

// Guards against duplicate runs: the caller of a withdrawn job may send it
// again to another host.
BOOST_AUTO_TEST_CASE(unanswered_start_of_a_withdrawn_job_is_told_at_once) {
    assign("0123456789abcdef", 1);
    leave_start_unanswered();
    holder.withdraw(now, coordinator, "0123456789abcdef");
    holder.tick(now);
    BOOST_TEST(events.doubts.size() == 1U);
}

// Guards against tasks that wait to the end of their job, and against a
// coordinator that learns the end of the run before the end of the doubt.
BOOST_AUTO_TEST_CASE(end_of_a_doubt_is_told_before_the_end_of_its_run) {
    assign("0123456789abcdef", 1);
    const auto run = leave_start_unanswered();
    now += 100ms;
    holder.tick(now);
    BOOST_REQUIRE_EQUAL(events.doubts.size(), 1U);
    confirm_stop(run);
    BOOST_REQUIRE_EQUAL(events.doubts.size(), 2U);
    BOOST_TEST(events.doubts.back().over);
    BOOST_TEST((events.doubts.back().run == run));
    BOOST_REQUIRE_EQUAL(events.updates.size(), 1U);
    BOOST_TEST((events.updates.back().kind == update_kind::lost));
    BOOST_TEST(events.updates_before_doubt.back() == 0U);
}

// Guards against duplicate runs: a start that was carried out late runs on
// until its stop is answered.
BOOST_AUTO_TEST_CASE(doubt_stays_open_when_its_run_is_found_running) {
    assign("0123456789abcdef", 1);
    const auto run = leave_start_unanswered();
    now += 100ms;
    holder.tick(now);
    BOOST_REQUIRE_EQUAL(events.doubts.size(), 1U);
    answer_hold(endpoint_of(run.task.job), {{run, 10}});
    now += 25ms;
    holder.tick(now);
    BOOST_TEST(events.doubts.size() == 1U);
    confirm_stop(run);
    BOOST_TEST(events.doubts.size() == 2U);
}

// Guards against duplicate runs: the run is on an instance that nobody knows,
// and another start that is carried out late extends its lease, although the
// caller of the job that was given up sends it to another host meanwhile.
BOOST_AUTO_TEST_CASE(given_up_run_on_an_unknown_instance_is_told) {
    assign("0123456789abcdef", 1);
    const auto& call = port.starts.back();
    // The clock of a later instance began anew.
    holder.handle_start(now, call.target.endpoint, 1, call.run,
                        {call_status::ok, 10});
    BOOST_REQUIRE_EQUAL(events.updates.size(), 1U);
    BOOST_TEST(!events.updates.back().known_instance);
    holder.tick(now);
    BOOST_TEST(events.doubts.empty());
    holder.withdraw(now, coordinator, "0123456789abcdef");
    holder.tick(now);
    BOOST_TEST(events.doubts.size() == 1U);
}

// Guards against duplicate runs: a start sent to a former instance has a
// deadline of that one's clock, so it extends the lease of a run whose instance
// is known if it is carried out late.
BOOST_AUTO_TEST_CASE(run_beside_a_former_instances_start_has_no_known_bound) {
    shrink("endpoint-2", 0);
    assign("0123456789abcdef", 1);
    leave_start_unanswered();
    endpoint_record later;
    later.id = "endpoint-1";
    later.pool = "pool";
    later.capacity = {16'000, 32'768, 0};
    later.instance_started_ms = 2000;
    holder.update_endpoint(now, later);
    hold_reply reply;
    reply.number = port.holds.back().number;
    reply.call = {call_status::ok, 1500};
    reply.instance_started_ms = 2000;
    holder.handle_hold(now, "endpoint-1", 1, reply);
    assign("fedcba9876543210", 1);
    BOOST_REQUIRE_EQUAL(endpoint_of("fedcba9876543210"), "endpoint-1");
    holder.handle_start(now, "endpoint-1", 1, port.starts.back().run,
                        {call_status::ok, 1501});
    BOOST_REQUIRE(events.updates.back().kind == update_kind::started);
    BOOST_TEST(!events.updates.back().known_instance);
    holder.withdraw(now, coordinator, "fedcba9876543210");
    holder.tick(now);
    BOOST_REQUIRE(!events.doubts.empty());
    BOOST_TEST(events.doubts.back().run.task.job == "fedcba9876543210");
}

// Guards against messages to all hosts for each start.
BOOST_AUTO_TEST_CASE(answered_start_is_not_told) {
    assign("0123456789abcdef", 1);
    answer_starts();
    BOOST_TEST(events.updates.back().known_instance);
    holder.withdraw(now, coordinator, "0123456789abcdef");
    now += 300ms;
    holder.tick(now);
    confirm_stop(port.starts.back().run);
    BOOST_TEST(events.doubts.empty());
}

// Guards against duplicate runs: the holder has no part in the endpoint any
// more, and the coordinator may be lost before the next holder has.
BOOST_AUTO_TEST_CASE(unanswered_start_on_a_released_endpoint_is_told) {
    assign("0123456789abcdef", 1);
    const auto endpoint = endpoint_of("0123456789abcdef");
    holder.withdraw(now, coordinator, "0123456789abcdef");
    holder.release(now, endpoint);
    BOOST_REQUIRE_EQUAL(events.doubts.size(), 1U);
    BOOST_TEST(!events.doubts.back().over);
    BOOST_TEST(events.doubts.back().endpoint == endpoint);
}

// Guards against inputs whose cost grows with the number of waiting tasks.
BOOST_AUTO_TEST_CASE(inputs_touch_as_many_tasks_in_a_long_queue) {
    std::vector<std::uint64_t> touched;
    for (const std::uint32_t waiting : {100U, 10'000U}) {
        holder_fixture fixture;
        auto& holder = fixture.holder;
        fixture.settings.max_held_tasks = 2 * waiting;
        for (std::uint32_t i = 0; i < waiting; i += 100) {
            fixture.priority = i / 100 % 3;
            fixture.assign("job-" + std::to_string(i), 100);
        }
        fixture.answer_starts();
        const auto before = holder.queue().touched();
        for (int step = 0; step < 10; ++step) {
            // No room, then room for two tasks.
            holder.dispatch(fixture.now);
            fixture.end_runs("endpoint-1");
            holder.dispatch(fixture.now);
            fixture.answer_starts();
            advert about;
            holder.fill(about);
            BOOST_TEST(about.queued_tasks == holder.queue().size());
            holder.tick(fixture.now);
            holder.return_queued({});
            BOOST_TEST(holder.coordinators().size() == 1U);
        }
        BOOST_TEST(holder.queue().size() == waiting - 4 - 20);
        touched.push_back(holder.queue().touched() - before);
    }
    BOOST_TEST(touched[0] == touched[1]);
    BOOST_TEST(touched[0] < 100U);
}

// Guards against messages to all hosts for starts that are about to end, and
// against duplicate runs if they don't: no list follows the answered stop.
BOOST_AUTO_TEST_CASE(given_up_start_with_an_answered_stop_is_told_in_time) {
    assign("0123456789abcdef", 1);
    const auto run = leave_start_unanswered();
    holder.handle_stop(now, endpoint_of(run.task.job), 1, run,
                       {call_status::ok, to_ms(now) + 500});
    holder.withdraw(now, coordinator, run.task.job);
    holder.tick(now);
    BOOST_TEST(events.doubts.empty());
    now += 25ms; // 175 ms after the start
    holder.tick(now);
    BOOST_TEST(events.doubts.size() == 1U);
}

// Guards against messages to all hosts for starts that have ended.
BOOST_AUTO_TEST_CASE(given_up_start_that_ends_in_time_is_not_told) {
    assign("0123456789abcdef", 1);
    const auto run = leave_start_unanswered();
    const auto endpoint = endpoint_of(run.task.job);
    holder.handle_stop(now, endpoint, 1, run,
                       {call_status::ok, to_ms(now) + 500});
    holder.withdraw(now, coordinator, run.task.job);
    holder.tick(now);
    answer_hold(endpoint, {});
    now += 200ms;
    holder.tick(now);
    BOOST_TEST(events.doubts.empty());
}

// Guards against hosts without processor time that suspect their own starts
// before they have read the answers, and against duplicate runs if none came.
BOOST_AUTO_TEST_CASE(late_holder_tells_an_unanswered_start_later) {
    assign("0123456789abcdef", 1);
    leave_start_unanswered();
    now += 150ms;
    holder.set_late(true);
    holder.tick(now);
    BOOST_TEST(events.doubts.empty());
    now += 25ms;
    holder.tick(now);
    BOOST_TEST(events.doubts.size() == 1U);
}

// A call takes several kilobytes, and the calls to an endpoint beyond the
// limit of the HTTP client end unanswered, so that their tasks are stopped.
BOOST_AUTO_TEST_CASE(starts_wait_until_earlier_ones_are_answered) {
    cpu_millis = 50;
    assign("job", 250);
    const std::size_t at_once = 2 * settings.max_open_starts;
    BOOST_REQUIRE_EQUAL(port.starts.size(), at_once);
    BOOST_TEST(holder.queue().size() == 250 - at_once);
    answer_starts();
    holder.dispatch(now);
    BOOST_TEST(port.starts.size() == 2 * at_once);
    while (answered < port.starts.size()) {
        answer_starts();
        holder.dispatch(now);
    }
    BOOST_TEST(port.starts.size() == 250U);
    BOOST_TEST(holder.queue().empty());
}

BOOST_AUTO_TEST_CASE(open_starts_on_all_endpoints_are_bounded) {
    settings.max_open_starts_in_all = 20;
    cpu_millis = 50;
    assign("job", 250);
    BOOST_TEST(port.starts.size() == 20U);
}

BOOST_AUTO_TEST_CASE(tasks_beyond_those_that_a_holder_takes_are_returned) {
    settings.max_held_tasks = 40;
    cpu_millis = 50;
    assign("job", 50);
    BOOST_TEST(holder.held_tasks() == 40U);
    BOOST_REQUIRE_EQUAL(events.updates.size(), 10U);
    BOOST_TEST((events.updates[0].kind == update_kind::returned));
    advert about;
    holder.fill(about);
    BOOST_TEST(about.task_room == 0U);
    answer_starts();
    end_runs("endpoint-1");
    end_runs("endpoint-2");
    holder.fill(about);
    BOOST_TEST(about.task_room ==
               settings.max_held_tasks - holder.held_tasks());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
