#include "core/dispatch/admission_control.hpp"

#include <algorithm>

namespace figridge::dispatch {
namespace {

// Time between two ticks from which on they are late. A task passes through
// some five inputs of two hosts, and each waits for as long.
constexpr duration late_gap = 50ms;
// A shorter delay ends by itself.
constexpr duration decrease_interval = 200ms;
constexpr duration increase_interval = 100ms;
constexpr double decrease_factor = 0.6;
constexpr double increase_step = 0.05;
// Some jobs are accepted, so that a wrong measure does not close a host.
constexpr double min_share = 0.05;
// The mix of priorities is that of the last second or so.
constexpr duration arrivals_interval = 250ms;
constexpr double arrivals_factor = 0.7;
constexpr double rounding_error = 1e-6;

} // namespace

void admission_control::record_tick(timestamp now) {
    const auto previous = ticked_at_ == timestamp{0} ? now : ticked_at_;
    ticked_at_ = now;
    if (now - arrivals_aged_at_ >= arrivals_interval) {
        arrivals_aged_at_ = now;
        for (auto& count : arrivals_) {
            count *= arrivals_factor;
        }
    }
    if (now - previous >= late_gap) {
        in_time_since_ = now;
        // A single late tick is a pause of the process, not an overload.
        late_since_ = late_since_ == timestamp{0} ? now : late_since_;
        if (now - late_since_ >= decrease_interval) {
            share_ = std::max(min_share, share_ * decrease_factor);
            late_since_ = now;
        }
        return;
    }
    late_since_ = timestamp{0};
    if (now - in_time_since_ >= increase_interval) {
        share_ = std::min(1.0, share_ + increase_step);
        in_time_since_ = now;
    }
}

bool admission_control::admit(std::uint32_t priority) {
    const auto level = std::min<std::size_t>(priority, arrivals_.size() - 1);
    arrivals_[level] += 1.0;
    double all = 0.0;
    double more_urgent = 0.0;
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
        all += arrivals_[i];
        more_urgent += i < level ? arrivals_[i] : 0.0;
    }
    const double left = (share_ * all - more_urgent) / arrivals_[level];
    auto& credit = credits_[level];
    credit += std::clamp(left, min_share, 1.0);
    // The parts of a whole may be rounded to less than it.
    if (credit < 1.0 - rounding_error) {
        return false;
    }
    credit = std::max(0.0, credit - 1.0);
    return true;
}

} // namespace figridge::dispatch
