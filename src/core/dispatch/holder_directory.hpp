// Tracks the endpoints, the holder of each, and which ones this host should
// take over.
//
// Endpoints come from the platform's list, holders from the stored rows. An
// endpoint keeps its holder while that process is live and not draining, is in
// the endpoint's failure domain (or no host there can take it) and does not
// exceed its share by much. Otherwise all hosts that see the same live hosts
// pick the same successor.
#ifndef FIGRIDGE_CORE_DISPATCH_HOLDER_DIRECTORY_HPP
#define FIGRIDGE_CORE_DISPATCH_HOLDER_DIRECTORY_HPP

#include <map>
#include <optional>

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

// A host as a candidate for holding endpoints.
struct candidate {
    process_id id;
    std::string failure_domain;
    double cpu_share = 0.0;
    bool draining = false;
    // It is not heard, which may be for the lateness of a host only: it keeps
    // what it holds, and takes nothing over.
    bool silent = false;

    bool operator==(const candidate&) const = default;
};

// Owned by a `dispatcher`. Not thread-safe.
class holder_directory {
public:
    void set_endpoint(const endpoint_record& endpoint);
    void remove_endpoint(const std::string& endpoint);
    void set_holder(timestamp now, const holder_record& record);
    // Records the version of a stored row that names an earlier holder.
    void set_version(const std::string& endpoint, std::uint64_t version);
    void remove_holder(const std::string& endpoint);

    [[nodiscard]] const std::map<std::string, endpoint_record>&
    endpoints() const {
        return endpoints_;
    }
    [[nodiscard]] const holder_record* holder_of(const std::string& id) const;
    [[nodiscard]] process_id former_holder_of(const std::string& id) const;
    // The endpoints that a process holds, with their tokens, including those
    // that are not in `endpoints()`.
    [[nodiscard]] std::map<std::string, std::uint64_t>
    held_by(const process_id& holder) const;
    // Changes whenever the endpoints or holders change.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

    // The endpoints that the host `self` should take over now. `live` are the
    // processes it hears from, itself included, and those that are silent.
    // Endpoints that changed holder recently are skipped for a cooldown, which
    // grows with repeated changes.
    [[nodiscard]] std::vector<std::string>
    endpoints_to_take(timestamp now, const process_id& self,
                      const std::vector<candidate>& live) const;

    // The host that a draining holder should grant the endpoint to; `live` are
    // the hosts that can take it. Empty if there is none or the endpoint is
    // unknown.
    [[nodiscard]] std::optional<process_id>
    successor(const std::string& id, const std::vector<candidate>& live) const;

private:
    struct row {
        holder_record record;
        process_id former; // holder before the last change
        timestamp changed_at{0};
        duration cooldown{0}; // no takeover before it has passed
    };

    [[nodiscard]] bool cooldown_passed(timestamp now, const row& current) const;
    // Whether the endpoint should stay with its holder.
    [[nodiscard]] bool keeps_holder(const row& current,
                                    const endpoint_record& endpoint,
                                    const std::vector<candidate>& live,
                                    const std::vector<candidate>& chosen,
                                    std::size_t held) const;

    std::map<std::string, endpoint_record> endpoints_;
    std::map<std::string, row> rows_;
    std::uint64_t generation_ = 0;
};

} // namespace figridge::dispatch

#endif
