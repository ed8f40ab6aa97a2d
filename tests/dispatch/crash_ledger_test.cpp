#include <boost/test/unit_test.hpp>

#include "core/dispatch/crash_ledger.hpp"

namespace figridge::dispatch {
namespace {

const task_key task{"0123456789abcdef", 0, 1};

struct ledger_fixture {
    void report(const std::string& endpoint, crash_evidence evidence,
                std::int64_t instance_started_ms = 1000) {
        ledger.record(
            now,
            {{task, 1}, "queue-1", endpoint, instance_started_ms, evidence});
    }

    timestamp now{10s};
    crash_ledger ledger;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_ledger_test, ledger_fixture)

BOOST_AUTO_TEST_CASE(refusing_endpoint_is_only_suspected) {
    report("endpoint-1", crash_evidence::refusing);
    BOOST_TEST(ledger.of(task).suspected == 1U);
    BOOST_TEST(ledger.of(task).certain.empty());
}

BOOST_AUTO_TEST_CASE(later_report_of_the_same_instance_replaces_the_first) {
    report("endpoint-1", crash_evidence::refusing);
    report("endpoint-1", crash_evidence::ended);
    BOOST_TEST(ledger.of(task).suspected == 0U);
    BOOST_TEST(ledger.of(task).certain.size() == 1U);
}

BOOST_AUTO_TEST_CASE(suspicion_ends_when_the_instance_answers) {
    report("endpoint-1", crash_evidence::refusing);
    report("endpoint-1", crash_evidence::none);
    BOOST_TEST(ledger.empty());
}

// Reports of a former and a present holder may arrive in any order.
BOOST_AUTO_TEST_CASE(certain_crash_is_not_withdrawn) {
    report("endpoint-1", crash_evidence::ended);
    report("endpoint-1", crash_evidence::none);
    report("endpoint-1", crash_evidence::refusing);
    BOOST_TEST(ledger.of(task).certain.size() == 1U);
    BOOST_TEST(ledger.of(task).suspected == 0U);
}

// Guards against a job that fails or waits although no endpoint crashed: a cut
// made a holder suspect a crash, another one adopted the endpoint, and the
// suspicion became certain when the endpoint left the list later.
BOOST_AUTO_TEST_CASE(suspicion_ends_when_the_next_holder_finds_the_runs) {
    const task_key neighbour{"0123456789abcdef", 0, 2};
    report("endpoint-1", crash_evidence::refusing);
    ledger.record(now, {{neighbour, 1},
                        "queue-1",
                        "endpoint-1",
                        1000,
                        crash_evidence::refusing});
    ledger.handle_adoption({"endpoint-1", {}, 8, {{task, 1}}, {}});
    ledger.handle_removed("endpoint-1");
    BOOST_TEST(ledger.empty());
}

BOOST_AUTO_TEST_CASE(suspicion_stays_when_the_next_holder_finds_other_runs) {
    report("endpoint-1", crash_evidence::refusing);
    ledger.handle_adoption({"endpoint-1", {}, 8, {{task, 2}}, {}});
    ledger.handle_adoption({"endpoint-2", {}, 8, {{task, 1}}, {}});
    BOOST_TEST(ledger.of(task).suspected == 1U);
    report("endpoint-1", crash_evidence::ended);
    ledger.handle_adoption({"endpoint-1", {}, 9, {{task, 1}}, {}});
    BOOST_TEST(ledger.of(task).certain.size() == 1U);
}

BOOST_AUTO_TEST_CASE(each_instance_of_an_endpoint_counts) {
    report("endpoint-1", crash_evidence::ended, 1000);
    report("endpoint-1", crash_evidence::ended, 2000);
    BOOST_TEST(ledger.of(task).certain.size() == 2U);
}

// The holder that suspected the crash may be gone by the time it is certain.
BOOST_AUTO_TEST_CASE(listed_later_instance_makes_a_crash_certain) {
    report("endpoint-1", crash_evidence::refusing, 1000);
    ledger.handle_listed("endpoint-1", 1000);
    BOOST_TEST(ledger.of(task).certain.empty());
    ledger.handle_listed("endpoint-1", 2000);
    BOOST_TEST(ledger.of(task).certain.size() == 1U);
}

BOOST_AUTO_TEST_CASE(refusing_endpoint_that_is_no_longer_listed_has_crashed) {
    report("endpoint-1", crash_evidence::refusing);
    ledger.handle_removed("endpoint-2");
    BOOST_TEST(ledger.of(task).certain.empty());
    ledger.handle_removed("endpoint-1");
    BOOST_TEST(ledger.of(task).certain.size() == 1U);
}

BOOST_AUTO_TEST_CASE(entries_are_forgotten_after_a_minute) {
    report("endpoint-1", crash_evidence::ended);
    ledger.tick(now + 59s);
    BOOST_TEST(!ledger.empty());
    ledger.tick(now + 61s);
    BOOST_TEST(ledger.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
