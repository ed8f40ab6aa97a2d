// Scenario tests of single behaviours on a few hosts in virtual time.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "core/name_table.hpp"
#include "virtual_cluster.hpp"

namespace figridge::testing {
namespace {

constexpr auto first_host = "10.0.0.1:1";
constexpr auto third_host = "10.0.0.3:1";

job_request make_job(const std::string& entry, std::size_t tasks,
                     std::uint32_t run_ms) {
    job_request job;
    job.entry = entry;
    for (std::size_t task = 0; task < tasks; ++task) {
        job.tasks.push_back({"task" + std::to_string(task), 0, 0, 0, run_ms});
    }
    return job;
}

catalogue_entry make_entry(const std::string& name) {
    return {name, "owner", "work", {}, {}, {}, 8000};
}

void check_no_violations(virtual_cluster& cluster) {
    for (const auto& violation : cluster.violations()) {
        BOOST_ERROR(violation << "\n" << cluster.log_text());
    }
}

failure_cause cause_of(virtual_cluster& cluster, std::size_t call) {
    const auto& answer = cluster.call(call).final_answer;
    return answer ? answer->cause : failure_cause::none;
}

} // namespace

BOOST_AUTO_TEST_SUITE(decisions)

BOOST_AUTO_TEST_CASE(rolling_restart_under_load_fails_no_job) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
        virtual_options options;
        options.seed = seed;
        virtual_cluster cluster(options);
        cluster.define(make_entry("e"));
        cluster.run_for(2s);
        std::vector<std::size_t> calls;
        for (int round = 0; round < 100; ++round) {
            const auto& hosts = options.hosts;
            const auto& host = hosts[cluster.random()() % hosts.size()].address;
            calls.push_back(cluster.submit(host, make_job("e", 3, 400)));
            cluster.run_for(150ms);
            if (round % 20 == 10 && round / 20 < 4) {
                const auto& stopped =
                    hosts[static_cast<std::size_t>(round / 20)].address;
                cluster.drain(stopped);
                cluster.at(2500ms,
                           [&cluster, stopped] { cluster.restart(stopped); });
            }
        }
        cluster.run_for(20s);
        for (const auto call : calls) {
            const auto& answer = cluster.call(call).final_answer;
            BOOST_TEST((answer && answer->state == job_state::complete),
                       "seed " << seed << ": "
                               << to_string(cause_of(cluster, call)) << " "
                               << (answer ? answer->detail : ""));
        }
        check_no_violations(cluster);
    }
}

BOOST_AUTO_TEST_CASE(job_that_fits_no_endpoint_is_refused_at_once) {
    virtual_cluster cluster({});
    cluster.define(make_entry("e"));
    cluster.run_for(2s);
    auto job = make_job("e", 2, 100);
    job.tasks[1].accelerators = 4;
    const auto call = cluster.submit(first_host, job);
    cluster.run_for(20ms);
    BOOST_TEST((cause_of(cluster, call) == failure_cause::not_run_cannot_fit));
    check_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(job_with_evicted_answer_never_runs_again) {
    virtual_options options;
    options.answer_memory_bytes = 2000;
    virtual_cluster cluster(options);
    cluster.define(make_entry("e"));
    cluster.run_for(2s);
    const auto first = cluster.submit(first_host, make_job("e", 2, 50));
    cluster.run_for(1s);
    for (int index = 0; index < 20; ++index) {
        cluster.submit(first_host, make_job("e", 2, 50));
    }
    cluster.run_for(5s);
    const auto again = cluster.resubmit(first, third_host);
    cluster.run_for(2s);
    BOOST_TEST((cause_of(cluster, again) == failure_cause::outcome_unknown));
    BOOST_TEST(cluster.starts_of(cluster.call(first).id) == 2U);
    check_no_violations(cluster);
}

// Jobs that would wait beyond their deadline or exceed the queue bound are
// refused at submission. The cause claims that no task of them was started,
// which `check_no_violations` verifies.
BOOST_AUTO_TEST_CASE(part_of_a_burst_is_refused_as_overloaded) {
    virtual_cluster cluster({});
    cluster.define(make_entry("e"));
    cluster.run_for(2s);
    std::vector<std::size_t> calls;
    for (int index = 0; index < 40; ++index) {
        auto job = make_job("e", 10, 1000);
        job.deadline_ms = 5000;
        calls.push_back(cluster.submit(first_host, job));
        cluster.run_for(20ms);
    }
    cluster.run_for(20s);
    int refused = 0;
    for (const auto call : calls) {
        const auto cause = cause_of(cluster, call);
        refused += cause == failure_cause::not_run_overloaded ? 1 : 0;
    }
    BOOST_TEST(refused > 0);
    check_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(starts_per_second_stay_within_limit) {
    virtual_cluster cluster({});
    auto entry = make_entry("e");
    entry.starts_per_second = {{"d1", 4}, {"d2", 2}, {"d3", 2}};
    cluster.define(entry);
    cluster.run_for(2s);
    for (int index = 0; index < 10; ++index) {
        cluster.submit(first_host, make_job("e", 8, 50));
    }
    const auto before = cluster.starts();
    cluster.run_for(8s);
    const auto in_8_s = cluster.starts() - before;
    BOOST_TEST(in_8_s <= 8U * 9U);
    // By borrowing, one host uses most of the unused shares of the others.
    BOOST_TEST(in_8_s >= 8U * 4U);
    cluster.run_for(60s);
    check_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(busy_host_borrows_running_limits_of_idle_hosts) {
    virtual_cluster cluster({});
    auto entry = make_entry("e");
    entry.running_tasks = {{"d1", 4}, {"d2", 2}, {"d3", 2}};
    cluster.define(entry);
    cluster.run_for(2s);
    cluster.submit(first_host, make_job("e", 40, 500));
    cluster.run_for(20s);
    BOOST_TEST(cluster.peak_running("e") == 8U);
    check_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(job_beyond_queued_tasks_limit_is_refused) {
    virtual_cluster cluster({});
    auto entry = make_entry("e");
    entry.running_tasks = {{"d1", 1}};
    entry.queued_tasks = {{"d1", 8}, {"d2", 8}, {"d3", 8}};
    cluster.define(entry);
    cluster.run_for(2s);
    cluster.submit(third_host, make_job("e", 6, 3000));
    const auto second = cluster.submit(third_host, make_job("e", 6, 3000));
    cluster.run_for(100ms);
    BOOST_TEST((cause_of(cluster, second) == failure_cause::not_run_limit));
    cluster.run_for(90s);
    check_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(only_the_failing_endpoint_is_ejected) {
    virtual_cluster cluster({});
    cluster.define(make_entry("e"));
    cluster.run_for(2s);
    const auto failing = cluster.endpoint_names().front();
    cluster.set_mode(failing, virtual_mode::fail_all);
    for (int index = 0; index < 150; ++index) {
        const auto host =
            cluster.host_names()[static_cast<std::size_t>(index) % 4];
        cluster.submit(host, make_job("e", 1, 100));
        cluster.run_for(100ms);
    }
    int ejected = 0;
    bool failing_is_ejected = false;
    for (const auto& host : cluster.host_names()) {
        for (const auto& item : cluster.core(host).list_endpoints()) {
            if (item.value("health", "good") != "good") {
                ++ejected;
                failing_is_ejected |= item.at("address") == failing;
            }
        }
    }
    BOOST_TEST(failing_is_ejected);
    BOOST_TEST(ejected == 1);
    cluster.run_for(5s);
    check_no_violations(cluster);
}

BOOST_AUTO_TEST_CASE(failing_job_ejects_no_endpoint) {
    virtual_cluster cluster({});
    cluster.define(make_entry("e"));
    cluster.run_for(2s);
    // All tasks of a single job fail, on every endpoint.
    for (const auto& endpoint : cluster.endpoint_names()) {
        cluster.set_mode(endpoint, virtual_mode::fail_all);
    }
    cluster.submit(first_host, make_job("e", 60, 100));
    cluster.run_for(1s);
    for (const auto& host : cluster.host_names()) {
        for (const auto& item : cluster.core(host).list_endpoints()) {
            BOOST_TEST(item.value("health", "good") == "good");
        }
    }
}

BOOST_AUTO_TEST_CASE(edits_at_ten_times_daily_rate_reach_all_hosts) {
    // 1,800 edits a day are one every 48 s. This test edits ten times as often
    // and loses the table's reply to every fifth edit. All hosts must have the
    // last version 4 s after the last interval.
    virtual_cluster cluster({});
    cluster.define(make_entry("e"));
    cluster.run_for(2s);
    for (int change = 0; change < 30; ++change) {
        if (change % 5 == 0) {
            cluster.lose_write_replies(1);
        }
        const auto host =
            cluster.host_names()[static_cast<std::size_t>(change) % 4];
        cluster.edit(host, "e" + std::to_string(change),
                     "edit" + std::to_string(change));
        cluster.run_for(4800ms);
    }
    cluster.run_for(4s);
    for (const auto& host : cluster.host_names()) {
        const auto version = cluster.core(host).current_catalogue().version;
        BOOST_TEST(version == 31U, host << " is at " << version);
    }
    check_no_violations(cluster);
}

// The platform is unreachable during the restart, so only a peer can provide
// the catalogue.
BOOST_AUTO_TEST_CASE(restarted_host_gets_catalogue_from_peer) {
    virtual_cluster cluster({});
    cluster.define(make_entry("e"));
    cluster.run_for(2s);
    cluster.set_platform(false);
    cluster.kill(first_host);
    cluster.run_for(1s);
    cluster.restart(first_host);
    BOOST_TEST(!cluster.core(first_host).is_serving());
    cluster.run_for(4s);
    BOOST_TEST(cluster.core(first_host).is_serving());
    const auto call = cluster.submit(first_host, make_job("e", 3, 200));
    cluster.run_for(3s);
    const auto& answer = cluster.call(call).final_answer;
    BOOST_TEST((answer && answer->state == job_state::complete));
    check_no_violations(cluster);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::testing
