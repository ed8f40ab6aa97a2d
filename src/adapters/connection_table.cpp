#include "connection_table.hpp"

#include <algorithm>

namespace figridge {

void connection_table::open(int socket) {
    by_socket_[socket] = next_number_;
    connections_.try_emplace(next_number_++);
}

void connection_table::close(int socket) {
    const auto found = by_socket_.extract(socket);
    if (found.empty()) {
        return;
    }
    const auto number = found.mapped();
    const auto closed = connections_.extract(number);
    const auto of_server = by_port_.find(closed.mapped().server);
    if (of_server == by_port_.end()) {
        return;
    }
    // Another connection may have the local port by now.
    const auto same_port = of_server->second.find(closed.mapped().local_port);
    if (same_port != of_server->second.end() && same_port->second == number) {
        of_server->second.erase(same_port);
    }
    if (of_server->second.empty()) {
        by_port_.erase(of_server);
    }
}

std::uint64_t connection_table::begin_use(std::optional<int> opened,
                                          const std::string& server,
                                          int local_port) {
    if (opened) {
        const auto found = by_socket_.find(*opened);
        if (found == by_socket_.end()) {
            return 0;
        }
        auto& begun = connections_.at(found->second);
        begun.server = server;
        begun.local_port = local_port;
        begun.in_use = true;
        by_port_[server][local_port] = found->second;
        return found->second;
    }
    const auto of_server = by_port_.find(server);
    if (of_server == by_port_.end()) {
        return 0;
    }
    const auto found = of_server->second.find(local_port);
    if (found == of_server->second.end()) {
        return 0;
    }
    connections_.at(found->second).in_use = true;
    return found->second;
}

void connection_table::end_use(std::uint64_t number) {
    if (const auto found = connections_.find(number);
        found != connections_.end()) {
        found->second.in_use = false;
    }
}

void connection_table::set_process(std::uint64_t number, std::int64_t process) {
    if (const auto found = connections_.find(number);
        found != connections_.end()) {
        found->second.process = process;
    }
}

std::optional<std::int64_t>
connection_table::process_of(std::uint64_t number) const {
    const auto found = connections_.find(number);
    return found == connections_.end() ? std::nullopt : found->second.process;
}

std::size_t connection_table::count_free(const std::string& server,
                                         std::int64_t process) const {
    const auto of_server = by_port_.find(server);
    if (of_server == by_port_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(of_server->second.begin(), of_server->second.end(),
                      [this, process](const auto& item) {
                          const auto& known = connections_.at(item.second);
                          return !known.in_use && known.process == process;
                      }));
}

} // namespace figridge
