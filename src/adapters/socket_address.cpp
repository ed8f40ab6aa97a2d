#include "socket_address.hpp"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr int max_port = 65535;

} // namespace

absl::StatusOr<sockaddr_in> parse_socket_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return absl::InvalidArgumentError("expected ip:port");
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    // inet_pton() stops at a null byte, and SimpleAtoi() skips white space.
    if (text.find_first_not_of("0123456789.:") != std::string_view::npos) {
        return absl::InvalidArgumentError("expected ip:port");
    }
    const std::string ip(text.substr(0, colon));
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        return absl::InvalidArgumentError(
            absl::StrCat("not an IPv4 address: ", ip));
    }
    int port = 0;
    const std::string port_text(text.substr(colon + 1));
    if (!absl::SimpleAtoi(port_text, &port) || port < 1 || port > max_port) {
        return absl::InvalidArgumentError(
            absl::StrCat("not a port number: ", port_text));
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

absl::StatusOr<int> listen_on(std::string_view address,
                              const listen_options& options) {
    const auto parsed = parse_socket_address(address);
    if (!parsed.ok()) {
        return parsed.status();
    }
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return absl::InternalError(strerror(errno));
    }
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (options.receive_buffer_bytes > 0) {
        // Accepted connections take it over.
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF,
                   &options.receive_buffer_bytes,
                   sizeof(options.receive_buffer_bytes));
    }
    const auto* raw = reinterpret_cast<const sockaddr*>(&*parsed);
    if (bind(descriptor, raw, sizeof(*parsed)) != 0 ||
        listen(descriptor, options.backlog) != 0) {
        const auto error = absl::UnavailableError(
            absl::StrCat("can't listen: ", strerror(errno)));
        close(descriptor);
        return error;
    }
    return descriptor;
}

} // namespace figridge
