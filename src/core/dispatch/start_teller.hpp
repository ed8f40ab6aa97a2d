// The starts that this host, as a holder, has told its witnesses.
//
// A witness forgets them when it is told that they are over or answered. They
// are told together and seldom, as the list of those that are still open.
//
//     teller.add(witness, run, endpoint, token);   // with each start
//     for (auto& [witness, notices] : teller.refresh(now, is_open)) { ... }
#ifndef FIGRIDGE_CORE_DISPATCH_START_TELLER_HPP
#define FIGRIDGE_CORE_DISPATCH_START_TELLER_HPP

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// Adds a start to the notice of its job, if that is the last of the list, or to
// a new one. Returns whether it is a new one. Thread-safe.
bool add_start(std::vector<start_notice>& notices, const task_run& run,
               const std::string& endpoint, std::uint64_t token);

// Owned by a `dispatcher`. Not thread-safe.
class start_teller {
public:
    // A start that was told to a witness, under the token of its holder.
    struct told_start {
        process_id witness;
        task_run run;
        std::string endpoint;
        std::uint64_t token = 0;
    };

    // The witness is told of the start with this input. Not thread-safe.
    void add(const process_id& witness, const task_run& run,
             const std::string& endpoint, std::uint64_t token) {
        told_.push_back({witness, run, endpoint, token});
    }

    // Forgets the starts that are not open any more. Returns the notices for
    // each witness that knows one of these: the first ends all that it was
    // told, the others tell those that are open. Nothing within
    // `refresh_interval` of the last notices. `is_open` tells whether a witness
    // must know of the start. Not thread-safe.
    std::map<process_id, std::vector<start_notice>>
    refresh(timestamp now,
            const std::function<bool(const told_start& start)>& is_open);

    [[nodiscard]] bool empty() const { return told_.empty(); }

    static constexpr duration refresh_interval = 50ms;

private:
    std::vector<told_start> told_;
    timestamp next_refresh_{0};
};

} // namespace figridge::dispatch

#endif
