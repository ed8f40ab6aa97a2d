// figridgectl: the command-line tool for operators and scripts.
#include <csignal>
#include <functional>
#include <iostream>
#include <map>

#include <absl/strings/numbers.h>
#include <gflags/gflags.h>

#include "commands.hpp"

DEFINE_string(host, "127.0.0.1:7102",
              "Address (ip:port) for callers of any host; on the users' "
              "platform, its address for operators.");
DEFINE_bool(json, false, "Print JSON instead of tables.");
DEFINE_int64(based_on, -1,
             "catalogue edit: the version the file was based on.");
DEFINE_string(edit_id, "",
              "catalogue edit: id of the edit, to repeat one safely.");
DEFINE_uint32(wait_ms, 0, "fetch: how long to wait for the job's end.");
DEFINE_uint32(wait_slots, 0,
              "hosts: exit 1 unless the hosts hold this many slots.");
DEFINE_string(id, "", "submit: an id issued before, to resubmit under.");

namespace {

using figridge::command_options;
using figridge::host_client;

constexpr auto usage =
    "Usage: figridgectl [--host IP:PORT] [--json] COMMAND [ARGUMENT]\n"
    "  catalogue-show             the catalogue in force\n"
    "  catalogue-check FILE       check an edit without storing it\n"
    "  catalogue-edit FILE        store an edit, wait until it is in force\n"
    "                             (--based_on N, --edit_id ID)\n"
    "  catalogue-watch VERSION    wait until a version is in force\n"
    "  hosts | endpoints | jobs   list them as the host sees them\n"
    "  endpoint-drain ADDRESS     send an endpoint no new work\n"
    "  endpoint-undrain ADDRESS   send it work again\n"
    "  host-drain                 planned stop of the host\n"
    "  state                      dump of the host's state\n"
    "  submit FILE                submit a job and wait (--id ID)\n"
    "  fetch ID                   the answer of a job (--wait_ms N)\n"
    "  cancel ID                  cancel a job\n"
    "Exit codes: 0 done, 1 failed, 2 wrong usage or input, 3 conflict,\n"
    "4 host not reached, 5 stored but not in force on every host.";

struct command {
    bool takes_argument = false;
    std::function<int(host_client&, const command_options&, const std::string&)>
        run;
};

int watch(host_client& host, const command_options& options,
          const std::string& text) {
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(text, &version)) {
        std::cerr << "figridgectl: VERSION: not a number: " << text << "\n";
        return figridge::exit_usage;
    }
    return figridge::watch_catalogue(host, options, version);
}

// Wraps a function that takes no argument.
command plain(int (*run)(host_client&, const command_options&)) {
    return {false, [run](host_client& host, const command_options& options,
                         const std::string&) { return run(host, options); }};
}

const std::map<std::string, command>& commands() {
    static const std::map<std::string, command> table{
        {"catalogue-show", plain(figridge::show_catalogue)},
        {"catalogue-check", {true, figridge::check_catalogue}},
        {"catalogue-edit", {true, figridge::edit_catalogue}},
        {"catalogue-watch", {true, watch}},
        {"hosts", plain(figridge::list_hosts)},
        {"endpoints", plain(figridge::list_endpoints)},
        {"jobs", plain(figridge::list_jobs)},
        {"endpoint-drain",
         {true,
          [](host_client& host, const command_options& options,
             const std::string& address) {
              return figridge::mark_endpoint(host, options, address, true);
          }}},
        {"endpoint-undrain",
         {true,
          [](host_client& host, const command_options& options,
             const std::string& address) {
              return figridge::mark_endpoint(host, options, address, false);
          }}},
        {"host-drain", plain(figridge::drain_host)},
        {"state", plain(figridge::show_state)},
        {"submit", {true, figridge::submit_job}},
        {"fetch", {true, figridge::fetch_job}},
        {"cancel", {true, figridge::cancel_job}},
    };
    return table;
}

} // namespace

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2) {
        std::cerr << usage << "\n";
        return figridge::exit_usage;
    }
    const auto found = commands().find(argv[1]);
    if (found == commands().end()) {
        std::cerr << "figridgectl: unknown command: " << argv[1] << "\n"
                  << usage << "\n";
        return figridge::exit_usage;
    }
    const int wanted = found->second.takes_argument ? 3 : 2;
    if (argc != wanted) {
        std::cerr << "figridgectl: " << argv[1] << ": expected " << (wanted - 2)
                  << " argument(s)\n";
        return figridge::exit_usage;
    }
    command_options options;
    options.as_json = FLAGS_json;
    options.has_based_on = FLAGS_based_on >= 0;
    options.based_on =
        static_cast<std::uint64_t>(options.has_based_on ? FLAGS_based_on : 0);
    options.edit_id = FLAGS_edit_id;
    options.wait_ms = FLAGS_wait_ms;
    options.wait_slots = FLAGS_wait_slots;
    options.id = FLAGS_id;
    host_client host(FLAGS_host);
    return found->second.run(host, options, argc > 2 ? argv[2] : "");
}
