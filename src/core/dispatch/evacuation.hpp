// The failure domains that the operator has evacuated, and the share of an
// endpoint's capacity that may be used after its domain was taken back.
//
//     evacuation domains;
//     domains.replace(version, {"domain-1"});        // a full read
//     domains.apply(version, "domain-1", false);     // a changed row
//     if (domains.admits(endpoint.failure_domain)) { ... }
//
// No task starts before the first full read. Endpoints of a domain that was
// taken back may be cold: each gets a part of its capacity first, and all of it
// in steps, or at once when it is warm. The state carries the version of the
// store that it was read at; a lower version changes nothing.
#ifndef FIGRIDGE_CORE_DISPATCH_EVACUATION_HPP
#define FIGRIDGE_CORE_DISPATCH_EVACUATION_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figridge/time.hpp"

namespace figridge::dispatch {

// The failure domains whose state a read has changed.
struct evacuation_change {
    std::vector<std::string> evacuated;
    std::vector<std::string> taken_back;
};

// Owned by a `dispatcher`. Not thread-safe. `now` must never decrease.
class evacuation {
public:
    // Replaces the set by a full read of the table at `version`, unless a
    // higher version was read before. Not thread-safe.
    evacuation_change replace(std::uint64_t version,
                              std::set<std::string> domains);
    // Applies one row that was changed or removed at `version`. Ignored before
    // the first full read, which covers it, and if the version is lower than
    // one read before. Not thread-safe.
    evacuation_change apply(std::uint64_t version, const std::string& domain,
                            bool evacuated);

    // Whether the table was read in full. Not thread-safe.
    [[nodiscard]] bool was_read() const { return was_read_; }
    // The highest version read; 0 before. Not thread-safe.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    // The names in the rows; endpoints need not have them. Not thread-safe.
    [[nodiscard]] const std::set<std::string>& domains() const {
        return domains_;
    }
    // Whether tasks may start on endpoints of the domain. Not thread-safe.
    [[nodiscard]] bool admits(const std::string& domain) const {
        return was_read_ && !domains_.contains(domain);
    }
    // Whether tasks may start on endpoints of any domain. Not thread-safe.
    [[nodiscard]] bool admits_all() const {
        return was_read_ && domains_.empty();
    }

    // --- endpoints of domains that were taken back ---
    // Limits the endpoint, whose domain was taken back now, to the first part
    // of its capacity. Not thread-safe.
    void begin_return(timestamp now, const std::string& endpoint);
    // The endpoint's row was read: tasks run slower there for this time. 0: it
    // is warm, unless the row may have been written before the domain was taken
    // back. Not thread-safe.
    void record_row(timestamp now, const std::string& endpoint,
                    duration cold_left);
    // A task has ended well there; `expected` is its run time on a warm
    // endpoint. Not thread-safe.
    void record_done(const std::string& endpoint, duration run_time,
                     duration expected);
    // The endpoint is gone, or evacuated again. Not thread-safe.
    void end_return(const std::string& endpoint) { returning_.erase(endpoint); }
    // Ends the limits of endpoints that are warm by now. Not thread-safe.
    void tick(timestamp now);
    // The share of the endpoint's processor capacity that may be used, above 0
    // and at most 1. Not thread-safe.
    [[nodiscard]] double usable_share(const std::string& endpoint) const;

private:
    struct returning_endpoint {
        timestamp taken_back_at{0};
        std::optional<timestamp> warm_at; // by its row
        double share = 0.0;
        std::uint32_t normal_runs = 0; // since the last step
    };

    // Whether a read at `version` is outdated; advances the version otherwise.
    bool is_outdated(std::uint64_t version);

    bool was_read_ = false;
    std::uint64_t version_ = 0;
    std::set<std::string> domains_;
    std::map<std::string, returning_endpoint> returning_;
};

} // namespace figridge::dispatch

#endif
