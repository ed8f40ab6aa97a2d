// Blocking HTTP client of the command-line tool for one host.
#ifndef FIGRIDGE_FIGRIDGECTL_HOST_CLIENT_HPP
#define FIGRIDGE_FIGRIDGECTL_HOST_CLIENT_HPP

#include <string>

#include "adapters/event_loop.hpp"
#include "adapters/http_client.hpp"
#include "codec/json_codec.hpp"

namespace figridge {

struct host_reply {
    bool reached = false;
    int status = 0;
    json body;
    std::string error;

    [[nodiscard]] bool is_ok() const { return reached && status < 300; }
};

// Not thread-safe.
class host_client {
public:
    explicit host_client(std::string host)
        : host_(std::move(host)), client_(loop_) {}

    // Sends a request to a path of the host and waits for the answer.
    host_reply call(const std::string& method, const std::string& path,
                    const std::string& body = {}, duration timeout = 15s);

    void pause(duration time) { loop_.run_for(time); }

private:
    std::string host_;
    event_loop loop_;
    http_client client_;
};

} // namespace figridge

#endif
