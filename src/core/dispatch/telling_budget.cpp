#include "core/dispatch/telling_budget.hpp"

#include <algorithm>
#include <chrono>

namespace figridge::dispatch {

bool telling_budget::take(timestamp now) {
    if (taken_at_ == now) {
        return taken_;
    }
    if (taken_at_) {
        const std::chrono::duration<double> elapsed = now - *taken_at_;
        credit_ = std::min(per_second, credit_ + per_second * elapsed.count());
    }
    taken_at_ = now;
    taken_ = credit_ >= 1;
    credit_ -= taken_ ? 1 : 0;
    return taken_;
}

} // namespace figridge::dispatch
