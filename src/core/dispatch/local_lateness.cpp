#include "core/dispatch/local_lateness.hpp"

#include <algorithm>

namespace figridge::dispatch {

void local_lateness::record(timestamp now, duration delay) {
    const auto limited = std::clamp(delay, duration{0}, max_lateness);
    if (limited >= at(now)) {
        peak_ = limited;
        peak_at_ = now;
    }
}

duration local_lateness::at(timestamp now) const {
    const auto age = std::clamp(now - peak_at_, duration{0}, lateness_memory);
    return peak_ * (lateness_memory - age).count() / lateness_memory.count();
}

} // namespace figridge::dispatch
