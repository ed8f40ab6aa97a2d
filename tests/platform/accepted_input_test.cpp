// What the parsers of callers' and operators' input accept must make envelopes
// that other hosts accept: a payload that its receiver refuses is not handled.
#include <boost/test/unit_test.hpp>

#include <random>

#include <absl/strings/str_cat.h>

#include "codec/envelope_codec.hpp"
#include "dispatch/quiet_dispatcher.hpp"
#include "jobs.hpp"
#include "rows.hpp"

namespace figridge::platform {
namespace {

constexpr int rounds = 2000;
constexpr auto job_id = "0123456789abcdef";

// Whole numbers around the limits of days, 32 bits, exact doubles and 64 bits.
const std::vector<std::string> numbers{"0",
                                       "1",
                                       "60",
                                       "1500",
                                       "86400000",
                                       "86400001",
                                       "2147483647",
                                       "4294967295",
                                       "4294967296",
                                       "9007199254740992",
                                       "9007199254740993",
                                       "9223372036854775807",
                                       "9223372036854775808",
                                       "18446744073709551615",
                                       "18446744073709551616",
                                       "99999999999999999999999"};

struct accepting_host : dispatch::quiet_dispatcher {
    accepting_host() {
        core.set_catalogue(1, "one");
        core.set_endpoints(now, {make_endpoint("endpoint-1")});
        core.set_holder(
            now, {"endpoint-1", "domain-1", {"10.1.0.2:1", 12}, 1000, 1});
        advance(100ms);
        hear_peer();
    }

    // A peer with one large endpoint, where all tasks are placed.
    void hear_peer() {
        dispatch::envelope message;
        message.from = {"10.1.0.2:1", 12};
        message.failure_domain = "domain-1";
        message.to_incarnation = 99;
        message.stamp_us = now.count();
        message.echo_us = now.count();
        message.about = {1, false,  0.25,      1,        16'000, 0,
                         0, 16'000, 1'000'000, {16'000}, true,   {}};
        core.handle_envelope(now, message);
    }

    // The assignments sent since the last call. Requires that a host accepts
    // each envelope as it is read.
    std::size_t take_assignments() {
        std::size_t assignments = 0;
        for (const auto& [address, message] : std::exchange(peers.sent, {})) {
            msgpack::sbuffer packed;
            msgpack::pack(packed, message);
            const auto handle =
                msgpack::unpack(packed.data(), packed.size(), nullptr, nullptr,
                                envelope_limits());
            const auto read = handle.get().as<dispatch::envelope>();
            const auto status = dispatch::check_envelope(read);
            BOOST_REQUIRE_MESSAGE(status.ok(), status.message());
            assignments += read.content.assignments.size();
        }
        return assignments;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(accepted_input)

// Guards against a link between two hosts that stops: a caller with a long wait
// made an assignment that the other host refused, and with it all later
// payloads, so that withdrawn tasks went on beside their second run.
BOOST_AUTO_TEST_CASE(
    job_of_a_caller_that_waits_very_long_is_accepted_by_peers) {
    for (const auto& wait : numbers) {
        BOOST_TEST_CONTEXT("wait of " << wait << " ms") {
            accepting_host host;
            const auto timeout = parse_caller_timeout(wait);
            BOOST_REQUIRE(timeout.ok());
            BOOST_REQUIRE(timeout->has_value());
            auto job = dispatch::quiet_dispatcher::make_job(job_id);
            job.work.steps[0].need.estimate_ms = 0;
            job.caller_timeout = **timeout;
            host.core.submit(host.now, 1, job);
            BOOST_TEST(host.take_assignments() == 1U);
        }
    }
}

// Guards against the same by a target latency of a day and more, and against
// overflows of the sum of long estimates times a large stretch.
BOOST_AUTO_TEST_CASE(
    accepted_jobs_and_queues_make_envelopes_that_peers_accept) {
    std::mt19937_64 random(21);
    const auto draw = [&random] { return numbers[random() % numbers.size()]; };
    std::size_t assignments = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto steps = 1 + random() % 3;
        std::string body = R"({"spec":"x","best-effort":true,"steps":[)";
        for (std::size_t i = 0; i < steps; ++i) {
            absl::StrAppend(&body, i > 0 ? "," : "", R"({"count":2,"cpu":)",
                            1 + random() % 16'000, R"(,"mem-mb":1,)",
                            R"("estimate-ms":)", draw(), "}");
        }
        body += "]}";
        const auto catalogue =
            absl::StrCat(R"({"version":7,"routes":[{"name":"r","host":"h",)"
                         R"("path-prefix":"/p/","service":"s","priority":)",
                         draw(), R"(,"attempts":)", draw(), R"(,"stretch":)",
                         draw(), R"(,"target-latency-ms":)", draw(),
                         R"(,"timeout-ms":)", draw(), "}]}");
        const auto job = parse_job(job_id, body);
        const auto routes = parse_catalogue(catalogue);
        if (!job.ok() || !routes.ok()) {
            continue;
        }
        BOOST_TEST_CONTEXT(body << " " << catalogue) {
            accepting_host host;
            dispatch::job_submission submission;
            submission.work = job->work;
            submission.queue = routes->routes.at(0).queue;
            submission.caller_timeout = **parse_caller_timeout(draw());
            host.core.submit(host.now, 1, submission);
            assignments += host.take_assignments();
            host.advance(25ms);
            host.take_assignments();
        }
    }
    BOOST_TEST(assignments > 0U);
}

BOOST_AUTO_TEST_CASE(wait_that_is_no_number_is_an_error_that_names_the_header) {
    for (const auto* odd : {"-1", "1.5", "1e3", "soon", " 1"}) {
        BOOST_TEST_CONTEXT("header " << odd) {
            const auto timeout = parse_caller_timeout(odd);
            BOOST_REQUIRE(!timeout.ok());
            BOOST_TEST(timeout.status().message() ==
                       "X-Deadline-Ms: expected a whole number of "
                       "milliseconds");
        }
    }
    const auto missing = parse_caller_timeout("");
    BOOST_REQUIRE(missing.ok());
    BOOST_TEST(!missing->has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::platform
