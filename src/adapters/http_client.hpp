// An HTTP client on the event loop, built on libcurl's multi interface.
//
// A request with a body that may have reached the server is never sent again.
// One without a body may be: libcurl repeats it when a reused connection
// breaks. No request is sent after its time limit. A call without an answer
// ends once its socket has been read after the time limit: an answer that was
// there while the process was late counts.
#ifndef FIGRIDGE_ADAPTERS_HTTP_CLIENT_HPP
#define FIGRIDGE_ADAPTERS_HTTP_CLIENT_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <curl/curl.h>

#include "connection_table.hpp"
#include "event_loop.hpp"

namespace figridge {

struct http_call {
    std::string method = "GET";
    std::string url;
    std::string body;
    duration timeout = 5s;
    std::vector<std::string> headers; // "Name: value"
    // Time limit of the answer, from when the request is sent, within
    // `timeout`. Delays of this process before that don't count. 0: none.
    duration answer_timeout{0};
    // Called with the time of an answer that came after the time limit and was
    // discarded (`http_limits::late_answer_time`). May be empty.
    std::function<void(duration)> on_late_answer = nullptr;
    // The request is sent only on a connection to this process of the server,
    // see `set_server_process()`; otherwise the call ends as `not_connected`.
    std::optional<std::int64_t> server_process = std::nullopt;
};

enum class http_outcome {
    answered,
    not_sent,      // nothing was sent: no connection could be made
    not_connected, // nothing was sent: no connection to `server_process`
    lost,          // no response, but the server may have received the request
};

// Why a call ended without an answer. The bytes sent are the sum over all
// connections that libcurl used for the call.
struct http_failure {
    std::string error;
    std::int64_t bytes_sent = 0;     // of the request, headers included
    std::int64_t bytes_received = 0; // of the response, headers included
    int connections_opened = 0;      // without those that were refused
    duration elapsed{0};             // from `send()` to the handler
};

// What the calls of a client may take. A call for which no connection is free
// waits within its time limit and then ends as lost, without a connection.
struct http_limits {
    // Connections open or being opened at a time, to one server and to all;
    // 0: no limit.
    long server_connections = 0;
    long connections = 0;
    // Open calls to one server, those that wait included; a further one ends as
    // lost at once. 0: no limit.
    std::size_t server_calls = 0;
    // Longest response body; a call with a longer one is lost. 0: no limit.
    std::size_t response_bytes = 0;
    // For this time after the time limit of a call whose request was sent, its
    // connection is kept: an answer that comes by then is discarded, and the
    // connection is used again. 0: closed at the time limit.
    duration late_answer_time{0};
    // Connections of one server kept so at a time.
    std::size_t server_late_calls = 0;
};

struct http_result {
    http_outcome outcome = http_outcome::lost;
    int status = 0;
    std::string body;
    duration answer_time{0};      // from when the request was sent; if answered
    http_failure failure;         // empty if the call was answered
    std::uint64_t connection = 0; // its number, 0 if it is not known
};

// Not thread-safe. The handlers of calls that are open at destruction are not
// called.
class http_client {
public:
    using handler = std::function<void(const http_result&)>;

    explicit http_client(event_loop& loop, const http_limits& limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // The time limit of a call counts from here, also while the process is
    // paused.
    void send(http_call call, handler done);

    // The process at the other end of a connection, as an answer on it named
    // that. Ignored if the connection was closed. Not thread-safe.
    void set_server_process(std::uint64_t connection, std::int64_t process) {
        connections_.set_process(connection, process);
    }
    // Whether a call to this process of the server (ip:port) would find a
    // connection: more of them are free than calls wait for one. The end of a
    // free connection is noticed only when it is used. Not thread-safe.
    [[nodiscard]] bool has_free_connection(const std::string& server,
                                           std::int64_t process) const;

    // Calls whose handler has not been called.
    [[nodiscard]] std::size_t open_calls() const {
        return open_.size() - late_calls_;
    }

private:
    struct server_calls {
        std::size_t open = 0;
        std::size_t late = 0; // whose handler was called at the time limit
        std::size_t unconnected = 0; // which have not used a connection
    };

    struct transfer {
        http_client* client = nullptr;
        CURL* easy = nullptr;
        http_call call;
        std::string server; // ip:port
        timestamp limit{0};
        timestamp requested_at{0}; // when the request was sent
        bool late = false;
        bool in_multi = true;
        std::size_t max_response_bytes = 0;
        handler done;
        std::string response_body;
        std::size_t response_size = 0;
        std::size_t body_offset = 0;
        curl_slist* headers = nullptr;
        timestamp sent_at{0};
        curl_socket_t socket = CURL_SOCKET_BAD;
        // Created for this call, and no request was sent on it.
        std::optional<curl_socket_t> opened;
        std::uint64_t connection = 0; // that it used last
        bool connected = false;       // has used a connection
        bool not_connected = false;   // see `http_outcome`
        std::array<char, CURL_ERROR_SIZE> error{};
    };

    static int on_socket(CURL* easy, curl_socket_t socket, int what, void* self,
                         void* socket_data);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);
    static curl_socket_t open_socket(void* opening, curlsocktype purpose,
                                     curl_sockaddr* address);
    static int close_socket(void* self, curl_socket_t socket);
    // Called by libcurl once there is a connection, before it sends a request.
    static int check_request(void* checked, char* remote_address,
                             char* local_address, int remote_port,
                             int local_port);
    // Notes which connection the call is about to use.
    void use_connection(transfer& open, int local_port);
    static std::size_t on_response_data(char* data, std::size_t size,
                                        std::size_t count, void* target);
    static std::size_t read_request_body(char* data, std::size_t size,
                                         std::size_t count, void* source);
    void run_socket_action(curl_socket_t socket, int events);
    void finish_transfers();
    void start_limit_timer();
    // Ends the calls past their time limit, after reading their sockets.
    void end_late_calls();
    // Reads the sockets of the open ones of these calls that are readable, and
    // calls the handlers of those that ended; false if there is none.
    bool read_sockets(const std::vector<std::pair<timestamp, CURL*>>& calls);
    void finish(CURL* easy, CURLcode code);
    // At the time limit of a call: calls its handler, and waits for the answer
    // on the connection if that is allowed.
    void end_late_call(CURL* easy);
    [[nodiscard]] bool may_wait_for_answer(CURL* easy,
                                           const transfer& open) const;
    void set_limit(CURL* easy, transfer& open, timestamp limit);
    void release_handle(CURL* easy, CURLcode code);
    static http_failure describe_failure(CURL* easy, CURLcode code,
                                         const transfer& open);
    CURL* acquire_handle();

    event_loop& loop_;
    http_limits allowed_;
    CURLM* multi_;
    timer_watcher timer_; // of libcurl
    timer_watcher limit_timer_;
    std::map<curl_socket_t, std::unique_ptr<io_watcher>> sockets_;
    std::map<CURL*, std::unique_ptr<transfer>> open_;
    std::map<std::string, server_calls> servers_; // with open calls
    connection_table connections_;
    std::size_t late_calls_ = 0;
    // The time limits of the open calls, or of the wait for a late answer.
    std::set<std::pair<timestamp, CURL*>> limits_;
    std::vector<CURL*> idle_;
};

} // namespace figridge

#endif
