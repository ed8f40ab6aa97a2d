#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

#include "adapters/settings_file.hpp"

namespace figridge {
namespace {

constexpr auto good_file = R"([host]
address = 127.0.0.1:7101
callers = 127.0.0.1:7102
failure_domain = d1
[platform]
address = 127.0.0.1:7000
[hosts]
127.0.0.1:7101 = d1
127.0.0.1:7103 = d2
)";

settings_result parse(const std::string& text) {
    std::istringstream file(text);
    return parse_settings(file);
}

bool has_error(const settings_result& result, const std::string& part) {
    return std::any_of(result.errors.begin(), result.errors.end(),
                       [&part](const std::string& error) {
                           return error.find(part) != std::string::npos;
                       });
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_file)

BOOST_AUTO_TEST_CASE(a_minimal_file_is_accepted) {
    const auto result = parse(good_file);
    BOOST_TEST(result.errors.empty());
    BOOST_TEST(result.settings.core.hosts.size() == 2U);
    BOOST_TEST(result.settings.core.self.failure_domain == "d1");
}

BOOST_AUTO_TEST_CASE(every_error_is_reported_with_section_key_and_value) {
    const auto result = parse(R"([host]
address = here:1
callers = 127.0.0.1:99999
[timing]
heartbeat_ms = soon
colour = red
[platform]
address = 127.0.0.1:7000
[surprise]
x = 1
)");
    BOOST_TEST(has_error(result, "[host] address = \"here:1\""));
    BOOST_TEST(has_error(result, "[host] callers = \"127.0.0.1:99999\""));
    BOOST_TEST(has_error(result, "[host] failure_domain = \"\": missing"));
    BOOST_TEST(has_error(result, "[timing] heartbeat_ms = \"soon\""));
    BOOST_TEST(has_error(result, "[timing] colour = \"red\": unknown key"));
    BOOST_TEST(has_error(result, "[surprise] x = \"1\": unknown key"));
}

BOOST_AUTO_TEST_CASE(a_host_that_is_not_in_its_own_list_is_refused) {
    std::string file(good_file);
    file.replace(file.find("127.0.0.1:7101 = d1"), 19, "127.0.0.1:7105 = d1");
    BOOST_TEST(has_error(parse(file), "not listed with its failure domain"));
}

BOOST_AUTO_TEST_CASE(an_unreadable_file_is_an_error) {
    BOOST_TEST(load_settings("/nonexistent/figridge.ini").errors.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
