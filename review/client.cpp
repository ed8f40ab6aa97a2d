// A caller that sends one HTTP/1.1 request and prints what became of it:
//
//     client --to 127.0.0.1:7001 --method POST --path /jobs/ID
//         [--host NAME] [--header "Name: value"]... [--body TEXT]
//         [--body_file PATH] [--timeout_ms N] [--label TEXT]
//
// Prints one line: time of sending and of the end (ms since 1970), label,
// status (0: the channel broke, -1: no answer in time, -2: no connection) and
// body. Needs nothing but the C++ library.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr int channel_broke = 0;
constexpr int no_answer = -1;
constexpr int no_connection = -2;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct options {
    std::string to;
    std::string method = "GET";
    std::string path = "/";
    std::string host = "figridge.example";
    std::string body;
    std::string label = "call";
    std::vector<std::string> headers;
    int timeout_ms = 2000;
};

struct outcome {
    int status = no_answer;
    std::string body;
};

std::size_t body_length(const std::string& header) {
    const auto at = header.find("Content-Length:");
    return at == std::string::npos
               ? 0
               : std::strtoul(header.c_str() + at + 15, nullptr, 10);
}

int connect_to(const std::string& to) {
    const auto colon = to.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(to.c_str() + colon + 1)));
    inet_pton(AF_INET, to.substr(0, colon).c_str(), &address.sin_addr);
    const int channel = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    if (connect(channel, raw, sizeof(address)) != 0) {
        close(channel);
        return -1;
    }
    return channel;
}

outcome call(const options& wanted) {
    const int channel = connect_to(wanted.to);
    if (channel < 0) {
        return {no_connection, ""};
    }
    std::string text = wanted.method + " " + wanted.path +
                       " HTTP/1.1\r\nHost: " + wanted.host + "\r\n";
    for (const auto& header : wanted.headers) {
        text += header + "\r\n";
    }
    if (!wanted.body.empty()) {
        text += "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(wanted.body.size()) + "\r\n";
    }
    text += "\r\n" + wanted.body;
    const auto end = unix_ms() + wanted.timeout_ms;
    outcome result;
    for (std::size_t sent = 0; sent < text.size();) {
        const auto count =
            send(channel, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            close(channel);
            return {channel_broke, ""};
        }
        sent += static_cast<std::size_t>(count);
    }
    std::string answer;
    while (true) {
        const auto left = end - unix_ms();
        pollfd ready{channel, POLLIN, 0};
        if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        char chunk[65536];
        const auto count = recv(channel, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            result.status = channel_broke;
            break;
        }
        answer.append(chunk, static_cast<std::size_t>(count));
        const auto header_end = answer.find("\r\n\r\n");
        if (header_end == std::string::npos) {
            continue;
        }
        const auto length = body_length(answer.substr(0, header_end));
        if (answer.size() >= header_end + 4 + length) {
            result.status = std::atoi(answer.c_str() + 9);
            result.body = answer.substr(header_end + 4, length);
            break;
        }
    }
    close(channel);
    return result;
}

} // namespace

int main(int argc, char** argv) {
    options wanted;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        const std::string value = argv[i + 1];
        if (name == "--to") {
            wanted.to = value;
        } else if (name == "--method") {
            wanted.method = value;
        } else if (name == "--path") {
            wanted.path = value;
        } else if (name == "--host") {
            wanted.host = value;
        } else if (name == "--header") {
            wanted.headers.push_back(value);
        } else if (name == "--body") {
            wanted.body = value;
        } else if (name == "--body_file") {
            std::ifstream file(value);
            wanted.body.assign(std::istreambuf_iterator<char>(file), {});
        } else if (name == "--timeout_ms") {
            wanted.timeout_ms = std::atoi(value.c_str());
        } else if (name == "--label") {
            wanted.label = value;
        } else {
            std::fprintf(stderr, "client: unknown option %s\n", name.c_str());
            return 2;
        }
    }
    const auto sent = unix_ms();
    const auto result = call(wanted);
    std::printf("sent=%lld ended=%lld %s %s %s to %s status=%d body=%s\n",
                static_cast<long long>(sent), static_cast<long long>(unix_ms()),
                wanted.label.c_str(), wanted.method.c_str(),
                wanted.path.c_str(), wanted.to.c_str(), result.status,
                result.body.c_str());
    return 0;
}
