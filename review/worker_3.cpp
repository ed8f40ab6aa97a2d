// One worker as a process of its own, for the scripts of review/11 and later:
// the project's simulated endpoint, which writes its entry into the store when
// it starts and every `heartbeat-ms`.
//
//   worker ID ADDRESS ZONE KIND STORE [SHOWN]
//
// KIND is the first of its labels, SHOWN the address in its entry, if it is
// another one. Runs until it is killed.
#include <csignal>
#include <iostream>

#include <absl/strings/str_cat.h>

#include "adapters/http_client.hpp"
#include "adapters/log_observer.hpp"
#include "codec/json_codec.hpp"
#include "platform/leased_endpoint.hpp"

int main(int argc, char** argv) {
    using namespace figridge;
    if (argc != 6 && argc != 7) {
        std::cerr << "usage: worker ID ADDRESS ZONE KIND STORE [SHOWN]\n";
        return 2;
    }
    // A connection may end while it is written to.
    std::signal(SIGPIPE, SIG_IGN);
    const std::string kind = argv[4];
    const std::string store = argv[5];
    start_log("info", log_stream::standard_output);
    event_loop loop;
    testing::run_judge judge;
    judge.log_sink = [&kind](const char* event, const log_fields& fields) {
        auto all = fields;
        all.emplace_back("kind", kind);
        log_event(log_level::info, event, all);
    };
    testing::leased_endpoint worker(loop, argv[1], argv[2], argv[3], judge);
    if (argc == 7) {
        worker.set_shown_address(argv[6]);
    }
    judge.end_due_runs = [&worker] { worker.end_due_runs(); };
    if (const auto status = worker.start(); !status.ok()) {
        std::cerr << status.message() << "\n";
        return 1;
    }
    http_client client(loop);
    const auto write_entry = [&] {
        auto entry = worker.describe();
        entry["labels"][0] = kind;
        http_call call;
        call.method = "PUT";
        call.url = absl::StrCat("http://", store, "/control");
        call.body = dump_json(
            {{"put",
              {{"table", "servers"}, {"key", worker.id()}, {"value", entry}}}});
        call.timeout = std::chrono::seconds(1);
        client.send(std::move(call), [](const http_result&) {});
    };
    timer_watcher heartbeat(loop, write_entry);
    write_entry();
    heartbeat.start_repeating(std::chrono::milliseconds(1500));
    log_event(log_level::info, "worker_serves",
              {{"endpoint", argv[1]}, {"kind", kind}});
    loop.run();
    return 0;
}
