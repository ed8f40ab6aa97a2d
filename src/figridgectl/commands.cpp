#include "commands.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

#include <absl/strings/str_cat.h>

#include "output.hpp"

namespace figridge {
namespace {

constexpr duration long_poll_time = 1s;
constexpr duration timeout_margin = 5s;
constexpr duration retry_interval = 200ms;
constexpr int http_accepted = 202;
constexpr int http_unavailable = 503;

int show(const host_reply& reply, const command_options& options,
         const std::vector<std::string>& fields) {
    if (!reply.is_ok()) {
        return report_failure(reply);
    }
    if (options.as_json) {
        std::cout << dump_json(reply.body, 2) << "\n";
    } else {
        print_table(reply.body, fields);
    }
    return exit_ok;
}

int print_answer(const host_reply& reply, const command_options& options) {
    if (!reply.reached || !reply.body.is_object() ||
        !reply.body.contains("state")) {
        return report_failure(reply);
    }
    const auto& body = reply.body;
    if (options.as_json) {
        std::cout << dump_json(body) << "\n";
    } else {
        std::cout << "job " << body.value("id", "?") << " "
                  << body.value("state", "?");
        if (body.contains("cause")) {
            std::cout << " cause=" << body.value("cause", "?")
                      << " may_have_run="
                      << (body.value("may_have_run", true) ? "yes" : "no");
        }
        if (body.contains("detail")) {
            std::cout << " (" << body.value("detail", "") << ")";
        }
        std::cout << "\n";
        std::size_t task = 0;
        for (const auto& output : body.value("outputs", json::array())) {
            std::cout << "  task " << task++ << ": "
                      << output.get<std::string>() << "\n";
        }
    }
    const auto state = body.value("state", "");
    if (state == "running") {
        return exit_ok;
    }
    return state == "complete" ? exit_ok : exit_failed;
}

// Polls until the job has ended; prints progress to standard error.
host_reply wait_for_job(host_client& host, const std::string& id) {
    while (true) {
        auto reply = host.call(
            "GET",
            absl::StrCat("/v1/jobs/", id, "?wait_ms=", to_ms(long_poll_time)),
            {}, long_poll_time + timeout_margin);
        const bool again =
            reply.reached && (reply.status == http_accepted ||
                              (reply.status == http_unavailable &&
                               reply.body.value("state", "") == "unreachable"));
        if (!again) {
            return reply;
        }
        std::cerr << "job " << id << " " << reply.body.value("state", "?")
                  << "\n";
        host.pause(retry_interval);
    }
}

} // namespace

int list_hosts(host_client& host, const command_options& options) {
    const auto reply = host.call("GET", "/v1/hosts");
    if (reply.is_ok() && options.wait_slots > 0) {
        std::uint32_t slots = 0;
        for (const auto& item : reply.body) {
            slots += item.value("total_slots", 0U);
        }
        if (slots != options.wait_slots) {
            std::cerr << "figridgectl: " << slots << " of "
                      << options.wait_slots << " slots are held\n";
            return exit_failed;
        }
    }
    return show(reply, options,
                {"address", "failure_domain", "state", "catalogue_version",
                 "endpoints_held", "endpoints_ejected", "free_slots",
                 "total_slots", "free_cpu_millis", "cpu_millis", "queued_tasks",
                 "draining", "heard_ms_ago"});
}

int list_endpoints(host_client& host, const command_options& options) {
    return show(host.call("GET", "/v1/endpoints"), options,
                {"endpoint", "address", "failure_domain", "holder", "token",
                 "slots", "leaving", "evacuated", "phase", "health", "running",
                 "runs", "free_cpu_millis", "cpu_millis", "usable_share"});
}

int list_jobs(host_client& host, const command_options& options) {
    return show(host.call("GET", "/v1/jobs"), options,
                {"id", "entry", "queue", "request", "owner", "state", "done",
                 "sent", "pending", "tasks", "open_tasks", "age_ms"});
}

int mark_endpoint(host_client& host, const command_options& options,
                  const std::string& address, bool leaving) {
    const auto reply =
        host.call(leaving ? "PUT" : "DELETE",
                  absl::StrCat("/v1/endpoints/", address, "/leaving"));
    if (!reply.is_ok()) {
        return report_failure(reply);
    }
    if (options.as_json) {
        std::cout << dump_json(reply.body) << "\n";
    } else {
        std::cout << "endpoint " << address
                  << (leaving ? " gets no new work\n" : " gets work again\n");
    }
    return exit_ok;
}

int drain_host(host_client& host, const command_options& /*options*/) {
    const auto reply = host.call("POST", "/v1/drain", "{}");
    if (!reply.is_ok()) {
        return report_failure(reply);
    }
    std::cout << "the host finishes its current work and stops\n";
    return exit_ok;
}

int show_state(host_client& host, const command_options& /*options*/) {
    const auto reply = host.call("GET", "/v1/state");
    if (!reply.is_ok()) {
        return report_failure(reply);
    }
    std::cout << dump_json(reply.body, 2) << "\n";
    return exit_ok;
}

int submit_job(host_client& host, const command_options& options,
               const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        std::cerr << "figridgectl: " << path << ": can't read\n";
        return exit_usage;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto value = parse_json(text.str());
    const auto job = value.ok() ? job_from_json(*value)
                                : absl::StatusOr<job_request>(value.status());
    if (!job.ok()) {
        std::cerr << "figridgectl: " << path << ": " << job.status().message()
                  << "\n";
        return exit_usage;
    }
    auto id = options.id;
    if (id.empty()) {
        const auto drawn = host.call("POST", "/v1/ids?count=1", "{}");
        if (!drawn.is_ok()) {
            return report_failure(drawn);
        }
        id = drawn.body.at("ids").at(0).get<std::string>();
    }
    const auto target =
        absl::StrCat("/v1/jobs/", id, "?wait_ms=", to_ms(long_poll_time));
    auto reply = host.call("PUT", target, dump_json(to_json(*job)),
                           long_poll_time + timeout_margin);
    if (reply.reached && reply.status == http_accepted) {
        std::cerr << "job " << id << " accepted\n";
        reply = wait_for_job(host, id);
    }
    return print_answer(reply, options);
}

int fetch_job(host_client& host, const command_options& options,
              const std::string& id) {
    const auto target =
        absl::StrCat("/v1/jobs/", id, "?wait_ms=", options.wait_ms);
    const auto timeout =
        std::chrono::milliseconds(options.wait_ms) + timeout_margin;
    return print_answer(host.call("GET", target, {}, timeout), options);
}

int cancel_job(host_client& host, const command_options& options,
               const std::string& id) {
    const auto reply = host.call("DELETE", absl::StrCat("/v1/jobs/", id));
    const auto code = print_answer(reply, options);
    const auto state =
        reply.body.is_object() ? reply.body.value("state", "") : "";
    return state == "failed" ? exit_ok : code;
}

} // namespace figridge
