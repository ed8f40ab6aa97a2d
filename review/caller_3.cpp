// A caller for the scripts of review/11 and later: sends one HTTP/1.1 request
// and prints one line with what came back.
//
//   caller request ADDRESS METHOD PATH HOST WAIT_MS BODY [IDLE_MS]
//     Opens a connection, leaves it idle for IDLE_MS, sends the request with
//     X-Deadline-Ms WAIT_MS, and waits for the answer as long.
//   caller ready ADDRESS PATH WAIT_MS
//     Repeats GET PATH until it is answered with 200. Exits with 1 if it isn't.
//   caller count ADDRESS PATH TEXT NUMBER WAIT_MS
//     Repeats GET PATH until the body has TEXT this many times.
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using steady = std::chrono::steady_clock;

struct answer {
    int status = 0; // 0: none
    std::string body;
    std::string end = "no_answer"; // or "answered", "closed", "refused"
};

long long unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

int open_connection(const std::string& address) {
    const auto colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<unsigned short>(std::atoi(&address[colon + 1])));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(connection, reinterpret_cast<sockaddr*>(&to), sizeof to) < 0) {
        close(connection);
        return -1;
    }
    return connection;
}

bool is_complete(const std::string& text, answer& found) {
    const auto header_end = text.find("\r\n\r\n");
    if (header_end == std::string::npos) {
        return false;
    }
    std::string header = text.substr(0, header_end);
    for (auto& c : header) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    const auto length_at = header.find("content-length:");
    const std::size_t length =
        length_at == std::string::npos
            ? 0
            : std::strtoul(&header[length_at + 15], nullptr, 10);
    if (text.size() < header_end + 4 + length) {
        return false;
    }
    found.status = std::atoi(&text[text.find(' ') + 1]);
    found.body = text.substr(header_end + 4, length);
    found.end = "answered";
    return true;
}

answer exchange(int connection, const std::string& method,
                const std::string& path, const std::string& host, long wait_ms,
                const std::string& body) {
    answer found;
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Deadline-Ms: " + std::to_string(wait_ms) + "\r\n";
    if (!body.empty()) {
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n" + body;
    if (send(connection, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
        found.end = "closed";
        return found;
    }
    const auto until = steady::now() + std::chrono::milliseconds(wait_ms);
    std::string received;
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                              until - steady::now())
                              .count();
        pollfd readable{connection, POLLIN, 0};
        if (left <= 0 || poll(&readable, 1, static_cast<int>(left)) <= 0) {
            return found;
        }
        char part[4096];
        const auto count = recv(connection, part, sizeof part, 0);
        if (count <= 0) {
            found.end = "closed";
            return found;
        }
        received.append(part, static_cast<std::size_t>(count));
        if (is_complete(received, found)) {
            return found;
        }
    }
}

answer get(const std::string& address, const std::string& path) {
    answer found;
    const int connection = open_connection(address);
    if (connection < 0) {
        found.end = "refused";
        return found;
    }
    found = exchange(connection, "GET", path, "localhost", 1000, "");
    close(connection);
    return found;
}

int count_of(const std::string& body, const std::string& text) {
    int count = 0;
    for (auto at = body.find(text); at != std::string::npos;
         at = body.find(text, at + text.size())) {
        ++count;
    }
    return count;
}

} // namespace

int main(int argc, char** argv) {
    const std::string verb = argc > 1 ? argv[1] : "";
    if (verb == "request" && argc >= 8) {
        const int connection = open_connection(argv[2]);
        if (connection < 0) {
            std::cout << "sent_ms=" << unix_ms() << " ended_ms=" << unix_ms()
                      << " end=refused status=0 body=\n";
            return 0;
        }
        if (argc > 8) {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(std::atol(argv[8])));
        }
        const auto sent = unix_ms();
        const auto found = exchange(connection, argv[3], argv[4], argv[5],
                                    std::atol(argv[6]), argv[7]);
        std::cout << "sent_ms=" << sent << " ended_ms=" << unix_ms()
                  << " end=" << found.end << " status=" << found.status
                  << " body=" << found.body << "\n";
        close(connection);
        return 0;
    }
    const bool counts = verb == "count" && argc == 7;
    if (counts || (verb == "ready" && argc == 5)) {
        const auto until = steady::now() + std::chrono::milliseconds(
                                               std::atol(argv[counts ? 6 : 4]));
        while (steady::now() < until) {
            const auto found = get(argv[2], argv[3]);
            if (found.status == 200 &&
                (!counts ||
                 count_of(found.body, argv[4]) >= std::atoi(argv[5]))) {
                return 0;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return 1;
    }
    std::cerr << "usage: caller request|ready|count ...\n";
    return 2;
}
