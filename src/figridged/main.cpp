// figridged: the daemon that runs on every entry host.
#include <iostream>

#include <gflags/gflags.h>

#include "daemon.hpp"

DEFINE_string(config, "", "Path of the settings file (INI). Required.");
DEFINE_bool(check_config, false,
            "Check the settings file, print every error and exit.");

namespace {

constexpr int exit_usage = 2;

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(
        "Dispatches the tasks of jobs to endpoints.\n"
        "Usage: figridged --config FILE [--check_config]\n"
        "Exit codes: 0 after a planned stop, 1 if a port can't be opened,\n"
        "2 for wrong settings, 3 if a stop had to cut what was running.");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        std::cerr << "figridged: unknown argument: " << argv[1] << "\n";
        return exit_usage;
    }
    if (FLAGS_config.empty()) {
        std::cerr << "figridged: --config is required\n";
        return exit_usage;
    }
    const auto loaded = figridge::load_settings(FLAGS_config);
    for (const auto& error : loaded.errors) {
        std::cerr << "figridged: " << FLAGS_config << ": " << error << "\n";
    }
    if (!loaded.errors.empty()) {
        return exit_usage;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_config << ": ok\n";
        return 0;
    }
    return figridge::run_daemon(loaded.settings);
}
