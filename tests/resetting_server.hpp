// An HTTP server that resets its connection after a request.
#ifndef FIGRIDGE_TESTS_RESETTING_SERVER_HPP
#define FIGRIDGE_TESTS_RESETTING_SERVER_HPP

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "adapters/event_loop.hpp"
#include "adapters/socket_address.hpp"

namespace figridge {

// Runs the loop until `reached()`, for 5 s at most.
template <class Condition>
void run_until(event_loop& loop, Condition reached) {
    constexpr int slices = 500;
    for (int slice = 0; slice < slices && !reached(); ++slice) {
        loop.run_for(10ms);
    }
}

enum class after_reset { refuse, accept };

// Answers the first request, and resets the connection after it has received
// the second one. Further connections are refused, or accepted and read.
class resetting_server {
public:
    resetting_server(
        event_loop& loop, const std::string& address, after_reset then,
        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        : loop_(loop), then_(then), answer_(std::move(answer)),
          listener_(*listen_on(address)),
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
        if (!received_.ends_with("}")) {
            return;
        }
        received_.clear();
        ++requests;
        if (requests == 1) {
            BOOST_TEST(send(connection_, answer_.data(), answer_.size(), 0) >
                       0);
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
    std::string answer_;
    int listener_;
    int connection_ = -1;
    std::string received_;
    std::unique_ptr<io_watcher> accepting_;
    std::unique_ptr<io_watcher> reading_;
    timer_watcher reset_timer_;
};

} // namespace figridge

#endif
