#include "ini_schema.hpp"

#include <algorithm>
#include <map>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <boost/property_tree/ini_parser.hpp>

#include "socket_address.hpp"

namespace figridge {
namespace {

using boost::property_tree::ptree;

// Applies the setter of one element to each part of a list.
template <typename ElementSetter>
setter set_list(std::vector<std::string>& target, ElementSetter set_element) {
    return [&target, set_element](
               const std::string& value) -> std::optional<std::string> {
        std::vector<std::string> parts;
        for (const auto part :
             absl::StrSplit(value, ',', absl::SkipWhitespace())) {
            std::string element;
            const std::string text(absl::StripAsciiWhitespace(part));
            if (auto error = set_element(element)(text)) {
                return absl::StrCat(text, ": ", *error);
            }
            parts.push_back(element);
        }
        target = std::move(parts);
        return std::nullopt;
    };
}

} // namespace

setter set_address(std::string& target) {
    return [&target](const std::string& value) -> std::optional<std::string> {
        if (const auto parsed = parse_socket_address(value); !parsed.ok()) {
            return std::string(parsed.status().message());
        }
        target = value;
        return std::nullopt;
    };
}

setter set_name(std::string& target) {
    return [&target](const std::string& value) -> std::optional<std::string> {
        const bool valid = !value.empty() &&
                           value.find('~') == std::string::npos &&
                           value.find_first_of(" \t/") == std::string::npos;
        if (!valid) {
            return "expected a name without spaces, tabs, '/' and '~'";
        }
        target = value;
        return std::nullopt;
    };
}

setter set_ms(duration& target, std::uint64_t min, std::uint64_t max) {
    return [&target, min,
            max](const std::string& value) -> std::optional<std::string> {
        std::uint64_t number = 0;
        auto error = set_number(number, min, max)(value);
        if (!error) {
            target = std::chrono::milliseconds(number);
        }
        return error;
    };
}

setter set_flag(bool& target) {
    return [&target](const std::string& value) -> std::optional<std::string> {
        if (value != "true" && value != "false") {
            return "expected true or false";
        }
        target = value == "true";
        return std::nullopt;
    };
}

setter set_addresses(std::vector<std::string>& target) {
    return set_list(target, &set_address);
}

setter set_names(std::vector<std::string>& target) {
    return set_list(target, &set_name);
}

setter set_fraction(double& target, double min, double max) {
    return [&target, min,
            max](const std::string& value) -> std::optional<std::string> {
        double number = 0;
        if (!absl::SimpleAtod(value, &number) ||
            !(number >= min && number <= max)) {
            return absl::StrCat("expected a number from ", min, " to ", max);
        }
        target = number;
        return std::nullopt;
    };
}

setter set_log_level(std::string& target) {
    return [&target](const std::string& value) -> std::optional<std::string> {
        const std::vector<std::string> levels{"debug", "info", "warning",
                                              "error"};
        if (std::find(levels.begin(), levels.end(), value) == levels.end()) {
            return "expected debug, info, warning or error";
        }
        target = value;
        return std::nullopt;
    };
}

setter set_switch(bool& target) {
    return [&target](const std::string& value) -> std::optional<std::string> {
        if (value != "on" && value != "off") {
            return "expected on or off";
        }
        target = value == "on";
        return std::nullopt;
    };
}

std::string setting_error(const std::string& section, const std::string& key,
                          const std::string& value,
                          const std::string& problem) {
    return absl::StrCat("[", section, "] ", key, " = \"", value,
                        "\": ", problem);
}

ptree read_ini(std::istream& file, const std::vector<setting>& schema,
               const std::vector<std::string>& unchecked_sections,
               std::vector<std::string>& errors) {
    ptree tree;
    try {
        boost::property_tree::read_ini(file, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        errors.push_back(
            absl::StrCat("line ", error.line(), ": ", error.message()));
        return {};
    }
    std::map<std::pair<std::string, std::string>, const setting*> known;
    for (const auto& item : schema) {
        known[{item.section, item.key}] = &item;
    }
    for (const auto& [section, keys] : tree) {
        if (keys.empty() && !keys.data().empty()) {
            errors.push_back(setting_error("", section, keys.data(),
                                           "key outside a section"));
            continue;
        }
        if (std::find(unchecked_sections.begin(), unchecked_sections.end(),
                      section) != unchecked_sections.end()) {
            continue;
        }
        for (const auto& [key, value] : keys) {
            const auto found = known.find({section, key});
            if (found == known.end()) {
                errors.push_back(
                    setting_error(section, key, value.data(), "unknown key"));
            } else if (const auto error = found->second->set(value.data())) {
                errors.push_back(
                    setting_error(section, key, value.data(), *error));
            }
        }
    }
    for (const auto& item : schema) {
        const auto section = tree.find(item.section);
        const bool given =
            section != tree.not_found() && section->second.count(item.key) > 0;
        if (item.required && !given) {
            errors.push_back(
                setting_error(item.section, item.key, "", "missing"));
        }
    }
    return tree;
}

} // namespace figridge
