// Estimates an endpoint's clock from the readings in its replies.
//
// Leases expire by the endpoint's clock, which may run slow and is read only
// in its replies. `lower_bound()` is never ahead of that clock; `has_passed()`
// is true only if the clock must have passed the given time.
#ifndef FIGRIDGE_CORE_DISPATCH_ENDPOINT_CLOCK_HPP
#define FIGRIDGE_CORE_DISPATCH_ENDPOINT_CLOCK_HPP

#include <cstdint>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// Owned by an `endpoint_session`. Not thread-safe.
class endpoint_clock {
public:
    // `drift`: the fraction by which the endpoint's clock may run slower than
    // the local clock, 0.02 for 2%.
    explicit endpoint_clock(double drift) : drift_(drift) {}

    [[nodiscard]] bool is_known() const { return clock_ms_ >= 0; }

    // Records the reading `clock_ms` of a reply that arrived at `now`. Readings
    // below the present lower bound, from replies that arrive late, are
    // ignored.
    void read(timestamp now, std::int64_t clock_ms);

    // Time since the last reading. Precondition: `is_known()`.
    [[nodiscard]] duration age(timestamp now) const { return now - read_at_; }

    // Discards the readings, for an endpoint that has restarted.
    void reset() { clock_ms_ = -1; }

    // A lower bound of the endpoint's clock. Precondition: `is_known()`.
    [[nodiscard]] std::int64_t lower_bound(timestamp now) const;

    // The endpoint's clock if it does not run slow.
    // Precondition: `is_known()`.
    [[nodiscard]] std::int64_t expected(timestamp now) const {
        return clock_ms_ + to_ms(now - read_at_);
    }

    // Whether the endpoint's clock is certainly past `clock_ms`; false as long
    // as the clock is not known.
    [[nodiscard]] bool has_passed(timestamp now, std::int64_t clock_ms) const;

private:
    double drift_;
    std::int64_t clock_ms_ = -1;
    timestamp read_at_{0};
};

} // namespace figridge::dispatch

#endif
