#include <array>

#include <boost/test/unit_test.hpp>

#include "core/dispatch/admission_control.hpp"

namespace figridge::dispatch {
namespace {

struct admission_fixture {
    // Ticks at this interval for this time.
    void tick_for(duration time, duration interval) {
        for (const auto end = now + time; now < end;) {
            now += interval;
            admission.record_tick(now);
        }
    }

    // How many of this many new jobs are accepted.
    int count_admitted(int jobs) {
        int count = 0;
        for (int i = 0; i < jobs; ++i) {
            count += admission.admit() ? 1 : 0;
        }
        return count;
    }

    timestamp now{10s};
    admission_control admission;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_control_test, admission_fixture)

BOOST_AUTO_TEST_CASE(host_in_time_accepts_all_jobs) {
    tick_for(10s, 25ms);
    BOOST_TEST(count_admitted(100) == 100);
}

// Jobs accepted beyond what a host can handle make all of them late.
BOOST_AUTO_TEST_CASE(host_that_stays_late_accepts_few_jobs) {
    tick_for(1s, 25ms);
    tick_for(2s, 60ms);
    const auto admitted = count_admitted(100);
    BOOST_TEST(admitted < 15);
    BOOST_TEST(admitted > 0);
}

// Neither one long input nor a pause of the process is an overload.
BOOST_AUTO_TEST_CASE(short_delays_refuse_no_job) {
    tick_for(1s, 25ms);
    tick_for(1s, 40ms);
    now += 2s;
    admission.record_tick(now);
    BOOST_TEST(count_admitted(100) == 100);
}

// A host must not go on refusing jobs after its cause has ended.
BOOST_AUTO_TEST_CASE(host_accepts_all_jobs_again_within_three_seconds) {
    tick_for(5s, 300ms);
    BOOST_TEST(count_admitted(100) < 15);
    tick_for(3s, 25ms);
    BOOST_TEST(count_admitted(100) == 100);
}

// Guards against urgent jobs that are refused while others are accepted.
BOOST_AUTO_TEST_CASE(less_urgent_jobs_are_refused_first) {
    const auto count_admitted_by_priority = [this] {
        std::array<int, 3> counts{};
        for (int i = 0; i < 90; ++i) {
            const auto priority = static_cast<std::uint32_t>(i % 3);
            counts[priority] += admission.admit(priority) ? 1 : 0;
        }
        return counts;
    };
    tick_for(1s, 25ms);
    BOOST_TEST(count_admitted_by_priority()[2] == 30);
    // One decrease, to 0.6.
    tick_for(300ms, 60ms);
    BOOST_TEST(admission.share() > 0.5);
    BOOST_TEST(admission.share() < 0.7);
    const auto counts = count_admitted_by_priority();
    BOOST_TEST(counts[0] == 30);
    BOOST_TEST(counts[1] >= 20);
    BOOST_TEST(counts[2] <= 5);
}

// Guards against a host that accepts none of the only priority there is.
BOOST_AUTO_TEST_CASE(jobs_of_any_one_priority_get_the_same_share) {
    tick_for(1s, 25ms);
    tick_for(300ms, 60ms);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += admission.admit(7) ? 1 : 0;
    }
    BOOST_TEST(admitted >= 55);
    BOOST_TEST(admitted <= 65);
}

// Guards against a host in time that refuses a job since the parts of a share
// of 1 were rounded to less than 1.
BOOST_AUTO_TEST_CASE(host_in_time_accepts_all_jobs_of_mixed_priorities) {
    int refused = 0;
    for (int i = 0; i < 10'000; ++i) {
        if (i % 7 == 0) {
            tick_for(25ms, 25ms);
        }
        const auto priority = static_cast<std::uint32_t>((i * i + i / 3) % 4);
        refused += admission.admit(priority) ? 0 : 1;
    }
    BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
