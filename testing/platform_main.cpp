// Simulated platform: a transactional table and a list of endpoints that
// shows changes late. PUT /control injects faults: {"mode": "up" | "down" |
// "slow", "slow_ms": N, "lose_replies": N}. PUT /leaving/ADDRESS marks an
// endpoint as leaving; the list shows it after --list_lag_ms.
#include <map>
#include <memory>

#include <absl/strings/match.h>
#include <gflags/gflags.h>

#include "adapters/event_loop.hpp"
#include "adapters/http_server.hpp"
#include "codec/json_codec.hpp"
#include "run_stand_in.hpp"
#include "stand_in_layout.hpp"

DEFINE_string(listen, "127.0.0.1:7000", "Address to listen on.");
DEFINE_int32(first_endpoint_port, 7200, "Port of the first endpoint.");
DEFINE_int32(endpoints, 48, "Number of endpoints.");
DEFINE_int32(slots, 8, "Slots of each endpoint.");
DEFINE_string(domains, "d1,d2,d3", "Failure domains.");
DEFINE_int32(list_lag_ms, 1000, "Delay after which the list shows a change.");

namespace figridge {
namespace {

constexpr std::size_t max_body_bytes = 32U << 20;

class platform_stand_in {
public:
    explicit platform_stand_in(event_loop& loop)
        : loop_(loop),
          server_(
              loop, max_body_bytes,
              [this](const http_request& request) { handle(request); },
              [](http_token) {}) {
        for (const auto& endpoint : make_layout(
                 FLAGS_first_endpoint_port, FLAGS_endpoints, FLAGS_domains,
                 static_cast<std::uint32_t>(FLAGS_slots))) {
            endpoints_[endpoint.address] = endpoint;
        }
    }

    absl::Status start() { return server_.start(FLAGS_listen); }

private:
    struct row {
        std::uint64_t version = 0;
        std::string value;
    };

    void handle(const http_request& request) {
        if (request.path == "/control") {
            return control(request);
        }
        if (absl::StartsWith(request.path, "/leaving/")) {
            schedule_leaving(request.path.substr(9), request.method == "PUT");
            return answer(request.token, 200, json::object());
        }
        if (request.path == "/counts") {
            return answer(request.token, 200,
                          {{"reads", reads_}, {"writes", writes_}});
        }
        if (mode_ == "down") {
            return server_.abort(request.token);
        }
        if (mode_ == "slow") {
            return serve_later(request);
        }
        serve(request);
    }

    void serve_later(const http_request& request) {
        auto timer = std::make_shared<std::unique_ptr<timer_watcher>>();
        *timer = std::make_unique<timer_watcher>(
            loop_, [this, request, timer] { serve(request); });
        (*timer)->start_once(std::chrono::milliseconds(slow_ms_));
        delayed_.push_back(timer);
    }

    void serve(const http_request& request) {
        if (request.path == "/endpoints") {
            ++reads_;
            json list = json::array();
            for (const auto& [address, endpoint] : endpoints_) {
                list.push_back(to_json(endpoint));
            }
            return answer(request.token, 200, list);
        }
        const auto body = parse_json(request.body);
        if (!body.ok()) {
            return answer(request.token, 400, {{"error", "not JSON"}});
        }
        if (request.path == "/transact") {
            return transact(request, *body);
        }
        if (request.path == "/read") {
            return read(request, *body);
        }
        answer(request.token, 404, {{"error", "unknown path"}});
    }

    void transact(const http_request& request, const json& body) {
        ++writes_;
        json failed = json::array();
        bool holds = true;
        for (const auto& condition : body.at("conditions")) {
            const auto key = condition.at("key").get<std::string>();
            const auto found = rows_.find(key);
            const auto version =
                found == rows_.end() ? 0 : found->second.version;
            if (version != condition.at("version").get<std::uint64_t>()) {
                holds = false;
                if (found != rows_.end()) {
                    failed.push_back(row_json(key, found->second));
                }
            }
        }
        if (holds) {
            for (const auto& write : body.at("writes")) {
                auto& row = rows_[write.at("key").get<std::string>()];
                ++row.version;
                row.value = write.at("value").get<std::string>();
            }
        }
        if (lose_replies_ > 0) {
            --lose_replies_;
            return server_.abort(request.token);
        }
        answer(request.token, holds ? 200 : 409, {{"rows", std::move(failed)}});
    }

    void read(const http_request& request, const json& body) {
        ++reads_;
        json found = json::array();
        if (body.contains("keys")) {
            for (const auto& key : body.at("keys")) {
                const auto row = rows_.find(key.get<std::string>());
                if (row != rows_.end()) {
                    found.push_back(row_json(row->first, row->second));
                }
            }
        } else {
            const auto prefix = body.at("prefix").get<std::string>();
            for (auto row = rows_.lower_bound(prefix);
                 row != rows_.end() && absl::StartsWith(row->first, prefix);
                 ++row) {
                found.push_back(row_json(row->first, row->second));
            }
        }
        answer(request.token, 200, {{"rows", std::move(found)}});
    }

    static json row_json(const std::string& key, const row& content) {
        return {{"key", key},
                {"version", content.version},
                {"value", content.value}};
    }

    void control(const http_request& request) {
        const auto body = parse_json(request.body);
        if (!body.ok()) {
            return answer(request.token, 400, {{"error", "not JSON"}});
        }
        mode_ = body->value("mode", mode_);
        slow_ms_ = body->value("slow_ms", slow_ms_);
        lose_replies_ = body->value("lose_replies", lose_replies_);
        answer(request.token, 200, {{"mode", mode_}});
    }

    void schedule_leaving(const std::string& address, bool leaving) {
        auto timer = std::make_shared<std::unique_ptr<timer_watcher>>();
        *timer =
            std::make_unique<timer_watcher>(loop_, [this, address, leaving] {
                const auto found = endpoints_.find(address);
                if (found != endpoints_.end()) {
                    found->second.leaving = leaving;
                }
            });
        (*timer)->start_once(std::chrono::milliseconds(FLAGS_list_lag_ms));
        delayed_.push_back(timer);
    }

    void answer(http_token token, int status, const json& body) {
        server_.respond(token, {status, dump_json(body)});
    }

    event_loop& loop_;
    std::map<std::string, row> rows_;
    std::map<std::string, endpoint_info> endpoints_;
    std::string mode_ = "up";
    int slow_ms_ = 500;
    int lose_replies_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::vector<std::shared_ptr<std::unique_ptr<timer_watcher>>> delayed_;
    http_server server_;
};

} // namespace
} // namespace figridge

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return figridge::run_stand_in<figridge::platform_stand_in>(
        "platform_stand_in");
}
