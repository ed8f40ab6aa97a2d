// The index of the runs on all endpoints of a holder.
#include <boost/test/unit_test.hpp>

#include "core/dispatch/run_ledger.hpp"

namespace figridge::dispatch {
namespace {

struct index_fixture {
    index_fixture() {
        ledger_1.keep_index(index, "endpoint-1");
        ledger_2.keep_index(index, "endpoint-2");
    }

    static task_run run_of(const std::string& job, std::uint32_t task,
                           std::uint32_t run = 1) {
        return {{job, 0, task}, run};
    }

    static run_entry entry_of(const task_run& run, const process_id& owner) {
        run_entry entry;
        entry.run = run;
        entry.coordinator = owner;
        return entry;
    }

    process_id first{"10.1.0.1:1", 1};
    process_id second{"10.1.0.2:1", 2};
    run_index index;
    run_ledger ledger_1;
    run_ledger ledger_2;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(run_index_test, index_fixture)

BOOST_AUTO_TEST_CASE(runs_are_found_by_task_job_and_coordinator) {
    ledger_2.enter(entry_of(run_of("job-1", 0), first));
    ledger_1.enter(entry_of(run_of("job-1", 1), first));
    ledger_1.enter(entry_of(run_of("job-2", 0), second));
    BOOST_TEST(index.size() == 3U);
    BOOST_TEST(index.contains({"job-1", 0, 1}));
    BOOST_TEST(!index.contains({"job-1", 0, 2}));
    BOOST_TEST(!index.contains({"job-1", 1, 0}));
    const auto of_job = index.of_job("job-1");
    BOOST_REQUIRE_EQUAL(of_job.size(), 2U);
    BOOST_TEST(of_job[0].endpoint == "endpoint-1");
    BOOST_TEST(of_job[1].endpoint == "endpoint-2");
    BOOST_TEST(index.of_job("job").empty());
    BOOST_TEST(index.of_coordinator(first).size() == 2U);
    std::set<process_id> coordinators;
    index.add_coordinators(coordinators);
    BOOST_TEST((coordinators == std::set<process_id>{first, second}));
}

// Guards against a run that is withdrawn or awaited after its end, or not found
// under the coordinator that has claimed it.
BOOST_AUTO_TEST_CASE(index_follows_the_ledgers) {
    const auto run = run_of("job-1", 0);
    auto& entry = ledger_1.enter(entry_of(run, {}));
    ledger_1.set_coordinator(entry, second);
    BOOST_TEST(index.of_coordinator({}).empty());
    BOOST_TEST(index.of_coordinator(second).size() == 1U);
    // Found again: the entry is replaced.
    ledger_1.enter(entry_of(run, first));
    BOOST_TEST(index.size() == 1U);
    BOOST_TEST(index.of_coordinator(second).empty());
    ledger_1.remove(run);
    ledger_1.remove(run);
    BOOST_TEST(index.size() == 0U);
    ledger_1.enter(entry_of(run_of("job-1", 1), first));
    ledger_1.enter(entry_of(run_of("job-1", 2), first));
    ledger_1.clear();
    BOOST_TEST(index.of_job("job-1").empty());
    {
        run_ledger ended;
        ended.keep_index(index, "endpoint-3");
        ended.enter(entry_of(run, first));
        BOOST_TEST(index.contains(run.task));
    }
    BOOST_TEST(!index.contains(run.task));
    BOOST_TEST(index.of_coordinator(first).empty());
}

BOOST_AUTO_TEST_CASE(suspects_are_counted) {
    auto entry = entry_of(run_of("job-1", 0), first);
    entry.crashes = 1;
    ledger_1.enter(entry);
    ledger_1.enter(entry_of(run_of("job-1", 1), first));
    BOOST_TEST(ledger_1.suspects() == 1U);
    ledger_1.enter(entry);
    BOOST_TEST(ledger_1.suspects() == 1U);
    ledger_1.remove(entry.run);
    BOOST_TEST(ledger_1.suspects() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
