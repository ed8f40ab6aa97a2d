// Simulates many endpoints in one process, on consecutive ports.
//
// PUT /control: {"endpoint": INDEX or "all", "mode": NAME} sets the behaviour;
// {"endpoint": INDEX, "expect_no_starts_after_ms": N} counts starts after that
// time as late. GET /report returns the counts of starts.
#include <memory>
#include <vector>

#include <gflags/gflags.h>

#include "endpoint_stand_in.hpp"
#include "run_stand_in.hpp"
#include "stand_in_layout.hpp"

DEFINE_string(control, "127.0.0.1:7199", "Address of the control server.");
DEFINE_int32(first_endpoint_port, 7200, "Port of the first endpoint.");
DEFINE_int32(endpoints, 48, "Number of endpoints to simulate.");
DEFINE_int32(slots, 8, "Slots of each endpoint.");

namespace figridge {
namespace {

constexpr std::size_t max_body_bytes = 1U << 20;

class endpoint_group {
public:
    explicit endpoint_group(event_loop& loop)
        : control_(
              loop, max_body_bytes,
              [this](const http_request& request) { handle(request); },
              [](http_token) {}) {
        const auto slots = static_cast<std::uint32_t>(FLAGS_slots);
        for (const auto& info : make_layout(FLAGS_first_endpoint_port,
                                            FLAGS_endpoints, "d1", slots)) {
            endpoints_.push_back(std::make_unique<endpoint_stand_in>(
                loop, info.address, slots, record_));
        }
    }

    absl::Status start() {
        for (const auto& endpoint : endpoints_) {
            if (auto status = endpoint->start(); !status.ok()) {
                return status;
            }
        }
        return control_.start(FLAGS_control);
    }

private:
    void handle(const http_request& request) {
        if (request.path == "/report") {
            return control_.respond(
                request.token,
                {200, dump_json({{"total", record_.total},
                                 {"refused", record_.refused},
                                 {"late_starts", record_.late_starts},
                                 {"starts", record_.starts}})});
        }
        const auto body = parse_json(request.body);
        if (request.path != "/control" || !body.ok() ||
            !body->contains("endpoint")) {
            return control_.respond(request.token, {400, "{}"});
        }
        const auto& which = body->at("endpoint");
        for (std::size_t index = 0; index < endpoints_.size(); ++index) {
            if (which == json("all") || which == json(index)) {
                apply(*endpoints_[index], *body);
            }
        }
        control_.respond(request.token, {200, "{}"});
    }

    static void apply(endpoint_stand_in& endpoint, const json& body) {
        if (const auto mode = parse_endpoint_mode(body.value("mode", ""))) {
            endpoint.set_mode(*mode);
            if (*mode == endpoint_mode::normal) {
                endpoint.allow_starts();
            }
        }
        if (body.contains("expect_no_starts_after_ms")) {
            endpoint.expect_no_starts(std::chrono::milliseconds(
                body.at("expect_no_starts_after_ms").get<int>()));
        }
    }

    start_record record_;
    std::vector<std::unique_ptr<endpoint_stand_in>> endpoints_;
    http_server control_;
};

} // namespace
} // namespace figridge

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return figridge::run_stand_in<figridge::endpoint_group>(
        "endpoints_stand_in");
}
