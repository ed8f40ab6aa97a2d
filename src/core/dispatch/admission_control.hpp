// Which share of new jobs a host without spare processor time accepts.
//
// A host whose ticks come late has more inputs than it can handle. It refuses
// a part of the new jobs before any work is spent on them, and changes this
// part until its ticks are in time, so that the jobs it accepts end in time.
//
//     admission.record_tick(now);      // at each tick
//     if (!admission.admit(priority)) { ... }  // refuse the job
//
// The share is of all jobs that have come lately. Urgent ones have it first.
#ifndef FIGRIDGE_CORE_DISPATCH_ADMISSION_CONTROL_HPP
#define FIGRIDGE_CORE_DISPATCH_ADMISSION_CONTROL_HPP

#include <array>
#include <cstdint>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// Owned by a `dispatcher`. Not thread-safe.
class admission_control {
public:
    // A tick is handled at `now`, which is not before the last one. Not
    // thread-safe.
    void record_tick(timestamp now);
    // Whether the next new job is accepted; 0 is the most urgent priority. Each
    // call counts as one job. Not thread-safe.
    [[nodiscard]] bool admit(std::uint32_t priority = 0);
    // The share of new jobs that are accepted, from 0.05 to 1. Not thread-safe.
    [[nodiscard]] double share() const { return share_; }

private:
    double share_ = 1.0;
    // Of the most urgent priorities; the last entry is for all others too.
    std::array<double, 4> credits_{};
    // Jobs that have come lately; older ones count less.
    std::array<double, 4> arrivals_{};
    timestamp arrivals_aged_at_{0};
    timestamp ticked_at_{0};
    // Since when all ticks are late, or none is; before the share was changed.
    timestamp late_since_{0};
    timestamp in_time_since_{0};
};

} // namespace figridge::dispatch

#endif
