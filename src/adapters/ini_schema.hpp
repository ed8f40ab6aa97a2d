// Reads and validates INI files against a table of settings, each with a
// function that parses and stores its value.
//
// Every error is reported, with section, key and value; unknown sections and
// keys are errors. All functions are thread-safe.
#ifndef FIGRIDGE_ADAPTERS_INI_SCHEMA_HPP
#define FIGRIDGE_ADAPTERS_INI_SCHEMA_HPP

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/property_tree/ptree.hpp>

#include "figridge/time.hpp"

namespace figridge {

// Parses and stores a value; returns an error message if it is invalid.
using setter =
    std::function<std::optional<std::string>(const std::string& value)>;

struct setting {
    std::string section;
    std::string key;
    bool required = false;
    setter set;
};

setter set_address(std::string& target);
// A list of addresses, separated by commas; it may be empty.
setter set_addresses(std::vector<std::string>& target);
setter set_name(std::string& target);
// A list of names, separated by commas.
setter set_names(std::vector<std::string>& target);
setter set_ms(duration& target, std::uint64_t min, std::uint64_t max);
setter set_flag(bool& target);
setter set_fraction(double& target, double min, double max);
setter set_log_level(std::string& target);
// `on` or `off`.
setter set_switch(bool& target);

template <typename Number>
setter set_number(Number& target, std::uint64_t min, std::uint64_t max) {
    return [&target, min,
            max](const std::string& value) -> std::optional<std::string> {
        std::uint64_t number = 0;
        if (!absl::SimpleAtoi(value, &number) || number < min || number > max) {
            return absl::StrCat("expected a whole number from ", min, " to ",
                                max);
        }
        target = static_cast<Number>(number);
        return std::nullopt;
    };
}

// Formats an error message about a setting.
std::string setting_error(const std::string& section, const std::string& key,
                          const std::string& value, const std::string& problem);

// Reads a file and applies the schema; appends error messages to `errors`.
// Sections in `unchecked_sections` are returned without checks.
boost::property_tree::ptree
read_ini(std::istream& file, const std::vector<setting>& schema,
         const std::vector<std::string>& unchecked_sections,
         std::vector<std::string>& errors);

} // namespace figridge

#endif
