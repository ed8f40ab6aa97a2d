#include "http_client.hpp"

#include <algorithm>
#include <cstring>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figridge {
namespace {

constexpr std::size_t max_idle_handles = 512;
constexpr long max_idle_connections = 4096;
// libcurl's smallest; each open call with a body has one.
constexpr long upload_buffer_bytes = 16L * 1024;
// How often the sockets of calls past their time limit are read before these
// calls end. libcurl reads some buffers at a time.
constexpr int max_late_reads = 8;

// The `ip:port` of a URL.
std::string parse_server(const std::string& url) {
    const auto scheme = url.find("://");
    const auto begin = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(begin, url.find('/', begin) - begin);
}

} // namespace

http_client::http_client(event_loop& loop, const http_limits& limits)
    : loop_(loop), allowed_(limits), multi_(curl_multi_init()),
      timer_(loop,
             [this] {
                 end_late_calls(); // before libcurl connects for them
                 run_socket_action(CURL_SOCKET_TIMEOUT, 0);
             }),
      limit_timer_(loop, [this] {
          end_late_calls();
          start_limit_timer();
      }) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      limits.connections > 0 ? limits.connections
                                             : max_idle_connections);
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      limits.server_connections);
    curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      limits.connections);
}

http_client::~http_client() {
    for (auto& [easy, open] : open_) {
        if (open->in_multi) {
            curl_multi_remove_handle(multi_, easy);
        }
        curl_slist_free_all(open->headers);
        curl_easy_cleanup(easy);
    }
    for (auto* easy : idle_) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(multi_);
}

CURL* http_client::acquire_handle() {
    if (idle_.empty()) {
        return curl_easy_init();
    }
    auto* easy = idle_.back();
    idle_.pop_back();
    return easy;
}

void http_client::send(http_call call, handler done) {
    auto* easy = acquire_handle();
    auto open = std::make_unique<transfer>();
    open->call = std::move(call);
    open->done = std::move(done);
    open->sent_at = event_loop::now();
    open->client = this;
    open->easy = easy;
    const auto& sent = open->call;
    curl_easy_setopt(easy, CURLOPT_URL, sent.url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, upload_buffer_bytes);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, open.get());
    // Kept by the connections that are opened for the call.
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &check_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, open.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_response_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, open.get());
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, open->error.data());
    if (sent.method != "GET") {
        // libcurl cannot rewind a body that it reads through a callback
        // without seeking, so it does not repeat the request when a reused
        // connection breaks, although it opens another connection.
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, sent.method.c_str());
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, &read_request_body);
        curl_easy_setopt(easy, CURLOPT_READDATA, open.get());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(sent.body.size()));
        open->headers =
            curl_slist_append(open->headers, "Content-Type: application/json");
        open->headers = curl_slist_append(open->headers, "Expect:");
    }
    for (const auto& header : sent.headers) {
        open->headers = curl_slist_append(open->headers, header.c_str());
    }
    if (open->headers != nullptr) {
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, open->headers);
    }
    open->max_response_bytes = allowed_.response_bytes;
    open->server = parse_server(sent.url);
    auto& server = servers_[open->server];
    ++server.open;
    ++server.unconnected;
    open->in_multi =
        allowed_.server_calls == 0 || server.open <= allowed_.server_calls;
    open->limit = open->sent_at;
    if (open->in_multi) {
        open->limit += sent.timeout;
        curl_multi_add_handle(multi_, easy);
    }
    limits_.emplace(open->limit, easy);
    open_[easy] = std::move(open);
    if (limits_.begin()->second == easy) {
        start_limit_timer();
    }
}

bool http_client::has_free_connection(const std::string& server,
                                      std::int64_t process) const {
    const auto calls = servers_.find(server);
    const auto waiting =
        calls == servers_.end() ? 0 : calls->second.unconnected;
    return connections_.count_free(server, process) > waiting;
}

curl_socket_t http_client::open_socket(void* opening, curlsocktype /*purpose*/,
                                       curl_sockaddr* address) {
    auto& open = *static_cast<transfer*>(opening);
    const auto opened =
        socket(address->family, address->socktype, address->protocol);
    if (opened >= 0) {
        open.client->connections_.open(opened);
        open.opened = opened;
    }
    return opened;
}

int http_client::close_socket(void* self, curl_socket_t socket) {
    static_cast<http_client*>(self)->connections_.close(socket);
    return ::close(socket);
}

void http_client::use_connection(transfer& open, int local_port) {
    if (!std::exchange(open.connected, true)) {
        --servers_.at(open.server).unconnected;
    }
    open.connection = connections_.begin_use(
        std::exchange(open.opened, std::nullopt), open.server, local_port);
}

int http_client::check_request(void* checked, char* /*remote_address*/,
                               char* /*local_address*/, int /*remote_port*/,
                               int local_port) {
    auto& open = *static_cast<transfer*>(checked);
    const auto now = event_loop::now();
    auto& client = *open.client;
    client.use_connection(open, local_port);
    if (now - open.sent_at >= open.call.timeout) {
        return CURL_PREREQFUNC_ABORT;
    }
    const auto& wanted = open.call.server_process;
    if (wanted && client.connections_.process_of(open.connection) != wanted) {
        open.not_connected = true;
        return CURL_PREREQFUNC_ABORT;
    }
    open.requested_at = now;
    if (open.call.answer_timeout > duration{0}) {
        client.set_limit(open.easy, open,
                         std::min(open.limit, now + open.call.answer_timeout));
    }
    return CURL_PREREQFUNC_OK;
}

std::size_t http_client::on_response_data(char* data, std::size_t size,
                                          std::size_t count, void* target) {
    auto& open = *static_cast<transfer*>(target);
    const auto part = size * count;
    open.response_size += part;
    if (open.max_response_bytes > 0 &&
        open.response_size > open.max_response_bytes) {
        return 0; // ends the transfer
    }
    if (!open.late) {
        open.response_body.append(data, part);
    }
    return part;
}

std::size_t http_client::read_request_body(char* data, std::size_t size,
                                           std::size_t count, void* source) {
    auto& open = *static_cast<transfer*>(source);
    const auto left = open.call.body.size() - open.body_offset;
    const auto part = std::min(left, size * count);
    std::memcpy(data, open.call.body.data() + open.body_offset, part);
    open.body_offset += part;
    return part;
}

int http_client::on_socket(CURL* easy, curl_socket_t socket, int what,
                           void* self, void* /*socket_data*/) {
    auto& client = *static_cast<http_client*>(self);
    if (what == CURL_POLL_REMOVE) {
        client.sockets_.erase(socket);
        return 0;
    }
    if (const auto open = client.open_.find(easy); open != client.open_.end()) {
        open->second->socket = socket;
    }
    const int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                       ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
    auto& watcher = client.sockets_[socket];
    if (watcher) {
        watcher->set_events(events);
        return 0;
    }
    watcher = std::make_unique<io_watcher>(
        client.loop_, socket, events, [&client, socket](int revents) {
            const int flags =
                ((revents & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                ((revents & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
            client.run_socket_action(socket, flags);
        });
    return 0;
}

int http_client::on_timer(CURLM* /*multi*/, long timeout_ms, void* self) {
    auto& client = *static_cast<http_client*>(self);
    if (timeout_ms < 0) {
        client.timer_.stop();
    } else {
        client.timer_.start_once(std::chrono::milliseconds(timeout_ms));
    }
    return 0;
}

void http_client::start_limit_timer() {
    if (limits_.empty()) {
        limit_timer_.stop();
        return;
    }
    limit_timer_.start_once(
        std::max(limits_.begin()->first - event_loop::now(), timestamp{0}));
}

// libcurl ends a transfer that is past its time limit without reading its
// socket, so it is not told the limits.
void http_client::end_late_calls() {
    const auto now = event_loop::now();
    if (limits_.empty() || limits_.begin()->first > now) {
        return;
    }
    const std::vector late(limits_.begin(),
                           limits_.upper_bound({now + duration{1}, nullptr}));
    for (int reads = 0; reads < max_late_reads && read_sockets(late); ++reads) {
    }
    for (const auto& call : late) {
        // A handler may have reused the handle of an ended call.
        if (limits_.contains(call)) {
            end_late_call(call.second);
        }
    }
}

bool http_client::read_sockets(
    const std::vector<std::pair<timestamp, CURL*>>& calls) {
    std::vector<pollfd> sockets;
    for (const auto& call : calls) {
        if (!limits_.contains(call)) {
            continue;
        }
        const auto socket = open_.at(call.second)->socket;
        if (sockets_.contains(socket)) {
            sockets.push_back({socket, POLLIN, 0});
        }
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0) {
        return false;
    }
    for (const auto& socket : sockets) {
        if (socket.revents != 0) {
            int running = 0;
            curl_multi_socket_action(multi_, socket.fd, CURL_CSELECT_IN,
                                     &running);
        }
    }
    finish_transfers();
    return true;
}

void http_client::run_socket_action(curl_socket_t socket, int events) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, events, &running);
    finish_transfers();
}

void http_client::finish_transfers() {
    int left = 0;
    while (auto* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg == CURLMSG_DONE) {
            finish(message->easy_handle, message->data.result);
        }
    }
}

http_failure http_client::describe_failure(CURL* easy, CURLcode code,
                                           const transfer& open) {
    http_failure failure;
    failure.error = open.error.front() != '\0' ? open.error.data()
                                               : curl_easy_strerror(code);
    long request_size = 0;
    long header_size = 0;
    long connections = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &header_size);
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connections);
    failure.bytes_sent = request_size;
    failure.bytes_received =
        header_size + static_cast<std::int64_t>(open.response_body.size());
    failure.connections_opened = static_cast<int>(connections);
    failure.elapsed = event_loop::now() - open.sent_at;
    return failure;
}

void http_client::set_limit(CURL* easy, transfer& open, timestamp limit) {
    limits_.erase({open.limit, easy});
    open.limit = limit;
    limits_.emplace(limit, easy);
    if (limits_.begin()->second == easy) {
        start_limit_timer();
    }
}

bool http_client::may_wait_for_answer(CURL* easy, const transfer& open) const {
    long request_size = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_size);
    const bool sent =
        request_size > 0 && open.body_offset == open.call.body.size();
    return !open.late && sent && allowed_.late_answer_time > duration{0} &&
           servers_.at(open.server).late < allowed_.server_late_calls;
}

void http_client::end_late_call(CURL* easy) {
    auto& open = *open_.at(easy);
    if (!may_wait_for_answer(easy, open)) {
        return finish(easy, CURLE_OPERATION_TIMEDOUT);
    }
    open.late = true;
    ++late_calls_;
    ++servers_.at(open.server).late;
    set_limit(easy, open, open.limit + allowed_.late_answer_time);
    http_result result;
    result.failure = describe_failure(easy, CURLE_OPERATION_TIMEDOUT, open);
    result.body = std::exchange(open.response_body, {});
    std::exchange(open.done, {})(result);
}

void http_client::release_handle(CURL* easy, CURLcode code) {
    // After a failed transfer a handle may still have to rewind its body, which
    // curl_easy_reset() does not change.
    if (code == CURLE_OK && idle_.size() < max_idle_handles) {
        curl_easy_reset(easy); // its options refer to the ended transfer
        idle_.push_back(easy);
    } else {
        curl_easy_cleanup(easy);
    }
}

void http_client::finish(CURL* easy, CURLcode code) {
    http_result result;
    const auto ended = std::move(open_.extract(easy).mapped());
    limits_.erase({ended->limit, easy});
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        result.outcome = http_outcome::answered;
        result.status = static_cast<int>(status);
        result.answer_time = event_loop::now() - ended->requested_at;
    } else {
        // The attempt that could not connect may have followed one that sent
        // the request on a reused connection.
        result.failure = describe_failure(easy, code, *ended);
        const bool unsent = result.failure.bytes_sent == 0;
        if (unsent && code == CURLE_COULDNT_CONNECT) {
            result.outcome = http_outcome::not_sent;
        } else if (unsent && ended->not_connected) {
            result.outcome = http_outcome::not_connected;
        }
    }
    result.connection = ended->connection;
    result.body = std::move(ended->response_body);
    if (ended->in_multi) {
        curl_multi_remove_handle(multi_, easy);
    }
    connections_.end_use(ended->connection);
    curl_slist_free_all(ended->headers);
    release_handle(easy, code);
    const auto server = servers_.find(ended->server);
    if (!ended->connected) {
        --server->second.unconnected;
    }
    if (ended->late) {
        --late_calls_;
        --server->second.late;
    }
    if (--server->second.open == 0) {
        servers_.erase(server);
    }
    if (ended->done) {
        ended->done(result);
    } else if (code == CURLE_OK && ended->call.on_late_answer) {
        ended->call.on_late_answer(result.answer_time);
    }
}

} // namespace figridge
