// Starts and reservations decided by the planner, and a simulation of them
// with estimates that are off by up to 40%.
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <random>

#include "core/dispatch/start_planner.hpp"

namespace figridge::dispatch {
namespace {

planned_endpoint make_endpoint(const std::string& id, std::uint32_t free,
                               std::vector<planned_run> runs = {},
                               std::uint32_t capacity = 32'000) {
    planned_endpoint endpoint;
    endpoint.id = id;
    endpoint.free = {free, 100'000, 0};
    endpoint.capacity = {capacity, 100'000, 0};
    endpoint.runs = std::move(runs);
    return endpoint;
}

planned_task make_task(const std::string& job, std::uint32_t cpu_millis,
                       std::uint32_t estimate_ms) {
    planned_task task;
    task.key = {job, 0, 0};
    task.group = "pool";
    task.need.room = {cpu_millis, 100, 0};
    task.need.estimate_ms = estimate_ms;
    return task;
}

bool admit_all(const std::string& /*endpoint*/) {
    return true;
}

struct planner_fixture {
    void begin(std::vector<planned_endpoint> endpoints) {
        planner.begin(now, 3.0, std::move(endpoints));
    }
    plan_decision choose(const planned_task& task) {
        return planner.choose(task, admit_all);
    }
    // Starts the task if the planner decides so.
    plan_decision place(const planned_task& task) {
        auto decision = choose(task);
        if (decision.action == plan_action::start) {
            planner.take(task, decision.endpoint);
            planner.note_started(task.key, decision.endpoint);
        }
        return decision;
    }
    std::size_t changes(reservation_event event) {
        const auto all = planner.take_changes();
        return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [&](const auto& change) {
                return change.event == event;
            }));
    }

    timestamp now = 10s;
    start_planner planner{planner_limits{}};
};

// One endpoint of 32 cores, 24 of which are occupied for another 200 ms.
std::vector<planned_endpoint> one_busy_endpoint(timestamp now) {
    return {make_endpoint("a", 8000, {{{24'000, 100, 0}, now + 200ms}})};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(start_planner_suite, planner_fixture)

BOOST_AUTO_TEST_CASE(task_that_fits_starts_at_the_lowest_cost) {
    begin({make_endpoint("loose", 32'000), make_endpoint("tight", 16'000)});
    const auto decision = choose(make_task("job", 16'000, 200));
    BOOST_TEST((decision.action == plan_action::start));
    BOOST_TEST(decision.endpoint == "tight");
}

BOOST_AUTO_TEST_CASE(task_that_does_not_fit_is_reserved_where_it_starts_first) {
    begin({make_endpoint("late", 8000, {{{24'000, 1, 0}, now + 300ms}}),
           make_endpoint("early", 8000, {{{24'000, 1, 0}, now + 200ms}})});
    const auto decision = choose(make_task("large", 20'000, 200));
    BOOST_TEST((decision.action == plan_action::reserve));
    BOOST_TEST(decision.endpoint == "early");
    BOOST_TEST(to_ms(decision.at - now) == 200);
    BOOST_TEST(changes(reservation_event::made) == 1U);
}

// Guards against a reserved task that is delayed by later ones.
BOOST_AUTO_TEST_CASE(later_task_starts_only_if_it_ends_before_the_reservation) {
    begin(one_busy_endpoint(now));
    place(make_task("large", 30'000, 200));
    BOOST_TEST(
        (place(make_task("long", 4000, 250)).action != plan_action::start));
    const auto decision = place(make_task("short", 4000, 150));
    BOOST_TEST((decision.action == plan_action::start));
    BOOST_TEST(changes(reservation_event::started_ahead) == 1U);
}

BOOST_AUTO_TEST_CASE(later_task_starts_if_it_leaves_the_reserved_room) {
    begin(one_busy_endpoint(now));
    place(make_task("large", 28'000, 200));
    BOOST_TEST(
        (place(make_task("long", 4000, 900)).action == plan_action::start));
    BOOST_TEST(
        (place(make_task("another", 4000, 900)).action != plan_action::start));
}

// Guards against a chain of small tasks, each of which outlasts its estimate.
BOOST_AUTO_TEST_CASE(only_spare_room_is_used_after_the_promised_time) {
    const auto large = make_task("large", 30'000, 200);
    begin(one_busy_endpoint(now));
    place(large);
    now += 200ms;
    begin(one_busy_endpoint(now)); // the run is expected to take longer
    BOOST_TEST((place(large).action == plan_action::reserve));
    BOOST_TEST(
        (place(make_task("short", 3000, 10)).action != plan_action::start));
    // The reserved task leaves 2 of 32 cores.
    BOOST_TEST(
        (place(make_task("beside", 2000, 900)).action == plan_action::start));
    now += 50ms;
    begin({make_endpoint("a", 32'000)});
    BOOST_TEST((place(large).action == plan_action::start));
    BOOST_TEST(changes(reservation_event::used) == 1U);
}

BOOST_AUTO_TEST_CASE(task_of_higher_priority_uses_reserved_room) {
    auto large = make_task("large", 30'000, 200);
    large.priority = 1;
    begin(one_busy_endpoint(now));
    place(large);
    auto urgent = make_task("urgent", 4000, 900);
    BOOST_TEST((place(urgent).action == plan_action::start));
}

// Guards against preferring an endpoint by its rack where another is faster,
// and against a gap that is too short for a run away from its rack.
BOOST_AUTO_TEST_CASE(far_and_slow_endpoints_count_with_their_run_time) {
    auto near = make_endpoint("near", 32'000);
    near.rack = "r1";
    near.slowness = 2.0;
    auto far = make_endpoint("far", 32'000);
    far.rack = "r2";
    auto task = make_task("job", 4000, 100);
    task.need.preferred_rack = "r1";
    begin({far, near});
    BOOST_TEST(choose(task).endpoint == "near");

    auto busy = one_busy_endpoint(now);
    busy.front().rack = "r2";
    begin(busy);
    place(make_task("large", 30'000, 200));
    BOOST_TEST((place(task).action != plan_action::start)); // 300 ms there
}

BOOST_AUTO_TEST_CASE(reservation_on_a_lost_endpoint_is_made_elsewhere) {
    const auto large = make_task("large", 20'000, 200);
    begin({make_endpoint("a", 8000, {{{24'000, 1, 0}, now + 100ms}}),
           make_endpoint("b", 8000, {{{24'000, 1, 0}, now + 300ms}})});
    BOOST_TEST(place(large).endpoint == "a");
    begin({make_endpoint("b", 8000, {{{24'000, 1, 0}, now + 300ms}})});
    BOOST_TEST(place(large).endpoint == "b");
    BOOST_TEST(planner.reservations() == 1U);
    BOOST_TEST(changes(reservation_event::given_up) == 1U);
}

// An endpoint that leaves, or is isolated, is listed but admits no task.
BOOST_AUTO_TEST_CASE(reservation_moves_from_an_endpoint_that_does_not_admit) {
    const auto large = make_task("large", 20'000, 200);
    const std::vector<planned_endpoint> endpoints{
        make_endpoint("a", 8000, {{{24'000, 1, 0}, now + 100ms}}),
        make_endpoint("b", 8000, {{{24'000, 1, 0}, now + 300ms}})};
    begin(endpoints);
    place(large);
    begin(endpoints);
    const auto decision = planner.choose(
        large, [](const std::string& endpoint) { return endpoint != "a"; });
    BOOST_TEST(decision.endpoint == "b");
    begin(endpoints);
    const auto none =
        planner.choose(large, [](const std::string&) { return false; });
    BOOST_TEST((none.action == plan_action::wait));
    BOOST_TEST(planner.reservations() == 0U);
}

BOOST_AUTO_TEST_CASE(task_that_fits_no_endpoint_holds_up_nothing) {
    begin(one_busy_endpoint(now));
    BOOST_TEST(
        (place(make_task("huge", 64'000, 200)).action == plan_action::wait));
    BOOST_TEST(planner.reservations() == 0U);
    BOOST_TEST(
        (place(make_task("small", 8000, 900)).action == plan_action::start));
}

BOOST_AUTO_TEST_CASE(withdrawn_task_loses_its_reservation) {
    begin(one_busy_endpoint(now));
    place(make_task("large", 30'000, 200));
    for (int pass = 0; pass < 3; ++pass) {
        begin(one_busy_endpoint(now));
    }
    BOOST_TEST(planner.reservations() == 0U);
    BOOST_TEST(changes(reservation_event::given_up) == 1U);
}

BOOST_AUTO_TEST_CASE(endpoint_on_probation_gets_one_task) {
    auto endpoint = make_endpoint("a", 32'000);
    endpoint.one_task = true;
    begin({endpoint});
    BOOST_TEST(
        (place(make_task("one", 4000, 200)).action == plan_action::start));
    BOOST_TEST(
        (place(make_task("two", 4000, 200)).action != plan_action::start));
}

// Guards against a cost of a pass that grows with the queue.
BOOST_AUTO_TEST_CASE(steps_do_not_grow_with_the_queue) {
    const auto steps_of = [](std::size_t tasks) {
        start_planner planner{planner_limits{}};
        planner.begin(10s, 3.0,
                      {make_endpoint("a", 1000), make_endpoint("b", 1000)});
        for (std::size_t i = 0; i < tasks; ++i) {
            const auto size = 2000 + static_cast<std::uint32_t>(i % 30) * 1000;
            planner.choose(make_task(std::to_string(i), size, 200), admit_all);
        }
        BOOST_TEST(planner.reservations() <= planner_limits{}.reservations + 1);
        return planner.steps();
    };
    const auto few = steps_of(100);
    const auto many = steps_of(10'000);
    BOOST_TEST_MESSAGE("steps at 100 tasks: " << few
                                              << ", at 10,000: " << many);
    const planner_limits limits;
    // Each task compared looks at both endpoints twice at most.
    BOOST_TEST(many <= 4 * (limits.tasks_per_pass + limits.reservations + 2));
}

// Guards against tasks that wait because others, which may not run on the free
// endpoint, were refused.
BOOST_AUTO_TEST_CASE(refusals_of_one_group_do_not_count_for_another) {
    begin({make_endpoint("a", 1000), make_endpoint("b", 32'000)});
    for (int i = 0; i < 10; ++i) {
        const auto task = make_task(std::to_string(i), 4000, 100);
        planner.choose(task, [](const auto& id) { return id == "a"; });
    }
    auto other = make_task("other", 4000, 100);
    other.group = "other";
    BOOST_TEST((place(other).action == plan_action::start));
}

// Guards against starvation of a task that is never among the first.
BOOST_AUTO_TEST_CASE(longest_waiting_task_gets_a_reservation) {
    auto old = make_task("old", 30'000, 200);
    old.queued_at = 1s;
    std::vector<planned_task> ahead;
    for (int i = 0; i < 10; ++i) {
        ahead.push_back(make_task("new-" + std::to_string(i), 16'000, 200));
        ahead.back().queued_at = 9s;
    }
    for (int pass = 0; pass < 2; ++pass) {
        begin({make_endpoint("a", 0, {{{32'000, 1, 0}, now + 200ms}})});
        for (const auto& task : ahead) {
            place(task);
        }
        BOOST_TEST((place(old).action ==
                    (pass == 0 ? plan_action::wait : plan_action::reserve)));
    }
}

BOOST_AUTO_TEST_CASE(reasons_name_why_endpoints_are_passed_over) {
    auto endpoints = one_busy_endpoint(now);
    endpoints.push_back(make_endpoint("free", 8000, {}, 8000));
    endpoints.push_back(make_endpoint("larger", 32'000));
    endpoints.push_back(make_endpoint("full", 0));
    endpoints.push_back(make_endpoint("small", 2000, {}, 2000));
    endpoints.push_back(make_endpoint("other", 32'000));
    begin(endpoints);
    planner.choose(make_task("large", 30'000, 200),
                   [](const auto& id) { return id == "a"; });
    const auto reasons =
        planner.explain(make_task("job", 4000, 900),
                        [](const auto& id) { return id != "other"; });
    const std::vector<pass_over_reason> expected{
        pass_over_reason::reserved,  pass_over_reason::chosen,
        pass_over_reason::costlier,  pass_over_reason::no_room,
        pass_over_reason::too_small, pass_over_reason::not_admitted};
    BOOST_REQUIRE_EQUAL(reasons.size(), expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i) {
        BOOST_TEST(to_string(reasons[i].second) == to_string(expected[i]),
                   reasons[i].first << ": expected " << to_string(expected[i])
                                    << ", got "
                                    << to_string(reasons[i].second));
    }
}

// Guards against starvation of a large task by a stream of small ones, which
// take 1.4 times their estimate.
BOOST_AUTO_TEST_CASE(large_task_starts_among_a_stream_of_small_ones) {
    auto large = make_task("large", 24'000, 200);
    std::vector<planned_run> runs;
    std::vector<timestamp> ends;
    std::uint32_t free = 32'000;
    const timestamp arrival = now + 200ms;
    std::optional<timestamp> promised;
    std::optional<timestamp> started;
    for (const auto end = now + 5s; now < end && !started; now += 10ms) {
        for (std::size_t i = 0; i < runs.size();) {
            if (ends[i] > now) {
                runs[i].ends_at = std::max(runs[i].ends_at, now + 10ms);
                ++i;
                continue;
            }
            free += 4000;
            runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(i));
            ends.erase(ends.begin() + static_cast<std::ptrdiff_t>(i));
        }
        begin({make_endpoint("a", free, runs)});
        if (now >= arrival) {
            const auto decision = place(large);
            if (decision.action == plan_action::start) {
                started = now;
                break;
            }
            promised = promised ? promised : decision.at;
        }
        const auto small = make_task(std::to_string(now.count()), 4000, 100);
        if (place(small).action == plan_action::start) {
            free -= 4000;
            runs.push_back({{4000, 100, 0}, now + 100ms, now});
            ends.push_back(now + 140ms);
        }
    }
    BOOST_REQUIRE(started.has_value());
    BOOST_REQUIRE(promised.has_value());
    BOOST_TEST((*started - *promised <= 50ms),
               "started " << to_ms(*started - *promised)
                          << " ms after the promised time, expected 50 at "
                             "most");
}

BOOST_AUTO_TEST_SUITE_END()

// --- simulation -------------------------------------------------------------

namespace {

// Tasks that did not start within this time are withdrawn.
constexpr duration patience = 1500ms;

// Ways of placement without a planner, for comparison.
enum class rule {
    none,
    // Nothing overtakes a task that has waited for `ageing_limit`.
    ageing,
    // A third of the endpoints takes only tasks of 12 cores and more.
    separate,
};
constexpr duration ageing_limit = 300ms;
constexpr std::uint32_t large_task_millis = 12'000;

struct simulated_task {
    planned_task plan;
    duration work{0}; // true run time at speed 1
    timestamp started_at{-1};
    std::optional<timestamp> promised;
};

struct simulated_run {
    std::size_t task = 0;
    timestamp began{0};
    timestamp ends_at{0};
    timestamp expected{0};
};

struct simulated_endpoint {
    planned_endpoint plan;
    double speed = 1.0;
    std::vector<simulated_run> runs;
};

struct simulation_result {
    double mean_wait_ms = 0.0;
    double wait_of_largest_ms = 0.0; // mean of the largest tenth
    double wait_of_smallest_ms = 0.0;
    double unused_share = 0.0; // of the room, while tasks wait
    // Of a task's start after the time of its first reservation.
    double longest_delay_ms = 0.0;
    double longest_overrun_ms = 0.0; // of a run over its expected time
    double served_of_largest = 0.0;  // shares
    double served_of_smallest = 0.0;
    double served = 0.0;
    std::size_t ahead = 0;
    std::size_t made = 0;
};

double mean_of(const std::vector<double>& values) {
    return values.empty() ? 0.0
                          : std::accumulate(values.begin(), values.end(), 0.0) /
                                static_cast<double>(values.size());
}

// Portable, unlike the distributions of the standard library.
double draw(std::mt19937_64& random, double low, double high) {
    constexpr double range = 18446744073709551616.0; // 2^64
    return low + (high - low) * (static_cast<double>(random()) / range);
}

// Twelve endpoints of 32 to 48 cores and speeds 0.8 to 1.25 get tasks of 1 to
// 24 cores, in order of arrival, for `arrivals` at `load` times their capacity.
simulation_result simulate(const planner_limits& limits, rule also, double load,
                           std::uint64_t seed, duration arrivals = 10s) {
    std::mt19937_64 random(seed);
    std::vector<simulated_endpoint> endpoints;
    double capacity = 0.0; // core milliseconds per millisecond
    for (int i = 0; i < 12; ++i) {
        const std::vector<std::uint32_t> sizes{32'000, 40'000, 48'000};
        auto& endpoint = endpoints.emplace_back();
        endpoint.speed = draw(random, 0.8, 1.25);
        endpoint.plan = make_endpoint("e" + std::to_string(i), sizes[i % 3], {},
                                      sizes[i % 3]);
        endpoint.plan.rack = "r" + std::to_string(i % 3);
        endpoint.plan.slowness = 1.0 / endpoint.speed;
        capacity += sizes[i % 3] / 1000.0 * endpoint.speed;
    }
    std::vector<simulated_task> tasks;
    timestamp arrival = 1s;
    while (arrival < 1s + arrivals) {
        auto& task = tasks.emplace_back();
        // Means of 60, 200 and 900 ms; half of the tasks are small.
        const std::vector<double> means{60, 60, 60, 200, 200, 900};
        const double estimate = means[random() % 6] * draw(random, 0.5, 1.5);
        const double cores = random() % 2 == 0 ? draw(random, 1.0, 8.0)
                                               : draw(random, 12.0, 24.0);
        task.plan = make_task(std::to_string(tasks.size()),
                              static_cast<std::uint32_t>(cores * 1000),
                              static_cast<std::uint32_t>(estimate));
        if (random() % 2 == 0) {
            task.plan.need.preferred_rack = "r" + std::to_string(random() % 3);
        }
        task.plan.queued_at = arrival;
        task.work = duration(static_cast<std::int64_t>(estimate * 1000.0 *
                                                       draw(random, 0.6, 1.4)));
        arrival += duration(static_cast<std::int64_t>(
            cores * estimate / (capacity * load) * 1000.0));
    }

    start_planner planner(limits);
    simulation_result result;
    std::vector<std::size_t> waiting; // in order of arrival
    std::size_t arrived = 0;
    double unused = 0.0;
    double offered = 0.0;
    const timestamp end = 1s + arrivals + 60s;
    for (timestamp now = 1s; now < end; now += 1ms) {
        bool changed = false;
        for (auto& endpoint : endpoints) {
            std::erase_if(endpoint.runs, [&](const simulated_run& run) {
                if (run.ends_at > now) {
                    return false;
                }
                endpoint.plan.free.cpu_millis +=
                    tasks[run.task].plan.need.room.cpu_millis;
                changed = true;
                return true;
            });
        }
        for (; arrived < tasks.size() && tasks[arrived].plan.queued_at <= now;
             ++arrived) {
            waiting.push_back(arrived);
            changed = true;
        }
        std::erase_if(waiting, [&](std::size_t index) {
            return now - tasks[index].plan.queued_at > patience;
        });
        if (changed && !waiting.empty()) {
            std::vector<planned_endpoint> listed;
            for (const auto& endpoint : endpoints) {
                auto& plan = listed.emplace_back(endpoint.plan);
                for (const auto& run : endpoint.runs) {
                    plan.runs.push_back({tasks[run.task].plan.need.room,
                                         std::max(run.expected, now + 10ms),
                                         run.began});
                }
            }
            planner.begin(now, 3.0, std::move(listed));
            bool blocked = false;
            std::erase_if(waiting, [&](std::size_t index) {
                auto& task = tasks[index];
                if (also == rule::ageing && blocked) {
                    return false;
                }
                const auto decision =
                    planner.choose(task.plan, [&](const std::string& endpoint) {
                        return also != rule::separate || endpoint > "e3" ||
                               task.plan.need.room.cpu_millis >=
                                   large_task_millis;
                    });
                blocked = blocked || (decision.action != plan_action::start &&
                                      now - task.plan.queued_at > ageing_limit);
                if (decision.action != plan_action::start) {
                    if (decision.action == plan_action::reserve &&
                        !task.promised) {
                        task.promised = decision.at;
                    }
                    return false;
                }
                planner.take(task.plan, decision.endpoint);
                planner.note_started(task.plan.key, decision.endpoint);
                task.started_at = now;
                auto& endpoint = *std::find_if(
                    endpoints.begin(), endpoints.end(), [&](const auto& item) {
                        return item.plan.id == decision.endpoint;
                    });
                const auto& need = task.plan.need;
                const double factor =
                    (!need.preferred_rack.empty() &&
                             need.preferred_rack != endpoint.plan.rack
                         ? 3.0
                         : 1.0) /
                    endpoint.speed;
                const auto actual = scale_wait(task.work, factor);
                const auto expected = scale_wait(
                    std::chrono::milliseconds(need.estimate_ms), factor);
                BOOST_REQUIRE(need.room.cpu_millis <=
                              endpoint.plan.free.cpu_millis);
                endpoint.plan.free.cpu_millis -= need.room.cpu_millis;
                endpoint.runs.push_back(
                    {index, now, now + actual, now + expected});
                result.longest_overrun_ms =
                    std::max(result.longest_overrun_ms,
                             to_seconds(actual - expected) * 1000.0);
                return true;
            });
            for (const auto& change : planner.take_changes()) {
                result.made += change.event == reservation_event::made ? 1 : 0;
                result.ahead +=
                    change.event == reservation_event::started_ahead ? 1 : 0;
            }
        }
        if (!waiting.empty()) {
            for (const auto& endpoint : endpoints) {
                unused += endpoint.plan.free.cpu_millis;
                offered += endpoint.plan.capacity.cpu_millis;
            }
        }
        if (arrived == tasks.size() && waiting.empty()) {
            break;
        }
    }

    std::vector<double> all;
    std::vector<std::pair<std::uint32_t, double>> by_size;
    for (const auto& task : tasks) {
        const auto wait = task.started_at < 0s
                              ? patience
                              : task.started_at - task.plan.queued_at;
        const double wait_ms = to_seconds(wait) * 1000.0;
        all.push_back(wait_ms);
        by_size.emplace_back(task.plan.need.room.cpu_millis, wait_ms);
        if (task.promised && task.started_at >= 0s) {
            result.longest_delay_ms =
                std::max(result.longest_delay_ms,
                         to_seconds(task.started_at - *task.promised) * 1000.0);
        }
    }
    std::sort(by_size.begin(), by_size.end());
    std::vector<double> smallest;
    std::vector<double> largest;
    for (std::size_t i = 0; i < by_size.size() / 10; ++i) {
        smallest.push_back(by_size[i].second);
        largest.push_back(by_size[by_size.size() - 1 - i].second);
    }
    const auto served_share = [](const std::vector<double>& waits) {
        const auto limit_ms = to_seconds(patience) * 1000.0;
        const auto served =
            std::count_if(waits.begin(), waits.end(),
                          [&](double wait_ms) { return wait_ms < limit_ms; });
        return static_cast<double>(served) / static_cast<double>(waits.size());
    };
    result.served = served_share(all);
    result.served_of_largest = served_share(largest);
    result.served_of_smallest = served_share(smallest);
    result.mean_wait_ms = mean_of(all);
    result.wait_of_largest_ms = mean_of(largest);
    result.wait_of_smallest_ms = mean_of(smallest);
    result.unused_share = offered > 0.0 ? unused / offered : 0.0;
    return result;
}

planner_limits with_reservations(std::size_t reservations) {
    planner_limits limits;
    limits.reservations = reservations;
    if (reservations == 0) {
        // Without look-ahead, each task is compared with each endpoint.
        limits.tasks_per_kind = std::numeric_limits<std::size_t>::max();
        limits.tasks_per_pass = std::numeric_limits<std::size_t>::max();
    }
    return limits;
}

// Prints the means, and the largest of delays and overruns.
void print(const std::string& name,
           const std::vector<simulation_result>& results) {
    const auto mean = [&](auto member) {
        std::vector<double> values;
        for (const auto& result : results) {
            values.push_back(static_cast<double>(result.*member));
        }
        return mean_of(values);
    };
    const auto largest = [&](auto member) {
        double value = 0.0;
        for (const auto& result : results) {
            value = std::max(value, result.*member);
        }
        return value;
    };
    const auto percent = [](double share) {
        return std::to_string(std::lround(share * 100.0)) + "%";
    };
    const auto ms = [](double value) {
        return std::to_string(std::lround(value)) + " ms";
    };
    using result = simulation_result;
    BOOST_TEST_MESSAGE(
        name << ": started " << percent(mean(&result::served))
             << ", largest tenth " << percent(mean(&result::served_of_largest))
             << ", smallest tenth "
             << percent(mean(&result::served_of_smallest)) << "; wait "
             << ms(mean(&result::mean_wait_ms)) << ", largest tenth "
             << ms(mean(&result::wait_of_largest_ms)) << ", smallest tenth "
             << ms(mean(&result::wait_of_smallest_ms)) << "; unused "
             << percent(mean(&result::unused_share)) << "; reservations "
             << std::lround(mean(&result::made)) << ", started ahead "
             << std::lround(mean(&result::ahead)) << ", longest delay "
             << ms(largest(&result::longest_delay_ms)) << ", longest overrun "
             << ms(largest(&result::longest_overrun_ms)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_planner_simulation)

// Guards against delays of reserved tasks by more than the errors of the
// estimates.
BOOST_AUTO_TEST_CASE(delays_of_reserved_tasks_are_bounded) {
    struct variant {
        std::string name;
        std::size_t reservations = 0;
        rule also = rule::none;
    };
    const std::vector<variant> variants{
        {"off", 0, rule::none},
        {"on with 1 reservation", 1, rule::none},
        {"on with 4 reservations", 4, rule::none},
        {"on with 8 reservations", 8, rule::none},
        {"off with ageing", 0, rule::ageing},
        {"off with separate endpoints", 0, rule::separate}};
    constexpr std::uint64_t seeds = 4;
    for (const double load : {0.6, 0.7, 0.8}) {
        for (const auto& variant : variants) {
            std::ostringstream name;
            name << "load " << load << ", " << variant.name;
            std::vector<simulation_result> results;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                results.push_back(
                    simulate(with_reservations(variant.reservations),
                             variant.also, load, seed));
                const auto& result = results.back();
                BOOST_TEST(
                    result.longest_delay_ms <= result.longest_overrun_ms + 10.0,
                    name.str() << ", seed " << seed << ": a task started "
                               << result.longest_delay_ms
                               << " ms after the promised time, the "
                                  "longest overrun was "
                               << result.longest_overrun_ms);
            }
            print(name.str(), results);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
