// How often a host tells all others of its doubts at once.
//
// What is told in one input goes to each peer in one message, however much it
// is. Beyond the budget it is collected, so that a host whose starts stay
// unanswered because it or others are late does not add to their load.
//
//     if (budget.take(now)) { ... }    // send now, otherwise collect
#ifndef FIGRIDGE_CORE_DISPATCH_TELLING_BUDGET_HPP
#define FIGRIDGE_CORE_DISPATCH_TELLING_BUDGET_HPP

#include <optional>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// Owned by a `dispatcher`. Not thread-safe.
class telling_budget {
public:
    // Whether what is told in the input at `now` is sent at once. Calls of one
    // input have the same result and count once. `now` does not decrease. Not
    // thread-safe.
    [[nodiscard]] bool take(timestamp now);

    // A host with a few unanswered starts a second tells each at once.
    static constexpr double per_second = 10;

private:
    double credit_ = per_second; // at most that of one second
    std::optional<timestamp> taken_at_;
    bool taken_ = false; // the result then
};

} // namespace figridge::dispatch

#endif
