// An HTTP server on the event loop, built on libmicrohttpd.
//
// The handler is called once for each complete request. It answers with
// `respond()`, at once or later; until then the connection is suspended.
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
};

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

    // Answers a held request; an unknown token is ignored.
    void respond(http_token token, http_response response);

    // Closes the connection of a held request without a response.
    void abort(http_token token);

    [[nodiscard]] std::size_t held_requests() const { return held_.size(); }

private:
    struct exchange {
        http_request request;
        http_response response;
        MHD_Connection* connection = nullptr;
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
    void schedule_run();
    void run_daemon();

    event_loop& loop_;
    std::size_t max_body_bytes_;
    request_handler handle_;
    disconnect_handler on_disconnect_;
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
