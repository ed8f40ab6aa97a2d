#include "http_server.hpp"

#include <cerrno>

#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>

#include "log_observer.hpp"
#include "socket_address.hpp"

namespace figridge {
namespace {

constexpr unsigned max_connections = 8192;
constexpr duration housekeeping_interval = 250ms;
constexpr std::uint32_t ms_per_second = 1000;

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

MHD_Result add_query(void* target, MHD_ValueKind /*kind*/, const char* key,
                     const char* value) {
    auto* query = static_cast<std::map<std::string, std::string>*>(target);
    (*query)[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

} // namespace

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
    const auto listener = listen_on(address);
    if (!listener.ok()) {
        return listener.status();
    }
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, nullptr,
        nullptr, &http_server::on_access, this, MHD_OPTION_LISTEN_SOCKET,
        *listener, MHD_OPTION_NOTIFY_COMPLETED, &http_server::on_completed,
        this, MHD_OPTION_NOTIFY_CONNECTION, &http_server::on_connection, this,
        MHD_OPTION_URI_LOG_CALLBACK, &http_server::on_request_line, this,
        MHD_OPTION_CONNECTION_LIMIT, max_connections, MHD_OPTION_END);
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
        server->connections_.erase(connection);
        return;
    }
    server->connections_[connection] = {connection, std::nullopt};
    server->apply_idle_timeout(connection);
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
    server->connections_[connection].header_started_at = event_loop::now();
    server->apply_idle_timeout(connection);
    auto* created = new exchange;
    created->connection = connection;
    created->request.token = server->next_token_++;
    return created;
}

void http_server::close_slow_headers() {
    for (const auto& [connection, open] : connections_) {
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
        connections_[connection].header_started_at.reset();
        const auto* info = MHD_get_connection_info(
            connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
        held.request.header_too_large =
            info != nullptr && info->header_size > limits_.max_header_bytes;
        return MHD_YES;
    }
    if (*size > 0) {
        auto& request = held.request;
        if (request.body.size() + *size > max_body_bytes_) {
            request.too_large = true;
            request.body.clear();
        } else if (!request.too_large) {
            request.body.append(data, *size);
        }
        *size = 0;
        return MHD_YES;
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

void http_server::on_completed(void* self, MHD_Connection* /*connection*/,
                               void** state,
                               MHD_RequestTerminationCode /*code*/) {
    auto* server = static_cast<http_server*>(self);
    auto* ended = static_cast<exchange*>(*state);
    if (ended == nullptr) {
        return;
    }
    *state = nullptr;
    const auto token = ended->request.token;
    const bool unanswered = server->held_.erase(token) > 0;
    if (unanswered && server->on_disconnect_) {
        server->on_disconnect_(token);
    }
    delete ended;
}

} // namespace figridge
