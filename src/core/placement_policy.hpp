// Policies for choosing the holder that a task is sent to.
#ifndef FIGRIDGE_CORE_PLACEMENT_POLICY_HPP
#define FIGRIDGE_CORE_PLACEMENT_POLICY_HPP

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "figridge/settings.hpp"

namespace figridge {

// A coordinator's view of a holder when it places a task. `in_flight` counts
// tasks sent to the holder that its latest advert does not include yet.
struct holder_view {
    std::string host;
    bool own_domain = false;
    std::uint32_t free_slots = 0;
    std::uint32_t total_slots = 0;
    std::uint32_t queued_tasks = 0;
    std::uint32_t in_flight = 0;

    // Waiting tasks minus free slots, per slot. Negative while slots are free.
    [[nodiscard]] double pressure() const;
};

// Owned by `coordinator`. Not thread-safe.
class placement_policy {
public:
    virtual ~placement_policy() = default;

    // Returns the index of the chosen holder.
    // Precondition: `holders` is not empty.
    virtual std::size_t choose(const std::vector<holder_view>& holders,
                               std::mt19937_64& random) = 0;
};

std::unique_ptr<placement_policy>
make_placement_policy(placement_policy_kind kind);

} // namespace figridge

#endif
