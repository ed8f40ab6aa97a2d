// The address of a worker. Passes orders on to the worker at once, or leaves
// them unanswered and passes them on late.
#ifndef FIGRIDGE_REVIEW_2_LATE_GATE_HPP
#define FIGRIDGE_REVIEW_2_LATE_GATE_HPP

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <absl/strings/str_cat.h>

#include "adapters/http_client.hpp"
#include "adapters/http_server.hpp"

namespace figridge::testing {

// Owned by the program's main object. Not thread-safe.
class late_gate {
public:
    // `decide` returns how much later an order is carried out; 0: at once.
    using decision = std::function<duration(const std::string& path,
                                            const std::string& body)>;

    late_gate(event_loop& loop, std::string worker, decision decide)
        : loop_(loop), worker_(std::move(worker)), decide_(std::move(decide)),
          server_(loop, 1U << 20,
                  [this](const http_request& request) { take(request); }, {}),
          client_(loop) {}

    absl::Status start(const std::string& address) {
        server_.keep_headers({"X-Target-Instance"});
        return server_.start(address);
    }

private:
    void take(const http_request& request) {
        const auto delay = decide_(request.path, request.body);
        if (delay == duration{0}) {
            return pass_on(request, true);
        }
        delayed_.push_back(std::make_unique<timer_watcher>(
            loop_, [this, request] { pass_on(request, false); }));
        delayed_.back()->start_once(delay);
    }

    void pass_on(const http_request& request, bool answered) {
        http_call call;
        call.method = request.method;
        call.url = absl::StrCat("http://", worker_, request.path);
        call.body = request.body;
        if (const auto named = request.headers.find("X-Target-Instance");
            named != request.headers.end()) {
            call.headers = {"X-Target-Instance: " + named->second};
        }
        client_.send(call, [this, token = request.token,
                            answered](const http_result& result) {
            if (!answered) {
                return;
            }
            if (result.outcome == http_outcome::answered) {
                server_.respond(token, {result.status, result.body});
            } else {
                server_.abort(token);
            }
        });
    }

    event_loop& loop_;
    std::string worker_;
    decision decide_;
    http_server server_;
    http_client client_;
    std::list<std::unique_ptr<timer_watcher>> delayed_;
};

} // namespace figridge::testing

#endif
