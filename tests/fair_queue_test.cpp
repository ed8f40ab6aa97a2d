#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <map>

#include "core/fair_queue.hpp"

namespace figridge {
namespace {

queued_task make_task(const std::string& owner, std::uint64_t counter,
                      priority_class priority = priority_class::normal) {
    queued_task task;
    task.ref.id.counter = counter;
    task.owner = owner;
    task.priority = priority;
    task.submitted = timestamp{static_cast<std::int64_t>(counter)};
    return task;
}

} // namespace

BOOST_AUTO_TEST_SUITE(queue_order)

BOOST_AUTO_TEST_CASE(oldest_job_of_an_owner_goes_first) {
    fair_queue queue;
    queue.push(make_task("a", 2));
    queue.push(make_task("a", 1));
    BOOST_TEST(queue.pop()->ref.id.counter == 1U);
    BOOST_TEST(queue.pop()->ref.id.counter == 2U);
    BOOST_TEST(!queue.pop().has_value());
}

BOOST_AUTO_TEST_CASE(owners_get_equal_task_time_for_any_backlog) {
    // 54 owners, one of which submits ten times as many tasks.
    fair_queue queue;
    std::uint64_t counter = 0;
    for (int owner = 0; owner < 54; ++owner) {
        for (int task = 0; task < (owner == 0 ? 200 : 20); ++task) {
            queue.push(make_task("owner" + std::to_string(owner), counter++));
        }
    }
    std::map<std::string, int> picked;
    for (int pick = 0; pick < 540; ++pick) {
        const auto task = queue.pop();
        ++picked[task->owner];
        queue.charge(task->owner, 20s);
    }
    BOOST_TEST(picked.size() == 54U);
    for (const auto& [owner, count] : picked) {
        BOOST_TEST(count == 10, owner << " got " << count);
    }
}

BOOST_AUTO_TEST_CASE(owners_within_one_quantum_are_served_by_age) {
    fair_queue queue;
    queue.charge("used_more", 5s);
    queue.push(make_task("used_more", 1));
    queue.push(make_task("used_less", 2));
    BOOST_TEST(queue.pop()->owner == "used_more");
}

BOOST_AUTO_TEST_CASE(urgent_tasks_go_first_for_any_owner) {
    fair_queue queue;
    queue.charge("heavy", 100s);
    queue.push(make_task("light", 1));
    queue.push(make_task("heavy", 2, priority_class::urgent));
    BOOST_TEST(queue.pop()->owner == "heavy");
}

BOOST_AUTO_TEST_CASE(urgent_tasks_do_not_starve_normal_tasks) {
    fair_queue queue;
    queue.push(make_task("normal_owner", 0));
    std::uint64_t counter = 1;
    int waited = 0;
    while (true) {
        queue.push(
            make_task("urgent_owner", counter++, priority_class::urgent));
        if (queue.pop()->owner == "normal_owner") {
            break;
        }
        ++waited;
        BOOST_REQUIRE_MESSAGE(waited < 100, "starved for 100 picks");
    }
    BOOST_TEST(waited > 0);
}

BOOST_AUTO_TEST_CASE(idle_owner_accumulates_no_credit) {
    fair_queue queue;
    for (int task = 0; task < 40; ++task) {
        queue.push(make_task("busy", static_cast<std::uint64_t>(task)));
        queue.charge("busy", 20s);
    }
    for (int task = 0; task < 40; ++task) {
        queue.push(make_task("new", static_cast<std::uint64_t>(100 + task)));
    }
    int of_busy = 0;
    for (int pick = 0; pick < 20; ++pick) {
        const auto task = queue.pop();
        of_busy += task->owner == "busy" ? 1 : 0;
        queue.charge(task->owner, 20s);
    }
    BOOST_TEST(of_busy >= 9);
    BOOST_TEST(of_busy <= 11);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
