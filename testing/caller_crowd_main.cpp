// A crowd of callers that send bodies at or over the limits and, for most
// kinds, stop just short of the end and stay connected.
//
// Prints `open=N closed=N` once each connection has sent all it is going to
// send or has been closed, and closes them when its standard input ends.
#include <algorithm>
#include <cerrno>
#include <iostream>
#include <limits>
#include <string>
#include <vector>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include "adapters/socket_address.hpp"

DEFINE_string(host, "", "Address of the host for callers.");
DEFINE_string(
    kind, "whole",
    "whole, pieces, one_chunk, small_chunks, announced or unlimited.");
DEFINE_uint32(connections, 700, "Connections opened at once.");
DEFINE_uint32(body_bytes, 262'000, "Length of the bodies within the limit.");
DEFINE_uint32(sent_bytes, 600'000, "Bytes sent of a body over the limit.");
DEFINE_uint32(idle_ms, 2'000,
              "A crowd none of which can send for this long is complete.");

namespace figridge::testing {
namespace {

constexpr std::uint32_t missing_bytes = 40;
constexpr std::uint32_t announced_bytes = 50'000'000;
constexpr std::size_t piece_bytes = 4096;
constexpr std::size_t write_bytes = 65'536;
constexpr int poll_ms = 50;
constexpr int exit_usage = 2;

struct caller {
    int socket = -1;
    std::size_t sent = 0;
};

std::string make_chunk(std::size_t size) {
    return absl::StrCat(absl::Hex(size), "\r\n", std::string(size, 'x'),
                        "\r\n");
}

// What each connection sends; empty if the kind is unknown.
std::string make_request(const std::string& kind) {
    std::string text = "POST /jobs/0123456789abcdef HTTP/1.1\r\n"
                       "Host: figridge.example\r\nX-Deadline-Ms: 1500\r\n";
    const auto announce = [&text](std::size_t length, std::size_t sent) {
        absl::StrAppend(&text, "Content-Length: ", length, "\r\n\r\n",
                        std::string(sent, 'x'));
    };
    const auto chunks = [&text](std::size_t size, std::size_t total) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        const auto chunk = make_chunk(size);
        for (std::size_t sent = 0; sent < total; sent += size) {
            text += chunk;
        }
    };
    if (kind == "whole" || kind == "pieces") {
        announce(FLAGS_body_bytes, FLAGS_body_bytes - missing_bytes);
    } else if (kind == "one_chunk") {
        chunks(FLAGS_body_bytes, FLAGS_body_bytes);
    } else if (kind == "small_chunks") {
        chunks(10, FLAGS_body_bytes - missing_bytes);
    } else if (kind == "announced") {
        announce(announced_bytes, FLAGS_sent_bytes);
    } else if (kind == "unlimited") {
        chunks(piece_bytes, FLAGS_sent_bytes);
    } else {
        return {};
    }
    return text;
}

bool open_caller(const sockaddr_in& address, caller& opened) {
    opened.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    return opened.socket >= 0 &&
           (connect(opened.socket, raw, sizeof(address)) == 0 ||
            errno == EINPROGRESS);
}

void close_caller(caller& ended) {
    close(ended.socket);
    ended.socket = -1;
}

// Sends as much as the connection takes; returns the number of bytes.
std::size_t advance(caller& one, const std::string& request, std::size_t step) {
    const auto length = std::min(step, request.size() - one.sent);
    const auto count =
        send(one.socket, request.data() + one.sent, length, MSG_NOSIGNAL);
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            close_caller(one);
        }
        return 0;
    }
    one.sent += static_cast<std::size_t>(count);
    return static_cast<std::size_t>(count);
}

// Discards answers; returns false if the host has closed the connection.
bool is_still_open(const caller& one) {
    std::string answer(piece_bytes, '\0');
    const auto count =
        recv(one.socket, answer.data(), answer.size(), MSG_DONTWAIT);
    return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

// Plays the crowd until nothing is left to send or the host takes no more.
void play(std::vector<caller>& crowd, const std::string& request,
          std::size_t step) {
    std::uint32_t waited_ms = 0;
    while (waited_ms < FLAGS_idle_ms) {
        std::vector<pollfd> waiting;
        std::vector<caller*> callers;
        for (auto& one : crowd) {
            if (one.socket >= 0 && one.sent < request.size()) {
                waiting.push_back({one.socket, POLLIN | POLLOUT, 0});
                callers.push_back(&one);
            }
        }
        if (waiting.empty()) {
            return;
        }
        poll(waiting.data(), waiting.size(), poll_ms);
        std::size_t sent = 0;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if ((waiting[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0 &&
                !is_still_open(*callers[i])) {
                close_caller(*callers[i]);
            } else if ((waiting[i].revents & POLLOUT) != 0) {
                sent += advance(*callers[i], request, step);
            }
        }
        waited_ms = sent > 0 ? 0 : waited_ms + poll_ms;
    }
}

int run() {
    const auto address = parse_socket_address(FLAGS_host);
    const auto request = make_request(FLAGS_kind);
    if (!address.ok() || request.empty()) {
        std::cerr << "caller_crowd: invalid --host or --kind\n";
        return exit_usage;
    }
    std::vector<caller> crowd(FLAGS_connections);
    for (auto& one : crowd) {
        if (!open_caller(*address, one)) {
            close_caller(one);
        }
    }
    play(crowd, request, FLAGS_kind == "pieces" ? piece_bytes : write_bytes);
    const auto closed =
        std::count_if(crowd.begin(), crowd.end(), [](const caller& one) {
            return one.socket < 0 || !is_still_open(one);
        });
    std::cout << "open=" << crowd.size() - static_cast<std::size_t>(closed)
              << " closed=" << closed << std::endl;
    std::cin.ignore(std::numeric_limits<std::streamsize>::max());
    return 0;
}

} // namespace
} // namespace figridge::testing

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return figridge::testing::run();
}
