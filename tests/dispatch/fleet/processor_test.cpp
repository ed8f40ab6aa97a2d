// Virtual fleets whose hosts have little processor time. All times are virtual,
// and the seeds decide everything.
#define BOOST_TEST_MODULE fleet_processors
#define BOOST_TEST_DYN_LINK
#include <iostream>

#include <boost/test/unit_test.hpp>

#include "host_processor.hpp"
#include "virtual_fleet.hpp"

namespace figridge::dispatch::fleet {
namespace {

// Hosts get to know each other and take over the endpoints.
constexpr duration startup_time = 3s;

// The sizes of the users' site with 32 hosts.
constexpr double endpoints_per_host = 13.75;
constexpr double large_share = 6.0 / 32.0;
// Of an endpoint with 16,000; the mean of the jobs of the matrices.
constexpr std::uint32_t task_cpu = 6'500;
// A job is worth nothing after this many times its objective.
constexpr int patience_in_objectives = 3;
// Jobs are served again this long after a fault or its end.
constexpr int recovery_s = 5;
constexpr double served_share = 0.9;
// A play ends early with a host in which so many inputs wait.
constexpr std::size_t hopeless_queue = 5'000;

fleet_size small_hosts(std::size_t hosts) {
    fleet_size size;
    size.hosts = hosts;
    size.cpu_share = 0.12;
    size.endpoints = 9 * hosts;
    size.has_processors = true;
    return size;
}

std::vector<job_kind> two_task_jobs(double jobs_per_s, duration patience) {
    job_kind kind;
    kind.jobs_per_s = jobs_per_s;
    kind.tasks = 2;
    kind.run_time = 40ms;
    kind.cpu_millis = 2000;
    kind.patience = patience;
    return {kind};
}

duration longest_wait(const virtual_fleet& fleet) {
    duration longest{0};
    for (std::size_t i = 0; i < fleet.host_count(); ++i) {
        longest = std::max(longest, fleet.traffic_of(i).longest_wait);
    }
    return longest;
}

fleet_size site_of(std::size_t hosts) {
    fleet_size size;
    size.hosts = hosts;
    size.cpu_share = 0.12;
    const auto count = static_cast<double>(hosts);
    size.large_hosts = static_cast<std::size_t>(large_share * count);
    size.endpoints = static_cast<std::size_t>(endpoints_per_host * count);
    size.has_processors = true;
    return size;
}

// The jobs of a quiet day of the site with 32 hosts, for a site of this size.
// They use 0.3 of the small hosts' processor time.
std::vector<job_kind> quiet_load(std::size_t hosts) {
    const double share = static_cast<double>(hosts) / 32.0;
    std::vector<job_kind> kinds{
        {206.0 * share, 8, 60ms, task_cpu},
        {600.0 * share, 2, 40ms, task_cpu},
        {37.0 * share, 4, 150ms, task_cpu},
    };
    for (auto& kind : kinds) {
        const auto objective =
            kind.latency_target +
            duration(static_cast<std::int64_t>(
                kind.stretch * static_cast<double>(kind.run_time.count())));
        kind.patience = patience_in_objectives * objective;
    }
    return kinds;
}

std::size_t longest_queue(const virtual_fleet& fleet) {
    std::size_t longest = 0;
    for (std::size_t i = 0; i < fleet.host_count(); ++i) {
        longest = std::max(longest, fleet.traffic_of(i).longest_queue);
    }
    return longest;
}

// Calls `begin_of_second` at each full second of the load.
void play(virtual_fleet& fleet, int seconds,
          const std::function<void(int second)>& begin_of_second) {
    fleet.run_for(startup_time);
    fleet.reset_peaks();
    fleet.begin_load(quiet_load(fleet.host_count()));
    for (int second = 0; second < seconds; ++second) {
        begin_of_second(second);
        fleet.run_for(1s);
        if (longest_queue(fleet) > hopeless_queue) {
            return;
        }
    }
    begin_of_second(seconds);
    fleet.end_load();
    fleet.run_for(2s);
}

host_traffic traffic_of_live_hosts(const virtual_fleet& fleet) {
    host_traffic sum;
    for (std::size_t i = 0; i < fleet.host_count(); ++i) {
        if (fleet.is_up(i)) {
            const auto traffic = fleet.traffic_of(i);
            sum.relayed_reports += traffic.relayed_reports;
            sum.calls += traffic.calls;
            sum.connections += traffic.connections;
        }
    }
    return sum;
}

// Powers off this many hosts, of all domains and sizes alike.
void power_off(virtual_fleet& fleet, std::size_t count) {
    for (std::size_t i = 0; i < fleet.host_count(); ++i) {
        if (i * count % fleet.host_count() < count) {
            fleet.kill_host(i, true);
        }
    }
}

double share_served(const job_counts& jobs) {
    return static_cast<double>(jobs.served) /
           static_cast<double>(std::max<std::uint64_t>(jobs.sent, 1));
}

double share_served(const virtual_fleet& fleet) {
    job_counts all;
    for (const auto& [second, jobs] : fleet.jobs_by_second()) {
        all.sent += jobs.sent;
        all.served += jobs.served;
    }
    return share_served(all);
}

// The lowest share of the jobs sent in one second, from this one on; 0 if the
// play ended before.
double lowest_share_from(const virtual_fleet& fleet, int first) {
    const auto from = fleet.jobs_by_second().lower_bound(first);
    if (from == fleet.jobs_by_second().end()) {
        return 0.0;
    }
    double lowest = 1.0;
    for (auto jobs = from; jobs != fleet.jobs_by_second().end(); ++jobs) {
        lowest = std::min(lowest, share_served(jobs->second));
    }
    return lowest;
}

void print_shares(const std::string& name, const virtual_fleet& fleet) {
    std::cout << name << ": served " << share_served(fleet) << ", by second";
    for (const auto& [second, jobs] : fleet.jobs_by_second()) {
        std::cout << " " << std::lround(100 * share_served(jobs));
    }
    std::cout << "; longest queue " << longest_queue(fleet) << "\n";
}

// Runs at the same time, and all that callers can see, but for jobs that are
// late or refused.
void check_safety(const virtual_fleet& fleet) {
    for (const auto& violation : fleet.observed.violations) {
        BOOST_ERROR(violation);
    }
}

BOOST_AUTO_TEST_SUITE(queueing)

// Guards against tests of load in which processor time costs nothing.
BOOST_AUTO_TEST_CASE(processor_time_is_divided_by_share_and_slow_down) {
    host_processor processor(0.5);
    BOOST_CHECK(processor.use(timestamp(1s), 10ms) == timestamp(1020ms));
    BOOST_CHECK(processor.use(timestamp(1s), 10ms) == timestamp(1040ms));
    processor.set_slow_down(3.0);
    BOOST_CHECK(processor.use(timestamp(1s), 10ms) == timestamp(1100ms));
    BOOST_CHECK(processor.use(timestamp(2s), 10ms) == timestamp(2060ms));
    BOOST_CHECK(processor.used() == 40ms);
}

// Guards against a time-out and a reply that are both paid for and counted.
BOOST_AUTO_TEST_CASE(obsolete_inputs_are_dropped) {
    host_processor processor(0.5);
    const auto obsolete = std::make_shared<bool>(false);
    processor.add_input(timestamp(1s), {1ms, nullptr, obsolete});
    processor.add_input(timestamp(1s), {2ms, nullptr, obsolete});
    processor.add_input(timestamp(1s), {3ms, nullptr});
    BOOST_CHECK(processor.take_input(timestamp(2s))->cost == 1ms);
    *obsolete = true;
    BOOST_CHECK(processor.take_input(timestamp(4s))->cost == 3ms);
    BOOST_CHECK(!processor.take_input(timestamp(9s)));
    BOOST_CHECK(processor.longest_wait() == 3s);
    BOOST_CHECK_EQUAL(processor.longest_queue(), 3U);
}

// Guards against hosts without processor time that handle inputs at once.
BOOST_AUTO_TEST_CASE(inputs_wait_while_the_host_is_busy) {
    virtual_fleet fleet(1, small_hosts(4));
    fleet.run_for(startup_time);
    fleet.begin_load(two_task_jobs(100.0, 3s));
    fleet.run_for(2s);
    fleet.reset_peaks();
    fleet.run_for(2s);
    BOOST_CHECK_LT(to_ms(longest_wait(fleet)), 40);
    for (std::size_t i = 0; i < fleet.host_count(); ++i) {
        fleet.slow_processor(i, 15.0);
    }
    fleet.run_for(2s);
    BOOST_CHECK_GT(to_ms(longest_wait(fleet)), 400);
    for (std::size_t i = 0; i < fleet.host_count(); ++i) {
        fleet.slow_processor(i, 1.0);
    }
    fleet.run_for(6s);
    fleet.reset_peaks();
    fleet.run_for(1s);
    BOOST_CHECK_LT(to_ms(longest_wait(fleet)), 40);
}

// Guards against busy hosts that still take replies after their time limit,
// which costs the daemon the call and its connection.
BOOST_AUTO_TEST_CASE(busy_hosts_lose_the_connections_of_late_calls) {
    virtual_fleet fleet(1, small_hosts(4));
    const auto connections = [&fleet] {
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < fleet.host_count(); ++i) {
            sum += fleet.traffic_of(i).connections;
        }
        return sum;
    };
    fleet.run_for(startup_time);
    fleet.begin_load(two_task_jobs(100.0, 3s));
    fleet.run_for(2s);
    const auto before = connections();
    fleet.run_for(2s);
    const auto quiet = connections() - before;
    for (std::size_t i = 0; i < fleet.host_count(); ++i) {
        fleet.slow_processor(i, 10.0);
    }
    fleet.run_for(2s);
    const auto busy = connections() - before - quiet;
    BOOST_CHECK_GT(busy, quiet + 20);
}

// Guards against ticks that pile up and keep a slow host busy for ever.
BOOST_AUTO_TEST_CASE(ticks_of_a_busy_host_come_once) {
    fleet_size size;
    size.hosts = 1;
    size.endpoints = 1;
    size.domains = 1;
    size.has_processors = true;
    virtual_fleet fleet(1, size);
    fleet.run_for(startup_time);
    // A tick takes 48 ms, and another one is due after 25 ms.
    fleet.slow_processor(0, 200.0);
    fleet.run_for(1s);
    fleet.reset_peaks();
    fleet.run_for(5s);
    BOOST_CHECK_LE(fleet.traffic_of(0).longest_queue, 4U);
    BOOST_CHECK_GT(to_ms(longest_wait(fleet)), 20);
}

// Guards against a fleet that differs from the recorded runs of the matrices.
BOOST_AUTO_TEST_CASE(inputs_take_no_time_without_processors) {
    auto size = small_hosts(4);
    size.has_processors = false;
    virtual_fleet fleet(1, size);
    fleet.run_for(startup_time);
    fleet.begin_load(20.0);
    fleet.run_for(2s);
    BOOST_CHECK(fleet.traffic_of(0).processor_time == duration{0});
    BOOST_CHECK(longest_wait(fleet) == duration{0});
    BOOST_CHECK_GT(fleet.traffic_of(0).envelopes, 0U);
}

// Guards against a seed that plays differently.
BOOST_AUTO_TEST_CASE(a_seed_decides_everything) {
    const auto play = [] {
        virtual_fleet fleet(7, small_hosts(4));
        fleet.run_for(startup_time);
        fleet.begin_load(two_task_jobs(100.0, 1500ms));
        fleet.run_for(2s);
        fleet.slow_processor(1, 10.0);
        fleet.run_for(2s);
        return std::tuple(fleet.jobs_completed, fleet.jobs_timed_out,
                          fleet.traffic_of(1).calls,
                          fleet.traffic_of(1).processor_time);
    };
    BOOST_CHECK(play() == play());
}

BOOST_AUTO_TEST_SUITE_END()

// All hosts are slower by this factor for 4 s.
void check_slow_hosts_serve_again(double factor) {
    constexpr int begins_s = 3;
    constexpr int ends_s = begins_s + 4;
    constexpr int seconds = 24;
    // Some 4 KB each; a host's memory is limited to 160 MB.
    constexpr std::size_t queue_limit = 4'000;
    virtual_fleet fleet(1, site_of(32));
    play(fleet, seconds, [&fleet, factor](int second) {
        if (second == begins_s || second == ends_s) {
            for (std::size_t i = 0; i < fleet.host_count(); ++i) {
                fleet.slow_processor(i, second == ends_s ? 1.0 : factor);
            }
        }
    });
    print_shares(std::to_string(factor) + " times slower", fleet);
    BOOST_CHECK_LE(longest_queue(fleet), queue_limit);
    BOOST_CHECK_GE(share_served(fleet), served_share);
    BOOST_CHECK_GE(lowest_share_from(fleet, ends_s + recovery_s), served_share);
    check_safety(fleet);
}

// Guards against hosts that are late, take each other for lost and so have
// even more to do, for ever.
BOOST_AUTO_TEST_CASE(hosts_slow_for_four_seconds_serve_again) {
    check_slow_hosts_serve_again(3.0);
}

// Guards against the same where the small hosts can't do their work meanwhile.
BOOST_AUTO_TEST_CASE(hosts_four_times_slower_serve_again) {
    check_slow_hosts_serve_again(4.0);
}

// Guards against reports from each host that is heard about each that is not,
// to each other one.
BOOST_AUTO_TEST_CASE(relayed_reports_do_not_grow_with_the_square_of_hosts) {
    constexpr int dark_s = 1;
    constexpr int seconds = 4;
    constexpr double reports_per_host = 4.0;
    for (const std::size_t hosts : {10, 20, 40}) {
        // Processors would limit what is sent.
        auto size = site_of(hosts);
        size.has_processors = false;
        virtual_fleet fleet(1, size);
        const auto dark = hosts * 2 / 5;
        const auto live = static_cast<double>(hosts - dark);
        std::uint64_t before = 0;
        double most = 0.0;
        play(fleet, seconds, [&](int second) {
            if (second == dark_s) {
                power_off(fleet, dark);
                before = traffic_of_live_hosts(fleet).relayed_reports;
            } else if (second > dark_s) {
                const auto now = traffic_of_live_hosts(fleet).relayed_reports;
                most = std::max(most, static_cast<double>(now - before) / live);
                before = now;
            }
        });
        std::cout << hosts << " hosts, " << dark << " dark: at most " << most
                  << " relayed reports a host and second\n";
        BOOST_CHECK_LE(most, reports_per_host * static_cast<double>(hosts));
        check_safety(fleet);
    }
}

// Guards against calls to endpoints that can't answer, which take the
// processor time of the hosts that are left.
BOOST_AUTO_TEST_CASE(dark_hosts_cost_the_others_no_calls) {
    constexpr int begins_s = 4;
    constexpr int seconds = 14;
    constexpr double calls_factor = 1.5;
    constexpr double connections_per_job = 0.5;
    virtual_fleet fleet(1, site_of(32));
    host_traffic quiet;
    host_traffic settled;
    std::uint64_t quiet_jobs = 0;
    std::uint64_t settled_jobs = 0;
    play(fleet, seconds, [&](int second) {
        if (second == 1) {
            quiet = traffic_of_live_hosts(fleet);
            quiet_jobs = fleet.jobs_sent;
        } else if (second == begins_s) {
            const auto now = traffic_of_live_hosts(fleet);
            quiet.calls = now.calls - quiet.calls;
            quiet_jobs = fleet.jobs_sent - quiet_jobs;
            fleet.set_store(store_mode::silent);
            power_off(fleet, 19);
            fleet.cut_domain(0);
        } else if (second == begins_s + recovery_s) {
            settled = traffic_of_live_hosts(fleet);
            settled_jobs = fleet.jobs_sent;
        } else if (second == seconds) {
            const auto now = traffic_of_live_hosts(fleet);
            settled.calls = now.calls - settled.calls;
            settled.connections = now.connections - settled.connections;
            settled_jobs = fleet.jobs_sent - settled_jobs;
        }
    });
    const auto per_job = [](std::uint64_t count, std::uint64_t jobs) {
        return static_cast<double>(count) / static_cast<double>(jobs);
    };
    const auto calls_before = per_job(quiet.calls, quiet_jobs);
    const auto calls = per_job(settled.calls, settled_jobs);
    const auto connections = per_job(settled.connections, settled_jobs);
    print_shares("19 of 32 hosts dark, a domain cut, no store", fleet);
    std::cout << "calls a job " << calls_before << " before, " << calls
              << " after; new connections a job " << connections << "\n";
    BOOST_CHECK_GE(lowest_share_from(fleet, begins_s + recovery_s),
                   served_share);
    BOOST_CHECK_LE(calls, calls_factor * calls_before);
    BOOST_CHECK_LE(connections, connections_per_job);
    check_safety(fleet);
}

// The quiet load times this factor.
std::vector<job_kind> load_of(std::size_t hosts, double factor) {
    auto kinds = quiet_load(hosts);
    for (auto& kind : kinds) {
        kind.jobs_per_s *= factor;
    }
    return kinds;
}

// Plays a quiet load that is this many times as high for 5 s. Returns the jobs
// served of those sent in one second of the surge, on average.
double play_surge(double factor) {
    constexpr int begins_s = 3;
    constexpr int ends_s = begins_s + 5;
    constexpr int seconds = ends_s + 8;
    // The load is back to normal for this long when jobs are served again.
    constexpr int surge_recovery_s = 2;
    constexpr std::size_t hosts = 8;
    // Some 4 KB each; a host's memory is limited to 160 MB.
    constexpr std::size_t queue_limit = 4'000;
    virtual_fleet fleet(1, site_of(hosts));
    play(fleet, seconds, [&fleet, factor](int second) {
        if (second == begins_s || second == ends_s) {
            fleet.end_load();
            fleet.begin_load(load_of(hosts, second == ends_s ? 1.0 : factor));
        }
    });
    print_shares(std::to_string(factor) + " times the load", fleet);
    BOOST_CHECK_LE(longest_queue(fleet), queue_limit);
    BOOST_CHECK_GE(lowest_share_from(fleet, ends_s + surge_recovery_s),
                   served_share);
    check_safety(fleet);
    std::uint64_t served = 0;
    for (int second = begins_s; second < ends_s; ++second) {
        const auto jobs = fleet.jobs_by_second().find(second);
        served +=
            jobs == fleet.jobs_by_second().end() ? 0 : jobs->second.served;
    }
    const double per_s =
        static_cast<double>(served) / static_cast<double>(ends_s - begins_s);
    std::cout << "served a second of the surge: " << per_s << "\n";
    return per_s;
}

// Guards against hosts that serve fewer jobs the more come, and stay late after
// the surge has ended.
BOOST_AUTO_TEST_CASE(surges_are_served_as_far_as_processors_allow) {
    const auto served = play_surge(2.2);
    for (const double factor : {4.0, 8.0}) {
        BOOST_CHECK_GE(play_surge(factor), served);
    }
}

// Guards against hosts that do more for each dark host than for its jobs.
BOOST_AUTO_TEST_CASE(jobs_of_two_fifths_dark_hosts_are_served_by_the_others) {
    constexpr int begins_s = 3;
    constexpr int seconds = 14;
    virtual_fleet fleet(1, site_of(32));
    play(fleet, seconds, [&fleet](int second) {
        if (second == begins_s) {
            power_off(fleet, 13);
        }
    });
    print_shares("13 of 32 hosts dark", fleet);
    BOOST_CHECK_GE(lowest_share_from(fleet, begins_s + recovery_s),
                   served_share);
    check_safety(fleet);
}

} // namespace
} // namespace figridge::dispatch::fleet
