// Main loop of a test process: serves until SIGTERM or SIGINT.
#ifndef FIGRIDGE_TESTING_RUN_STAND_IN_HPP
#define FIGRIDGE_TESTING_RUN_STAND_IN_HPP

#include <csignal>
#include <iostream>

#include "adapters/event_loop.hpp"

namespace figridge {

// Constructs a `StandIn` from the event loop, calls its `start()` and serves.
// Writes a line to standard error whenever the process stood still, since a
// test may fail for that reason. Returns the exit code: 1 if `start()` fails,
// else 0.
template <typename StandIn>
int run_stand_in(const char* name) {
    event_loop loop;
    StandIn stand_in(loop);
    if (const auto status = stand_in.start(); !status.ok()) {
        std::cerr << name << ": " << status.message() << "\n";
        return 1;
    }
    signal_watcher on_term(loop, SIGTERM, [&loop] { loop.stop(); });
    signal_watcher on_int(loop, SIGINT, [&loop] { loop.stop(); });
    static constexpr duration check_interval = 50ms;
    static constexpr duration max_delay = 300ms;
    auto checked = event_loop::now();
    timer_watcher on_check(loop, [&checked, name] {
        const auto gap = event_loop::now() - checked;
        if (gap > check_interval + max_delay) {
            std::cerr << name << ": stood still for " << to_ms(gap) << " ms\n";
        }
        checked += gap;
    });
    on_check.start_repeating(check_interval);
    loop.run();
    return 0;
}

} // namespace figridge

#endif
