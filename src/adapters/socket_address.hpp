// Socket addresses written as `ip:port`; names are not resolved.
#ifndef FIGRIDGE_ADAPTERS_SOCKET_ADDRESS_HPP
#define FIGRIDGE_ADAPTERS_SOCKET_ADDRESS_HPP

#include <string>
#include <string_view>

#include <netinet/in.h>

#include <absl/status/statusor.h>

namespace figridge {

// Parses an IPv4 address and a port. Thread-safe.
absl::StatusOr<sockaddr_in> parse_socket_address(std::string_view text);

struct listen_options {
    // Connections that wait to be accepted.
    int backlog = 1024;
    // Bytes that the kernel receives for a connection before they are read; it
    // keeps up to twice as many. 0: as the kernel sees fit.
    int receive_buffer_bytes = 0;
};

// Opens a non-blocking TCP listener on `ip:port`. Thread-safe.
absl::StatusOr<int> listen_on(std::string_view address,
                              const listen_options& options = {});

} // namespace figridge

#endif
