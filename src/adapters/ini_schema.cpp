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

// Applies a setter of one value to each part of a list.
template <typename One>
setter set_list(std::vector<std::string>& target, One set_one) {
    return [&target,
            set_one](const std::string& value) -> std::optional<std::string> {
        std::vector<std::string> parts;
        for (const auto part :
             absl::StrSplit(value, ',', absl::SkipWhitespace())) {
            std::string one;
            const std::string text(absl::StripAsciiWhitespace(part));
            if (auto error = set_one(one)(text)) {
                return absl::StrCat(text, ": ", *error);
            }
            parts.push_back(one);
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
        const bool usable = !value.empty() &&
                            value.find('~') == std::string::npos &&
                            value.find_first_of(" \t/") == std::string::npos;
        if (!usable) {
            return "expected a name without blanks, '/' and '~'";
        }
        target = value;
        return std::nullopt;
    };
}

setter set_ms(duration& target, std::uint64_t least, std::uint64_t most) {
    return [&target, least,
            most](const std::string& value) -> std::optional<std::string> {
        std::uint64_t number = 0;
        auto error = set_number(number, least, most)(value);
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

setter set_fraction(double& target, double least, double most) {
    return [&target, least,
            most](const std::string& value) -> std::optional<std::string> {
        double number = 0;
        if (!absl::SimpleAtod(value, &number) ||
            !(number >= least && number <= most)) {
            return absl::StrCat("expected a number from ", least, " to ", most);
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

std::string describe_setting(const std::string& section, const std::string& key,
                             const std::string& value,
                             const std::string& what) {
    return absl::StrCat("[", section, "] ", key, " = \"", value, "\": ", what);
}

ptree read_ini(std::istream& file, const std::vector<setting>& schema,
               const std::vector<std::string>& free_sections,
               std::vector<std::string>& errors) {
    ptree tree;
    try {
        boost::property_tree::read_ini(file, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        errors.push_back(
            absl::StrCat("line ", error.line(), ": ", error.message()));
        return {};
    }
    std::map<std::pair<std::string, std::string>, const setting*> open;
    for (const auto& item : schema) {
        open[{item.section, item.key}] = &item;
    }
    for (const auto& [section, keys] : tree) {
        if (keys.empty() && !keys.data().empty()) {
            errors.push_back(describe_setting("", section, keys.data(),
                                              "key outside a section"));
            continue;
        }
        if (std::find(free_sections.begin(), free_sections.end(), section) !=
            free_sections.end()) {
            continue;
        }
        for (const auto& [key, value] : keys) {
            const auto found = open.find({section, key});
            if (found == open.end()) {
                errors.push_back(describe_setting(section, key, value.data(),
                                                  "unknown key"));
            } else if (const auto error = found->second->set(value.data())) {
                errors.push_back(
                    describe_setting(section, key, value.data(), *error));
            }
        }
    }
    for (const auto& item : schema) {
        const auto section = tree.find(item.section);
        const bool given =
            section != tree.not_found() && section->second.count(item.key) > 0;
        if (item.required && !given) {
            errors.push_back(
                describe_setting(item.section, item.key, "", "missing"));
        }
    }
    return tree;
}

} // namespace figridge
