// Parsers of input from the platform, callers and peers: valid input, invalid
// fields and randomly damaged input.
#include <boost/test/unit_test.hpp>

#include <sstream>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "codec/envelope_codec.hpp"
#include "damage.hpp"
#include "dispatch/quiet_dispatcher.hpp"
#include "endpoint_messages.hpp"
#include "jobs.hpp"
#include "platform_settings.hpp"
#include "rows.hpp"

namespace figridge::platform {
namespace {

constexpr int rounds = 4000;
constexpr auto job_id = "0123456789abcdef";

const std::string good_job =
    R"({"spec":"x","best-effort":true,"steps":[{"count":4,"cpu":500,)"
    R"("mem-mb":256,"estimate-ms":900,"affinity":"r1"},)"
    R"({"count":2,"cpu":7,"after":[0]}]})";
const std::string good_endpoint =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
    R"("labels":["a","r1"],"born":1700000000000,"seq":4})";
const std::string good_catalogue =
    R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/",)"
    R"("service":"s","attempts":4,"stretch":1.6,"target-latency-ms":60}],)"
    R"("services":[],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":262144,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000}})";
const std::string good_hold =
    R"({"clock-ms":482113,"born":17,"running":[["0123456789abcdef.0.1.17",2,)"
    R"("",41]],"ended":[[58,"0123456789abcdef.0.1.9",1,"done",""]]})";

std::string replace(std::string text, const std::string& from,
                    const std::string& to) {
    text.replace(text.find(from), from.size(), to);
    return text;
}

// Parses `good` with one substring replaced and returns the error.
template <typename Parse>
std::string error_of(Parse parse, const std::string& good,
                     const std::string& from, const std::string& to) {
    const auto parsed = parse(replace(good, from, to));
    return parsed.ok() ? "accepted" : std::string(parsed.status().message());
}

const auto read_job = [](const std::string& text) {
    return parse_job(job_id, text);
};
const auto read_endpoint = [](const std::string& text) {
    return parse_endpoint("i-1", text);
};
const auto read_catalogue = [](const std::string& text) {
    return parse_catalogue(text);
};

} // namespace

BOOST_AUTO_TEST_SUITE(platform_decoders)

BOOST_AUTO_TEST_CASE(job_is_read_with_its_steps) {
    const auto job = parse_job(job_id, good_job);
    BOOST_REQUIRE(job.ok());
    BOOST_TEST(!job->must_be_stored);
    BOOST_REQUIRE(job->work.steps.size() == 2U);
    BOOST_TEST(job->work.steps[0].need.room.cpu_millis == 500U);
    BOOST_TEST(job->work.steps[1].after.at(0) == 0U);
}

BOOST_AUTO_TEST_CASE(job_errors_name_the_field_with_its_path) {
    BOOST_TEST(
        error_of(read_job, good_job, "\"cpu\":7", "\"cpu\":4294967297") ==
        "steps[1].cpu: expected a whole number from 0 to 4294967295");
    BOOST_TEST(error_of(read_job, good_job, "\"count\":4", "\"count\":251") ==
               "steps[0].count: expected a whole number from 1 to 250");
    BOOST_TEST(error_of(read_job, good_job, "[0]", "[1]") ==
               "steps[1].after: expected numbers of earlier steps");
    BOOST_TEST(error_of(read_job, good_job, "\"x\"", "5") ==
               "spec: expected text");
}

BOOST_AUTO_TEST_CASE(unsupported_job_field_is_reported) {
    const auto job =
        parse_job(job_id, replace(good_job, "\"after\":[0]", "\"gang\":true"));
    BOOST_REQUIRE(job.ok());
    BOOST_TEST(job->unsupported == "steps[1].gang");
}

BOOST_AUTO_TEST_CASE(endpoint_errors_name_the_field) {
    BOOST_TEST(error_of(read_endpoint, good_endpoint, "\"ready\"",
                        "\"resting\"") == "state: expected ready or draining");
    BOOST_TEST(error_of(read_endpoint, good_endpoint, "16000", "-1") ==
               "capacity.cpu: expected a whole number from 0 to 4294967295");
    BOOST_TEST(error_of(read_endpoint, good_endpoint, "\"address\"",
                        "\"addr\"") == "address: expected text");
}

BOOST_AUTO_TEST_CASE(catalogue_errors_name_the_field) {
    BOOST_TEST(error_of(read_catalogue, good_catalogue, "7", "\"7\"") ==
               "version: expected a whole number from 0 to 9007199254740992");
    BOOST_TEST(error_of(read_catalogue, good_catalogue, "\"routes\"",
                        "\"paths\"") == "routes: expected a list");
}

// Guards against a catalogue that never comes into force: one field that could
// not be read stopped all routes of its version and of later ones.
BOOST_AUTO_TEST_CASE(unreadable_field_does_not_stop_a_catalogue) {
    const std::vector<std::pair<std::string, std::string>> optional{
        {R"("attempts":4)", R"("attempts":-4)"},
        {R"("stretch":1.6)", R"("stretch":"1.6")"},
        {R"("target-latency-ms":60)", R"("target-latency-ms":0.5)"},
        {"262144", R"("x")"},
        {R"({"max-header-bytes":16384,"max-body-bytes":262144,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000})",
         "[]"}};
    const std::vector<std::string> errors{
        "routes[0].attempts: expected a whole number",
        "routes[0].stretch: expected a number of at least 0",
        "routes[0].target-latency-ms: expected a whole number of milliseconds",
        "limits.max-body-bytes: expected a whole number",
        "limits: expected an object"};
    for (std::size_t i = 0; i < optional.size(); ++i) {
        BOOST_TEST_CONTEXT(optional[i].second) {
            const auto read = parse_catalogue(
                replace(good_catalogue, optional[i].first, optional[i].second));
            BOOST_REQUIRE(read.ok());
            BOOST_REQUIRE_EQUAL(read->errors.size(), 1U);
            BOOST_TEST(read->errors[0] == errors[i]);
            BOOST_REQUIRE_EQUAL(read->routes.size(), 1U);
            BOOST_TEST(!read->routes[0].is_closed);
            BOOST_TEST(read->routes[0].queue.pool == "s");
            BOOST_TEST(read->limits.max_body_bytes == 262'144U);
        }
    }
}

// Guards against the same, and against requests that are told that a queue does
// not exist although the catalogue has it.
BOOST_AUTO_TEST_CASE(route_without_a_readable_queue_is_closed) {
    const auto read = parse_catalogue(
        replace(good_catalogue, R"({"name":"r")",
                R"({"name":7,"host":"h","path-prefix":"/q/","service":"s"},)"
                R"({"name":"r","host":"h","path-prefix":[],"service":"s"},7,)"
                R"({"name":"r")"));
    BOOST_REQUIRE(read.ok());
    BOOST_REQUIRE_EQUAL(read->errors.size(), 3U);
    BOOST_TEST(read->errors[0] == "routes[0].name: expected text");
    BOOST_TEST(read->errors[1] == "routes[1].path-prefix: expected text");
    BOOST_TEST(read->errors[2] == "routes[2]: expected an object");
    BOOST_REQUIRE_EQUAL(read->routes.size(), 2U);
    BOOST_TEST(read->routes[0].path_prefix == "/q/");
    BOOST_TEST(read->routes[0].is_closed);
    BOOST_TEST(!read->routes[1].is_closed);
}

// Guards against a manifest with a very long time that is never in force.
BOOST_AUTO_TEST_CASE(very_large_numbers_of_a_catalogue_are_limited) {
    for (const auto* number :
         {"2147483647", "4294967296", "18446744073709551615",
          "18446744073709551616", "99999999999999999999999"}) {
        BOOST_TEST_CONTEXT(number) {
            auto text = good_catalogue;
            for (const auto* field :
                 {R"("target-latency-ms":60)", R"("attempts":4)",
                  R"("stretch":1.6)", R"("header-timeout-ms":3000)",
                  R"("idle-timeout-ms":15000)"}) {
                const std::string old(field);
                text = replace(text, old,
                               old.substr(0, old.find(':') + 1) + number);
            }
            text = replace(text, R"("service":"s")",
                           absl::StrCat(R"("service":"s","timeout-ms":)",
                                        number, R"(,"priority":)", number));
            const auto read = parse_catalogue(text);
            BOOST_REQUIRE(read.ok());
            BOOST_TEST(read->errors.empty());
            const auto& queue = read->routes.at(0).queue;
            BOOST_TEST((queue.timeout == dispatch::max_wait));
            BOOST_TEST((queue.latency_target == dispatch::max_wait));
            BOOST_TEST(queue.attempts >= 2'147'483'647U);
            BOOST_TEST(queue.priority >= 2'147'483'647U);
            BOOST_TEST(queue.stretch >= 2'147'483'647.0);
            BOOST_TEST((read->limits.idle_timeout == dispatch::max_wait));
        }
    }
}

BOOST_AUTO_TEST_CASE(hold_reply_is_parsed) {
    const auto reply = parse_hold_reply(200, good_hold);
    BOOST_REQUIRE(reply.running.size() == 1U);
    BOOST_TEST(reply.running[0].run.run == 2U);
    BOOST_REQUIRE(reply.ended.size() == 1U);
    BOOST_TEST(reply.ended[0].number == 58U);
    BOOST_TEST(reply.instance_started_ms == 17);
}

// Guards against a task that runs twice: a server error, taken for a refusal,
// lets the task be placed again while the endpoint may run it.
BOOST_AUTO_TEST_CASE(status_that_names_no_refusal_counts_as_unanswered) {
    for (const int status : {404, 500, 502, 504}) {
        BOOST_TEST_CONTEXT("HTTP status " << status) {
            BOOST_TEST(to_string(parse_call_reply(status, "{}").status) ==
                       "unanswered");
        }
    }
    BOOST_TEST(to_string(parse_call_reply(400, "{}").status) == "rejected");
    BOOST_TEST(to_string(parse_call_reply(409, "").status) == "rejected");
    BOOST_TEST(to_string(parse_call_reply(429, "").status) == "unavailable");
    BOOST_TEST(to_string(parse_call_reply(503, "").status) == "unavailable");
}

// Guards against a task that runs twice: a run whose row can't be read, taken
// for one that is not there, lets its task be placed again. An answer that
// can't be read counts as none, so that the endpoint gets no further tasks, and
// the leases of its runs end.
BOOST_AUTO_TEST_CASE(list_with_an_unreadable_running_row_is_no_list) {
    const auto reply = parse_hold_reply(
        200, R"({"clock-ms":1,"running":[["id.0.0.0",1.5]],"ended":[]})");
    BOOST_TEST(to_string(reply.call.status) == "unanswered");
    BOOST_TEST(reply.running.empty());
}

// Guards against leases on a clock that is not the endpoint's, and against
// calls without a pause to an endpoint whose clock stays unknown.
BOOST_AUTO_TEST_CASE(list_without_a_usable_clock_is_no_list) {
    for (const char* clock : {"-1", "1.5", "\"7\"", "9007199254740993",
                              "18446744073709551615", "null"}) {
        BOOST_TEST_CONTEXT("clock " << clock) {
            const auto reply = parse_hold_reply(
                200, absl::StrCat("{\"clock-ms\":", clock,
                                  ",\"running\":[],\"ended\":[]}"));
            BOOST_TEST(to_string(reply.call.status) == "unanswered");
            BOOST_TEST(reply.call.clock_ms == -1);
        }
    }
    BOOST_TEST(parse_hold_reply(200,
                                R"({"clock-ms":1,"born":18446744073709551615,)"
                                R"("running":[],"ended":[]})")
                   .instance_started_ms == 0);
}

// Guards against a run that is taken for another one: numbers above 32 bits
// were cut, so that run 4294967297 counted as run 1.
BOOST_AUTO_TEST_CASE(list_with_a_run_number_above_32_bits_is_no_list) {
    for (const char* body :
         {R"({"clock-ms":1,"running":[["id.0.0.0",4294967297]],"ended":[]})",
          R"({"clock-ms":1,"running":[],"ended":[[1,"id.0.0.0",4294967297,)"
          R"("done",""]]})"}) {
        const auto reply = parse_hold_reply(200, body);
        BOOST_TEST(to_string(reply.call.status) == "unanswered");
        BOOST_TEST(reply.running.empty());
        BOOST_TEST(reply.ended.empty());
    }
}

// Guards against a task that runs again after it was done: an end that could
// not be read was left out, so that its run counted as lost, and the next end
// was acknowledged together with it.
BOOST_AUTO_TEST_CASE(list_with_an_unreadable_ended_row_is_no_list) {
    for (const char* row :
         {R"([1,"id.0.0.0",1])", R"([1,"id.0.0",1,"done",""])",
          R"([-1,"id.0.0.0",1,"done",""])", R"([1,"id.0.0.0",1.5,"done",""])",
          R"([1,7,1,"done",""])", R"([1,"id.0.0.0",1,7,""])", "7", "null"}) {
        BOOST_TEST_CONTEXT("row " << row) {
            const auto reply = parse_hold_reply(
                200, absl::StrCat(R"({"clock-ms":1,"running":[],"ended":[)",
                                  row, R"(,[2,"id.0.0.1",1,"done",""]]})"));
            BOOST_TEST(to_string(reply.call.status) == "unanswered");
            BOOST_TEST(reply.ended.empty());
        }
    }
}

// Guards against a process that ends: copying or writing a deeply nested value
// overflows the stack.
BOOST_AUTO_TEST_CASE(deeply_nested_text_is_rejected) {
    const auto nested = [](std::size_t opened, std::size_t closed) {
        return std::string(opened, '[') + std::string(closed, ']');
    };
    for (const auto& odd : {nested(32'000, 32'000), nested(65'000, 0)}) {
        const auto in_object = "{\"odd\":" + odd + "}";
        for (const auto& text : {odd, in_object}) {
            BOOST_TEST(!parse_endpoint("i-1", text).ok());
            BOOST_TEST(!parse_catalogue(text).ok());
            BOOST_TEST(!parse_holder("a", "i-1", 1, text).ok());
            BOOST_TEST(!parse_job(job_id, text).ok());
            BOOST_TEST(to_string(parse_hold_reply(200, text).call.status) ==
                       "unanswered");
        }
        // An unknown field is ignored, but not at any depth.
        const auto with_odd_field = [&odd](const std::string& good) {
            return "{\"odd\":" + odd + "," + good.substr(1);
        };
        BOOST_TEST(!parse_endpoint("i-1", with_odd_field(good_endpoint)).ok());
        BOOST_TEST(!parse_catalogue(with_odd_field(good_catalogue)).ok());
    }
    BOOST_TEST(parse_endpoint("i-1", "{\"odd\":\"\\\"" + std::string(200, '[') +
                                         "\"," + good_endpoint.substr(1))
                   .ok());
}

BOOST_AUTO_TEST_CASE(damaged_jobs_are_parsed_or_rejected) {
    std::mt19937_64 random(11);
    int refused = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto job = parse_job(job_id, damage(good_job, random));
        if (!job.ok()) {
            ++refused;
            BOOST_REQUIRE(
                absl::StrContains(job.status().message(), ": expected "));
            continue;
        }
        for (const auto& step : job->work.steps) {
            BOOST_REQUIRE(step.count >= 1U);
            BOOST_REQUIRE(step.count <= 250U);
        }
    }
    BOOST_TEST(refused > rounds / 2);
}

BOOST_AUTO_TEST_CASE(damaged_rows_are_parsed_or_rejected) {
    std::mt19937_64 random(12);
    const auto good_holder = write_holder({"i-1", "a", {"10.1.0.1:1", 7}, 3});
    int refused = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& status :
             {parse_endpoint("i-1", damage(good_endpoint, random)).status(),
              parse_catalogue(damage(good_catalogue, random)).status(),
              parse_holder("a", "i-1", 1, damage(good_holder, random))
                  .status()}) {
            refused += status.ok() ? 0 : 1;
            BOOST_REQUIRE((status.ok() || !status.message().empty()));
        }
    }
    BOOST_TEST(refused > rounds);
}

BOOST_AUTO_TEST_CASE(damaged_hold_replies_yield_only_valid_runs) {
    std::mt19937_64 random(13);
    for (int round = 0; round < rounds; ++round) {
        const auto reply = parse_hold_reply(200, damage(good_hold, random));
        for (const auto& entry : reply.running) {
            BOOST_REQUIRE(!entry.run.task.job.empty());
            BOOST_REQUIRE(entry.percent <= 100U);
        }
    }
}

platform_settings_result parse_limits(const std::string& section) {
    std::istringstream file(
        "[host]\naddress = 10.1.0.1:1\nfailure_domain = a\ncallers = "
        "10.1.0.1:2\nready = 10.1.0.1:3\noperators = 10.1.0.1:4\n[peers]\n"
        "failure_domains = a,b\n[store]\naddress = 10.2.0.1:1\n[dispatch]\n"
        "lease_limit_ms = 1000\nstop_limit_ms = 50\nresend_after_ms = 1300\n"
        "[limits]\n" +
        section);
    return parse_platform_settings(file);
}

BOOST_AUTO_TEST_CASE(limits_of_callers_are_derived_from_the_machine) {
    const auto parsed = parse_limits("memory_mb = 512\ndescriptors = 10250\n");
    BOOST_REQUIRE(parsed.errors.empty());
    const auto limits = derive_caller_limits(parsed.settings.limits);
    BOOST_TEST(limits.held_bytes == std::size_t{256} * 1024 * 1024);
    BOOST_TEST(limits.max_connections * connection_bytes <=
               limits.held_bytes / 2);
    const auto few = parse_limits("memory_mb = 512\ndescriptors = 600\n");
    BOOST_TEST(derive_caller_limits(few.settings.limits).max_connections ==
               300U);
}

BOOST_AUTO_TEST_CASE(limits_that_can_not_hold_are_errors_that_name_the_field) {
    for (const auto& [section, field] :
         std::vector<std::pair<std::string, std::string>>{
             {"memory_mb = 16\n", "memory_mb"},
             {"descriptors = 20\n", "descriptors"},
             {"memory_mb = 64\ncaller_mb = 60\n", "caller_mb"},
             {"memory_mb = x\n", "memory_mb"},
             {"descriptors = 600\nconnections = 400\n", "connections"},
             {"caller_mb = 8\nconnections = 1000\n", "connections"}}) {
        const auto parsed = parse_limits(section);
        BOOST_TEST_CONTEXT(section) {
            BOOST_REQUIRE(!parsed.errors.empty());
            BOOST_TEST(absl::StrContains(parsed.errors[0], field));
        }
    }
}

// Guards against hosts that don't start where a script fills in the settings
// and doesn't know these fields.
BOOST_AUTO_TEST_CASE(limits_that_were_not_filled_in_have_their_defaults) {
    const auto parsed = parse_limits("memory_mb = {{limits.memory-mb}}\n"
                                     "descriptors = {{limits.max-fds}}\n");
    BOOST_TEST(parsed.errors.empty());
    BOOST_TEST(parsed.unfilled.size() == 2U);
    BOOST_TEST(parsed.settings.limits.memory_mb == 120U);
    BOOST_TEST(parsed.settings.limits.descriptors == 3075U);
}

// Guards against a job whose tasks each get a copy of a long label
// (review/5/claim.txt), and against ordinary jobs that count as large.
BOOST_AUTO_TEST_CASE(jobs_count_for_the_copies_of_their_tasks) {
    const auto limits = derive_caller_limits({});
    const auto estimate = [](const std::string& label, std::size_t spec) {
        const auto job = parse_job(
            job_id, absl::StrCat(R"({"best-effort":true,"spec":")",
                                 std::string(spec, 'x'),
                                 R"(","steps":[{"count":250,"cpu":1,)",
                                 R"("requires":")", label, R"("}]})"));
        BOOST_REQUIRE(job.ok());
        return estimate_job_bytes(job->work);
    };
    BOOST_TEST(estimate(std::string(250'000, 'x'), 0) > limits.held_bytes);
    BOOST_TEST(estimate("label", 4000) < limits.held_bytes / 200);
}

BOOST_AUTO_TEST_CASE(damaged_platform_settings_are_parsed_or_rejected) {
    std::mt19937_64 random(14);
    const std::string good =
        "[host]\naddress = 10.1.0.1:1\nfailure_domain = a\ncallers = "
        "10.1.0.1:2\nready = 10.1.0.1:3\noperators = 10.1.0.1:4\n[peers]\n"
        "failure_domains = a,b\n[store]\naddress = 10.2.0.1:1\n[dispatch]\n"
        "lease_limit_ms = 1000\nstop_limit_ms = 50\nresend_after_ms = 1300\n";
    std::istringstream whole(good);
    BOOST_REQUIRE(parse_platform_settings(whole).errors.empty());
    int refused = 0;
    for (int round = 0; round < rounds; ++round) {
        std::istringstream file(damage(good, random));
        refused += parse_platform_settings(file).errors.empty() ? 0 : 1;
    }
    BOOST_TEST(refused > rounds / 2);
}

BOOST_AUTO_TEST_CASE(look_ahead_is_off_unless_set) {
    const auto parse = [](const std::string& line) {
        std::istringstream file(
            "[host]\naddress = 10.1.0.1:1\nfailure_domain = a\ncallers = "
            "10.1.0.1:2\nready = 10.1.0.1:3\noperators = 10.1.0.1:4\n"
            "[peers]\nfailure_domains = a,b\n[store]\naddress = "
            "10.2.0.1:1\n[dispatch]\nlease_limit_ms = 1000\nstop_limit_ms = "
            "50\nresend_after_ms = 1300\n" +
            line);
        return parse_platform_settings(file);
    };
    BOOST_TEST(!parse("").settings.dispatch.look_ahead);
    BOOST_TEST(parse("look_ahead = on\n").settings.dispatch.look_ahead);
    BOOST_TEST(!parse("look_ahead = off\n").settings.dispatch.look_ahead);
    BOOST_TEST(parse("look_ahead = yes\n").errors.size() == 1U);
    const auto change = compare_settings(parse(""), parse("look_ahead = on\n"));
    BOOST_TEST(change.live.size() == 1U);
    BOOST_TEST(change.at_restart.empty());
}

// Peers of the same version send only valid messages, but a message may be
// damaged or come from another kind of sender.
BOOST_AUTO_TEST_CASE(damaged_peer_messages_are_rejected_or_harmless) {
    std::mt19937_64 random(15);
    msgpack::sbuffer packed;
    msgpack::pack(packed, dispatch::make_full_envelope());
    const std::string good(packed.data(), packed.size());
    dispatch::quiet_dispatcher host;
    host.core.add_member(host.now, "10.1.0.2:1");
    int thrown = 0;
    int handled = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto bytes = damage(good, random);
        try {
            const auto handle =
                msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                                envelope_limits());
            const auto read = dispatch::read_envelope(handle.get());
            host.now += 1ms;
            host.core.handle_envelope(host.now, read.message, read.content);
            ++handled;
        } catch (const std::exception&) {
            ++thrown;
        }
    }
    BOOST_TEST(thrown > 0);
    BOOST_TEST(handled > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::platform
