#include "placement_policy.hpp"

#include <algorithm>

namespace figridge {
namespace {

constexpr double own_domain_preference = 0.02;

// Sends each task to a random holder, as a baseline for comparison.
class random_holder_policy final : public placement_policy {
public:
    std::size_t choose(const std::vector<holder_view>& holders,
                       std::mt19937_64& random) override {
        std::uniform_int_distribution<std::size_t> pick(0, holders.size() - 1);
        return pick(random);
    }
};

// Sends each task to the holder with the lowest pressure by its latest advert.
// Holders in the own domain win near ties, so that a task crosses domains only
// if a slot is free there and none here.
class free_slots_policy final : public placement_policy {
public:
    std::size_t choose(const std::vector<holder_view>& holders,
                       std::mt19937_64& /*random*/) override {
        const auto cost = [](const holder_view& holder) {
            return holder.pressure() -
                   (holder.own_domain ? own_domain_preference : 0.0);
        };
        const auto best = std::min_element(
            holders.begin(), holders.end(),
            [&cost](const holder_view& left, const holder_view& right) {
                return cost(left) < cost(right);
            });
        return static_cast<std::size_t>(best - holders.begin());
    }
};

} // namespace

double holder_view::pressure() const {
    const double slots = std::max<std::uint32_t>(total_slots, 1);
    return (static_cast<double>(queued_tasks) + in_flight - free_slots) / slots;
}

std::unique_ptr<placement_policy>
make_placement_policy(placement_policy_kind kind) {
    if (kind == placement_policy_kind::random_holder) {
        return std::make_unique<random_holder_policy>();
    }
    return std::make_unique<free_slots_policy>();
}

} // namespace figridge
