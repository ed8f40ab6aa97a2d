// Maps requests to queues by the routes of the catalogue.
//
// A request matches the route of its host with the longest prefix of its path.
#ifndef FIGRIDGE_CORE_DISPATCH_ROUTE_TABLE_HPP
#define FIGRIDGE_CORE_DISPATCH_ROUTE_TABLE_HPP

#include <optional>
#include <string_view>

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

struct route {
    std::string host;
    std::string path_prefix;
    queue_policy queue;
    // The queue can't be read, so its requests are refused for now.
    bool is_closed = false;
};

// Size limits and time-outs for requests of callers.
struct caller_limits {
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 262'144;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;

    bool operator==(const caller_limits&) const = default;
};

struct route_catalogue {
    std::uint64_t version = 0;
    std::vector<route> routes;
    caller_limits limits;
    // Fields that could not be read. What they belong to has its default, is
    // closed, or is missing.
    std::vector<std::string> errors;
};

// Owned by the component that serves callers. Not thread-safe.
class route_table {
public:
    struct match {
        const route* found = nullptr;
        std::string_view rest; // the path after the prefix
    };

    // Replaces the catalogue if the version of the new one is higher. Returns
    // whether it was replaced.
    bool apply(route_catalogue catalogue);

    // `host` may include a port. `found` is null if no route matches; the
    // result points into the table and `path`.
    [[nodiscard]] match find(std::string_view host,
                             std::string_view path) const;

    [[nodiscard]] std::uint64_t version() const { return catalogue_.version; }
    [[nodiscard]] const route_catalogue& catalogue() const {
        return catalogue_;
    }

private:
    route_catalogue catalogue_;
};

} // namespace figridge::dispatch

#endif
