// An endpoint's own clock, as seen from here.
//
// Leases end by the endpoint's clock, which may be slow and is read only in
// its answers. `lower_bound()` never runs ahead of it; `has_passed()` is true
// only when the endpoint's clock must have passed a time.
#ifndef FIGRIDGE_CORE_DISPATCH_ENDPOINT_CLOCK_HPP
#define FIGRIDGE_CORE_DISPATCH_ENDPOINT_CLOCK_HPP

#include <cstdint>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// Owned by an `endpoint_session`. Not thread-safe.
class endpoint_clock {
public:
    // `drift`: how much slower than ours the clock may run, 0.02 for 2%.
    explicit endpoint_clock(double drift) : drift_(drift) {}

    [[nodiscard]] bool is_known() const { return clock_ms_ >= 0; }

    // The endpoint said `clock_ms` in an answer that arrived at `now`. Older
    // readings that arrive late are ignored.
    void read(timestamp now, std::int64_t clock_ms);

    // Forgets the readings: the endpoint began another life.
    void reset() { clock_ms_ = -1; }

    // A lower bound of the endpoint's clock. Precondition: `is_known()`.
    [[nodiscard]] std::int64_t lower_bound(timestamp now) const;

    // What the clock shows if it is not slow. Precondition: `is_known()`.
    [[nodiscard]] std::int64_t expected(timestamp now) const {
        return clock_ms_ + to_ms(now - read_at_);
    }

    // Whether the endpoint's clock is certainly past `clock_ms`.
    [[nodiscard]] bool has_passed(timestamp now, std::int64_t clock_ms) const;

private:
    double drift_;
    std::int64_t clock_ms_ = -1;
    timestamp read_at_{0};
};

} // namespace figridge::dispatch

#endif
