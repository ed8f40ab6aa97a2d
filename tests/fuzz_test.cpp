// Fuzz tests: randomly damaged inputs from fixed seeds must not crash a decoder
// and must be either decoded or rejected with an error.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <random>
#include <sstream>

#include "adapters/endpoint_http.hpp"
#include "adapters/settings_file.hpp"
#include "codec/envelope_codec.hpp"
#include "codec/json_codec.hpp"
#include "damage.hpp"
#include "figridge/messages.hpp"

namespace figridge {
namespace {

constexpr int rounds = 4000;

envelope make_envelope() {
    envelope message;
    message.from = "127.0.0.1:1";
    message.from_domain = "d1";
    message.from_incarnation = 7;
    message.sequence = 3;
    const submission_id id{"d1", "127.0.0.1:1", 7, 9};
    task_batch batch;
    batch.id = id;
    batch.entry = "e";
    batch.items = {{0, 1, {"p", 1, 2, 3, 4}}, {1, 1, {"q", 0, 0, 0, 0}}};
    message.payload.batches = {batch};
    message.payload.results = {
        {{id, 0, 1}, task_result_kind::ok, "e", "out", 3, 4}};
    message.payload.returns = {{return_reason::refused, "", {{id, 1, 1}}}};
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fuzz)

BOOST_AUTO_TEST_CASE(damaged_jobs_are_parsed_or_refused) {
    std::mt19937_64 random(1);
    const std::string good =
        R"({"entry":"e","priority":"urgent","deadline_ms":10,"tasks":[)"
        R"({"payload":"p","cpu_millis":5},{"run_ms_hint":7}]})";
    int refused = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto value = parse_json(damage(good, random));
        const auto job = value.ok()
                             ? job_from_json(*value)
                             : absl::StatusOr<job_request>(value.status());
        if (!job.ok()) {
            ++refused;
            BOOST_REQUIRE(!job.status().message().empty());
        } else {
            BOOST_REQUIRE(check_job(*job).ok());
        }
    }
    BOOST_TEST(refused > rounds / 2);
}

BOOST_AUTO_TEST_CASE(damaged_edits_are_parsed_or_refused) {
    std::mt19937_64 random(2);
    const std::string good =
        R"({"based_on":1,"edit_id":"x","set":[{"name":"a","owner":"o",)"
        R"("work_class":"w","task_deadline_ms":5,"running_tasks":{"d1":3}}]})";
    for (int round = 0; round < rounds; ++round) {
        const auto value = parse_json(damage(good, random));
        if (value.ok()) {
            const auto edit = edit_from_json(*value);
            BOOST_REQUIRE(!edit.ok() || check_edit(*edit).ok());
        }
    }
}

BOOST_AUTO_TEST_CASE(damaged_envelopes_are_decoded_or_rejected) {
    std::mt19937_64 random(3);
    msgpack::sbuffer packed;
    msgpack::pack(packed, make_envelope());
    const std::string good(packed.data(), packed.size());
    int rejected = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto bytes = damage(good, random);
        try {
            const auto handle =
                msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                                envelope_limits());
            (void)handle.get().as<envelope>();
        } catch (const std::exception&) {
            ++rejected;
        }
    }
    BOOST_TEST(rejected > 0);
}

BOOST_AUTO_TEST_CASE(damaged_settings_are_parsed_or_refused) {
    std::mt19937_64 random(4);
    const std::string good = "[host]\naddress = 127.0.0.1:1\ncallers = "
                             "127.0.0.1:2\nfailure_domain = d1\n[platform]\n"
                             "address = 127.0.0.1:3\n[hosts]\n127.0.0.1:1 = "
                             "d1\n[timing]\nheartbeat_ms = 100\n";
    int refused = 0;
    for (int round = 0; round < rounds; ++round) {
        std::istringstream file(damage(good, random));
        refused += parse_settings(file).errors.empty() ? 0 : 1;
    }
    BOOST_TEST(refused > rounds / 2);
}

BOOST_AUTO_TEST_CASE(damaged_endpoint_replies_never_count_as_not_started) {
    std::mt19937_64 random(5);
    const task_ref order{{"d1", "127.0.0.1:1", 7, 9}, 0, 1};
    const std::string good =
        R"({"id":"d1~127.0.0.1:1~7~9","task":0,"attempt":1,"status":"ok",)"
        R"("output":"x"})";
    for (int round = 0; round < rounds; ++round) {
        http_result result;
        result.outcome = http_outcome::answered;
        result.status = 200;
        result.body = damage(good, random);
        const auto reply = read_start_reply("127.0.0.1:5", order, result);
        const bool says_not_started = reply.status == start_status::refused ||
                                      reply.status == start_status::leaving ||
                                      reply.status == start_status::not_sent;
        BOOST_REQUIRE(!says_not_started);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
