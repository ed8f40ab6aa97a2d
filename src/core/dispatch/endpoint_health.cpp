#include "core/dispatch/endpoint_health.hpp"

#include <algorithm>

namespace figridge::dispatch {
namespace {

// About ten tasks tell the speed: estimates are off by some 40% each.
constexpr double speed_weight = 0.12;
constexpr double least_slowness = 0.2;
constexpr double most_slowness = 20.0;
// Estimates off by 40% and the slowest healthy endpoints stay below this.
constexpr double slow_multiple = 2.5;
// One task alone may be long by its own fault.
constexpr double slow_multiple_of_one = 5.0;
// After this a slow endpoint is tried again.
constexpr duration slow_time = 1500ms;
// A task fails by its own fault in about one of 500 runs; two in a row on one
// endpoint are the endpoint's.
constexpr std::uint32_t faults_to_eject = 2;
constexpr duration first_ejection = 400ms;
constexpr duration longest_ejection = 3s;

} // namespace

void endpoint_health::record_done(timestamp /*now*/, duration run_time,
                                  duration estimate) {
    faults_ = 0;
    ejections_ = 0;
    if (estimate <= duration{0}) {
        return;
    }
    const double ratio = std::clamp(to_seconds(run_time) / to_seconds(estimate),
                                    least_slowness, most_slowness);
    slowness_ += speed_weight * (ratio - slowness_);
    if (ratio < slow_multiple) {
        slow_until_ = timestamp{0};
    }
}

void endpoint_health::record_progress(timestamp now, std::size_t tasks,
                                      double multiple) {
    if (multiple >= (tasks > 1 ? slow_multiple : slow_multiple_of_one)) {
        present_slowness_ = std::min(multiple, most_slowness);
        slow_until_ = now + slow_time;
    }
}

double endpoint_health::slowness(timestamp now) const {
    return now < slow_until_ ? std::max(slowness_, present_slowness_)
                             : slowness_;
}

bool endpoint_health::is_slow(timestamp now) const {
    return slowness(now) >= slow_multiple;
}

void endpoint_health::record_fault(timestamp now) {
    ++faults_;
    if (faults_ < faults_to_eject && ejections_ == 0) {
        return;
    }
    duration pause = first_ejection;
    for (std::uint32_t i = 0; i < ejections_ && pause < longest_ejection; ++i) {
        pause *= 2;
    }
    ++ejections_;
    ejected_until_ = now + std::min(pause, longest_ejection);
}

bool endpoint_health::accepts_tasks(timestamp now) const {
    return now >= ejected_until_;
}

} // namespace figridge::dispatch
