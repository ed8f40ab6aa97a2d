#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include "adapters/http_server.hpp"
#include "adapters/socket_address.hpp"

namespace figridge {
namespace {

constexpr std::size_t max_body = 200'000;

// A server with room for some connections and for one large body.
struct limited_server {
    explicit limited_server(const std::string& at, std::size_t connections = 16)
        : address(at), server(
                           loop, std::size_t{1} << 20,
                           [this](const http_request& request) {
                               bodies.push_back(request.body.size());
                               tokens.push_back(request.token);
                           },
                           [this](http_token) { ++disconnects; }) {
        server.limit_clients({connections, 24 * connection_bytes});
        connection_limits limits;
        limits.max_body_bytes = max_body;
        server.set_limits(limits);
        server.on_limit = [this](limit_cause cause) {
            causes.push_back(cause);
        };
        BOOST_REQUIRE(server.start(address).ok());
    }
    ~limited_server() {
        for (const int caller : callers) {
            close(caller);
        }
    }

    // Opens a connection and sends `text`.
    int open(const std::string& text) {
        const int caller = socket(AF_INET, SOCK_STREAM, 0);
        const auto target = parse_socket_address(address);
        const auto* raw = reinterpret_cast<const sockaddr*>(&*target);
        BOOST_REQUIRE(connect(caller, raw, sizeof(*target)) == 0);
        callers.push_back(caller);
        write(caller, text);
        return caller;
    }
    void write(int caller, const std::string& text) {
        std::size_t sent = 0;
        for (int tries = 0; sent < text.size() && tries < 1000; ++tries) {
            const auto count =
                send(caller, text.data() + sent, text.size() - sent,
                     MSG_NOSIGNAL | MSG_DONTWAIT);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            loop.run_for(1ms);
        }
        loop.run_for(5ms);
    }
    static std::string read(int caller) {
        std::string text(4096, '\0');
        const auto count = recv(caller, text.data(), text.size(), MSG_DONTWAIT);
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }
    static std::string post(std::size_t length, std::size_t sent) {
        return "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
               std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
    }
    [[nodiscard]] std::ptrdiff_t count(limit_cause cause) const {
        return std::count(causes.begin(), causes.end(), cause);
    }

    std::string address;
    event_loop loop;
    std::vector<std::size_t> bodies;
    std::vector<http_token> tokens;
    std::vector<limit_cause> causes;
    std::vector<int> callers;
    std::ptrdiff_t disconnects = 0;
    http_server server;
};

} // namespace

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

// Guards against memory for bodies that are refused anyway.
BOOST_AUTO_TEST_CASE(a_body_announced_too_long_is_refused_before_it_is_read) {
    limited_server limited("127.0.0.1:24903");
    const int caller = limited.open(limited_server::post(max_body + 1, 0));
    limited.loop.run_for(20ms);
    BOOST_TEST(limited_server::read(caller).starts_with("HTTP/1.1 413"));
    BOOST_TEST(limited.bodies.empty());
    BOOST_TEST(limited.count(limit_cause::announced_too_long) == 1);
}

// Guards against a body without an announced length that is kept or read on
// after it has exceeded the limit.
BOOST_AUTO_TEST_CASE(a_body_that_exceeds_the_limit_is_refused_and_dropped) {
    limited_server limited("127.0.0.1:24904");
    const int caller = limited.open("POST /a HTTP/1.1\r\nHost: x\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"
                                    "40000\r\n" +
                                    std::string(max_body + 1, 'x'));
    limited.loop.run_for(20ms);
    BOOST_TEST(limited_server::read(caller).starts_with("HTTP/1.1 413"));
    BOOST_TEST(limited.bodies.empty());
    BOOST_TEST(limited.count(limit_cause::body_too_long) == 1);
    BOOST_TEST(limited.server.held_bytes() == 0U);
}

// Guards against a limit that is met by one caller inside the limits.
BOOST_AUTO_TEST_CASE(a_body_of_the_largest_size_is_read_whole) {
    limited_server limited("127.0.0.1:24905");
    limited.open(limited_server::post(max_body, max_body));
    limited.loop.run_for(20ms);
    BOOST_REQUIRE(limited.bodies.size() == 1U);
    BOOST_TEST(limited.bodies[0] == max_body);
    BOOST_TEST(limited.causes.empty());
    BOOST_TEST(limited.server.held_bytes() == connection_bytes);
}

// Guards against bodies that stop short of their end and together take all the
// memory, and against ordinary requests that are refused because of them.
BOOST_AUTO_TEST_CASE(slowest_bodies_are_closed_when_memory_is_short) {
    limited_server limited("127.0.0.1:24906");
    for (int i = 0; i < 8; ++i) {
        limited.open(limited_server::post(max_body, max_body - 40));
        BOOST_TEST(limited.server.held_bytes() <= 24 * connection_bytes);
    }
    BOOST_TEST(limited.count(limit_cause::slow_body) > 0);
    BOOST_TEST(limited.bodies.empty());
    limited.open(limited_server::post(500, 500));
    BOOST_TEST(limited.bodies.size() == 1U);
}

// Guards against connections that leave none for new callers.
BOOST_AUTO_TEST_CASE(slowest_connections_are_closed_for_new_ones) {
    limited_server limited("127.0.0.1:24907");
    for (int i = 0; i < 40; ++i) {
        limited.open("POST /a HT");
    }
    BOOST_TEST(limited.count(limit_cause::slow_connection) > 0);
    BOOST_TEST(limited.server.open_connections() <= 16U);
    limited.open(limited_server::post(2, 2));
    limited.loop.run_for(20ms);
    BOOST_TEST(limited.bodies.size() == 1U);
}

// Guards against requests in progress that are closed for new connections.
BOOST_AUTO_TEST_CASE(handled_requests_stay_open_when_connections_are_short) {
    limited_server limited("127.0.0.1:24908");
    for (int i = 0; i < 15; ++i) {
        limited.open(limited_server::post(2, 2));
    }
    BOOST_REQUIRE(limited.bodies.size() == 15U);
    limited.open("POST /a HT");
    limited.open("POST /a HT");
    BOOST_TEST(limited.server.held_requests() == 15U);
}

// Guards against callers that hold all connections by sending their next
// requests before they have an answer.
BOOST_AUTO_TEST_CASE(callers_that_send_on_are_closed_for_new_connections) {
    limited_server limited("127.0.0.1:24911");
    // More than is read ahead.
    const auto row = limited_server::post(2, 2) +
                     limited_server::post(max_body, max_body / 2);
    for (int i = 0; i < 15; ++i) {
        limited.open(row);
    }
    BOOST_REQUIRE(limited.bodies.size() == 15U);
    limited.open(limited_server::post(7, 7));
    limited.loop.run_for(20ms);
    BOOST_TEST(limited.count(limit_cause::requests_in_a_row) > 0);
    BOOST_REQUIRE(limited.bodies.size() == 16U);
    BOOST_TEST(limited.bodies.back() == 7U);
    BOOST_TEST(limited.disconnects ==
               limited.count(limit_cause::requests_in_a_row));
}

// Guards against callers that hold all connections by not reading answers.
BOOST_AUTO_TEST_CASE(callers_that_read_no_answers_are_closed_first) {
    limited_server limited("127.0.0.1:24912");
    for (int i = 0; i < 8; ++i) {
        limited.open(limited_server::post(2, 2));
        http_response response;
        response.body.assign(std::size_t{16} << 20U, 'x');
        limited.server.respond(limited.tokens.back(), std::move(response));
    }
    limited.loop.run_for(800ms); // some checks
    for (int i = 0; i < 7; ++i) {
        limited.open("POST /a HT");
    }
    BOOST_REQUIRE(limited.causes.empty());
    limited.open(limited_server::post(7, 7));
    limited.loop.run_for(20ms);
    BOOST_TEST(limited.count(limit_cause::unread_answers) == 1);
    BOOST_TEST(limited.causes.size() == 1U);
    BOOST_TEST(limited.bodies.back() == 7U);
}

// Guards against memory that is held for callers that have gone: the end of a
// connection that arrives with its last data is not reported again.
BOOST_AUTO_TEST_CASE(body_of_a_caller_that_has_gone_is_dropped) {
    limited_server limited("127.0.0.1:24909");
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    const auto target = parse_socket_address(limited.address);
    const auto* raw = reinterpret_cast<const sockaddr*>(&*target);
    BOOST_REQUIRE(connect(caller, raw, sizeof(*target)) == 0);
    const auto text = limited_server::post(20'000, 10'000);
    BOOST_REQUIRE(send(caller, text.data(), text.size(), 0) > 0);
    close(caller);
    limited.loop.run_for(1200ms);
    BOOST_TEST(limited.server.open_connections() == 0U);
    BOOST_TEST(limited.server.held_bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(reserved_bytes_count_until_the_request_is_answered) {
    limited_server limited("127.0.0.1:24910");
    limited.open(limited_server::post(2, 2));
    BOOST_REQUIRE(limited.tokens.size() == 1U);
    const auto token = limited.tokens[0];
    BOOST_TEST(!limited.server.reserve(token, 24 * connection_bytes));
    BOOST_TEST(limited.count(limit_cause::no_memory) == 1);
    BOOST_TEST(limited.server.reserve(token, 10'000));
    BOOST_TEST(limited.server.held_bytes() == connection_bytes + 10'000);
    BOOST_TEST(!limited.server.reserve(token + 1, 1));
    limited.server.respond(token, {});
    BOOST_TEST(limited.server.held_bytes() == connection_bytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
