#include "peer_transport.hpp"

#include <algorithm>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <msgpack.hpp>

#include "codec/envelope_codec.hpp"
#include "http2_connection.hpp"
#include "log_observer.hpp"
#include "socket_address.hpp"

namespace figridge {
namespace {

constexpr duration min_reconnect_delay = 50ms;
constexpr duration max_reconnect_delay = 300ms;
// TCP retransmits a lost SYN only after 1 s; a new attempt is faster.
constexpr duration connect_timeout = 300ms;
constexpr unsigned unacknowledged_timeout_ms = 1500;
// Messages to a peer beyond this are dropped, and all others until it has read
// these, so that none arrives after one that is missing. Then the sender is
// told to send again what must arrive. 60 peers that do not read take 30 MiB,
// and their connections 256 KiB each.
constexpr std::size_t max_buffered_bytes = 512U << 10;
constexpr std::size_t max_unparsed_bytes = 64U << 20;
constexpr std::size_t initial_buffer_bytes = 64U << 10;

nghttp2_nv header(std::string_view name, std::string_view value) {
    auto* raw_name =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    auto* raw_value =
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    return {raw_name, raw_value, name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

// Disables Nagle's algorithm, so that messages are sent at once, and drops a
// connection whose peer does not acknowledge sent data in time.
void set_socket_options(int socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const unsigned timeout_ms = unacknowledged_timeout_ms;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
}

} // namespace

void require_sender_address(const std::string& address) {
    if (const auto parsed = parse_socket_address(address); !parsed.ok()) {
        throw std::invalid_argument(absl::StrCat(
            "from.address: ", std::string(parsed.status().message())));
    }
}

// The outgoing connection to one peer. Owned by `peer_transport`.
class peer_link {
public:
    peer_link(peer_transport& transport, std::string host,
              const sockaddr_in& address)
        : transport_(transport), host_(std::move(host)), address_(address),
          timer_(transport.loop_, [this] { on_timer(); }) {
        connect();
    }

    ~peer_link() {
        if (socket_ >= 0) {
            ::close(socket_);
        }
    }

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    [[nodiscard]] bool is_connected() const {
        return state_ == state::connected && !broken_;
    }

    // Bytes of messages that are not passed to the connection yet.
    [[nodiscard]] std::size_t buffered_bytes() const {
        return buffer_.size() - offset_;
    }

    void send(const msgpack::sbuffer& packed) {
        if (!connection_ || overflowed_) {
            return;
        }
        if (buffered_bytes() > max_buffered_bytes) {
            overflowed_ = true;
            log_event(log_level::warning, "peer_messages_dropped",
                      {{"peer", host_},
                       {"buffered_bytes", std::to_string(buffered_bytes())}});
            return;
        }
        // Under a constant load the buffer may never become empty.
        if (offset_ > buffer_.size() / 2) {
            buffer_.erase(0, std::exchange(offset_, 0));
        }
        buffer_.append(packed.data(), packed.size());
        transport_.bytes_sent_ += packed.size();
        if (!flush_pending_) {
            nghttp2_session_resume_data(connection_->session(), stream_);
            flush_pending_ = true;
            timer_.start_once(duration{0});
        }
    }

private:
    enum class state { waiting, connecting, connected };

    void connect() {
        socket_ =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        set_socket_options(socket_);
        connect_started_ = event_loop::now();
        state_ = state::connecting;
        const auto* raw = reinterpret_cast<const sockaddr*>(&address_);
        if (::connect(socket_, raw, sizeof(address_)) != 0 &&
            errno != EINPROGRESS) {
            connect_failed(errno);
            return;
        }
        watcher_ = std::make_unique<io_watcher>(
            transport_.loop_, socket_, EV_WRITE,
            [this](int) { timer_.start_once(duration{0}); });
        timer_.start_once(connect_timeout);
    }

    void on_timer() {
        if (state_ == state::connected) {
            flush_pending_ = false;
            if (broken_) {
                connection_.reset();
                broken_ = false;
                schedule_reconnect();
            } else {
                connection_->write();
                announce_drained();
            }
        } else if (state_ == state::connecting) {
            finish_connect();
        } else {
            connect();
        }
    }

    // Precondition: the connection is open.
    void announce_drained() {
        if (overflowed_ && buffered_bytes() == 0) {
            overflowed_ = false;
            transport_.events_.on_link_restored(host_);
        }
    }

    void finish_connect() {
        watcher_.reset();
        int error = 0;
        socklen_t size = sizeof(error);
        getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
        sockaddr_in peer{};
        socklen_t peer_size = sizeof(peer);
        const bool is_up =
            error == 0 &&
            getpeername(socket_, reinterpret_cast<sockaddr*>(&peer),
                        &peer_size) == 0;
        if (!is_up) {
            connect_failed(error == 0 ? ETIMEDOUT : error);
            return;
        }
        start_session();
        transport_.events_.on_link_restored(host_);
    }

    void connect_failed(int error) {
        ::close(socket_);
        socket_ = -1;
        schedule_reconnect();
        if (error == ECONNREFUSED && !transport_.cut_.contains(host_)) {
            transport_.events_.on_link_refused(host_, connect_started_);
        }
    }

    void schedule_reconnect() {
        state_ = state::waiting;
        reconnect_delay_ =
            reconnect_delay_ == duration{0}
                ? min_reconnect_delay
                : std::min(reconnect_delay_ * 2, max_reconnect_delay);
        std::uniform_int_distribution<std::int64_t> jitter(
            reconnect_delay_.count() / 2, reconnect_delay_.count());
        timer_.start_once(duration{jitter(transport_.random_)});
    }

    void start_session() {
        state_ = state::connected;
        reconnect_delay_ = duration{0};
        buffer_.clear();
        offset_ = 0;
        overflowed_ = false;
        timer_.stop();
        connection_ = std::make_unique<http2_connection>(
            transport_.loop_, std::exchange(socket_, -1), [this] {
                broken_ = true;
                timer_.start_once(duration{0});
            });
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session* session = nullptr;
        nghttp2_session_client_new(&session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        submit_large_windows(session);
        const nghttp2_nv headers[] = {
            header(":method", "POST"),
            header(":scheme", "http"),
            header(":authority", host_),
            header(":path", "/peer"),
        };
        nghttp2_data_provider provider{};
        provider.source.ptr = this;
        provider.read_callback = &peer_link::read_body;
        stream_ = nghttp2_submit_request(session, nullptr, headers,
                                         std::size(headers), &provider, this);
        connection_->start(session);
    }

    static ssize_t read_body(nghttp2_session* /*session*/,
                             std::int32_t /*stream*/, std::uint8_t* target,
                             std::size_t length, std::uint32_t* /*flags*/,
                             nghttp2_data_source* source, void* /*user*/) {
        auto& link = *static_cast<peer_link*>(source->ptr);
        const auto left = link.buffer_.size() - link.offset_;
        if (left == 0) {
            return NGHTTP2_ERR_DEFERRED;
        }
        const auto part = std::min(left, length);
        std::memcpy(target, link.buffer_.data() + link.offset_, part);
        link.offset_ += part;
        if (link.offset_ == link.buffer_.size()) {
            link.buffer_.clear();
            link.offset_ = 0;
            if (link.buffer_.capacity() > initial_buffer_bytes) {
                link.buffer_.shrink_to_fit();
            }
            if (link.overflowed_) {
                link.flush_pending_ = true;
                link.timer_.start_once(duration{0});
            }
        }
        return static_cast<ssize_t>(part);
    }

    peer_transport& transport_;
    std::string host_;
    sockaddr_in address_;
    timer_watcher timer_;
    state state_ = state::waiting;
    int socket_ = -1;
    std::unique_ptr<io_watcher> watcher_;
    std::unique_ptr<http2_connection> connection_;
    std::string buffer_;
    std::size_t offset_ = 0;
    std::int32_t stream_ = -1;
    timestamp connect_started_{0};
    duration reconnect_delay_{0};
    bool flush_pending_ = false;
    bool overflowed_ = false; // messages were dropped
    bool broken_ = false;
};

// An accepted connection. Owned by `peer_transport`.
class peer_reader {
public:
    peer_reader(peer_transport& transport, int socket)
        : transport_(transport),
          connection_(transport.loop_, socket, [this] { closed_ = true; }) {
        nghttp2_session_callbacks* callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
            callbacks, &peer_reader::on_data);
        nghttp2_session* session = nullptr;
        nghttp2_session_server_new(&session, callbacks, this);
        nghttp2_session_callbacks_del(callbacks);
        submit_large_windows(session);
        connection_.start(session);
    }

    [[nodiscard]] bool is_closed() const { return closed_; }

private:
    static int on_data(nghttp2_session* /*session*/, std::uint8_t /*flags*/,
                       std::int32_t /*stream*/, const std::uint8_t* data,
                       std::size_t length, void* self) {
        return static_cast<peer_reader*>(self)->receive(data, length);
    }

    int receive(const std::uint8_t* data, std::size_t length) {
        try {
            unpacker_.reserve_buffer(length);
            std::memcpy(unpacker_.buffer(), data, length);
            unpacker_.buffer_consumed(length);
            msgpack::object_handle handle;
            largest_unparsed_ =
                std::max(largest_unparsed_, unpacker_.nonparsed_size());
            while (unpacker_.next(handle)) {
                transport_.events_.on_message(handle.get());
            }
            release_buffer();
        } catch (const std::exception& error) {
            log_event(log_level::warning, "peer_message_unreadable",
                      {{"error", error.what()}});
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
        const bool over_limit = unpacker_.nonparsed_size() > max_unparsed_bytes;
        return over_limit ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
    }

    // An unpacker keeps the buffer that its largest message needed.
    void release_buffer() {
        if (largest_unparsed_ > initial_buffer_bytes &&
            unpacker_.nonparsed_size() == 0) {
            largest_unparsed_ = 0;
            unpacker_ = make_unpacker();
        }
    }

    static msgpack::unpacker make_unpacker() {
        return {nullptr, nullptr, initial_buffer_bytes, envelope_limits()};
    }

    peer_transport& transport_;
    msgpack::unpacker unpacker_ = make_unpacker();
    std::size_t largest_unparsed_ = 0;
    bool closed_ = false;
    http2_connection connection_;
};

peer_transport::peer_transport(event_loop& loop, std::string self,
                               std::uint64_t seed, peer_events& events)
    : loop_(loop), self_(std::move(self)), random_(seed), events_(events) {}

peer_transport::~peer_transport() {
    accept_watcher_.reset();
    if (listener_ >= 0) {
        close(listener_);
    }
}

absl::Status peer_transport::listen(const std::string& address) {
    const auto listener = listen_on(address);
    if (!listener.ok()) {
        return listener.status();
    }
    listener_ = *listener;
    accept_watcher_ = std::make_unique<io_watcher>(
        loop_, listener_, EV_READ, [this](int) { accept_connections(); });
    return absl::OkStatus();
}

absl::Status peer_transport::add_peer(const std::string& host) {
    if (host == self_ || links_.contains(host)) {
        return absl::OkStatus();
    }
    const auto address = parse_socket_address(host);
    if (!address.ok()) {
        return address.status();
    }
    links_[host] = std::make_unique<peer_link>(*this, host, *address);
    return absl::OkStatus();
}

void peer_transport::remove_peer(const std::string& host) {
    links_.erase(host);
}

bool peer_transport::is_connected(const std::string& host) const {
    const auto found = links_.find(host);
    return found != links_.end() && found->second->is_connected();
}

std::size_t peer_transport::buffered_bytes() const {
    std::size_t sum = 0;
    for (const auto& [host, link] : links_) {
        sum += link->buffered_bytes();
    }
    return sum;
}

void peer_transport::send(const std::string& host,
                          const msgpack::sbuffer& message) {
    if (cut_.contains(host) || !add_peer(host).ok()) {
        return;
    }
    if (const auto found = links_.find(host); found != links_.end()) {
        found->second->send(message);
    }
}

void peer_transport::set_cut(std::set<std::string> hosts) {
    cut_ = std::move(hosts);
}

void peer_transport::accept_connections() {
    remove_closed_readers();
    while (true) {
        const int socket =
            accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        set_socket_options(socket);
        readers_.push_back(std::make_unique<peer_reader>(*this, socket));
    }
}

void peer_transport::remove_closed_readers() {
    std::erase_if(readers_, [](const std::unique_ptr<peer_reader>& reader) {
        return reader->is_closed();
    });
}

} // namespace figridge
