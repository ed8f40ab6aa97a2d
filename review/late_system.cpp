// Simulated platform whose workers write their entries every `heartbeat-ms`
// (1,500), with the store, workers and judge of the project's own stand-in.
// The first worker is reached through a gate that can leave orders unanswered
// and carry them out late.
//
// The control server takes GET /report and PUT /restart {"late_ms": N,
// "for_ms": M}: right after its next heartbeat, the first worker crashes and
// starts again under its id; for M ms from then on, orders to it get no answer
// and are carried out N ms later. 0 ms: the gate passes everything at once.
// PUT /restart is answered when the worker has started again.
#include <list>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include "adapters/http_client.hpp"
#include "adapters/http_server.hpp"
#include "adapters/log_observer.hpp"
#include "platform/leased_endpoint.hpp"
#include "platform/table_stand_in.hpp"
#include "run_stand_in.hpp"

DEFINE_string(store, "127.0.0.1:7000", "Address of the store.");
DEFINE_string(control, "127.0.0.1:7001", "Address of the control server.");
DEFINE_int32(first_endpoint_port, 7300, "Port of the first worker.");
DEFINE_int32(gate_port, 7400, "Port at which the first worker is reached.");
DEFINE_int32(endpoints, 12, "Number of workers.");
DEFINE_string(domains, "d1,d2,d3", "Failure domains.");

namespace figridge::testing {
namespace {

constexpr std::size_t max_body_bytes = 1U << 20;
constexpr duration heartbeat = 1500ms;
constexpr duration pass_timeout = 5s;
constexpr int http_ok = 200;
constexpr const char* instance_header = "X-Target-Instance";

class worker_gate {
public:
    worker_gate(event_loop& loop, std::string target)
        : loop_(loop), target_(std::move(target)), client_(loop),
          server_(loop, max_body_bytes,
                  [this](const http_request& request) { handle(request); },
                  {}) {}

    absl::Status start(const std::string& address) {
        server_.keep_headers({instance_header});
        return server_.start(address);
    }
    void make_late(duration delay, duration length) {
        delay_ = delay;
        late_until_ = event_loop::now() + length;
    }

private:
    void handle(const http_request& request) {
        const bool late =
            delay_ > duration{0} && event_loop::now() < late_until_;
        if (!late) {
            return pass(request, true);
        }
        log_event(log_level::info, "order_held_up",
                  {{"path", request.path}, {"body", request.body}});
        waiting_.push_back(std::make_unique<timer_watcher>(
            loop_, [this, request] { pass(request, false); }));
        waiting_.back()->start_once(delay_);
    }

    void pass(const http_request& request, bool answer) {
        http_call call;
        call.method = request.method;
        call.url = absl::StrCat("http://", target_, request.path);
        call.body = request.body;
        call.timeout = pass_timeout;
        if (const auto named = request.headers.find(instance_header);
            named != request.headers.end()) {
            call.headers = {absl::StrCat(instance_header, ": ", named->second)};
        }
        client_.send(std::move(call), [this, request,
                                       answer](const http_result& result) {
            if (!answer) {
                log_event(log_level::info, "order_carried_out",
                          {{"path", request.path}, {"answer", result.body}});
            } else if (result.outcome == http_outcome::answered) {
                server_.respond(request.token, {result.status, result.body});
            } else {
                server_.abort(request.token);
            }
        });
    }

    event_loop& loop_;
    std::string target_;
    http_client client_;
    http_server server_;
    duration delay_{0};
    timestamp late_until_{0};
    std::list<std::unique_ptr<timer_watcher>> waiting_;
};

class late_system {
public:
    explicit late_system(event_loop& loop)
        : store_(loop),
          gate_(loop, absl::StrCat("127.0.0.1:", FLAGS_first_endpoint_port)),
          control_(loop, max_body_bytes,
                   [this](const http_request& request) { handle(request); },
                   {}),
          row_timer_(loop, [this] { beat(); }) {
        const std::vector<std::string> domains =
            absl::StrSplit(FLAGS_domains, ',');
        for (int i = 0; i < FLAGS_endpoints; ++i) {
            workers_.push_back(std::make_unique<leased_endpoint>(
                loop, absl::StrCat("endpoint-", i),
                absl::StrCat("127.0.0.1:", FLAGS_first_endpoint_port + i),
                domains[static_cast<std::size_t>(i) % domains.size()], judge_));
        }
        workers_.front()->set_shown_address(
            absl::StrCat("127.0.0.1:", FLAGS_gate_port));
    }

    absl::Status start() {
        judge_.log_sink = [](const char* event, const log_fields& fields) {
            log_event(log_level::info, event, fields);
        };
        judge_.end_due_runs = [this] {
            for (const auto& worker : workers_) {
                worker->end_due_runs();
            }
        };
        for (const auto& worker : workers_) {
            if (auto status = worker->start(); !status.ok()) {
                return status;
            }
        }
        for (auto status :
             {store_.start(FLAGS_store),
              gate_.start(absl::StrCat("127.0.0.1:", FLAGS_gate_port))}) {
            if (!status.ok()) {
                return status;
            }
        }
        store_.put("op", "config",
                   {{"version", 1},
                    {"routes", json::array({{{"name", "queue-1"},
                                             {"host", "figridge.example"},
                                             {"path-prefix", "/jobs/"},
                                             {"service", "pool-1"},
                                             {"priority", 0},
                                             {"attempts", 4},
                                             {"stretch", 1.6},
                                             {"target-latency-ms", 60},
                                             {"timeout-ms", 1500}}})},
                    {"services", json::array({{{"name", "pool-1"}}})},
                    {"limits", json::object()}});
        beat();
        row_timer_.start_repeating(heartbeat);
        return control_.start(FLAGS_control);
    }

private:
    void beat() {
        for (const auto& worker : workers_) {
            store_.put("servers", worker->id(), worker->describe());
        }
        if (restart_token_ != 0) {
            workers_.front()->crash();
            gate_.make_late(late_, late_for_);
            control_.respond(std::exchange(restart_token_, 0),
                             {http_ok, "{}\n"});
        }
    }

    void handle(const http_request& request) {
        if (request.path == "/restart") {
            const auto body = parse_json(request.body);
            late_ = std::chrono::milliseconds(body->value("late_ms", 0));
            late_for_ = std::chrono::milliseconds(body->value("for_ms", 0));
            restart_token_ = request.token;
            return;
        }
        control_.respond(
            request.token,
            {http_ok, dump_json({{"starts", judge_.starts()},
                                 {"complaints", judge_.violations()}}) +
                          "\n"});
    }

    run_judge judge_;
    table_stand_in store_;
    std::vector<std::unique_ptr<leased_endpoint>> workers_;
    worker_gate gate_;
    http_server control_;
    timer_watcher row_timer_;
    http_token restart_token_ = 0;
    duration late_{0};
    duration late_for_{0};
};

} // namespace
} // namespace figridge::testing

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    figridge::start_log("info", figridge::log_stream::standard_output);
    return figridge::run_stand_in<figridge::testing::late_system>(
        "late_system");
}
