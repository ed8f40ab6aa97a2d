// How well an endpoint serves, judged by what it did with tasks.
//
// Speed is the run time against the caller's estimate, smoothed, so it means
// something only in comparison with other endpoints. An endpoint on which all
// running tasks fall far behind their estimates is slow from then on, until
// one of its tasks does well or a while has passed. An endpoint that fails
// task after task is ejected and probed back with one task at a time.
#ifndef FIGRIDGE_CORE_DISPATCH_ENDPOINT_HEALTH_HPP
#define FIGRIDGE_CORE_DISPATCH_ENDPOINT_HEALTH_HPP

#include <cstdint>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// Owned by an `endpoint_session`. Not thread-safe.
class endpoint_health {
public:
    void record_done(timestamp now, duration run_time, duration estimate);
    // The running tasks head for at least this multiple of their estimates.
    void record_progress(timestamp now, std::size_t tasks, double multiple);
    // A task failed, was refused without a reason of ours, or got no answer.
    void record_fault(timestamp now);

    // Whether new tasks may be sent now.
    [[nodiscard]] bool accepts_tasks(timestamp now) const;
    // After an ejection, tasks are tried one at a time until one is done.
    [[nodiscard]] bool is_on_probation() const { return ejections_ > 0; }

    // Run time against estimate, 1.0 as long as nothing is known.
    [[nodiscard]] double slowness(timestamp now) const;
    // Whether tasks take several times as long here.
    [[nodiscard]] bool is_slow(timestamp now) const;
    [[nodiscard]] std::uint32_t consecutive_faults() const { return faults_; }

private:
    double slowness_ = 1.0;
    double present_slowness_ = 1.0; // seen from running tasks
    timestamp slow_until_{0};
    std::uint32_t faults_ = 0;
    std::uint32_t ejections_ = 0;
    timestamp ejected_until_{0};
};

} // namespace figridge::dispatch

#endif
