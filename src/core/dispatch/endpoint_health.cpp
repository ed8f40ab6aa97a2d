#include "core/dispatch/endpoint_health.hpp"

#include <algorithm>

namespace figridge::dispatch {
namespace {

// Averages over about ten tasks, as single estimates are off by some 40%.
constexpr double speed_smoothing_factor = 0.12;
constexpr double min_slowness = 0.2;
constexpr double max_slowness = 20.0;
// Above the ratio of the slowest healthy endpoints with estimates off by 40%.
constexpr double slow_threshold = 2.5;
// A single task may be slow because of the task, not the endpoint.
constexpr double slow_threshold_for_one_task = 5.0;
// A slow endpoint is tried again after this.
constexpr duration slow_retry_delay = 1500ms;
// About one of 500 runs fails because of the task, not the endpoint, so two
// consecutive failures are attributed to the endpoint.
constexpr std::uint32_t consecutive_faults_to_eject = 2;
constexpr duration initial_ejection_time = 400ms;
constexpr duration max_ejection_time = 3s;

} // namespace

void endpoint_health::record_done(timestamp /*now*/, duration run_time,
                                  duration estimate) {
    faults_ = 0;
    ejections_ = 0;
    if (estimate <= duration{0}) {
        return;
    }
    const double ratio = std::clamp(to_seconds(run_time) / to_seconds(estimate),
                                    min_slowness, max_slowness);
    slowness_ += speed_smoothing_factor * (ratio - slowness_);
    if (ratio < slow_threshold) {
        slow_until_ = timestamp{0};
    }
}

void endpoint_health::record_progress(timestamp now, std::size_t tasks,
                                      double multiple) {
    if (multiple >=
        (tasks > 1 ? slow_threshold : slow_threshold_for_one_task)) {
        running_slowness_ = std::min(multiple, max_slowness);
        slow_until_ = now + slow_retry_delay;
    }
}

double endpoint_health::slowness(timestamp now) const {
    return now < slow_until_ ? std::max(slowness_, running_slowness_)
                             : slowness_;
}

bool endpoint_health::is_slow(timestamp now) const {
    return slowness(now) >= slow_threshold;
}

void endpoint_health::record_fault(timestamp now) {
    ++faults_;
    if (faults_ < consecutive_faults_to_eject && ejections_ == 0) {
        return;
    }
    duration ejection_time = initial_ejection_time;
    for (std::uint32_t i = 0;
         i < ejections_ && ejection_time < max_ejection_time; ++i) {
        ejection_time *= 2;
    }
    ++ejections_;
    ejected_until_ = now + std::min(ejection_time, max_ejection_time);
}

bool endpoint_health::accepts_tasks(timestamp now) const {
    return now >= ejected_until_;
}

} // namespace figridge::dispatch
