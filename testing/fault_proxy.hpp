// TCP proxy on loopback that injects network faults.
//
// Each link listens at one address and forwards to another. A link can delay
// the data, stall it in one or both directions without closing connections,
// reset its connections and refuse new ones, or do so once the target has
// carried out a request.
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
    delay,         // data is forwarded after a delay
    cut_to_target, // stalled until the fault is cleared
    cut_to_client,
    silent, // stalled in both directions
    refuse, // open connections are reset, new ones are refused
    // The answer to the next chosen request is dropped; then as `refuse`.
    lose_answer,
};

struct link_fault_settings {
    link_fault fault = link_fault::none;
    duration delay{0};   // used with `link_fault::delay`
    std::string request; // start of the requests of `link_fault::lose_answer`
};

// One proxied address with its connections. Owned by the program's main object.
// Not thread-safe.
class fault_link {
public:
    fault_link(event_loop& loop, std::string listen, std::string target);
    ~fault_link();
    fault_link(const fault_link&) = delete;
    fault_link& operator=(const fault_link&) = delete;

    // Fails if the proxy can't listen at the address.
    absl::Status start();
    // Applies to open and new connections. Fails if the proxy can't listen
    // again after connections were refused.
    absl::Status set_fault(link_fault_settings settings);
    // Resets the open connections; new ones are accepted unless refused.
    void reset_connections() { connections_.clear(); }
    [[nodiscard]] const std::string& listen() const { return listen_; }

private:
    struct chunk {
        timestamp due{0};
        std::string bytes;
    };
    // Data received from one socket and not yet sent to the other.
    struct direction {
        std::deque<chunk> chunks;
        bool ended = false; // the source has closed its side
        bool closed = false;
    };
    struct connection {
        ~connection();
        std::array<int, 2> sockets{-1, -1}; // client, target
        std::array<std::unique_ptr<io_watcher>, 2> watchers;
        std::array<direction, 2> directions; // to the target, to the client
        bool chosen = false; // the latest request is one of `lose_answer`
        bool broken = false;
    };

    void refuse_connections();
    void stop_listening();
    void accept_one();
    void read_from(connection& open, std::size_t side);
    void write_to(connection& open, std::size_t way);
    void forward_pending(connection& open);
    [[nodiscard]] bool is_cut(std::size_t way) const;
    void drop_broken();

    event_loop& loop_;
    std::string listen_;
    std::string target_;
    int listener_ = -1;
    std::unique_ptr<io_watcher> accept_watcher_;
    timer_watcher forward_timer_;
    std::list<std::unique_ptr<connection>> connections_;
    link_fault_settings settings_;
};

} // namespace figridge::testing

#endif
