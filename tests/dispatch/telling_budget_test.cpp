// Tests how often a host tells doubts at once.
#include <boost/test/unit_test.hpp>

#include "core/dispatch/telling_budget.hpp"

namespace figridge::dispatch {

BOOST_AUTO_TEST_SUITE(telling_budget_test)

// Guards against a host that spends the time of all others on its doubts.
BOOST_AUTO_TEST_CASE(tellings_in_a_row_are_limited) {
    telling_budget budget;
    timestamp now{10s};
    std::size_t taken = 0;
    for (const auto end = now + 10s; now < end; now += 5ms) {
        taken += budget.take(now) ? 1 : 0;
    }
    BOOST_TEST(taken >= 100U);
    BOOST_TEST(taken <= 110U);
}

// Guards against doubts of one input that go in several messages.
BOOST_AUTO_TEST_CASE(calls_of_one_input_count_once) {
    telling_budget budget;
    const timestamp now{10s};
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(budget.take(now));
    }
    BOOST_TEST(budget.take(now + 1ms));
}

// Guards against a delay of the few doubts of a day without load.
BOOST_AUTO_TEST_CASE(rare_tellings_are_never_delayed) {
    telling_budget budget;
    timestamp now{10s};
    for (int i = 0; i < 100; ++i) {
        now += 101ms;
        BOOST_TEST(budget.take(now));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
