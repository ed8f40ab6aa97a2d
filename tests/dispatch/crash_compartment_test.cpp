// Which queue is confined after crashes, and to which endpoints.
#include <random>

#include <boost/test/unit_test.hpp>

#include "core/dispatch/crash_compartment.hpp"

namespace figridge::dispatch {
namespace {

// Sixteen endpoints of one pool, each with two runs of random queues. A fifth
// of the runs are of the queue "deadly".
struct compartment_fixture {
    compartment_fixture() {
        for (int i = 0; i < 16; ++i) {
            endpoints.push_back("endpoint-" + std::to_string(i));
        }
        pass(5s);
    }

    std::string draw_queue() {
        static const std::vector<std::string> queues{
            "deadly", "queue-1", "queue-2", "queue-3", "queue-4"};
        return queues[std::uniform_int_distribution<std::size_t>(0, 4)(random)];
    }

    // Draws new runs for all endpoints that are not lost.
    void draw_load() {
        load.clear();
        for (const auto& id : endpoints) {
            endpoint_load entry{id, "pool", lost.contains(id), {}};
            for (int i = 0; i < 2; ++i) {
                entry.cpu_millis[draw_queue()] += 6800;
            }
            load.push_back(std::move(entry));
        }
    }

    // Advances the time, with a new load each 100 ms.
    void pass(duration time) {
        for (const auto end = now + time; now < end;) {
            now += 100ms;
            draw_load();
            compartment.record_load(now, load);
            note(compartment.tick(now));
        }
    }

    void note(const std::optional<confinement_change>& change) {
        if (change) {
            changes.push_back(*change);
        }
    }

    void report(const std::string& endpoint,
                const std::set<std::string>& queues,
                crash_evidence evidence = crash_evidence::refusing) {
        std::uint32_t index = 0;
        for (const auto& queue : queues) {
            compartment.record_crash(
                now,
                {{{"job", 0, index++}, 1}, queue, endpoint, 1000, evidence},
                true);
        }
        note(compartment.tick(now));
    }

    // An endpoint crashes with one run of each of these queues.
    std::string crash(const std::set<std::string>& queues) {
        const auto id = "crashed-" + std::to_string(crashes++);
        report(id, queues);
        return id;
    }

    // An endpoint crashes independently of what runs there.
    void crash_at_random() { crash({draw_queue(), draw_queue()}); }

    std::mt19937 random{1};
    std::vector<std::string> endpoints;
    std::set<std::string> lost;
    std::vector<endpoint_load> load;
    std::vector<confinement_change> changes;
    timestamp now{100s};
    int crashes = 0;
    crash_compartment compartment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crash_compartment_test, compartment_fixture)

// Guards against one queue's tasks crashing the endpoints of all queues.
BOOST_AUTO_TEST_CASE(queue_present_at_each_crash_is_confined) {
    for (int i = 0; i < 8 && changes.empty(); ++i) {
        crash({"deadly", draw_queue()});
        pass(200ms);
    }
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST((changes[0].event == confinement_event::confined));
    BOOST_TEST(changes[0].queue == "deadly");
    BOOST_TEST(changes[0].with_queue == changes[0].crashes);
    BOOST_TEST(compartment.queue() == "deadly");
    BOOST_TEST(compartment.pool() == "pool");
}

// Guards against a missed cause: a few crashes of another cause among those of
// one queue.
BOOST_AUTO_TEST_CASE(queue_is_confined_beside_crashes_of_other_causes) {
    for (int i = 0; i < 10; ++i) {
        crash({"deadly", draw_queue()});
    }
    BOOST_REQUIRE(compartment.queue() == "deadly");
    crash({"queue-1", "queue-2"});
    pass(1s);
    BOOST_TEST(compartment.queue() == "deadly");
}

// Guards against harm by chance: endpoints that crash whatever runs there. The
// threshold allows one false alarm in twenty windows for each queue.
BOOST_AUTO_TEST_CASE(
    crashes_at_random_over_all_queues_confine_next_to_nothing) {
    constexpr int windows = 200; // of five seconds
    constexpr int queues = 5;
    for (int i = 0; i < windows * 10; ++i) {
        crash_at_random();
        pass(500ms);
    }
    const auto confined =
        std::count_if(changes.begin(), changes.end(), [](const auto& change) {
            return change.event == confinement_event::confined;
        });
    BOOST_TEST(confined <= windows * queues / 20);
}

// Guards against double counting: each run of a crashed endpoint is reported,
// first as possibly lost, later as certainly lost.
BOOST_AUTO_TEST_CASE(reports_of_one_instance_count_as_one_crash) {
    for (int i = 0; i < 20; ++i) {
        report("endpoint-1", {"deadly"});
        report("endpoint-1", {"deadly"}, crash_evidence::ended);
    }
    BOOST_TEST(changes.empty());
}

// Guards against harm by cuts: endpoints that refused connections and answer
// again have not crashed.
BOOST_AUTO_TEST_CASE(withdrawn_suspicions_are_taken_back) {
    std::vector<std::string> crashed;
    while (changes.empty()) {
        crashed.push_back(crash({"deadly"}));
    }
    BOOST_REQUIRE(compartment.queue() == "deadly");
    for (const auto& id : crashed) {
        report(id, {"deadly"}, crash_evidence::none);
    }
    BOOST_TEST(compartment.queue().empty());
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(compartment.likelihood("deadly") == 0.0);
}

// Guards against harm by a lost rack: its endpoints are known as ended later,
// and none of them refused connections on its own.
BOOST_AUTO_TEST_CASE(endpoints_that_ended_without_a_suspicion_do_not_count) {
    for (int i = 0; i < 8; ++i) {
        report("endpoint-" + std::to_string(i), {"deadly"},
               crash_evidence::ended);
    }
    BOOST_TEST(changes.empty());
}

// Guards against a confinement that outlives its cause.
BOOST_AUTO_TEST_CASE(queue_is_released_when_no_crash_with_it_is_recent) {
    while (changes.empty()) {
        crash({"deadly"});
    }
    pass(4900ms);
    BOOST_TEST(compartment.queue() == "deadly");
    crash({"queue-1"}); // without the queue
    pass(200ms);
    BOOST_TEST(compartment.queue().empty());
    BOOST_TEST(compartment.members().empty());
    BOOST_REQUIRE_EQUAL(changes.size(), 2U);
    BOOST_TEST((changes[1].event == confinement_event::released));
    BOOST_TEST((changes[1].confined_for >= 5s));
}

// Guards against a false alarm that lasts as long as endpoints crash whatever
// runs there.
BOOST_AUTO_TEST_CASE(queue_is_released_when_the_evidence_turns) {
    while (changes.empty()) {
        crash({"deadly"});
    }
    for (int i = 0; i < 5; ++i) {
        pass(100ms);
        crash({"queue-1", "queue-2"});
    }
    BOOST_TEST(compartment.queue().empty());
    BOOST_REQUIRE_EQUAL(changes.size(), 2U);
    BOOST_TEST((changes[1].event == confinement_event::released));
}

// Guards against a compartment that takes the room of other queues, or too
// little room for its own, and against endpoints that change sides.
BOOST_AUTO_TEST_CASE(compartment_has_the_queues_share_of_the_endpoints) {
    while (changes.empty()) {
        crash({"deadly"});
    }
    const auto before = compartment.members();
    // Twice a fifth of 16, with the spread of the drawn load.
    BOOST_TEST(before.size() >= 5U);
    BOOST_TEST(before.size() <= 8U);
    pass(1s);
    BOOST_TEST(compartment.members() == before);
    const auto member = *before.begin();
    *std::find(endpoints.begin(), endpoints.end(), member) = "endpoint-new";
    pass(100ms);
    std::size_t kept = 0;
    for (const auto& id : compartment.members()) {
        kept += before.count(id);
    }
    BOOST_TEST(kept == before.size() - 1);
}

// Guards against a queue that crashes all of its compartment and then has no
// endpoint at all, and against a compartment that takes everything.
BOOST_AUTO_TEST_CASE(compartment_grows_by_lost_endpoints_up_to_a_half) {
    while (changes.empty()) {
        crash({"deadly"});
    }
    const auto size = compartment.members().size();
    BOOST_REQUIRE(size < 8U);
    lost = {endpoints[0]};
    pass(100ms);
    BOOST_TEST(compartment.members().size() == size + 1);
    lost.insert(endpoints.begin(), endpoints.begin() + 10);
    pass(100ms);
    BOOST_TEST(compartment.members().size() == 8U);
}

// Guards against an only endpoint that is closed to all queues but one.
BOOST_AUTO_TEST_CASE(only_endpoint_of_a_pool_is_no_compartment) {
    endpoints = {"endpoint-1"};
    pass(5s);
    for (int i = 0; i < 10; ++i) {
        crash({"deadly"});
    }
    BOOST_TEST(compartment.queue().empty());
    BOOST_TEST(compartment.members().empty());
}

// Guards against evidence diluted by another pool, whose endpoints never run
// the queue.
BOOST_AUTO_TEST_CASE(crashes_of_another_pool_say_nothing_of_a_queue) {
    draw_load();
    load.push_back({"endpoint-other", "other-pool", false, {{"other", 500}}});
    compartment.record_load(now, load);
    crash({"deadly"});
    const auto alone = compartment.likelihood("deadly");
    crash({"other"});
    BOOST_TEST(compartment.likelihood("deadly") == alone);
    crash({"queue-1"});
    BOOST_TEST(compartment.likelihood("deadly") < alone);
}

// Guards against blame for runs found at a takeover, whose queues are unknown.
BOOST_AUTO_TEST_CASE(crash_with_a_run_of_an_unknown_queue_clears_no_queue) {
    crash({"deadly"});
    const auto alone = compartment.likelihood("deadly");
    crash({"", "queue-1"});
    BOOST_TEST(compartment.likelihood("deadly") == alone);
    for (int i = 0; i < 10; ++i) {
        crash({""});
    }
    BOOST_TEST(compartment.queue().empty());
}

// Guards against long tasks of other queues that are started where they
// probably do not end.
BOOST_AUTO_TEST_CASE(compartment_tolerates_short_runs_of_other_queues) {
    BOOST_TEST(compartment.tolerates(10s));
    for (int i = 0; i < 10; ++i) {
        crash({"deadly"});
    }
    BOOST_REQUIRE(!compartment.queue().empty());
    // Ten crashes in five seconds on three to five endpoints.
    BOOST_TEST(compartment.tolerates(60ms));
    BOOST_TEST(!compartment.tolerates(1s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
