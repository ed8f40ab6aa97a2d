// An HTTP server on the event loop, by libmicrohttpd.
//
// The handler is called once for each complete request. It answers with
// `respond()`, at once or later; until then the connection is held.
#ifndef FIGRIDGE_ADAPTERS_HTTP_SERVER_HPP
#define FIGRIDGE_ADAPTERS_HTTP_SERVER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <absl/status/status.h>
#include <microhttpd.h>

#include "event_loop.hpp"

namespace figridge {

using http_token = std::uint64_t;

struct http_request {
    http_token token = 0;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // those the server keeps
    std::string body;
    bool too_large = false;        // the body; it is not kept
    bool header_too_large = false; // beyond the server's limit
};

// What a server bears of its callers.
struct connection_limits {
    std::size_t max_header_bytes = 16'384;
    // From the request line to the end of the header.
    duration header_timeout = 3s;
    // Without a byte either way; whole seconds, rounded up.
    duration idle_timeout = 60s;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::uint32_t retry_after_ms = 0;
};

// Owned by the process's main object; lives as long as the loop runs.
// Not thread-safe.
class http_server {
public:
    using request_handler = std::function<void(const http_request&)>;
    // The connection of an unanswered request has ended.
    using gone_handler = std::function<void(http_token)>;

    http_server(event_loop& loop, std::size_t max_body_bytes,
                request_handler handle, gone_handler gone);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Listens on `ip:port`.
    absl::Status start(const std::string& address);

    // From now on each answer ends its connection.
    void close_after_response() { closing_ = true; }
    [[nodiscard]] std::size_t open_connections() const;

    // Names the headers that requests keep. Precondition: not started yet.
    void keep_headers(std::vector<std::string> names) {
        header_names_ = std::move(names);
    }

    // Holds for connections opened and requests begun from now on.
    void set_limits(const connection_limits& limits) { limits_ = limits; }

    // Answers a held request; a token that is gone is ignored.
    void respond(http_token token, http_response response);

    // Cuts the connection of a held request without an answer.
    void abort(http_token token);

    [[nodiscard]] std::size_t held_requests() const { return held_.size(); }

private:
    struct exchange {
        http_request request;
        http_response response;
        MHD_Connection* connection = nullptr;
        bool header_read = false;
        bool handed_over = false;
        bool answered = false;
        bool suspended = false;
        bool aborted = false;
        // Watches for the caller's end of the connection while suspended.
        std::unique_ptr<io_watcher> hang_up;
    };

    // An open connection, and since when it waits for the rest of a header.
    struct open_connection {
        MHD_Connection* connection = nullptr;
        std::optional<timestamp> header_since;
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
    void watch_hang_up(exchange& held);
    void check_hang_up(http_token token);
    void resume(exchange& held);
    void apply_idle_timeout(MHD_Connection* connection) const;
    void close_slow_headers();
    void run_soon();
    void run_daemon();

    event_loop& loop_;
    std::size_t max_body_bytes_;
    request_handler handle_;
    gone_handler gone_;
    std::vector<std::string> header_names_;
    connection_limits limits_;
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
