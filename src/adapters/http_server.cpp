#include "http_server.hpp"

#include <algorithm>
#include <cerrno>
#include <tuple>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "core/name_table.hpp"
#include "log_observer.hpp"
#include "socket_address.hpp"

namespace figridge {
namespace {

// Requests of this size may use all of the bytes that may be held, larger ones
// three quarters, so that large bodies don't displace ordinary requests.
constexpr std::size_t small_body_bytes = std::size_t{16} * 1024;
constexpr std::size_t small_reservation_bytes = std::size_t{128} * 1024;
// When memory or connections are short, an eighth or a sixteenth is made free
// in one step, as each step looks at all connections.
constexpr std::size_t freed_bytes_divisor = 8;
constexpr std::size_t freed_connections_divisor = 16;
constexpr duration limit_report_interval = 1s;
constexpr duration housekeeping_interval = 250ms;
constexpr std::uint32_t ms_per_second = 1000;
constexpr int http_too_large = 413;

constexpr name_table<limit_cause, limit_cause_count> limit_cause_names{{
    {limit_cause::announced_too_long, "announced_too_long"},
    {limit_cause::body_too_long, "body_too_long"},
    {limit_cause::no_memory, "no_memory"},
    {limit_cause::slow_body, "slow_body"},
    {limit_cause::slow_connection, "slow_connection"},
    {limit_cause::no_connection, "no_connection"},
    {limit_cause::unread_answers, "unread_answers"},
    {limit_cause::requests_in_a_row, "requests_in_a_row"},
}};

enum class socket_state { idle, readable, closed };

// Checks for unread data or a closed connection without reading anything.
socket_state peek(MHD_Connection* connection) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    char byte = 0;
    const auto count =
        recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return socket_state::idle;
    }
    return count > 0 ? socket_state::readable : socket_state::closed;
}

// Answers a request whose body is not complete; libmicrohttpd can't queue an
// answer then. Nothing else has been sent on the connection since the last
// answer, except perhaps "100 Continue". It may be lost, as the connection is
// closed next.
void send_refusal(MHD_Connection* connection, limit_cause cause) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const std::string_view text =
        cause == limit_cause::body_too_long
            ? "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n"
              "Connection: close\r\n\r\n"
            : "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
              "Retry-After: 1\r\nConnection: close\r\n\r\n";
    if (info != nullptr) {
        send(info->connect_fd, text.data(), text.size(),
             MSG_DONTWAIT | MSG_NOSIGNAL);
    }
}

MHD_Result add_query(void* target, MHD_ValueKind /*kind*/, const char* key,
                     const char* value) {
    auto* query = static_cast<std::map<std::string, std::string>*>(target);
    (*query)[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

} // namespace

std::string_view to_string(limit_cause cause) {
    return find_name(limit_cause_names, cause);
}

http_server::http_server(event_loop& loop, std::size_t max_body_bytes,
                         request_handler handle,
                         disconnect_handler on_disconnect)
    : loop_(loop), max_body_bytes_(max_body_bytes), handle_(std::move(handle)),
      on_disconnect_(std::move(on_disconnect)) {}

http_server::~http_server() {
    if (daemon_ == nullptr) {
        return;
    }
    watcher_.reset();
    timer_.reset();
    stopping_ = true;
    // libmicrohttpd requires suspended connections to be resumed before the
    // daemon is stopped.
    for (auto& [token, held] : held_) {
        if (held->suspended) {
            held->suspended = false;
            held->aborted = true;
            held->disconnect_watcher.reset();
            MHD_resume_connection(held->connection);
        }
    }
    on_disconnect_ = {};
    MHD_run(daemon_);
    MHD_stop_daemon(daemon_);
}

absl::Status http_server::start(const std::string& address) {
    listen_options options;
    if (limits_clients_) {
        options.receive_buffer_bytes = receive_buffer_bytes;
        options.backlog = static_cast<int>(std::max<std::size_t>(
            1, server_limits_.max_connections / backlog_divisor));
    }
    const auto listener = listen_on(address, options);
    if (!listener.ok()) {
        return listener.status();
    }
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, nullptr,
        nullptr, &http_server::on_access, this, MHD_OPTION_LISTEN_SOCKET,
        *listener, MHD_OPTION_NOTIFY_COMPLETED, &http_server::on_completed,
        this, MHD_OPTION_NOTIFY_CONNECTION, &http_server::on_connection, this,
        MHD_OPTION_URI_LOG_CALLBACK, &http_server::on_request_line, this,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, connection_pool_bytes,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(server_limits_.max_connections), MHD_OPTION_END);
    if (daemon_ == nullptr) {
        close(*listener);
        return absl::InternalError(
            absl::StrCat("can't start an HTTP server on ", address));
    }
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
    watcher_ = std::make_unique<io_watcher>(loop_, info->epoll_fd, EV_READ,
                                            [this](int) { run_daemon(); });
    timer_ = std::make_unique<timer_watcher>(loop_, [this] {
        close_slow_headers();
        run_daemon();
        if (limits_clients_) {
            report_limits();
            trimmer_.trim(event_loop::now());
        }
    });
    timer_->start_repeating(housekeeping_interval);
    return absl::OkStatus();
}

std::size_t http_server::open_connections() const {
    const auto* info =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == nullptr ? 0 : info->num_connections;
}

void http_server::schedule_run() {
    if (watcher_ && !running_) {
        watcher_->trigger();
    }
}

void http_server::run_daemon() {
    running_ = true;
    MHD_run(daemon_);
    running_ = false;
    MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
    if (MHD_get_timeout(daemon_, &timeout_ms) == MHD_YES && timeout_ms == 0) {
        schedule_run();
    }
}

// --- connections ------------------------------------------------------------

void http_server::on_connection(void* self, MHD_Connection* connection,
                                void** /*context*/,
                                MHD_ConnectionNotificationCode code) {
    auto* server = static_cast<http_server*>(self);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        const auto found = server->connections_.find(connection);
        if (found != server->connections_.end()) {
            server->closing_connections_ -= found->second.closing ? 1 : 0;
            server->connections_.erase(found);
            server->held_bytes_ -= connection_bytes;
            server->large_bytes_ -= connection_bytes;
            server->trimmer_.record(server->large_bytes_);
        }
        // At its limit, libmicrohttpd does not listen until it is run again.
        if (server->watcher_ && server->connections_.size() + 1 >=
                                    server->server_limits_.max_connections) {
            server->watcher_->trigger();
        }
        return;
    }
    auto& opened = server->connections_[connection];
    opened.connection = connection;
    opened.since = event_loop::now();
    server->held_bytes_ += connection_bytes;
    server->large_bytes_ += connection_bytes;
    server->trimmer_.record(server->large_bytes_);
    server->apply_idle_timeout(connection);
    if (server->limits_clients_) {
        server->make_room_for_connection(opened);
    }
}

void http_server::apply_idle_timeout(MHD_Connection* connection) const {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(limits_.idle_timeout);
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT,
                              static_cast<unsigned>(seconds.count()));
}

// Creates the exchange of a new request; `on_completed` deletes it.
void* http_server::on_request_line(void* self, const char* /*uri*/,
                                   MHD_Connection* connection) {
    auto* server = static_cast<http_server*>(self);
    auto& open = server->connections_[connection];
    open.since = event_loop::now();
    open.header_started_at = open.since;
    open.has_next_request = false;
    server->apply_idle_timeout(connection);
    auto* created = new exchange;
    created->connection = connection;
    created->open = &open;
    open.current = created;
    created->request.token = server->next_token_++;
    return created;
}

void http_server::close_slow_headers() {
    for (auto& [connection, open] : connections_) {
        open.received_before = std::exchange(open.received, 0);
        if (limits_clients_) {
            close_abandoned_body(open);
            if (connections_.size() > allowed_connections() / 2) {
                check_answers(open);
            }
        }
        if (!open.header_started_at ||
            event_loop::now() - *open.header_started_at <
                limits_.header_timeout) {
            continue;
        }
        const auto* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (info != nullptr) {
            log_event(log_level::info, "slow_header_cut", {});
            shutdown(info->connect_fd, SHUT_RDWR);
        }
    }
}

// libmicrohttpd misses the end of a connection that arrives together with the
// last data (MHD_USE_TURBO takes a short read for an empty socket, and epoll
// reports the end once), and would keep the body for the idle time-out.
void http_server::close_abandoned_body(open_connection& open) {
    auto* request = open.current;
    if (request == nullptr || !request->header_read ||
        request->handler_called || open.received_before > 0 ||
        peek(open.connection) != socket_state::closed) {
        return;
    }
    request->aborted = true;
    drop_body(*request);
    const auto* info = MHD_get_connection_info(
        open.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        shutdown(info->connect_fd, SHUT_RDWR);
    }
}

// --- requests ---------------------------------------------------------------

MHD_Result http_server::on_access(void* self, MHD_Connection* connection,
                                  const char* url, const char* method,
                                  const char* /*version*/, const char* data,
                                  std::size_t* size, void** state) {
    return static_cast<http_server*>(self)->access(connection, url, method,
                                                   data, size, state);
}

MHD_Result http_server::access(MHD_Connection* connection, const char* url,
                               const char* method, const char* data,
                               std::size_t* size, void** state) {
    if (stopping_) {
        return MHD_NO;
    }
    auto& held = *static_cast<exchange*>(*state);
    if (!held.header_read) {
        held.header_read = true;
        held.request.method = method;
        held.request.path = url;
        held.open->header_started_at.reset();
        const auto* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
        held.request.header_too_large =
            info != nullptr && info->header_size > limits_.max_header_bytes;
        if (limits_clients_ && announces_too_much(connection)) {
            note_limit(limit_cause::announced_too_long);
            held.handler_called = true;
            held.answered = true;
            held.response.status = http_too_large;
            held.response.body =
                R"({"error":"body: longer than the catalogue allows"})";
            return queue_response(held);
        }
        return MHD_YES;
    }
    if (*size > 0) {
        const auto result = read_body(held, data, *size);
        *size = 0;
        return result;
    }
    if (held.aborted) {
        return MHD_NO;
    }
    if (!held.handler_called) {
        held.handler_called = true;
        if (peek(connection) == socket_state::closed) {
            return MHD_NO;
        }
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &add_query,
                                  &held.request.query);
        for (const auto& name : header_names_) {
            if (const auto* value = MHD_lookup_connection_value(
                    connection, MHD_HEADER_KIND, name.c_str())) {
                held.request.headers[name] = value;
            }
        }
        held_[held.request.token] = &held;
        handle_(held.request);
        drop_body(held);
    }
    if (held.aborted) {
        return MHD_NO;
    }
    if (held.answered) {
        return queue_response(held);
    }
    held.suspended = true;
    MHD_suspend_connection(connection);
    watch_disconnect(held);
    return MHD_YES;
}

MHD_Result http_server::read_body(exchange& held, const char* data,
                                  std::size_t size) {
    auto& request = held.request;
    held.open->received += size;
    if (held.aborted) {
        return MHD_NO;
    }
    if (request.body.size() + size > max_body()) {
        if (limits_clients_) {
            return refuse_and_close(held, limit_cause::body_too_long);
        }
        request.too_large = true;
        drop_body(held);
    } else if (!request.too_large) {
        if (limits_clients_ && !grow_body(held, request.body.size() + size)) {
            return refuse_and_close(held, limit_cause::no_memory);
        }
        request.body.append(data, size);
    }
    return MHD_YES;
}

// libmicrohttpd does not read suspended connections, so it does not notice
// when the caller disconnects.
void http_server::watch_disconnect(exchange& held) {
    const auto* info = MHD_get_connection_info(
        held.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr) {
        return;
    }
    const auto token = held.request.token;
    held.disconnect_watcher = std::make_unique<io_watcher>(
        loop_, info->connect_fd, EV_READ,
        [this, token](int) { check_disconnect(token); });
}

void http_server::check_disconnect(http_token token) {
    const auto found = held_.find(token);
    if (found == held_.end()) {
        return;
    }
    auto& held = *found->second;
    const auto state = peek(held.connection);
    if (state == socket_state::idle) {
        return;
    }
    if (state == socket_state::readable) {
        // The caller has sent its next request; it is read after this one.
        held.open->has_next_request = true;
        held.disconnect_watcher->set_events(0);
        return;
    }
    abort(token);
    if (on_disconnect_) {
        on_disconnect_(token);
    }
}

void http_server::resume(exchange& held) {
    if (held.suspended) {
        held.suspended = false;
        held.disconnect_watcher.reset();
        MHD_resume_connection(held.connection);
        schedule_run();
    }
}

MHD_Result http_server::queue_response(exchange& held) {
    auto& answer = held.response;
    auto* response = MHD_create_response_from_buffer(
        answer.body.size(), answer.body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type",
                            answer.content_type.c_str());
    if (answer.retry_after_ms > 0) {
        const auto seconds =
            (answer.retry_after_ms + ms_per_second - 1) / ms_per_second;
        MHD_add_response_header(response, "Retry-After",
                                std::to_string(seconds).c_str());
    }
    if (closing_) {
        MHD_add_response_header(response, "Connection", "close");
    }
    const auto result = MHD_queue_response(
        held.connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return result;
}

void http_server::respond(http_token token, http_response response) {
    const auto found = held_.find(token);
    if (found == held_.end()) {
        return;
    }
    auto& held = *found->second;
    held_.erase(found);
    drop_reserved(held);
    held.response = std::move(response);
    held.answered = true;
    resume(held);
}

void http_server::abort(http_token token) {
    const auto found = held_.find(token);
    if (found == held_.end()) {
        return;
    }
    auto& held = *found->second;
    held_.erase(found);
    held.aborted = true;
    resume(held);
}

// --- limits on clients ------------------------------------------------------

std::size_t http_server::max_body() const {
    return limits_clients_ ? std::min(max_body_bytes_, limits_.max_body_bytes)
                           : max_body_bytes_;
}

bool http_server::announces_too_much(MHD_Connection* connection) const {
    const auto* value = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    std::uint64_t length = 0;
    // libmicrohttpd refuses what is not a number.
    return value != nullptr &&
           (!absl::SimpleAtoi(value, &length) || length > max_body());
}

// Counts the new memory of the body before it is allocated, and the old one
// until its content has been copied.
bool http_server::grow_body(exchange& held, std::size_t size) {
    auto& body = held.request.body;
    const auto former = held.body_bytes;
    if (size <= former) {
        return true;
    }
    const auto wanted = std::max(size, std::min(2 * former, max_body()));
    if (!make_room(held, wanted, wanted <= small_body_bytes)) {
        return false;
    }
    held_bytes_ += wanted;
    large_bytes_ += wanted;
    trimmer_.record(large_bytes_);
    held.body_bytes = wanted;
    std::string grown; // `reserve` of the former one may double its capacity
    grown.reserve(wanted);
    grown.append(body);
    body.swap(grown);
    held_bytes_ -= former;
    large_bytes_ -= former;
    trimmer_.record(large_bytes_);
    return true;
}

void http_server::drop_body(exchange& held) {
    std::string().swap(held.request.body);
    held_bytes_ -= held.body_bytes;
    large_bytes_ -= held.body_bytes;
    trimmer_.record(large_bytes_);
    held.body_bytes = 0;
}

void http_server::drop_reserved(exchange& held) {
    held_bytes_ -= held.reserved_bytes;
    large_bytes_ -=
        held.reserved_bytes > small_reservation_bytes ? held.reserved_bytes : 0;
    trimmer_.record(large_bytes_);
    held.reserved_bytes = 0;
}

bool http_server::reserve(http_token token, std::size_t bytes) {
    const auto found = held_.find(token);
    if (found == held_.end()) {
        return false;
    }
    auto& held = *found->second;
    if (limits_clients_ &&
        !make_room(held, bytes, bytes <= small_reservation_bytes)) {
        note_limit(limit_cause::no_memory);
        return false;
    }
    drop_reserved(held);
    held.reserved_bytes = bytes;
    held_bytes_ += bytes;
    if (bytes > small_reservation_bytes) {
        large_bytes_ += bytes;
        trimmer_.record(large_bytes_);
    }
    return true;
}

// Closes the slowest connections whose bodies are not complete, if `bytes` more
// would exceed the limit. Returns whether they may be held then.
bool http_server::make_room(const exchange& asking, std::size_t bytes,
                            bool is_small_request) {
    const auto limit = is_small_request ? server_limits_.held_bytes
                                        : server_limits_.held_bytes / 4 * 3;
    if (bytes > limit) {
        return false;
    }
    if (held_bytes_ <= limit - bytes) {
        return true;
    }
    const auto target = limit - std::max(bytes, limit / freed_bytes_divisor);
    for (auto* open : slowest_first([&asking](const open_connection& one) {
             return one.current != nullptr && one.current != &asking &&
                    one.current->body_bytes > 0 && !one.current->handler_called;
         })) {
        if (held_bytes_ <= target) {
            break;
        }
        close_connection(*open, limit_cause::slow_body);
    }
    return held_bytes_ <= limit - bytes;
}

std::size_t http_server::allowed_connections() const {
    const auto freed = std::max<std::size_t>(1, server_limits_.max_connections /
                                                    freed_connections_divisor);
    return server_limits_.max_connections - freed;
}

void http_server::check_answers(open_connection& open) {
    const auto* info = MHD_get_connection_info(
        open.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    int unsent = 0;
    const bool has_unsent = info != nullptr &&
                            ioctl(info->connect_fd, SIOCOUTQ, &unsent) == 0 &&
                            unsent > 0;
    open.answers_unread =
        std::exchange(open.has_unsent, has_unsent) && has_unsent;
}

http_server::closing_order http_server::order_of(const open_connection& open,
                                                 timestamp now) {
    if (open.answers_unread) {
        return closing_order::answers_unread;
    }
    if (open.current != nullptr && open.current->handler_called) {
        return open.has_next_request ? closing_order::next_request_sent
                                     : closing_order::kept;
    }
    return now - open.since < housekeeping_interval
               ? closing_order::young
               : closing_order::not_handled;
}

// Keeps some connections free for new ones. A connection whose request is being
// handled stays open, unless its caller reads no answers or sends requests
// without waiting for them: such callers could hold all connections for good.
void http_server::make_room_for_connection(open_connection& opened) {
    const auto allowed = allowed_connections();
    if (connections_.size() - closing_connections_ <= allowed) {
        return;
    }
    const auto now = event_loop::now();
    auto candidates = slowest_first([&opened, now](const open_connection& one) {
        return &one != &opened && order_of(one, now) != closing_order::kept;
    });
    std::stable_sort(candidates.begin(), candidates.end(),
                     [now](const auto* left, const auto* right) {
                         return order_of(*left, now) < order_of(*right, now);
                     });
    const auto freed = server_limits_.max_connections - allowed;
    candidates.resize(std::min(candidates.size(), freed));
    for (auto* open : candidates) {
        const auto order = order_of(*open, now);
        const auto cause = order == closing_order::answers_unread
                               ? limit_cause::unread_answers
                           : order == closing_order::next_request_sent
                               ? limit_cause::requests_in_a_row
                               : limit_cause::slow_connection;
        if (open->current != nullptr && open->current->handler_called) {
            close_handled(*open, cause);
        } else {
            close_connection(*open, cause);
        }
    }
    if (candidates.empty()) {
        close_connection(opened, limit_cause::no_connection);
    }
}

// Connections that are younger than a housekeeping interval come last, as their
// progress is not known yet.
std::vector<http_server::open_connection*> http_server::slowest_first(
    const std::function<bool(const open_connection&)>& wanted) {
    const auto now = event_loop::now();
    std::vector<open_connection*> found;
    for (auto& [connection, open] : connections_) {
        if (!open.closing && wanted(open)) {
            found.push_back(&open);
        }
    }
    const auto rank = [now](const open_connection* open) {
        return std::tuple(now - open->since < housekeeping_interval,
                          open->received + open->received_before, open->since);
    };
    std::sort(found.begin(), found.end(),
              [&rank](const auto* left, const auto* right) {
                  return rank(left) < rank(right);
              });
    return found;
}

MHD_Result http_server::refuse_and_close(exchange& held, limit_cause cause) {
    note_limit(cause);
    send_refusal(held.connection, cause);
    held.aborted = true;
    drop_body(held);
    return MHD_NO;
}

// libmicrohttpd reads the end of the connection and then closes it.
void http_server::close_connection(open_connection& open, limit_cause cause) {
    note_limit(cause);
    open.closing = true;
    ++closing_connections_;
    if (open.current != nullptr) {
        if (open.current->header_read) {
            send_refusal(open.connection, cause);
        }
        open.current->aborted = true;
        drop_body(*open.current);
    }
    const auto* info = MHD_get_connection_info(
        open.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        shutdown(info->connect_fd, SHUT_RDWR);
    }
}

// No refusal is sent, as the request may have run. Its handler is told that the
// caller has gone.
void http_server::close_handled(open_connection& open, limit_cause cause) {
    note_limit(cause);
    open.closing = true;
    ++closing_connections_;
    const auto* info = MHD_get_connection_info(
        open.connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        shutdown(info->connect_fd, SHUT_RDWR);
    }
    const auto token = open.current->request.token;
    if (held_.contains(token)) {
        abort(token);
        if (on_disconnect_) {
            on_disconnect_(token);
        }
    }
}

void http_server::note_limit(limit_cause cause) {
    ++unreported_limits_.at(static_cast<std::size_t>(cause));
    if (on_limit) {
        on_limit(cause);
    }
}

// Writes one event for all that was refused and closed since the last one.
void http_server::report_limits() {
    const auto now = event_loop::now();
    if (now - limits_reported_at_ < limit_report_interval) {
        return;
    }
    log_fields fields;
    for (std::size_t i = 0; i < limit_cause_count; ++i) {
        if (const auto count = std::exchange(unreported_limits_.at(i), 0);
            count > 0) {
            fields.emplace_back(to_string(static_cast<limit_cause>(i)),
                                std::to_string(count));
        }
    }
    if (fields.empty()) {
        return;
    }
    limits_reported_at_ = now;
    fields.emplace_back("held_bytes", std::to_string(held_bytes_));
    fields.emplace_back("connections", std::to_string(connections_.size()));
    log_event(log_level::warning, "clients_limited", fields);
}

void http_server::on_completed(void* self, MHD_Connection* /*connection*/,
                               void** state,
                               MHD_RequestTerminationCode /*code*/) {
    auto* server = static_cast<http_server*>(self);
    auto* ended = static_cast<exchange*>(*state);
    if (ended == nullptr) {
        return;
    }
    *state = nullptr;
    ended->open->current = nullptr;
    ended->open->since = event_loop::now();
    server->drop_body(*ended);
    server->drop_reserved(*ended);
    const auto token = ended->request.token;
    const bool unanswered = server->held_.erase(token) > 0;
    if (unanswered && server->on_disconnect_) {
        server->on_disconnect_(token);
    }
    delete ended;
}

} // namespace figridge
