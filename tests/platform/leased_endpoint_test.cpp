// The endpoint stand-in of the soak: leases on the endpoint's clock.
#include <boost/test/unit_test.hpp>

#include <absl/strings/str_cat.h>

#include "adapters/http_client.hpp"
#include "platform/leased_endpoint.hpp"

namespace figridge::testing {
namespace {

constexpr auto address = "127.0.0.1:24917";

// One endpoint whose clock stands still unless a test advances it.
struct endpoint_fixture {
    endpoint_fixture() {
        judge.end_due_runs = [this] { endpoint.end_due_runs(); };
        BOOST_REQUIRE(endpoint.start().ok());
    }

    // Returns the body of the answer.
    json call(const char* path, const json& body) {
        http_call request;
        request.method = "POST";
        request.url = absl::StrCat("http://", address, path);
        request.body = dump_json(body);
        json reply;
        client.send(std::move(request), [&](const http_result& result) {
            BOOST_TEST((result.outcome == http_outcome::answered));
            reply = json::parse(result.body);
            loop.stop();
        });
        loop.run();
        return reply;
    }
    void start_run(const char* task, int length_ms, std::int64_t deadline_ms) {
        const auto reply =
            call("/run-start", {{"task", task},
                                {"run", 1},
                                {"spec", absl::StrCat("ms=", length_ms)},
                                {"deadline-ms", deadline_ms}});
        BOOST_REQUIRE(!reply.contains("reason"));
    }
    std::size_t running() {
        return call("/hold", {{"wait-ms", 0}})["running"].size();
    }
    std::string last_end() {
        const auto ended = call("/hold", {{"wait-ms", 0}})["ended"];
        return ended.empty() ? "" : ended.back()[3].get<std::string>();
    }

    event_loop loop;
    run_judge judge;
    timestamp time{1s};
    leased_endpoint endpoint{loop, "endpoint-0", address,
                             "d1", judge,        [this] { return time; }};
    http_client client{loop};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(leased_endpoint_test, endpoint_fixture)

// Guards against a false "two runs at the same time" of the soak: the clock of
// a restarted endpoint begins anew, so a lease that is kept from before the
// crash ends seconds late.
BOOST_AUTO_TEST_CASE(lease_does_not_outlast_a_crash) {
    time += 5s;
    start_run("a.0.0.0", 10'000, 6'000);
    endpoint.crash();
    start_run("b.0.0.0", 10'000, 500);
    time += 400ms;
    BOOST_TEST(running() == 1U);
    time += 200ms;
    BOOST_TEST(running() == 0U);
    BOOST_TEST(last_end() == "lapsed");
}

// Guards against a false "two runs at the same time" of the soak: a delayed
// stand-in reads a renewal after the lease has expired, and the run goes on.
BOOST_AUTO_TEST_CASE(renewal_read_after_the_lease_does_not_keep_a_run) {
    start_run("a.0.0.0", 10'000, 500);
    time += 600ms;
    const auto reply = call("/hold", {{"wait-ms", 0}, {"deadline-ms", 1'500}});
    BOOST_TEST(reply["running"].empty());
    BOOST_TEST(judge.running() == 0U);
}

// A run that was done before its lease expired ends as done, however late the
// stand-in notices.
BOOST_AUTO_TEST_CASE(run_done_within_its_lease_is_not_reported_as_lapsed) {
    start_run("a.0.0.0", 400, 500);
    time += 600ms;
    BOOST_TEST(running() == 0U);
    BOOST_TEST(last_end() == "done");
}

// Guards against a second run that the soak misses: the answer to a stop comes
// before the run has ended.
BOOST_AUTO_TEST_CASE(stopped_run_goes_on_until_its_end_is_listed) {
    start_run("a.0.0.0", 10'000, 900);
    call("/run-stop", {{"task", "a.0.0.0"}, {"run", 1}});
    BOOST_TEST(running() == 1U);
    time += 50ms;
    BOOST_TEST(running() == 0U);
    BOOST_TEST(last_end() == "stopped");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::testing
