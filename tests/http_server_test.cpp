#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <string_view>

#include <sys/socket.h>
#include <unistd.h>

#include "adapters/http_server.hpp"
#include "adapters/socket_address.hpp"

namespace figridge {

BOOST_AUTO_TEST_SUITE(http_server_life)

BOOST_AUTO_TEST_CASE(a_request_received_during_shutdown_is_not_handled) {
    // The objects that the handler uses may be destroyed before the server is,
    // so its destructor must not call the handler.
    constexpr auto address = "127.0.0.1:24901";
    int handled = 0;
    event_loop loop;
    auto server = std::make_unique<http_server>(
        loop, 1024, [&handled](const http_request&) { ++handled; },
        [](http_token) {});
    BOOST_REQUIRE(server->start(address).ok());
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    const auto target = parse_socket_address(address);
    const auto* raw = reinterpret_cast<const sockaddr*>(&*target);
    BOOST_REQUIRE(connect(caller, raw, sizeof(*target)) == 0);
    constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    BOOST_REQUIRE(send(caller, request.data(), request.size(), 0) > 0);
    server.reset();
    close(caller);
    BOOST_TEST(handled == 0);
}

// After a process stall, a host may read requests whose callers have
// disconnected and may have sent them to another host.
BOOST_AUTO_TEST_CASE(a_request_of_a_disconnected_caller_is_not_handled) {
    constexpr auto address = "127.0.0.1:24902";
    int handled = 0;
    event_loop loop;
    http_server server(
        loop, 1024, [&handled](const http_request&) { ++handled; },
        [](http_token) {});
    BOOST_REQUIRE(server.start(address).ok());
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    const auto target = parse_socket_address(address);
    const auto* raw = reinterpret_cast<const sockaddr*>(&*target);
    BOOST_REQUIRE(connect(caller, raw, sizeof(*target)) == 0);
    constexpr std::string_view request =
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}";
    BOOST_REQUIRE(send(caller, request.data(), request.size(), 0) > 0);
    close(caller);
    loop.run_for(200ms);
    BOOST_TEST(handled == 0);
    BOOST_TEST(server.held_requests() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
