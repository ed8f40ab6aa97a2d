// Which endpoints exist, who holds each, and which this host should take.
//
// Endpoints come from the platform's list, holders from the stored rows. An
// endpoint stays with its holder as long as that process is heard, serves the
// endpoint's failure domain and has not much more than its part; otherwise
// every host picks the same successor from the hosts it hears.
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

    bool operator==(const candidate&) const = default;
};

// Owned by a `dispatcher`. Not thread-safe.
class holder_directory {
public:
    void set_endpoint(const endpoint_record& endpoint);
    void remove_endpoint(const std::string& endpoint);
    void set_holder(timestamp now, const holder_record& record);
    // The version of the stored row, which names an earlier holder.
    void set_version(const std::string& endpoint, std::uint64_t version);
    void remove_holder(const std::string& endpoint);

    [[nodiscard]] const std::map<std::string, endpoint_record>&
    endpoints() const {
        return endpoints_;
    }
    [[nodiscard]] const holder_record* holder_of(const std::string& id) const;
    [[nodiscard]] process_id former_holder_of(const std::string& id) const;
    // The endpoints that a process holds and the token of each; also endpoints
    // that are not listed here, or not yet.
    [[nodiscard]] std::map<std::string, std::uint64_t>
    held_by(const process_id& holder) const;
    // Changes whenever endpoints or holders do.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

    // The endpoints that the host `self` should take over now, given the
    // processes it hears (itself included). Endpoints that changed hands a
    // moment ago are left alone, the longer the more often they did.
    [[nodiscard]] std::vector<std::string>
    endpoints_to_take(timestamp now, const process_id& self,
                      const std::vector<candidate>& live) const;

    // Whom a holder that stops should give the endpoint to, given the hosts
    // that can take it; nothing if there is none, or the endpoint is unknown.
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
    // Whether an endpoint stays with its holder.
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
