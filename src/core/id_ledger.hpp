// Tracks the submission ids that this incarnation has minted and which of them
// were used.
//
// Ids expire `id_validity` after they were minted, or when `id_window` newer
// ones exist. An expired id never starts a job, whether or not it was used.
#ifndef FIGRIDGE_CORE_ID_LEDGER_HPP
#define FIGRIDGE_CORE_ID_LEDGER_HPP

#include <cstdint>
#include <deque>
#include <vector>

#include "figridge/settings.hpp"

namespace figridge {

enum class id_state { not_minted, unused, used, expired };

// Owned by `coordinator`. Not thread-safe.
class id_ledger {
public:
    explicit id_ledger(const core_settings& settings) : settings_(settings) {}

    // Mints `count` consecutive ids and returns the counter of the first.
    std::uint64_t mint(std::uint32_t count, timestamp now);

    [[nodiscard]] id_state state_of(std::uint64_t counter) const;

    // Precondition: `state_of(counter)` is unused.
    void mark_used(std::uint64_t counter);

    void expire(timestamp now);

    [[nodiscard]] std::uint64_t first_valid() const { return base_; }
    [[nodiscard]] std::vector<bool> used_from_first_valid() const {
        return {used_.begin(), used_.end()};
    }

private:
    struct minted_batch {
        std::uint64_t end = 0;
        timestamp minted_at{0};
    };
    void advance_base(std::uint64_t base);

    const core_settings& settings_;
    std::uint64_t base_ = 1;
    std::uint64_t next_ = 1;
    std::deque<bool> used_;
    std::deque<minted_batch> batches_;
};

} // namespace figridge

#endif
