// Main loop of a test process: serves until SIGTERM or SIGINT.
#ifndef FIGRIDGE_TESTING_RUN_STAND_IN_HPP
#define FIGRIDGE_TESTING_RUN_STAND_IN_HPP

#include <csignal>
#include <iostream>

#include "adapters/event_loop.hpp"

namespace figridge {

// Constructs a `StandIn` from the event loop, calls its `start()` and serves.
// Returns the exit code: 1 if `start()` fails, else 0.
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
    loop.run();
    return 0;
}

} // namespace figridge

#endif
