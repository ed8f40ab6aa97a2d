// A TCP forwarder on loopback that fails as a network does.
//
// Each link listens at one address and forwards to another. A link can delay
// what passes, hold it back in one direction or both without closing anything,
// or reset its connections and refuse new ones.
#ifndef FIGRIDGE_TESTING_FAULT_PROXY_HPP
#define FIGRIDGE_TESTING_FAULT_PROXY_HPP

#include <array>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "adapters/event_loop.hpp"

namespace figridge::testing {

enum class link_fault {
    none,
    delay,         // what passes comes later
    cut_to_target, // held back until the fault is over
    cut_to_client,
    silent, // held back both ways
    refuse, // connections are reset, new ones too
};

// One link with its connections. Owned by the program's main object. Not
// thread-safe.
class fault_link {
public:
    fault_link(event_loop& loop, std::string listen, std::string target);
    ~fault_link();
    fault_link(const fault_link&) = delete;
    fault_link& operator=(const fault_link&) = delete;

    // Errors: an address that can't be listened on.
    absl::Status start();
    // Changes what happens to connections from now on. `delay` is used with
    // `link_fault::delay`.
    void set_fault(link_fault fault, duration delay);
    // Resets the connections; new ones are served.
    void reset_connections() { connections_.clear(); }
    [[nodiscard]] const std::string& listen() const { return listen_; }

private:
    struct chunk {
        timestamp due{0};
        std::string bytes;
    };
    // Bytes on their way from one socket to the other.
    struct direction {
        std::deque<chunk> chunks;
        bool ended = false; // the source sends no more
        bool closed = false;
    };
    struct connection {
        ~connection();
        std::array<int, 2> sockets{-1, -1}; // client, target
        std::array<std::unique_ptr<io_watcher>, 2> watchers;
        std::array<direction, 2> ways; // to the target, to the client
        bool broken = false;
    };

    void accept_one();
    void read_from(connection& open, std::size_t side);
    void write_to(connection& open, std::size_t way);
    void move(connection& open);
    [[nodiscard]] bool is_cut(std::size_t way) const;
    void drop_broken();

    event_loop& loop_;
    std::string listen_;
    std::string target_;
    int listener_ = -1;
    std::unique_ptr<io_watcher> accept_watcher_;
    timer_watcher forward_timer_;
    std::list<std::unique_ptr<connection>> connections_;
    link_fault fault_ = link_fault::none;
    duration delay_{0};
};

} // namespace figridge::testing

#endif
