#include "http2_connection.hpp"

#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace figridge {
namespace {

constexpr std::size_t read_chunk_bytes = 64 * 1024;
constexpr std::size_t write_chunk_bytes = 256 * 1024;
constexpr std::uint32_t window_bytes = 16U << 20;

} // namespace

void submit_large_windows(nghttp2_session* session) {
    const nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings, 1);
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                          window_bytes);
}

http2_connection::http2_connection(event_loop& loop, int socket,
                                   close_handler closed)
    : loop_(loop), socket_(socket), on_close_(std::move(closed)) {}

http2_connection::~http2_connection() {
    watcher_.reset();
    nghttp2_session_del(session_);
    ::close(socket_);
}

void http2_connection::start(nghttp2_session* session) {
    session_ = session;
    watcher_ = std::make_unique<io_watcher>(
        loop_, socket_, EV_READ, [this](int events) { ready(events); });
    write();
}

void http2_connection::ready(int events) {
    if ((events & EV_READ) != 0 && !read()) {
        return;
    }
    write();
}

bool http2_connection::read() {
    std::array<std::uint8_t, read_chunk_bytes> chunk;
    while (true) {
        const auto count = recv(socket_, chunk.data(), chunk.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return true;
        }
        const bool failed =
            count <= 0 ||
            nghttp2_session_mem_recv(session_, chunk.data(),
                                     static_cast<std::size_t>(count)) < 0;
        if (failed) {
            close();
            return false;
        }
        if (static_cast<std::size_t>(count) < chunk.size()) {
            return true;
        }
    }
}

void http2_connection::write() {
    if (is_closed_) {
        return;
    }
    while (true) {
        while (unsent_.size() - unsent_offset_ < write_chunk_bytes) {
            // To a peer that is slow to read, some bytes always wait.
            if (unsent_offset_ > unsent_.size() / 2) {
                unsent_.erase(0, std::exchange(unsent_offset_, 0));
            }
            const std::uint8_t* data = nullptr;
            const auto size = nghttp2_session_mem_send(session_, &data);
            if (size < 0) {
                return close();
            }
            if (size == 0) {
                break;
            }
            unsent_.append(reinterpret_cast<const char*>(data),
                           static_cast<std::size_t>(size));
        }
        if (unsent_offset_ == unsent_.size()) {
            unsent_.clear();
            unsent_offset_ = 0;
            watcher_->set_events(EV_READ);
            return;
        }
        const auto count =
            ::send(socket_, unsent_.data() + unsent_offset_,
                   unsent_.size() - unsent_offset_, MSG_NOSIGNAL);
        if (count < 0 && errno == EAGAIN) {
            watcher_->set_events(EV_READ | EV_WRITE);
            return;
        }
        if (count < 0) {
            return close();
        }
        unsent_offset_ += static_cast<std::size_t>(count);
        written_ += static_cast<std::uint64_t>(count);
        if (unsent_offset_ == unsent_.size()) {
            unsent_.clear();
            unsent_offset_ = 0;
        }
    }
}

void http2_connection::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    watcher_->set_events(0);
    // The owner may keep this object for some time. Without the shutdown the
    // peer would go on sending on a connection that nobody reads.
    ::shutdown(socket_, SHUT_RDWR);
    on_close_();
}

} // namespace figridge
