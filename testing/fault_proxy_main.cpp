// Fault-injecting loopback proxy. Usage: fault_proxy --control ADDRESS
// --links LISTEN=TARGET,LISTEN=TARGET...
//
// PUT /fault {"link": LISTEN,LISTEN... or "all", "fault": "none" | "delay" |
// "cut_to_target" | "cut_to_client" | "silent" | "refuse" | "lose_answer" |
// "reset", "delay_ms": N, "request": TEXT} sets the fault of links. "reset"
// resets their connections once. "lose_answer" drops the answer to the next
// request that begins with TEXT, and then acts as "refuse".
#include <map>
#include <set>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include "adapters/http_server.hpp"
#include "codec/json_codec.hpp"
#include "fault_proxy.hpp"
#include "run_stand_in.hpp"

DEFINE_string(control, "127.0.0.1:7010", "Address of the control server.");
DEFINE_string(links, "", "LISTEN=TARGET pairs, separated by commas.");

namespace figridge::testing {
namespace {

constexpr std::size_t max_body_bytes = 65'536;
constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_unavailable = 503;

const std::map<std::string, link_fault> fault_names{
    {"none", link_fault::none},
    {"delay", link_fault::delay},
    {"cut_to_target", link_fault::cut_to_target},
    {"cut_to_client", link_fault::cut_to_client},
    {"silent", link_fault::silent},
    {"refuse", link_fault::refuse},
    {"lose_answer", link_fault::lose_answer}};

class fault_proxy {
public:
    explicit fault_proxy(event_loop& loop)
        : control_(loop, max_body_bytes,
                   [this](const http_request& request) { handle(request); },
                   {}) {
        for (const auto pair :
             absl::StrSplit(FLAGS_links, ',', absl::SkipEmpty())) {
            const std::pair<std::string, std::string> ends =
                absl::StrSplit(pair, '=');
            links_.push_back(
                std::make_unique<fault_link>(loop, ends.first, ends.second));
        }
    }

    absl::Status start() {
        for (const auto& link : links_) {
            if (auto status = link->start(); !status.ok()) {
                return status;
            }
        }
        return control_.start(FLAGS_control);
    }

private:
    void handle(const http_request& request) {
        const auto body = parse_json(request.body);
        const bool readable = body.ok() && body->is_object();
        const auto name = readable ? body->value("fault", "") : std::string{};
        const auto fault = fault_names.find(name);
        if (fault == fault_names.end() && name != "reset") {
            return control_.respond(request.token,
                                    {http_bad_request, "fault: unknown\n"});
        }
        const auto list = body->value("link", "all");
        const std::set<std::string> wanted = absl::StrSplit(list, ',');
        link_fault_settings settings;
        settings.delay = std::chrono::milliseconds(body->value("delay_ms", 0));
        settings.request = body->value("request", "POST ");
        absl::Status status;
        for (const auto& link : links_) {
            if (list != "all" && !wanted.contains(link->listen())) {
                continue;
            }
            if (name == "reset") {
                link->reset_connections();
            } else {
                settings.fault = fault->second;
                status.Update(link->set_fault(settings));
            }
        }
        if (!status.ok()) {
            return control_.respond(
                request.token,
                {http_unavailable, absl::StrCat(status.message(), "\n")});
        }
        control_.respond(request.token, {http_ok, "{}\n"});
    }

    std::vector<std::unique_ptr<fault_link>> links_;
    http_server control_;
};

} // namespace
} // namespace figridge::testing

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return figridge::run_stand_in<figridge::testing::fault_proxy>(
        "fault_proxy");
}
