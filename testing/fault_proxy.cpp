#include "fault_proxy.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/socket_address.hpp"

namespace figridge::testing {
namespace {

constexpr std::size_t read_size = 65'536;
// Interval for sending data that was delayed or filled the socket buffer.
constexpr duration forward_interval = 2ms;
// Index of the client, and of the direction from it to the target.
constexpr std::size_t from_client = 0;

// Closes with a TCP reset.
void abort_socket(int socket) {
    const linger reset_on_close{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    close(socket);
}

} // namespace

fault_link::connection::~connection() {
    watchers = {};
    for (const int socket : sockets) {
        if (socket >= 0) {
            abort_socket(socket);
        }
    }
}

fault_link::fault_link(event_loop& loop, std::string listen, std::string target)
    : loop_(loop), listen_(std::move(listen)), target_(std::move(target)),
      forward_timer_(loop, [this] {
          for (auto& open : connections_) {
              forward_pending(*open);
          }
          if (settings_.fault == link_fault::refuse && listener_ >= 0) {
              refuse_connections();
          }
          drop_broken();
      }) {}

fault_link::~fault_link() {
    connections_.clear();
    stop_listening();
}

void fault_link::stop_listening() {
    accept_watcher_.reset();
    if (listener_ >= 0) {
        close(std::exchange(listener_, -1));
    }
}

absl::Status fault_link::start() {
    const auto listener = listen_on(listen_);
    if (!listener.ok()) {
        return listener.status();
    }
    listener_ = *listener;
    accept_watcher_ = std::make_unique<io_watcher>(
        loop_, listener_, EV_READ, [this](int) { accept_one(); });
    forward_timer_.start_repeating(forward_interval);
    return absl::OkStatus();
}

absl::Status fault_link::set_fault(link_fault_settings settings) {
    settings_ = std::move(settings);
    if (settings_.fault != link_fault::delay) {
        settings_.delay = duration{0};
    }
    if (settings_.fault == link_fault::refuse) {
        refuse_connections();
        return absl::OkStatus();
    }
    return listener_ < 0 ? start() : absl::OkStatus();
}

void fault_link::refuse_connections() {
    // Only a closed listener makes the kernel refuse connections. It is closed
    // first: a client may connect again as soon as its connection is reset.
    stop_listening();
    connections_.clear();
}

void fault_link::accept_one() {
    const int client =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    const auto address = parse_socket_address(target_);
    const int target =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool usable =
        address.ok() && target >= 0 &&
        (connect(target, reinterpret_cast<const sockaddr*>(&*address),
                 sizeof(*address)) == 0 ||
         errno == EINPROGRESS);
    auto open = std::make_unique<connection>();
    open->sockets = {client, target};
    if (!usable) {
        return; // both are reset
    }
    const int on = 1;
    for (std::size_t side = 0; side < 2; ++side) {
        setsockopt(open->sockets[side], IPPROTO_TCP, TCP_NODELAY, &on,
                   sizeof(on));
        open->watchers[side] =
            std::make_unique<io_watcher>(loop_, open->sockets[side], EV_READ,
                                         [this, side, raw = open.get()](int) {
                                             read_from(*raw, side);
                                             forward_pending(*raw);
                                         });
    }
    connections_.push_back(std::move(open));
}

void fault_link::read_from(connection& open, std::size_t side) {
    std::string bytes(read_size, '\0');
    const auto size = recv(open.sockets[side], bytes.data(), bytes.size(), 0);
    if (size < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
        return;
    }
    if (size < 0) {
        open.broken = true;
        return;
    }
    auto& way = open.directions[side];
    if (size == 0) {
        way.ended = true;
        open.watchers[side]->set_events(0);
        return;
    }
    bytes.resize(static_cast<std::size_t>(size));
    if (side == from_client) {
        open.chosen = settings_.fault == link_fault::lose_answer &&
                      (bytes.starts_with(settings_.request) ||
                       (open.chosen && !bytes.starts_with("POST ")));
    } else if (open.chosen && settings_.fault == link_fault::lose_answer) {
        // The timer resets the connections, as a watcher of this one is being
        // called.
        settings_.fault = link_fault::refuse;
        open.watchers[side]->set_events(0);
        return;
    }
    way.chunks.push_back(
        {event_loop::now() + settings_.delay, std::move(bytes)});
}

bool fault_link::is_cut(std::size_t way) const {
    return settings_.fault == link_fault::silent ||
           settings_.fault == (way == from_client ? link_fault::cut_to_target
                                                  : link_fault::cut_to_client);
}

void fault_link::write_to(connection& open, std::size_t way) {
    auto& passing = open.directions[way];
    const int socket = open.sockets[1 - way];
    while (!passing.chunks.empty() &&
           passing.chunks.front().due <= event_loop::now()) {
        auto& bytes = passing.chunks.front().bytes;
        const auto size =
            send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            open.broken |= errno != EAGAIN && errno != ENOTCONN;
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(size));
        if (!bytes.empty()) {
            return;
        }
        passing.chunks.pop_front();
    }
    if (passing.ended && passing.chunks.empty() && !passing.closed) {
        passing.closed = true;
        shutdown(socket, SHUT_WR);
    }
}

void fault_link::forward_pending(connection& open) {
    for (std::size_t way = 0; way < 2 && !open.broken; ++way) {
        if (!is_cut(way)) {
            write_to(open, way);
        }
    }
    open.broken |= open.directions[0].closed && open.directions[1].closed;
}

void fault_link::drop_broken() {
    connections_.remove_if([](const auto& open) { return open->broken; });
}

} // namespace figridge::testing
