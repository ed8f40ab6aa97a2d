// Time types of the core.
//
// The core never reads a clock. Every input carries a `timestamp`, taken by
// the adapter from the monotonic clock, or by a test from its virtual clock.
#ifndef FIGRIDGE_TIME_HPP
#define FIGRIDGE_TIME_HPP

#include <chrono>

namespace figridge {

using duration = std::chrono::microseconds;

// Monotonic time since an arbitrary epoch of one process. Timestamps of
// different hosts are not comparable.
using timestamp = std::chrono::microseconds;

using namespace std::chrono_literals;

inline double to_seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}

inline std::int64_t to_ms(duration d) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

} // namespace figridge

#endif
