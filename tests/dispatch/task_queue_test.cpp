// Order of the waiting tasks, and the number of tasks that a step touches.
#include <boost/test/unit_test.hpp>

#include <limits>

#include "core/dispatch/task_queue.hpp"

namespace figridge::dispatch {
namespace {

struct queue_fixture {
    queued_task task_of(const std::string& job, duration objective = 200ms,
                        std::uint32_t cpu_millis = 6000) const {
        queued_task task;
        task.run = {{job, 0, 0}, 1};
        task.need.room = {cpu_millis, 64, 0};
        task.need.estimate_ms = 60;
        task.coordinator = {"10.1.0.2:1", 9};
        task.pool = "pool";
        task.queue = "queue";
        task.priority = 1;
        task.queued_at = now;
        task.answer_by = now + objective;
        task.caller_deadline = now + 1500ms;
        return task;
    }

    std::vector<std::string> order(timestamp at) {
        std::vector<std::string> jobs;
        visit(at, [&](const queued_task& task) {
            jobs.push_back(task.run.task.job);
            return queue_verdict::kept;
        });
        return jobs;
    }

    void visit(timestamp at, const task_queue::visitor& visitor) {
        queue.visit_tasks(
            at, [] { return std::numeric_limits<std::uint32_t>::max(); },
            visitor);
    }

    task_queue queue;
    timestamp now{10s};
};

using strings = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(task_queue_order)

// Guards against a group of one need that is visited before an earlier task of
// another need.
BOOST_FIXTURE_TEST_CASE(visits_by_priority_latest_start_and_age,
                        queue_fixture) {
    queue.push(task_of("late-2", 300ms));
    now += 1ms;
    queue.push(task_of("late-1", 100ms, 4000));
    auto urgent = task_of("urgent", 900ms, 2000);
    urgent.priority = 0;
    queue.push(urgent);
    queue.push(task_of("in-time-2", 800ms));
    queue.push(task_of("in-time-1", 700ms, 4000));
    BOOST_TEST(order(now) == (strings{"urgent", "late-1", "late-2", "in-time-1",
                                      "in-time-2"}),
               boost::test_tools::per_element());
    // Late tasks follow those in time, oldest first.
    BOOST_TEST(order(now + 400ms) == (strings{"urgent", "in-time-1",
                                              "in-time-2", "late-2", "late-1"}),
               boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(keeps_arrival_order_within_a_job, queue_fixture) {
    for (std::uint32_t i = 0; i < 5; ++i) {
        auto task = task_of("job", 200ms, 1000 * (5 - i));
        task.run.task.index = i;
        queue.push(task);
    }
    std::vector<std::uint32_t> indexes;
    visit(now, [&](const queued_task& task) {
        indexes.push_back(task.run.task.index);
        return queue_verdict::taken;
    });
    BOOST_TEST(indexes == (std::vector<std::uint32_t>{0, 1, 2, 3, 4}),
               boost::test_tools::per_element());
    BOOST_TEST(queue.empty());
}

// Guards against a pass that visits tasks which no room is left for.
BOOST_FIXTURE_TEST_CASE(skips_tasks_of_a_need_without_room, queue_fixture) {
    queue.push(task_of("large-1", 100ms, 9000));
    queue.push(task_of("large-2", 150ms, 9000));
    queue.push(task_of("small", 200ms, 1000));
    auto elsewhere = task_of("labelled", 250ms, 9000);
    elsewhere.need.required_label = "label";
    queue.push(elsewhere);
    strings visited;
    visit(now, [&](const queued_task& task) {
        visited.push_back(task.run.task.job);
        return task.run.task.job == "large-1" ? queue_verdict::no_room
                                              : queue_verdict::taken;
    });
    BOOST_TEST(visited == (strings{"large-1", "small", "labelled"}),
               boost::test_tools::per_element());
    BOOST_TEST(queue.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(stops_when_the_room_is_too_small, queue_fixture) {
    queue.push(task_of("first", 100ms, 3000));
    queue.push(task_of("second", 150ms, 3000));
    queue.push(task_of("large", 160ms, 5000));
    queue.push(task_of("third", 200ms, 2000));
    std::uint32_t room = 5000;
    strings visited;
    queue.visit_tasks(
        now, [&] { return room; },
        [&](const queued_task& task) {
            visited.push_back(task.run.task.job);
            room -= task.need.room.cpu_millis;
            return queue_verdict::taken;
        });
    BOOST_TEST(visited == (strings{"first", "third"}),
               boost::test_tools::per_element());
}

// Guards against figures in the advert that drift from the queue.
BOOST_FIXTURE_TEST_CASE(keeps_sums_and_smallest_request, queue_fixture) {
    BOOST_TEST(queue.smallest_cpu_request() ==
               std::numeric_limits<std::uint32_t>::max());
    queue.push(task_of("a", 100ms, 6000));
    queue.push(task_of("b", 100ms, 2000));
    auto suspect = task_of("c", 100ms, 4000);
    suspect.crashes = 1;
    queue.push(suspect);
    auto last = task_of("d", 100ms, 1000);
    last.priority = 9;
    last.queue = "other";
    queue.push(last);
    BOOST_TEST(queue.smallest_cpu_request() == 1000U);
    BOOST_TEST(queue.unsuspected_demand().tasks == 3U);
    BOOST_TEST(queue.unsuspected_demand().cpu_ms_by_priority[1] == 480U);
    BOOST_TEST(queue.unsuspected_demand().cpu_ms_by_priority[3] == 60U);
    BOOST_TEST(queue.suspects().size() == 1U);
    BOOST_TEST(queue.has_tasks_of("other"));
    const auto of_queue =
        queue.demand_of([](const auto& task) { return task.queue == "queue"; });
    BOOST_TEST(of_queue.tasks == 3U);
    BOOST_TEST(of_queue.cpu_ms_by_priority[1] == 720U);

    BOOST_TEST(queue.extract(last.coordinator, "d").size() == 1U);
    BOOST_TEST(queue.extract(last.coordinator, "c").size() == 1U);
    BOOST_TEST(!queue.has_tasks_of("other"));
    BOOST_TEST(queue.suspects().empty());
    BOOST_TEST(queue.smallest_cpu_request() == 2000U);
    queue.drop_expired(now + 1500ms);
    BOOST_TEST(queue.size() == 2U);
    queue.drop_expired(now + 1501ms);
    BOOST_TEST(queue.empty());
    BOOST_TEST(queue.unsuspected_demand().tasks == 0U);
    BOOST_TEST(queue.unsuspected_demand().cpu_ms_by_priority[1] == 0U);
}

BOOST_FIXTURE_TEST_CASE(extracts_by_coordinator_and_job, queue_fixture) {
    auto other = task_of("job-1", 100ms);
    other.coordinator = {"10.1.0.3:1", 4};
    queue.push(task_of("job-2", 300ms));
    queue.push(other);
    queue.push(task_of("job-1", 200ms));
    queue.push(task_of("job-1", 100ms));
    std::set<process_id> coordinators;
    queue.add_coordinators(coordinators);
    BOOST_TEST(coordinators.size() == 2U);

    const auto mine = task_of("job-1").coordinator;
    const auto of_job = queue.extract(mine, "job-1");
    BOOST_REQUIRE_EQUAL(of_job.size(), 2U);
    BOOST_TEST(of_job[0].answer_by < of_job[1].answer_by);
    BOOST_TEST(queue.size() == 2U);
    BOOST_TEST(queue.extract(other.coordinator).size() == 1U);
    BOOST_TEST(queue.extract_all().size() == 1U);
    BOOST_TEST(queue.empty());
}

// Guards against a task that is unsuited for its times and blocks, or slows
// down, the others of its need.
BOOST_FIXTURE_TEST_CASE(visits_a_bounded_number_of_unsuited_tasks,
                        queue_fixture) {
    for (int i = 0; i < 1000; ++i) {
        queue.push(task_of("job"));
    }
    std::size_t visited = 0;
    visit(now, [&](const queued_task&) {
        return ++visited == 3 ? queue_verdict::taken : queue_verdict::unsuited;
    });
    BOOST_TEST(visited > 3U);
    BOOST_TEST(visited < 50U);
    BOOST_TEST(queue.size() == 999U);
}

// Guards against steps whose cost grows with the length of the queue: the same
// steps touch as many tasks at 100 and at 10,000 waiting tasks.
BOOST_AUTO_TEST_CASE(steps_touch_as_many_tasks_in_a_long_queue) {
    std::vector<std::uint64_t> touched;
    for (const int length : {100, 10'000}) {
        queue_fixture fixture;
        auto& queue = fixture.queue;
        for (int i = 0; i < length; ++i) {
            queue.push(fixture.task_of("job-" + std::to_string(i),
                                       10s + std::chrono::milliseconds(i),
                                       1000U * (1U + i % 5U)));
        }
        const auto before = queue.touched();
        for (int step = 0; step < 10; ++step) {
            // Three tasks start, then the room is too small for most.
            std::uint32_t room = 6000;
            queue.visit_tasks(
                fixture.now, [&] { return room; },
                [&](const queued_task& task) {
                    if (task.need.room.cpu_millis > room) {
                        return queue_verdict::no_room;
                    }
                    room -= task.need.room.cpu_millis;
                    return queue_verdict::taken;
                });
            queue.extract(fixture.task_of("").coordinator,
                          "job-" + std::to_string(50 + step));
            queue.drop_expired(fixture.now);
            BOOST_TEST(queue.unsuspected_demand().tasks == queue.size());
            queue.push(fixture.task_of("new"));
        }
        touched.push_back(queue.touched() - before);
    }
    BOOST_TEST(touched[0] == touched[1]);
    BOOST_TEST(touched[0] <= 10U * 20U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
