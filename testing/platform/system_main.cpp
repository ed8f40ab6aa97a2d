// Simulated platform: store, endpoints and callers in one process, which also
// checks the invariants of runs and answers.
//
// The control server takes PUT /catalogue {"version": N, "limits": {...}}, PUT
// /endpoint {"index": N or "all", "mode": NAME, "crash": true, "draining":
// true}, PUT /load (a load plan), PUT /stopping {"host": ADDRESS, "stopping":
// true} during a planned stop of a host, and GET /report.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include "adapters/log_observer.hpp"
#include "platform/job_callers.hpp"
#include "platform/leased_endpoint.hpp"
#include "platform/table_stand_in.hpp"
#include "run_stand_in.hpp"

DEFINE_string(store, "127.0.0.1:7000", "Address of the store.");
DEFINE_string(control, "127.0.0.1:7001", "Address of the control server.");
DEFINE_int32(first_endpoint_port, 7300, "Port of the first endpoint.");
DEFINE_int32(endpoints, 12, "Number of endpoints to simulate.");
DEFINE_string(domains, "d1,d2,d3", "Failure domains.");
DEFINE_int32(shown_port_offset, 0,
             "Added to the ports of endpoints in the list, for a proxy.");
DEFINE_uint64(seed, 7, "Seed of the callers.");

namespace figridge::testing {
namespace {

constexpr std::size_t max_body_bytes = 1U << 20;
constexpr duration row_interval = 500ms;
constexpr int http_ok = 200;
constexpr int http_bad_request = 400;

class system_stand_in {
public:
    explicit system_stand_in(event_loop& loop)
        : store_(loop), callers_(loop, judge_, FLAGS_seed),
          control_(loop, max_body_bytes,
                   [this](const http_request& request) { handle(request); },
                   {}),
          row_timer_(loop, [this] { write_rows(); }) {
        const std::vector<std::string> domains =
            absl::StrSplit(FLAGS_domains, ',');
        for (int i = 0; i < FLAGS_endpoints; ++i) {
            endpoints_.push_back(std::make_unique<leased_endpoint>(
                loop, absl::StrCat("endpoint-", i),
                absl::StrCat("127.0.0.1:", FLAGS_first_endpoint_port + i),
                domains[static_cast<std::size_t>(i) % domains.size()], judge_));
            endpoints_.back()->set_shown_address(
                absl::StrCat("127.0.0.1:", FLAGS_first_endpoint_port +
                                               FLAGS_shown_port_offset + i));
            endpoints_.back()->set_clock_rate(i % 3 == 0 ? 0.98 : 1.0);
        }
    }

    absl::Status start() {
        judge_.log_sink = [](const char* event, const log_fields& fields) {
            log_event(log_level::info, event, fields);
        };
        judge_.end_due_runs = [this] {
            for (const auto& endpoint : endpoints_) {
                endpoint->end_due_runs();
            }
        };
        for (const auto& endpoint : endpoints_) {
            if (auto status = endpoint->start(); !status.ok()) {
                return status;
            }
        }
        if (auto status = store_.start(FLAGS_store); !status.ok()) {
            return status;
        }
        write_catalogue(1);
        write_rows();
        row_timer_.start_repeating(row_interval);
        return control_.start(FLAGS_control);
    }

private:
    void write_rows() {
        for (const auto& endpoint : endpoints_) {
            store_.put("servers", endpoint->id(), endpoint->describe());
        }
    }

    // `limits`: limits on the requests of callers; empty for the defaults.
    void write_catalogue(std::uint64_t version,
                         const json& limits = json::object()) {
        const json route{
            {"name", "queue-1"},       {"host", "figridge.example"},
            {"path-prefix", "/jobs/"}, {"service", "pool-1"},
            {"priority", 0},           {"attempts", 4},
            {"stretch", 1.6},          {"target-latency-ms", 60},
            {"timeout-ms", 1500}};
        auto second = route;
        second["name"] = absl::StrCat("queue-of-", version);
        second["path-prefix"] = absl::StrCat("/version-", version, "/");
        store_.put("op", "config",
                   {{"version", version},
                    {"routes", json::array({route, second})},
                    {"services", json::array({{{"name", "pool-1"}}})},
                    {"limits", limits}});
    }

    void handle(const http_request& request) {
        if (request.path == "/report") {
            return respond(request, http_ok, report());
        }
        const auto body = parse_json(request.body);
        if (!body.ok() || !body->is_object()) {
            return respond(request, http_bad_request, {{"error", "body"}});
        }
        if (request.path == "/catalogue") {
            write_catalogue(body->value("version", std::uint64_t{2}),
                            body->value("limits", json::object()));
        } else if (request.path == "/endpoint") {
            change_endpoints(*body);
        } else if (request.path == "/load") {
            begin_load(*body);
        } else if (request.path == "/stopping") {
            callers_.set_stopping(body->value("host", ""),
                                  body->value("stopping", false));
        }
        respond(request, http_ok, json::object());
    }

    void change_endpoints(const json& body) {
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            const auto index = body.find("index");
            if (index != body.end() && index->is_number() && *index != i) {
                continue;
            }
            auto& endpoint = *endpoints_[i];
            if (body.contains("mode")) {
                endpoint.set_mode(body["mode"].get<std::string>());
            }
            if (body.value("crash", false)) {
                endpoint.crash();
            }
            if (body.contains("draining")) {
                endpoint.set_draining(body["draining"].get<bool>());
            }
        }
        write_rows();
    }

    void begin_load(const json& body) {
        load_plan plan;
        plan.hosts = body.value("hosts", std::vector<std::string>{});
        plan.jobs = body.value("jobs", 100U);
        plan.jobs_per_s = body.value("jobs_per_s", 100U);
        plan.tasks = body.value("tasks", 4U);
        plan.task_ms = body.value("task_ms", 60U);
        plan.task_cpu = body.value("task_cpu", 6000U);
        plan.mixed = body.value("mixed", false);
        plan.timeouts = body.value("timeouts", 1U);
        plan.answer_timeout =
            std::chrono::milliseconds(body.value("patience_ms", 1500));
        callers_.begin(std::move(plan));
    }

    [[nodiscard]] json report() const {
        const auto& load = callers_.result();
        return {{"load_done", callers_.is_done()},
                {"sent", load.sent},
                {"completed", load.completed},
                {"failed", load.failed},
                {"refused", load.refused},
                {"unanswered", load.unanswered},
                {"resent", load.resent},
                {"starts", judge_.starts()},
                {"running", judge_.running()},
                {"store_calls", store_.calls()},
                {"complaints", judge_.violations()}};
    }

    void respond(const http_request& request, int status, const json& body) {
        control_.respond(request.token, {status, dump_json(body) + "\n"});
    }

    run_judge judge_;
    table_stand_in store_;
    std::vector<std::unique_ptr<leased_endpoint>> endpoints_;
    job_callers callers_;
    http_server control_;
    timer_watcher row_timer_;
};

} // namespace
} // namespace figridge::testing

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    figridge::start_log("info", figridge::log_stream::standard_output);
    return figridge::run_stand_in<figridge::testing::system_stand_in>(
        "system_stand_in");
}
