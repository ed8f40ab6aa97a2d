// The dispatcher's HTTP interface for operators and figridgectl: metrics,
// state, drain, and tables of hosts, endpoints, jobs and the catalogue.
#ifndef FIGRIDGE_ADAPTERS_OPERATOR_API_HPP
#define FIGRIDGE_ADAPTERS_OPERATOR_API_HPP

#include <nlohmann/json.hpp>

#include "core/dispatch/dispatcher.hpp"
#include "core/dispatch/route_table.hpp"
#include "http_server.hpp"
#include "log_observer.hpp"

namespace figridge {

// Owned by the daemon's main object. Not thread-safe.
class operator_api {
public:
    struct sources {
        const dispatch::dispatcher& core;
        const dispatch::route_table& routes;
        const log_observer& observer;
        std::function<timestamp()> now;
        // Gauges of the process, added to those of the dispatcher.
        std::function<nlohmann::json()> process_gauges;
        std::function<void()> begin_drain;
    };

    operator_api(event_loop& loop, sources from);

    absl::Status start(const std::string& address) {
        return server_.start(address);
    }

private:
    void handle(const http_request& request);
    [[nodiscard]] std::optional<nlohmann::json>
    read(const std::string& path) const;
    [[nodiscard]] std::string metrics() const;
    [[nodiscard]] nlohmann::json catalogue() const;

    sources from_;
    http_server server_;
};

} // namespace figridge

#endif
