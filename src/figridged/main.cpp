// figridged: the daemon that runs on every host.
#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "daemon.hpp"
#include "platform_daemon.hpp"

DEFINE_string(config, "", "Path of the settings file (INI). Required.");
DEFINE_bool(check_config, false,
            "Check the settings file, print every error and exit.");

namespace {

constexpr int exit_usage = 2;

// Prints the errors in the settings; returns whether there are any.
bool print_errors(const std::vector<std::string>& errors) {
    for (const auto& error : errors) {
        std::cerr << "figridged: " << FLAGS_config << ": " << error << "\n";
    }
    return !errors.empty();
}

int run_with_platform_settings() {
    const auto loaded =
        figridge::platform::load_platform_settings(FLAGS_config);
    if (print_errors(loaded.errors)) {
        return exit_usage;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_config << ": ok\n";
        return 0;
    }
    return figridge::platform::run_platform_daemon(FLAGS_config, loaded);
}

} // namespace

int main(int argc, char** argv) {
    // Until there is a handler, SIGHUP would end the process. The settings are
    // read after this line, so an ignored signal misses no change.
    std::signal(SIGHUP, SIG_IGN);
    gflags::SetUsageMessage(
        "Dispatches the tasks of jobs to endpoints.\n"
        "Usage: figridged --config FILE [--check_config]\n"
        "Exit codes: 0 after a planned stop, 1 if a port can't be opened,\n"
        "2 for invalid settings, 3 if a stop aborted running work.");
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
    if (figridge::platform::is_platform_settings(FLAGS_config)) {
        return run_with_platform_settings();
    }
    const auto loaded = figridge::load_settings(FLAGS_config);
    if (print_errors(loaded.errors)) {
        return exit_usage;
    }
    if (FLAGS_check_config) {
        std::cout << FLAGS_config << ": ok\n";
        return 0;
    }
    return figridge::run_daemon(loaded.settings);
}
