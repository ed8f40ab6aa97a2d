#include <boost/test/unit_test.hpp>

#include "adapters/connection_table.hpp"

namespace figridge {
namespace {

constexpr auto server = "127.0.0.1:80";

} // namespace

BOOST_AUTO_TEST_SUITE(connection_table_test)

// The next four guard against a start that is sent to another process than the
// one that was read.

BOOST_AUTO_TEST_CASE(connection_leads_to_the_process_that_was_named) {
    connection_table table;
    table.open(5);
    const auto number = table.begin_use(5, server, 40'000);
    BOOST_TEST(!table.process_of(number).has_value());
    table.set_process(number, 7);
    BOOST_TEST((table.process_of(number) == 7));
    table.end_use(number);
    BOOST_TEST(table.begin_use(std::nullopt, server, 40'000) == number);
}

BOOST_AUTO_TEST_CASE(connection_with_the_port_of_a_closed_one_is_another) {
    connection_table table;
    table.open(5);
    const auto former = table.begin_use(5, server, 40'000);
    table.set_process(former, 7);
    table.close(5);
    table.open(5);
    const auto present = table.begin_use(5, server, 40'000);
    BOOST_TEST(present != former);
    table.set_process(former, 7); // an answer that is handled late
    BOOST_TEST(!table.process_of(present).has_value());
}

BOOST_AUTO_TEST_CASE(port_may_be_used_again_before_the_socket_is_closed) {
    connection_table table;
    table.open(5);
    table.set_process(table.begin_use(5, server, 40'000), 7);
    table.open(6);
    const auto present = table.begin_use(6, server, 40'000);
    table.close(5);
    table.end_use(present);
    BOOST_TEST(table.begin_use(std::nullopt, server, 40'000) == present);
    BOOST_TEST(!table.process_of(present).has_value());
}

BOOST_AUTO_TEST_CASE(connection_that_was_not_opened_here_is_unknown) {
    connection_table table;
    BOOST_TEST(table.begin_use(std::nullopt, server, 40'000) == 0U);
    BOOST_TEST(table.begin_use(5, server, 40'000) == 0U);
    table.close(5);
    BOOST_TEST(!table.process_of(0).has_value());
}

// Guards against starts that wait although a connection is free.
BOOST_AUTO_TEST_CASE(connections_to_a_process_are_free_unless_in_use) {
    connection_table table;
    table.open(5);
    table.open(6);
    const auto first = table.begin_use(5, server, 40'000);
    const auto second = table.begin_use(6, server, 40'001);
    table.set_process(first, 7);
    table.set_process(second, 7);
    BOOST_TEST(table.count_free(server, 7) == 0U);
    table.end_use(first);
    table.end_use(second);
    BOOST_TEST(table.count_free(server, 7) == 2U);
    BOOST_TEST(table.count_free(server, 8) == 0U);
    table.close(5);
    BOOST_TEST(table.count_free(server, 7) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
