#include "host_client.hpp"

#include <absl/strings/str_cat.h>

namespace figridge {

host_reply host_client::call(const std::string& method, const std::string& path,
                             const std::string& body, duration timeout) {
    host_reply reply;
    http_call call;
    call.method = method;
    call.url = absl::StrCat("http://", host_, path);
    call.body = body;
    call.timeout = timeout;
    client_.send(std::move(call), [this, &reply](const http_result& result) {
        reply.reached = result.outcome == http_outcome::answered;
        reply.status = result.status;
        reply.error = result.failure.error;
        if (auto parsed = parse_json(result.body); parsed.ok()) {
            reply.body = std::move(*parsed);
        }
        loop_.stop();
    });
    loop_.run();
    return reply;
}

} // namespace figridge
