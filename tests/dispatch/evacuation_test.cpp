// Evacuation of failure domains: the set itself, and a host that holds
// endpoints of two domains.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "core/dispatch/evacuation.hpp"
#include "quiet_dispatcher.hpp"

namespace figridge::dispatch {
namespace {

using names = std::vector<std::string>;

struct evacuation_fixture {
    void finish_runs(int count, duration run_time) {
        for (int i = 0; i < count; ++i) {
            domains.record_done("endpoint-1", run_time, 100ms);
        }
    }

    timestamp now{100s};
    evacuation domains;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_test, evacuation_fixture)

// Guards against a process that has just started and uses a domain that was
// evacuated before.
BOOST_AUTO_TEST_CASE(nothing_is_admitted_before_the_first_full_read) {
    BOOST_TEST(!domains.admits("domain-1"));
    domains.apply(5, "domain-2", true);
    BOOST_TEST(!domains.was_read());
    BOOST_TEST(!domains.admits("domain-1"));
    domains.replace(6, {});
    BOOST_TEST(domains.admits("domain-1"));
    BOOST_TEST(domains.admits("domain-2"));
}

BOOST_AUTO_TEST_CASE(row_evacuates_its_domain_until_it_is_removed) {
    domains.replace(1, {});
    BOOST_TEST(domains.apply(2, "domain-1", true).evacuated ==
               names{"domain-1"});
    BOOST_TEST(!domains.admits("domain-1"));
    BOOST_TEST(domains.admits("domain-2"));
    // Written again, with another value.
    BOOST_TEST(domains.apply(3, "domain-1", true).evacuated.empty());
    BOOST_TEST(domains.apply(4, "domain-1", false).taken_back ==
               names{"domain-1"});
    BOOST_TEST(domains.admits("domain-1"));
    BOOST_TEST(domains.version() == 4U);
}

// Guards against a domain that stays evacuated, or in use, since its change is
// among those that the store no longer has.
BOOST_AUTO_TEST_CASE(full_read_after_lost_history_replaces_the_set) {
    domains.replace(1, {"domain-1", "domain-2"});
    const auto change = domains.replace(9, {"domain-2", "domain-3"});
    BOOST_TEST(change.evacuated == names{"domain-3"});
    BOOST_TEST(change.taken_back == names{"domain-1"});
    BOOST_TEST(domains.admits("domain-1"));
    BOOST_TEST(!domains.admits("domain-2"));
    BOOST_TEST(!domains.admits("domain-3"));
}

// Guards against a late answer of the store that brings back an older state.
BOOST_AUTO_TEST_CASE(version_that_goes_back_changes_nothing) {
    domains.replace(5, {"domain-1"});
    BOOST_TEST(domains.replace(4, {}).taken_back.empty());
    BOOST_TEST(domains.apply(4, "domain-1", false).taken_back.empty());
    BOOST_TEST(!domains.admits("domain-1"));
    BOOST_TEST(domains.version() == 5U);
    // Rows of one version may come in two replies.
    domains.apply(5, "domain-2", true);
    BOOST_TEST(!domains.admits("domain-2"));
}

BOOST_AUTO_TEST_CASE(cold_endpoint_gets_its_capacity_in_steps) {
    domains.begin_return(now, "endpoint-1");
    BOOST_TEST(domains.usable_share("endpoint-1") == 0.25);
    BOOST_TEST(domains.usable_share("endpoint-2") == 1.0);
    finish_runs(4, 140ms);
    BOOST_TEST(domains.usable_share("endpoint-1") == 0.5);
    finish_runs(3, 100ms);
    finish_runs(1, 300ms); // still cold
    finish_runs(3, 100ms);
    BOOST_TEST(domains.usable_share("endpoint-1") == 0.5);
    finish_runs(1, 100ms);
    BOOST_TEST(domains.usable_share("endpoint-1") == 1.0);
}

BOOST_AUTO_TEST_CASE(cold_endpoint_gets_all_once_its_row_says_warm) {
    domains.begin_return(now, "endpoint-1");
    domains.record_row(now + 1s, "endpoint-1", 3s);
    domains.tick(now + 3900ms);
    BOOST_TEST(domains.usable_share("endpoint-1") == 0.25);
    domains.tick(now + 4s);
    BOOST_TEST(domains.usable_share("endpoint-1") == 1.0);
}

// Guards against full load on a cold endpoint by a row that was written while
// it was evacuated.
BOOST_AUTO_TEST_CASE(row_from_before_the_return_does_not_say_warm) {
    domains.begin_return(now, "endpoint-1");
    domains.record_row(now + 700ms, "endpoint-1", 0ms);
    domains.tick(now + 2s);
    BOOST_TEST(domains.usable_share("endpoint-1") == 0.25);
    domains.record_row(now + 2500ms, "endpoint-1", 0ms);
    domains.tick(now + 2500ms);
    BOOST_TEST(domains.usable_share("endpoint-1") == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

// A host that holds endpoint-1 of domain-1 and endpoint-2 of domain-2, each
// with room for two tasks. The endpoints answer within a tick.
struct evacuating_dispatcher : quiet_dispatcher {
    explicit evacuating_dispatcher(bool evacuations_read = true)
        : quiet_dispatcher(make_settings(), true, evacuations_read) {
        core.set_catalogue(1, "one");
        list_endpoints(0ms);
        run_for(1200ms);
        BOOST_REQUIRE(core.gauges(now).at("endpoints_held") == 2);
    }

    void list_endpoints(duration cold_left) {
        auto other = make_endpoint("endpoint-2");
        other.failure_domain = "domain-2";
        other.cold_left = cold_left;
        core.set_endpoints(now, {make_endpoint("endpoint-1"), other});
    }

    void run_for(duration time) {
        for (const auto end = now + time; now < end;) {
            now += 25ms;
            core.tick(now);
            answer_calls();
        }
    }

    void answer_calls() {
        for (; written < store.writes.size(); ++written) {
            core.handle_write_result(now, store.writes[written].first,
                                     store_status::ok);
            for (auto row : store.writes[written].second) {
                row.version = written + 2;
                core.set_holder(now, row);
            }
        }
        for (; answered < endpoints.starts.size(); ++answered) {
            const auto call = endpoints.starts[answered];
            running[call.target.endpoint].push_back(call.run);
            core.handle_start(now, call.target, call.run,
                              {call_status::ok, to_ms(now)});
        }
        for (const auto& call : std::exchange(endpoints.holds, {})) {
            hold_reply reply;
            reply.number = call.number;
            reply.call = {call_status::ok, to_ms(now)};
            reply.instance_started_ms = 1000;
            for (const auto& run : running[call.target.endpoint]) {
                reply.running.push_back({run, 0});
            }
            for (const auto& run :
                 std::exchange(done[call.target.endpoint], {})) {
                reply.ended.push_back({++end_number, run, end_kind::done});
            }
            core.handle_hold(now, call.target, reply);
        }
    }

    // The runs on the endpoint end well.
    void end_runs(const std::string& endpoint) {
        done[endpoint] = std::exchange(running[endpoint], {});
        run_for(100ms);
    }

    void submit(caller_token token, std::uint32_t tasks) {
        core.submit(now, token,
                    make_job("0123456789abcde" + std::to_string(token), tasks));
    }

    [[nodiscard]] std::size_t starts_on(const std::string& endpoint) const {
        return static_cast<std::size_t>(
            std::count_if(endpoints.starts.begin(), endpoints.starts.end(),
                          [&](const start_call& call) {
                              return call.target.endpoint == endpoint;
                          }));
    }

    // The free processor share in the advert.
    [[nodiscard]] int free_cpu() const {
        return core.dump_hosts(now).at(0).at("free_cpu_millis").get<int>();
    }

    // An assignment by a peer of tasks of six cores.
    void receive_assignment(const std::string& job, std::uint32_t tasks) {
        envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.content_echo_us = now.count();
        message.sequence = 1;
        task_assignment assignment;
        assignment.job = job;
        assignment.pool = "pool";
        assignment.objective_us = duration(100ms).count();
        assignment.patience_us = duration(1500ms).count();
        for (std::uint32_t i = 0; i < tasks; ++i) {
            assignment.items.push_back(
                {{{job, 0, i}, 1}, {{6000, 64, 0}, 60, "", ""}, {}, 0});
        }
        message.content.assignments = {assignment};
        core.handle_envelope(now, message);
    }

    // Tasks that were returned to the peer, without resent ones.
    [[nodiscard]] std::size_t returned_to_peer() const {
        std::set<task_run> runs;
        for (const auto& [address, message] : peers.sent) {
            for (const auto& update : message.content.updates) {
                if (update.kind == update_kind::returned) {
                    runs.insert(update.run);
                }
            }
        }
        return runs.size();
    }

    std::size_t written = 0;
    std::size_t answered = 0;
    std::uint64_t end_number = 0;
    std::map<std::string, std::vector<task_run>> running; // by endpoint
    std::map<std::string, std::vector<task_run>> done;    // not listed yet
};

struct unread_dispatcher : evacuating_dispatcher {
    unread_dispatcher() : evacuating_dispatcher(false) {}
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuating_dispatcher_test, evacuating_dispatcher)

BOOST_AUTO_TEST_CASE(evacuated_domain_gets_no_task_and_its_runs_go_on) {
    submit(1, 4);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-2") == 2U);
    core.set_evacuation(now, 7, "domain-2", true);
    BOOST_TEST(endpoints.stops.empty());
    const auto& line = observer.lines["failure_domain_evacuated"].at(0);
    BOOST_TEST(line.at("failure_domain") == "domain-2");
    BOOST_TEST(line.at("version") == "7");
    BOOST_TEST(line.at("runs") == "2");
    BOOST_TEST(core.gauges(now).at("evacuated_failure_domains") == 1);
    BOOST_TEST(core.dump_endpoints(now).at(1).at("evacuated") == true);
    end_runs("endpoint-1");
    end_runs("endpoint-2");
    BOOST_TEST(callers.answers.size() == 1U);
    submit(2, 4);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-1") == 4U);
    BOOST_TEST(starts_on("endpoint-2") == 2U);
    // The two that waited.
    end_runs("endpoint-1");
    BOOST_TEST(starts_on("endpoint-1") == 6U);
    end_runs("endpoint-1");
    BOOST_REQUIRE(callers.answers.size() == 2U);
    BOOST_TEST(
        (callers.answers.back().second.outcome == job_outcome::completed));
}

// Guards against endpoints of a domain whose evacuation a process that has just
// started has not read.
BOOST_FIXTURE_TEST_CASE(new_host_starts_nothing_before_it_has_read_the_table,
                        unread_dispatcher) {
    BOOST_TEST(free_cpu() == 0);
    BOOST_TEST(!core.is_ready(now));
    receive_assignment("0123456789abcdef", 2);
    run_for(50ms);
    BOOST_TEST(endpoints.starts.empty());
    BOOST_TEST(returned_to_peer() == 2U);
    core.set_evacuations(now, 7, {"domain-2"});
    BOOST_TEST(core.is_ready(now));
    submit(1, 3);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-1") == 2U);
    BOOST_TEST(starts_on("endpoint-2") == 0U);
}

// Guards against tasks that wait at a holder until their callers give up. Two
// are queued, and two more come in transit.
BOOST_AUTO_TEST_CASE(holder_without_a_usable_endpoint_returns_tasks_at_once) {
    core.set_evacuation(now, 7, "domain-1", true);
    receive_assignment("0123456789abcdef", 4);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-2") == 2U);
    BOOST_TEST(returned_to_peer() == 0U);
    core.set_evacuation(now, 8, "domain-2", true);
    BOOST_TEST(returned_to_peer() == 2U);
    BOOST_TEST(free_cpu() == 0);
}

// Guards against jobs that wait for what cannot come.
BOOST_AUTO_TEST_CASE(job_for_evacuated_endpoints_only_is_refused_at_once) {
    core.set_evacuations(now, 7, {"domain-1", "domain-2"});
    submit(1, 1);
    BOOST_REQUIRE(callers.answers.size() == 1U);
    BOOST_TEST((callers.answers[0].second.outcome == job_outcome::refused));
    BOOST_TEST(callers.answers[0].second.reason == "no_endpoints");
    BOOST_TEST(endpoints.starts.empty());
    core.set_evacuation(now, 8, "domain-1", false);
    submit(2, 1);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-1") == 1U);
}

// A row of another writer, or one with a slip of the operator's.
BOOST_AUTO_TEST_CASE(name_that_no_endpoint_has_evacuates_nothing) {
    core.set_evacuation(now, 7, "domain-9", true);
    BOOST_TEST(core.gauges(now).at("evacuated_failure_domains") == 0);
    submit(1, 4);
    run_for(50ms);
    BOOST_TEST(endpoints.starts.size() == 4U);
}

// The host has no word of the store any more: its state stays.
BOOST_AUTO_TEST_CASE(host_without_the_store_keeps_the_last_state) {
    core.set_evacuation(now, 7, "domain-2", true);
    run_for(20s);
    submit(1, 2);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-1") == 2U);
    BOOST_TEST(starts_on("endpoint-2") == 0U);
}

// A run ends without success there, and its task is placed again.
BOOST_AUTO_TEST_CASE(task_placed_again_starts_in_another_domain) {
    submit(1, 4);
    run_for(50ms);
    core.set_evacuation(now, 7, "domain-2", true);
    end_runs("endpoint-1");
    running["endpoint-2"].clear(); // lost
    run_for(200ms);
    BOOST_TEST(starts_on("endpoint-1") == 4U);
    BOOST_TEST(starts_on("endpoint-2") == 2U);
}

// Guards against a cold endpoint that takes its full load at once, and against
// a large task that waits for a share that it fits.
BOOST_AUTO_TEST_CASE(cold_endpoint_starts_one_task_at_first) {
    core.set_evacuations(now, 7, {"domain-1", "domain-2"});
    core.set_evacuation(now, 8, "domain-2", false);
    list_endpoints(5s);
    BOOST_TEST(free_cpu() == 4000);
    submit(1, 3);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-2") == 1U);
    for (int i = 0; i < 3; ++i) {
        end_runs("endpoint-2");
    }
    BOOST_TEST(callers.answers.size() == 1U);
}

BOOST_AUTO_TEST_CASE(warm_endpoint_gets_all_when_its_row_says_so) {
    core.set_evacuation(now, 7, "domain-2", true);
    core.set_evacuation(now, 8, "domain-2", false);
    BOOST_TEST(observer.lines["failure_domain_taken_back"].size() == 1U);
    BOOST_TEST(free_cpu() == 20'000);
    BOOST_TEST(core.dump_endpoints(now).at(1).at("usable_share") == 0.25);
    run_for(2500ms);
    list_endpoints(0ms);
    run_for(50ms);
    BOOST_TEST(free_cpu() == 32'000);
    submit(1, 4);
    run_for(50ms);
    BOOST_TEST(starts_on("endpoint-2") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
