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

// Answers the first request, and resets the connection after it has received
// the second one. No further connection is accepted then.
class resetting_server {
public:
    resetting_server(event_loop& loop, const std::string& address)
        : loop_(loop), listener_(*listen_on(address)),
          accepting_(std::make_unique<io_watcher>(
              loop, listener_, EV_READ, [this](int) { accept_connection(); })) {
    }

    ~resetting_server() { reset(); }

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
            return reset();
        }
        received_.append(chunk, static_cast<std::size_t>(size));
        if (!received_.ends_with("{}")) {
            return;
        }
        received_.clear();
        if (++requests == 1) {
            constexpr std::string_view answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            BOOST_TEST(send(connection_, answer.data(), answer.size(), 0) > 0);
            return;
        }
        reset();
    }

    void reset() {
        accepting_.reset();
        reading_.reset();
        const linger abort{1, 0}; // close() sends a reset
        for (auto* socket : {&listener_, &connection_}) {
            if (*socket >= 0) {
                setsockopt(*socket, SOL_SOCKET, SO_LINGER, &abort,
                           sizeof(abort));
                close(std::exchange(*socket, -1));
            }
        }
    }

    event_loop& loop_;
    int listener_;
    int connection_ = -1;
    std::string received_;
    std::unique_ptr<io_watcher> accepting_;
    std::unique_ptr<io_watcher> reading_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_client_test)

// Guards against a task that runs twice: the endpoint receives the start, the
// connection is reset before the answer, and a refused reconnection makes the
// start count as not sent.
BOOST_AUTO_TEST_CASE(request_on_a_connection_that_is_reset_counts_as_lost,
                     *boost::unit_test::disabled()) {
    constexpr auto address = "127.0.0.1:24903";
    event_loop loop;
    resetting_server server(loop, address);
    http_client client(loop);
    http_call call;
    call.method = "POST";
    call.url = absl::StrCat("http://", address, "/run-start");
    call.body = "{}";
    std::vector<http_result> results;
    const auto record = [&results](const http_result& result) {
        results.push_back(result);
    };
    client.send(call, record);
    loop.run_for(100ms);
    BOOST_REQUIRE_EQUAL(results.size(), 1U);
    BOOST_TEST((results[0].outcome == http_outcome::answered));
    client.send(call, record);
    loop.run_for(100ms);
    BOOST_REQUIRE_EQUAL(server.requests, 2);
    BOOST_REQUIRE_EQUAL(results.size(), 2U);
    BOOST_TEST((results[1].outcome == http_outcome::lost),
               "not lost: " << results[1].error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge
