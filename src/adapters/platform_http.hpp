// HTTP client of the platform's table service and endpoint list.
#ifndef FIGRIDGE_ADAPTERS_PLATFORM_HTTP_HPP
#define FIGRIDGE_ADAPTERS_PLATFORM_HTTP_HPP

#include <absl/status/statusor.h>

#include "figridge/ports.hpp"
#include "http_client.hpp"

namespace figridge {

// Receives the replies of the platform.
class platform_events {
public:
    virtual ~platform_events() = default;
    virtual void on_table_reply(std::uint64_t request,
                                const table_reply& reply) = 0;
    virtual void
    on_endpoint_list(std::uint64_t request, bool ok,
                     const std::vector<endpoint_info>& endpoints) = 0;
};

// Reads the platform's list of endpoints. Entries that cannot be read, or whose
// address is not an IPv4 address with a port, are left out with a warning.
// Returns an error if the text is not a list. Thread-safe, but for the log.
absl::StatusOr<std::vector<endpoint_info>>
parse_endpoint_list(const std::string& text);

// Owned by the daemon's main object. Not thread-safe.
class platform_http final : public platform_port {
public:
    platform_http(http_client& client, const std::string& address,
                  duration timeout, platform_events& events);

    void transact(std::uint64_t request,
                  const table_transaction& transaction) override;
    void read_keys(std::uint64_t request,
                   const std::vector<std::string>& keys) override;
    void read_prefix(std::uint64_t request, const std::string& prefix) override;
    void read_endpoints(std::uint64_t request) override;

private:
    // Returns whether `endpoints_` is the list in `text`.
    bool update_endpoints(const std::string& text);
    void post(std::uint64_t request, const std::string& path, std::string body);

    http_client& client_;
    std::string base_;
    duration timeout_;
    platform_events& events_;
    std::string parsed_text_;
    std::vector<endpoint_info> endpoints_;
};

} // namespace figridge

#endif
