// An HTTP server on the event loop, built on libmicrohttpd.
//
// The handler is called once for each complete request. It answers with
// `respond()`, at once or later; until then the connection is suspended.
// With `limit_clients()` the bytes and connections that clients make the
// process hold are bounded; docs/design/client-limits.md gives the reasons.
#ifndef FIGRIDGE_ADAPTERS_HTTP_SERVER_HPP
#define FIGRIDGE_ADAPTERS_HTTP_SERVER_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <microhttpd.h>

#include "event_loop.hpp"
#include "heap_trimmer.hpp"

namespace figridge {

using http_token = std::uint64_t;

struct http_request {
    http_token token = 0;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // see `keep_headers`
    std::string body;
    bool too_large = false;        // `body` is empty then
    bool header_too_large = false; // longer than `max_header_bytes`
};

// Limits of each connection.
struct connection_limits {
    std::size_t max_header_bytes = 16'384;
    // Time from the request line to the end of the header.
    duration header_timeout = 3s;
    // Time without a byte in either direction; rounded up to whole seconds.
    duration idle_timeout = 60s;
    std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
};

// Limits of all connections of one server together.
struct server_limits {
    std::size_t max_connections = 8192;
    // Connections, bodies and what `http_server::reserve()` counts.
    std::size_t held_bytes = std::numeric_limits<std::size_t>::max();
};

// The receive buffer of a connection whose clients are limited. Bytes that the
// kernel has received and nobody has read count as memory of the process; the
// kernel keeps up to twice the size that it is given.
constexpr int receive_buffer_bytes = 16 * 1024;
constexpr std::size_t max_unread_bytes = std::size_t{2} * receive_buffer_bytes;

// What a connection counts for: libmicrohttpd's memory pool for it, its other
// state, copies of the header's fields, and what it has not read.
constexpr std::size_t connection_pool_bytes = std::size_t{32} * 1024;
constexpr std::size_t connection_bytes =
    connection_pool_bytes + 4096 + max_unread_bytes;

// Of the connections that a server allows, a fourth as many may wait to be
// accepted; their unread bytes count as well.
constexpr std::size_t backlog_divisor = 4;

// Why a request was refused or its connection closed by a limit.
enum class limit_cause {
    announced_too_long, // refused: its header announces too long a body
    body_too_long,      // refused, closed: too long a body was being sent
    no_memory,          // refused, closed if its body is not complete
    slow_body,          // closed: slowest when memory was short
    slow_connection,    // closed: slowest when connections were short
    no_connection,      // closed at once: all others were being served
    unread_answers,     // closed, when connections were short: its answers
                        // were not read
    requests_in_a_row,  // closed, when connections were short: it had sent its
                        // next request before the answer
};
constexpr std::size_t limit_cause_count = 8;
std::string_view to_string(limit_cause cause);

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::uint32_t retry_after_ms = 0;
};

// Owned by the process's main object; must live as long as the loop runs.
// Not thread-safe.
class http_server {
public:
    using request_handler = std::function<void(const http_request&)>;
    // Called when the connection of an unanswered request has ended.
    using disconnect_handler = std::function<void(http_token)>;

    http_server(event_loop& loop, std::size_t max_body_bytes,
                request_handler handle, disconnect_handler on_disconnect);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Listens on `ip:port`.
    absl::Status start(const std::string& address);

    // Makes every later response close its connection.
    void close_after_response() { closing_ = true; }
    [[nodiscard]] std::size_t open_connections() const;

    // Sets which headers `http_request` contains. Precondition: not started.
    void keep_headers(std::vector<std::string> names) {
        header_names_ = std::move(names);
    }

    // Applies to connections opened and requests started after the call.
    void set_limits(const connection_limits& limits) { limits_ = limits; }

    // Bounds what clients make the process hold, and refuses bodies that are
    // too long before they are complete. Precondition: not started.
    void limit_clients(const server_limits& limits) {
        server_limits_ = limits;
        limits_clients_ = true;
    }

    // Counts `bytes` that a held request makes the process hold until it is
    // answered. Returns false if the limit of bytes would be exceeded, and for
    // an unknown token.
    bool reserve(http_token token, std::size_t bytes);

    // Called for each request or connection that a limit ends.
    std::function<void(limit_cause)> on_limit;

    // Bytes that count towards `server_limits::held_bytes`.
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }

    // Answers a held request; an unknown token is ignored.
    void respond(http_token token, http_response response);

    // Closes the connection of a held request without a response.
    void abort(http_token token);

    [[nodiscard]] std::size_t held_requests() const { return held_.size(); }

private:
    struct open_connection;

    struct exchange {
        http_request request;
        http_response response;
        MHD_Connection* connection = nullptr;
        open_connection* open = nullptr;
        std::size_t body_bytes = 0;     // counted for `request.body`
        std::size_t reserved_bytes = 0; // counted by `reserve()`
        bool header_read = false;
        bool handler_called = false;
        bool answered = false;
        bool suspended = false;
        bool aborted = false;
        // Detects, while suspended, that the caller closed the connection.
        std::unique_ptr<io_watcher> disconnect_watcher;
    };

    // `header_started_at` is set while the header is incomplete.
    struct open_connection {
        MHD_Connection* connection = nullptr;
        std::optional<timestamp> header_started_at;
        exchange* current = nullptr; // its request, from the request line on
        // Begin of the connection or of its request, or the last answer.
        timestamp since{0};
        // Bytes of bodies received in this housekeeping interval, and in the
        // one before it.
        std::size_t received = 0;
        std::size_t received_before = 0;
        // Whether parts of answers were not received by the caller's machine
        // at the last check, and at the last two.
        bool has_unsent = false;
        bool answers_unread = false;
        // The next request has come while one is being handled.
        bool has_next_request = false;
        bool closing = false;
    };

    // Which connections are closed when they are short, the first ones first.
    enum class closing_order {
        answers_unread,
        not_handled, // idle, or its request is not complete
        next_request_sent,
        young, // not handled, too young for its progress to be known
        kept,
    };

    static void* on_request_line(void* self, const char* uri,
                                 MHD_Connection* connection);
    static void on_connection(void* self, MHD_Connection* connection,
                              void** context,
                              MHD_ConnectionNotificationCode code);
    static MHD_Result on_access(void* self, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char* version, const char* data,
                                std::size_t* size, void** state);
    static void on_completed(void* self, MHD_Connection* connection,
                             void** state, MHD_RequestTerminationCode code);
    MHD_Result access(MHD_Connection* connection, const char* url,
                      const char* method, const char* data, std::size_t* size,
                      void** state);
    MHD_Result queue_response(exchange& held);
    void watch_disconnect(exchange& held);
    void check_disconnect(http_token token);
    void resume(exchange& held);
    void apply_idle_timeout(MHD_Connection* connection) const;
    void close_slow_headers();
    void close_abandoned_body(open_connection& open);
    MHD_Result read_body(exchange& held, const char* data, std::size_t size);
    [[nodiscard]] std::size_t max_body() const;
    [[nodiscard]] bool announces_too_much(MHD_Connection* connection) const;
    bool grow_body(exchange& held, std::size_t size);
    void drop_body(exchange& held);
    void drop_reserved(exchange& held);
    bool make_room(const exchange& asking, std::size_t bytes,
                   bool is_small_request);
    void make_room_for_connection(open_connection& opened);
    [[nodiscard]] std::size_t allowed_connections() const;
    // Notes whether the caller receives its answers.
    static void check_answers(open_connection& open);
    [[nodiscard]] static closing_order order_of(const open_connection& open,
                                                timestamp now);
    // Precondition: the request of the connection is being handled.
    void close_handled(open_connection& open, limit_cause cause);
    std::vector<open_connection*>
    slowest_first(const std::function<bool(const open_connection&)>& wanted);
    MHD_Result refuse_and_close(exchange& held, limit_cause cause);
    void close_connection(open_connection& open, limit_cause cause);
    void note_limit(limit_cause cause);
    void report_limits();
    void schedule_run();
    void run_daemon();

    event_loop& loop_;
    std::size_t max_body_bytes_;
    request_handler handle_;
    disconnect_handler on_disconnect_;
    std::vector<std::string> header_names_;
    connection_limits limits_;
    server_limits server_limits_;
    bool limits_clients_ = false;
    std::size_t held_bytes_ = 0;
    // Connections, bodies and large reservations.
    std::size_t large_bytes_ = 0;
    heap_trimmer trimmer_;
    std::size_t closing_connections_ = 0;
    std::array<std::uint64_t, limit_cause_count> unreported_limits_{};
    timestamp limits_reported_at_{0};
    std::map<MHD_Connection*, open_connection> connections_;
    MHD_Daemon* daemon_ = nullptr;
    std::unique_ptr<io_watcher> watcher_;
    std::unique_ptr<timer_watcher> timer_;
    std::unordered_map<http_token, exchange*> held_;
    http_token next_token_ = 1;
    bool running_ = false;
    bool stopping_ = false;
    bool closing_ = false;
};

} // namespace figridge

#endif
