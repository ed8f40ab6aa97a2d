// Submission ids, JSON conversion, edits of the catalogue and the list of
// endpoints.
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "adapters/platform_http.hpp"
#include "codec/json_codec.hpp"
#include "figridge/submission_id.hpp"

namespace figridge {
namespace {

std::string error_of(const char* text) {
    const auto value = parse_json(text);
    if (!value.ok()) {
        return std::string(value.status().message());
    }
    return std::string(job_from_json(*value).status().message());
}

} // namespace

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(submission_id_round_trips_through_text) {
    const submission_id id{"d1", "10.0.0.1:7100", 0xfeedbeefULL, 300};
    const auto parsed = parse_submission_id(to_string(id));
    BOOST_REQUIRE(parsed.ok());
    BOOST_TEST((*parsed == id));
}

BOOST_AUTO_TEST_CASE(malformed_submission_ids_are_rejected) {
    for (const auto* text : {"", "a~b~c", "d1~h~xyz~1", "~h~1~1", "d~h~1~",
                             "d~h~1~1~1", "d~h~11111111111111111~1"}) {
        BOOST_TEST(!parse_submission_id(text).ok(), "accepted: " << text);
    }
}

BOOST_AUTO_TEST_CASE(job_errors_name_the_field) {
    const std::pair<const char*, const char*> cases[] = {
        {R"({"tasks":[{}]})", "entry: missing"},
        {R"({"entry":"e"})", "tasks: missing"},
        {R"({"entry":"e","tasks":[]})", "tasks: at least one is needed"},
        {R"({"entry":"e","tasks":[{"payload":3}]})",
         "tasks[0].payload: expected a string"},
        {R"({"entry":"e","tasks":[{}],"priority":"now"})",
         "priority: expected normal or urgent"},
        {R"({"entry":"e","tasks":[{}],"deadline":5})",
         "deadline: unknown field"},
        {R"({"entry":"e","tasks":[{"memory_mb":-1}]})",
         "tasks[0].memory_mb: expected a whole number from 0 to 4294967295"},
        {R"({"entry":"e","idempotent":true,"tasks":[{},{}]})",
         "idempotent: only for a request of one task"},
        {R"([])", ": expected an object"},
    };
    for (const auto& [text, expected] : cases) {
        BOOST_TEST(error_of(text) == expected,
                   "for " << text << ": " << error_of(text));
    }
}

BOOST_AUTO_TEST_CASE(job_of_251_tasks_is_rejected) {
    json job{{"entry", "e"}, {"tasks", json::array()}};
    for (int task = 0; task < 251; ++task) {
        job["tasks"].push_back(json::object());
    }
    const auto parsed = job_from_json(job);
    BOOST_TEST(std::string(parsed.status().message()) ==
               "tasks: 251 given, at most 250");
}

BOOST_AUTO_TEST_CASE(job_round_trips_through_json) {
    job_request job;
    job.entry = "e";
    job.priority = priority_class::urgent;
    job.deadline_ms = 7;
    job.tasks = {{"payload", 1, 2, 3, 4}};
    const auto parsed = job_from_json(to_json(job));
    BOOST_REQUIRE(parsed.ok());
    BOOST_TEST(dump_json(to_json(*parsed)) == dump_json(to_json(job)));
}

BOOST_AUTO_TEST_CASE(catalogue_errors_name_entry_and_field) {
    const auto error = [](const char* text) {
        return std::string(
            edit_from_json(*parse_json(text)).status().message());
    };
    BOOST_TEST(error(R"({"based_on":0,"edit_id":"x","set":[{"name":"a",
        "owner":"o","work_class":"w","task_deadline_ms":0}]})") ==
               "entry a: task_deadline_ms: 1 to 30000");
    BOOST_TEST(error(R"({"based_on":0,"edit_id":"x","set":[{"name":"a",
        "owner":"o","work_class":"w","task_deadline_ms":9,
        "running_tasks":{"d1":"many"}}]})") ==
               "entry a.running_tasks.d1: expected a whole number from 0 to "
               "4294967295");
    BOOST_TEST(error(R"({"based_on":0,"edit_id":"x"})") ==
               "set: the edit changes nothing");
}

BOOST_AUTO_TEST_CASE(apply_edit_sets_and_removes_at_the_next_version) {
    catalogue base;
    base.version = 4;
    base.entries["old"].name = "old";
    catalogue_edit edit;
    edit.edit_id = "e";
    edit.set = {{"new", "o", "w", {}, {}, {}, 10}};
    edit.remove = {"old"};
    const auto next = apply_edit(base, edit);
    BOOST_TEST(next.version == 5U);
    BOOST_TEST(next.entries.size() == 1U);
    BOOST_TEST(next.entries.contains("new"));
}

// Guards against hosts that stop following the list of endpoints: one entry
// that could not be read made the whole list unreadable.
BOOST_AUTO_TEST_CASE(odd_entry_leaves_the_other_endpoints_listed) {
    const auto make_entry = [](const std::string& address,
                               const std::string& slots) {
        return R"({"address":")" + address +
               R"(","failure_domain":"d1","slots":)" + slots +
               R"(,"cpu_millis":1000,"memory_mb":64})";
    };
    const auto good = make_entry("127.0.0.1:5", "4");
    for (const auto& odd :
         {make_entry("127.0.0.1:70000", "4"), make_entry("odd", "4"),
          make_entry("127.0.0.1:6", "18446744073709551616"),
          make_entry("127.0.0.1:6", "-1"), std::string("{}"), std::string("7"),
          std::string(30'000, '[') + std::string(30'000, ']')}) {
        BOOST_TEST_CONTEXT("entry " << odd.substr(0, 80)) {
            const auto list = parse_endpoint_list("[" + odd + "," + good + "]");
            BOOST_REQUIRE(list.ok());
            BOOST_REQUIRE(list->size() == 1U);
            BOOST_TEST(list->front().address == "127.0.0.1:5");
        }
    }
    BOOST_TEST(!parse_endpoint_list("{}").ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
