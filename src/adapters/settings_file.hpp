// The daemon's settings file, in INI form.
//
// All errors in a file are reported, each with section, key and value; unknown
// sections and keys are errors.
#ifndef FIGRIDGE_ADAPTERS_SETTINGS_FILE_HPP
#define FIGRIDGE_ADAPTERS_SETTINGS_FILE_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "figridge/settings.hpp"

namespace figridge {

struct daemon_settings {
    core_settings core;
    std::string callers_address;  // ip:port for callers and operators
    std::string platform_address; // ip:port of the table service
    std::string log_level = "info";
    std::uint32_t max_body_bytes = 8U << 20;
    bool allow_cut = false; // accept the debug command that cuts off peers
};

struct settings_result {
    daemon_settings settings;
    std::vector<std::string> errors; // empty if the settings are usable
};

// Reads and validates a whole file. Thread-safe.
settings_result parse_settings(std::istream& file);
settings_result load_settings(const std::string& path);

} // namespace figridge

#endif
