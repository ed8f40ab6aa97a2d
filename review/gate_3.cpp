// Gates between the processes of a script of review/11 and later.
//
//   gate [--late_ms N] [--cut PORT] LISTEN=TARGET...
//
// Forwards TCP connections. SIGUSR1 begins a disruption, SIGUSR2 ends it:
// --late_ms: requests that arrive meanwhile get no answer, and are carried out
//   N ms later on a connection of their own.
// --cut: the host with this port is cut off. Connections to it or from it go
//   silent, also new ones. Who opened a connection is read from its first
//   message, which names its sender; only links between hosts can be cut.
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <list>
#include <string>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using steady = std::chrono::steady_clock;

volatile sig_atomic_t disrupted = 0;

struct channel {
    int ends[2] = {-1, -1}; // of the client and of the server
    sockaddr_in target{};
    std::string seen; // the first bytes from the client
    std::string held; // of a request that is to be carried out late
    int from_port = 0;
    bool silent = false;
    bool over = false;
};

struct late_request {
    steady::time_point due;
    sockaddr_in target{};
    std::string text;
};

int late_ms = 0;
int cut_port = 0;
std::list<late_request> waiting;

sockaddr_in parse(const std::string& address) {
    const auto colon = address.find(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port =
        htons(static_cast<unsigned short>(std::atoi(&address[colon + 1])));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

int open_connection(const sockaddr_in& target) {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&target),
                sizeof target) < 0) {
        close(connection);
        return -1;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

void send_all(int connection, const std::string& text) {
    for (std::size_t sent = 0; sent < text.size();) {
        const auto step =
            send(connection, &text[sent], text.size() - sent, MSG_NOSIGNAL);
        if (step <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(step);
    }
}

// The port in the first address of the text, or 0.
int find_sender(const std::string& text) {
    const std::string host = "127.0.0.1:";
    // The request's own header names the receiver, compressed; the message
    // that follows begins with its sender.
    const auto at = text.find(host);
    return at == std::string::npos ? 0 : std::atoi(&text[at + host.size()]);
}

// Keeps each request as a whole; none is sent before the one before it is
// answered.
void hold_up(channel& open, const std::string& text) {
    open.held += text;
    const auto header_end = open.held.find("\r\n\r\n");
    const auto length_at = open.held.find("Content-Length: ");
    if (header_end == std::string::npos || length_at > header_end) {
        return;
    }
    const std::size_t length =
        std::strtoul(&open.held[length_at + 16], nullptr, 10);
    if (open.held.size() >= header_end + 4 + length) {
        waiting.push_back({steady::now() + std::chrono::milliseconds(late_ms),
                           open.target, std::exchange(open.held, {})});
    }
}

void forward(channel& open, int from) {
    char part[65536];
    const auto count = recv(open.ends[from], part, sizeof part, MSG_DONTWAIT);
    if (count <= 0) {
        open.over = true;
        return;
    }
    const std::string text(part, static_cast<std::size_t>(count));
    if (from == 0 && open.from_port == 0 && open.seen.size() < 65536) {
        open.seen += text;
        open.from_port = find_sender(open.seen);
    }
    if (disrupted != 0 && late_ms > 0) {
        if (from == 0) {
            hold_up(open, text);
        }
        return;
    }
    if (disrupted != 0 && cut_port != 0 && open.from_port == cut_port) {
        open.silent = true;
        return;
    }
    send_all(open.ends[1 - from], text);
}

void carry_out_late() {
    while (!waiting.empty() && waiting.front().due <= steady::now()) {
        const int connection = open_connection(waiting.front().target);
        if (connection >= 0) {
            send_all(connection, waiting.front().text);
            std::cout << "carried out late: "
                      << waiting.front().text.substr(
                             0, waiting.front().text.find('\r'))
                      << "\n"
                      << std::flush;
            // Left open, so that the server reads the request.
        }
        waiting.pop_front();
    }
}

} // namespace

int main(int argc, char** argv) {
    std::vector<int> listeners;
    std::vector<sockaddr_in> own;
    std::vector<sockaddr_in> targets;
    for (int i = 1; i < argc; ++i) {
        const std::string text = argv[i];
        if (text == "--late_ms" && i + 1 < argc) {
            late_ms = std::atoi(argv[++i]);
            continue;
        }
        if (text == "--cut" && i + 1 < argc) {
            cut_port = std::atoi(argv[++i]);
            continue;
        }
        const auto equals = text.find('=');
        auto address = parse(text.substr(0, equals));
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(listener, reinterpret_cast<sockaddr*>(&address),
                 sizeof address) < 0 ||
            listen(listener, 256) < 0) {
            std::cerr << "can't listen on " << text << "\n";
            return 1;
        }
        listeners.push_back(listener);
        own.push_back(address);
        targets.push_back(parse(text.substr(equals + 1)));
    }
    signal(SIGUSR1, [](int) { disrupted = 1; });
    signal(SIGUSR2, [](int) { disrupted = 0; });
    std::list<channel> channels;
    while (true) {
        carry_out_late();
        std::vector<pollfd> watched;
        for (const int listener : listeners) {
            watched.push_back({listener, POLLIN, 0});
        }
        std::vector<channel*> order;
        for (auto& open : channels) {
            const bool is_cut =
                disrupted != 0 && cut_port != 0 &&
                (open.from_port == cut_port ||
                 ntohs(open.target.sin_port) == cut_port + 1000);
            // What a cut held up is lost.
            open.over = open.over || (open.silent && disrupted == 0);
            open.silent = open.silent || is_cut;
            if (!open.silent && !open.over) {
                watched.push_back({open.ends[0], POLLIN, 0});
                watched.push_back({open.ends[1], POLLIN, 0});
                order.push_back(&open);
            }
        }
        poll(watched.data(), watched.size(), 5);
        for (std::size_t i = 0; i < order.size(); ++i) {
            for (int end = 0; end < 2; ++end) {
                const auto at =
                    listeners.size() + 2 * i + static_cast<std::size_t>(end);
                if (watched[at].revents != 0 && !order[i]->over) {
                    forward(*order[i], end);
                }
            }
        }
        for (auto open = channels.begin(); open != channels.end();) {
            if (open->over) {
                close(open->ends[0]);
                close(open->ends[1]);
                open = channels.erase(open);
            } else {
                ++open;
            }
        }
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            if ((watched[i].revents & POLLIN) == 0) {
                continue;
            }
            channel opened;
            opened.ends[0] = accept(listeners[i], nullptr, nullptr);
            opened.ends[1] = open_connection(targets[i]);
            opened.target = targets[i];
            if (opened.ends[1] < 0) {
                // As a port without a listener.
                const linger reset{1, 0};
                setsockopt(opened.ends[0], SOL_SOCKET, SO_LINGER, &reset,
                           sizeof reset);
                close(opened.ends[0]);
                continue;
            }
            const int on = 1;
            setsockopt(opened.ends[0], IPPROTO_TCP, TCP_NODELAY, &on,
                       sizeof on);
            channels.push_back(opened);
        }
    }
}
