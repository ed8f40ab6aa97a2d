// Health of an endpoint: its speed and its consecutive faults.
//
// Slowness is the smoothed ratio of run time to the caller's estimate, so it
// is meaningful only in comparison with other endpoints. An endpoint on which
// all running tasks fall far behind their estimates counts as slow until one
// of its tasks is done without such a delay or a time-out passes. An endpoint
// on which tasks fail repeatedly is ejected for a while; it then gets one task
// at a time until one is done.
#ifndef FIGRIDGE_CORE_DISPATCH_ENDPOINT_HEALTH_HPP
#define FIGRIDGE_CORE_DISPATCH_ENDPOINT_HEALTH_HPP

#include <cstdint>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// Owned by an `endpoint_session`. Not thread-safe.
class endpoint_health {
public:
    void record_done(timestamp now, duration run_time, duration estimate);
    // Each of the `tasks` running tasks is projected to take at least
    // `multiple` times its estimate.
    void record_progress(timestamp now, std::size_t tasks, double multiple);
    // A task failed, or its start was refused, not sent or not answered.
    // Refusals because of the token, the run or the instance do not count.
    void record_fault(timestamp now);

    // Whether new tasks may be sent, that is, the endpoint is not ejected.
    [[nodiscard]] bool accepts_tasks(timestamp now) const;
    // After an ejection, the endpoint gets one task at a time until one is
    // done.
    [[nodiscard]] bool is_on_probation() const { return ejections_ > 0; }

    // Ratio of run time to estimate; 1.0 before the first measurement.
    [[nodiscard]] double slowness(timestamp now) const;
    // Whether tasks take several times their estimate here.
    [[nodiscard]] bool is_slow(timestamp now) const;
    [[nodiscard]] std::uint32_t consecutive_faults() const { return faults_; }

private:
    double slowness_ = 1.0;
    double running_slowness_ = 1.0; // projected from running tasks
    timestamp slow_until_{0};
    std::uint32_t faults_ = 0;
    std::uint32_t ejections_ = 0;
    timestamp ejected_until_{0};
};

} // namespace figridge::dispatch

#endif
