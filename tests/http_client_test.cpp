#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>

#include "adapters/http_client.hpp"
#include "adapters/socket_address.hpp"

namespace figridge {
namespace {

enum class after_reset { refuse, accept };

// Answers the first request, and resets the connection after it has received
// the second one. Further connections are refused, or accepted and read.
class resetting_server {
public:
    resetting_server(event_loop& loop, const std::string& address,
                     after_reset then)
        : loop_(loop), then_(then), listener_(*listen_on(address)),
          accepting_(std::make_unique<io_watcher>(
              loop, listener_, EV_READ, [this](int) { accept_connection(); })),
          reset_timer_(loop, [this] { reset(); }) {}

    ~resetting_server() {
        then_ = after_reset::refuse;
        reset();
    }

    resetting_server(const resetting_server&) = delete;
    resetting_server& operator=(const resetting_server&) = delete;

    int requests = 0;

private:
    void accept_connection() {
        connection_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        reading_ = std::make_unique<io_watcher>(
            loop_, connection_, EV_READ, [this](int) { read_request(); });
    }

    void read_request() {
        char chunk[4096];
        const auto size = recv(connection_, chunk, sizeof(chunk), 0);
        if (size <= 0) {
            reset_timer_.start_once(duration{0});
            return;
        }
        received_.append(chunk, static_cast<std::size_t>(size));
        if (!received_.ends_with("{}")) {
            return;
        }
        received_.clear();
        ++requests;
        if (requests == 1) {
            constexpr std::string_view answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            BOOST_TEST(send(connection_, answer.data(), answer.size(), 0) > 0);
        } else if (requests == 2) {
            reset_timer_.start_once(duration{0});
        }
    }

    void reset() {
        reading_.reset();
        abort_connection(connection_);
        if (then_ == after_reset::refuse) {
            accepting_.reset();
            abort_connection(listener_);
        }
    }

    // Closes the socket and sends a reset.
    static void abort_connection(int& descriptor) {
        if (descriptor >= 0) {
            const linger abort{1, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort,
                       sizeof(abort));
            close(std::exchange(descriptor, -1));
        }
    }

    event_loop& loop_;
    after_reset then_;
    int listener_;
    int connection_ = -1;
    std::string received_;
    std::unique_ptr<io_watcher> accepting_;
    std::unique_ptr<io_watcher> reading_;
    timer_watcher reset_timer_;
};

// Sends two requests, the second after the answer to the first; returns the
// result of the second.
http_result send_two(event_loop& loop, const std::string& address) {
    http_client client(loop);
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://", address, "/run-start");
    call.body = "{}";
    std::vector<http_result> results;
    for (std::size_t sent = 1; sent <= 2; ++sent) {
        client.send(call, [&results](const http_result& result) {
            results.push_back(result);
        });
        loop.run_for(100ms);
        BOOST_REQUIRE_EQUAL(results.size(), sent);
    }
    BOOST_TEST((results[0].outcome == http_outcome::answered));
    return results[1];
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_client_test)

// Guards against a task that runs twice: the endpoint receives the start, the
// connection is reset before the answer, and a refused reconnection makes the
// start count as not sent.
BOOST_AUTO_TEST_CASE(request_on_a_connection_that_is_reset_counts_as_lost) {
    constexpr auto address = "127.0.0.1:24903";
    event_loop loop;
    resetting_server server(loop, address, after_reset::refuse);
    const auto result = send_two(loop, address);
    BOOST_REQUIRE_EQUAL(server.requests, 2);
    BOOST_TEST((result.outcome == http_outcome::lost),
               "not lost: " << result.error);
}

// Guards against a request that is carried out twice: libcurl may send it once
// more on another connection.
BOOST_AUTO_TEST_CASE(request_on_a_connection_that_is_reset_is_not_repeated) {
    constexpr auto address = "127.0.0.1:24904";
    event_loop loop;
    resetting_server server(loop, address, after_reset::accept);
    const auto result = send_two(loop, address);
    BOOST_TEST((result.outcome == http_outcome::lost),
               "not lost: " << result.error);
    BOOST_TEST(server.requests == 2);
}

// The caller may place its request elsewhere at once.
BOOST_AUTO_TEST_CASE(request_that_meets_no_listener_counts_as_not_sent) {
    event_loop loop;
    http_client client(loop);
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:24905/run-start";
    call.body = "{}";
    std::vector<http_result> results;
    client.send(call, [&results](const http_result& result) {
        results.push_back(result);
    });
    loop.run_for(100ms);
    BOOST_REQUIRE_EQUAL(results.size(), 1U);
    BOOST_TEST((results[0].outcome == http_outcome::not_sent));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
