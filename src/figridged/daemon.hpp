// One figridged process: the core, its adapters and signal handling.
#ifndef FIGRIDGE_FIGRIDGED_DAEMON_HPP
#define FIGRIDGE_FIGRIDGED_DAEMON_HPP

#include "adapters/settings_file.hpp"

namespace figridge {

// Runs until a drain has ended. Returns the exit code.
int run_daemon(const daemon_settings& settings);

} // namespace figridge

#endif
