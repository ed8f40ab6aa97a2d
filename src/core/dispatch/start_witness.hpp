// Starts that holders have told this host as they sent them.
//
// If a holder is lost before it can tell all hosts which of its starts stay
// unanswered, this host tells them for it. A holder that is heard tells them
// itself within `self_told_limit`, so older starts of it are forgotten.
//
//     witness.record(holder, stamp_us, notice);
//     for (auto& doubt : witness.take(holder, stamp_us)) { ... } // it is lost
#ifndef FIGRIDGE_CORE_DISPATCH_START_WITNESS_HPP
#define FIGRIDGE_CORE_DISPATCH_START_WITNESS_HPP

#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// Owned by a `dispatcher`. Not thread-safe.
//
// Stamps are of the holder's clock, in microseconds.
class start_witness {
public:
    // Starts that the holder has sent by `stamp_us`. A notice without a job
    // ends all that the holder has told before. Not thread-safe.
    void record(const process_id& holder, std::int64_t stamp_us,
                const start_notice& notice);
    // The holder is lost: returns the starts that it may not have told other
    // hosts of, and forgets them. `stamp_us` is the last stamp heard of it. Not
    // thread-safe.
    [[nodiscard]] std::vector<start_doubt> take(const process_id& holder,
                                                std::int64_t stamp_us);
    // Forgets the starts that their holders have told other hosts of, if they
    // are still open. `last_stamp` gives the last stamp heard of a holder. Not
    // thread-safe.
    void tick(const std::function<std::int64_t(const process_id& holder)>&
                  last_stamp);

    // Number of notices kept. Not thread-safe.
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        std::int64_t stamp_us = 0;
        start_notice notice;
    };

    static void forget_told(std::deque<entry>& entries, std::int64_t stamp_us);

    std::map<process_id, std::deque<entry>> holders_;
};

} // namespace figridge::dispatch

#endif
