#include "core/dispatch/endpoint_clock.hpp"

#include <cmath>

namespace figridge::dispatch {

void endpoint_clock::read(timestamp now, std::int64_t clock_ms) {
    if (!is_known() || clock_ms >= lower_bound(now)) {
        clock_ms_ = clock_ms;
        read_at_ = now;
    }
}

std::int64_t endpoint_clock::lower_bound(timestamp now) const {
    const auto elapsed = static_cast<double>(to_ms(now - read_at_));
    return clock_ms_ +
           static_cast<std::int64_t>(std::floor(elapsed * (1.0 - drift_)));
}

bool endpoint_clock::has_passed(timestamp now, std::int64_t clock_ms) const {
    return is_known() && lower_bound(now) > clock_ms;
}

} // namespace figridge::dispatch
