// How late this process is: it lacks processor time, or was suspended.
//
// A process that reads its inputs late takes others for silent whose messages
// wait to be read. The published idea is Lifeguard's local health; see
// docs/design/links.md.
#ifndef FIGRIDGE_CORE_DISPATCH_LOCAL_LATENESS_HPP
#define FIGRIDGE_CORE_DISPATCH_LOCAL_LATENESS_HPP

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

// The longest lateness that counts, of this host or of a peer.
constexpr duration max_lateness = 2s;

// The greatest delay seen, which declines to 0 within `lateness_memory`. Owned
// by a `dispatcher`. Not thread-safe.
class local_lateness {
public:
    // Records that the process has stood still, or a tick is overdue, for
    // `delay`. `now` does not decrease. Not thread-safe.
    void record(timestamp now, duration delay);
    // Between 0 and `max_lateness`. Not thread-safe.
    [[nodiscard]] duration at(timestamp now) const;

private:
    duration peak_{0};
    timestamp peak_at_{0};
};

constexpr duration lateness_memory = 2s;

} // namespace figridge::dispatch

#endif
