// One HTTP/2 connection on a non-blocking socket.
#ifndef FIGRIDGE_ADAPTERS_HTTP2_CONNECTION_HPP
#define FIGRIDGE_ADAPTERS_HTTP2_CONNECTION_HPP

#include <functional>
#include <memory>
#include <string>

#include <nghttp2/nghttp2.h>

#include "event_loop.hpp"

namespace figridge {

// Transfers bytes between a socket and an nghttp2 session and owns both.
// Not thread-safe.
class http2_connection {
public:
    using close_handler = std::function<void()>;

    // Takes ownership of the socket.
    http2_connection(event_loop& loop, int socket, close_handler closed);
    ~http2_connection();
    http2_connection(const http2_connection&) = delete;
    http2_connection& operator=(const http2_connection&) = delete;

    // Takes ownership of the session and starts the transfer.
    // Precondition: called once.
    void start(nghttp2_session* session);

    // Writes what the session wants to send.
    void write();

    [[nodiscard]] nghttp2_session* session() const { return session_; }
    [[nodiscard]] std::uint64_t bytes_written() const { return written_; }

private:
    void ready(int events);
    bool read();
    void close();

    event_loop& loop_;
    int socket_;
    close_handler on_close_;
    nghttp2_session* session_ = nullptr;
    std::unique_ptr<io_watcher> watcher_;
    std::string unsent_;
    std::size_t unsent_offset_ = 0;
    std::uint64_t written_ = 0;
    bool is_closed_ = false;
};

// Enlarges the flow-control windows, so that the peer rarely has to wait for
// window updates.
void submit_large_windows(nghttp2_session* session);

} // namespace figridge

#endif
