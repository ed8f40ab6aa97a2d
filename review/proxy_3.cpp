// A TCP proxy for the scripts of review/11 and later.
//
//   proxy LISTEN=TARGET...
//
// At SIGUSR1 the connections that are open go silent for good: nothing is
// forwarded on them any more, and they are not closed. Later ones work.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <list>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

volatile sig_atomic_t silenced = 0;

struct channel {
    int ends[2] = {-1, -1};
    bool silent = false;
    bool over = false;
};

sockaddr_in parse(const std::string& address) {
    const auto colon = address.find(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port =
        htons(static_cast<unsigned short>(std::atoi(&address[colon + 1])));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

void set_no_delay(int connection) {
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void forward(channel& open, int from) {
    char part[65536];
    const auto count = recv(open.ends[from], part, sizeof part, MSG_DONTWAIT);
    if (count <= 0) {
        open.over = true;
        return;
    }
    for (ssize_t sent = 0; sent < count;) {
        const auto step =
            send(open.ends[1 - from], part + sent,
                 static_cast<std::size_t>(count - sent), MSG_NOSIGNAL);
        if (step <= 0) {
            open.over = true;
            return;
        }
        sent += step;
    }
}

} // namespace

int main(int argc, char** argv) {
    std::vector<int> listeners;
    std::vector<sockaddr_in> targets;
    for (int i = 1; i < argc; ++i) {
        const std::string text = argv[i];
        const auto equals = text.find('=');
        auto own = parse(text.substr(0, equals));
        const int listener = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(listener, reinterpret_cast<sockaddr*>(&own), sizeof own) < 0 ||
            listen(listener, 256) < 0) {
            std::cerr << "can't listen on " << text << "\n";
            return 1;
        }
        listeners.push_back(listener);
        targets.push_back(parse(text.substr(equals + 1)));
    }
    signal(SIGUSR1, [](int) { silenced = 1; });
    std::list<channel> links;
    while (true) {
        if (silenced != 0) {
            silenced = 0;
            for (auto& open : links) {
                open.silent = true;
            }
            std::cout << links.size() << " connections are silent\n"
                      << std::flush;
        }
        std::vector<pollfd> watched;
        for (const int listener : listeners) {
            watched.push_back({listener, POLLIN, 0});
        }
        std::vector<channel*> order;
        for (auto& open : links) {
            if (!open.silent) {
                watched.push_back({open.ends[0], POLLIN, 0});
                watched.push_back({open.ends[1], POLLIN, 0});
                order.push_back(&open);
            }
        }
        if (poll(watched.data(), watched.size(), 100) <= 0) {
            continue;
        }
        if (silenced != 0) {
            continue;
        }
        for (std::size_t i = 0; i < order.size(); ++i) {
            for (int end = 0; end < 2; ++end) {
                const auto& at = watched[listeners.size() + 2 * i +
                                         static_cast<std::size_t>(end)];
                if (at.revents != 0 && !order[i]->over) {
                    forward(*order[i], end);
                }
            }
        }
        for (auto open = links.begin(); open != links.end();) {
            if (open->over) {
                close(open->ends[0]);
                close(open->ends[1]);
                open = links.erase(open);
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
            opened.ends[1] = socket(AF_INET, SOCK_STREAM, 0);
            if (connect(opened.ends[1],
                        reinterpret_cast<sockaddr*>(&targets[i]),
                        sizeof targets[i]) < 0) {
                close(opened.ends[0]);
                close(opened.ends[1]);
                continue;
            }
            set_no_delay(opened.ends[0]);
            set_no_delay(opened.ends[1]);
            links.push_back(opened);
        }
    }
}
