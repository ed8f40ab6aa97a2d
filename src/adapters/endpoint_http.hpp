// Starts tasks on endpoints over HTTP.
#ifndef FIGRIDGE_ADAPTERS_ENDPOINT_HTTP_HPP
#define FIGRIDGE_ADAPTERS_ENDPOINT_HTTP_HPP

#include "figridge/ports.hpp"
#include "http_client.hpp"

namespace figridge {

// Receives the replies of endpoints.
class endpoint_events {
public:
    virtual ~endpoint_events() = default;
    virtual void on_start_reply(const start_reply& reply) = 0;
    virtual void on_probe_reply(const probe_reply& reply) = 0;
};

// Owned by the daemon's main object. Not thread-safe.
class endpoint_http final : public endpoint_port {
public:
    endpoint_http(http_client& client, endpoint_events& events)
        : client_(client), events_(events) {}

    void start(const std::string& endpoint, const start_order& order) override;
    void stop(const std::string& endpoint, const task_ref& ref) override;
    void probe(const std::string& endpoint) override;

private:
    http_client& client_;
    endpoint_events& events_;
};

// Converts the HTTP result of a start request. Thread-safe.
start_reply read_start_reply(const std::string& endpoint, const task_ref& order,
                             const http_result& result);

} // namespace figridge

#endif
