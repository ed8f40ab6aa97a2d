#include "settings_file.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <optional>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include "socket_address.hpp"

namespace figridge {
namespace {

using boost::property_tree::ptree;

// Takes a value; returns what is wrong with it, or nothing.
using setter =
    std::function<std::optional<std::string>(const std::string& value)>;

struct setting {
    std::string section;
    std::string key;
    bool required = false;
    setter set;
};

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

template <typename Number>
setter set_number(Number& target, std::uint64_t least, std::uint64_t most) {
    return [&target, least,
            most](const std::string& value) -> std::optional<std::string> {
        std::uint64_t number = 0;
        if (!absl::SimpleAtoi(value, &number) || number < least ||
            number > most) {
            return absl::StrCat("expected a whole number from ", least, " to ",
                                most);
        }
        target = static_cast<Number>(number);
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

setter set_placement(placement_policy_kind& target) {
    return [&target](const std::string& value) -> std::optional<std::string> {
        const auto kind = parse_placement(value);
        if (!kind) {
            return "expected random_holder, free_slots or rebalance";
        }
        target = *kind;
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

constexpr std::uint64_t hour_ms = 3'600'000;

std::vector<setting> make_schema(daemon_settings& target) {
    auto& core = target.core;
    return {
        {"host", "address", true, set_address(core.self.address)},
        {"host", "failure_domain", true, set_name(core.self.failure_domain)},
        {"host", "callers", true, set_address(target.callers_address)},
        {"platform", "address", true, set_address(target.platform_address)},
        {"platform", "timeout_ms", false,
         set_ms(core.platform_timeout, 10, 60'000)},
        {"platform", "poll_ms", false,
         set_ms(core.catalogue_poll_interval, 50, 60'000)},
        {"placement", "policy", false, set_placement(core.placement)},
        {"placement", "max_queued_per_slot", false,
         set_number(core.max_queued_per_slot, 1, 10'000)},
        {"timing", "heartbeat_ms", false,
         set_ms(core.heartbeat_interval, 10, 10'000)},
        {"timing", "suspect_after_ms", false,
         set_ms(core.suspect_after, 50, 60'000)},
        {"timing", "endpoint_probe_ms", false,
         set_ms(core.endpoint_probe_interval, 50, 2'000)},
        {"timing", "default_deadline_ms", false,
         set_ms(core.default_deadline, 100, 600'000)},
        {"timing", "drain_limit_ms", false,
         set_ms(core.drain_limit, 100, hour_ms)},
        {"answers", "retention_ms", false,
         set_ms(core.answer_retention, 100, 24 * hour_ms)},
        {"answers", "memory_bytes", false,
         set_number(core.answer_memory_bytes, 1 << 16, 1ULL << 34)},
        {"answers", "id_validity_ms", false,
         set_ms(core.id_validity, 1000, 24 * hour_ms)},
        {"callers", "max_body_bytes", false,
         set_number(target.max_body_bytes, 1024, 1ULL << 28)},
        {"log", "level", false, set_log_level(target.log_level)},
        {"debug", "allow_cut", false, set_flag(target.allow_cut)},
        {"debug", "seed", false, set_number(core.seed, 0, ~std::uint64_t{0})},
    };
}

std::string describe(const std::string& section, const std::string& key,
                     const std::string& value, const std::string& what) {
    return absl::StrCat("[", section, "] ", key, " = \"", value, "\": ", what);
}

void read_hosts(const ptree& section, settings_result& result) {
    for (const auto& [address, domain] : section) {
        host_identity host;
        const auto bad_address = set_address(host.address)(address);
        const auto bad_domain = set_name(host.failure_domain)(domain.data());
        for (const auto& error : {bad_address, bad_domain}) {
            if (error) {
                result.errors.push_back(
                    describe("hosts", address, domain.data(), *error));
            }
        }
        result.settings.core.hosts.push_back(host);
    }
}

void check_hosts(settings_result& result) {
    const auto& core = result.settings.core;
    const auto self =
        std::find(core.hosts.begin(), core.hosts.end(), core.self);
    if (self == core.hosts.end() && !core.self.address.empty()) {
        result.errors.push_back(
            describe("hosts", core.self.address, core.self.failure_domain,
                     "this host is not listed with its failure domain"));
    }
}

} // namespace

settings_result parse_settings(std::istream& file) {
    settings_result result;
    ptree tree;
    try {
        boost::property_tree::read_ini(file, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        result.errors.push_back(
            absl::StrCat("line ", error.line(), ": ", error.message()));
        return result;
    }
    const auto schema = make_schema(result.settings);
    std::map<std::pair<std::string, std::string>, const setting*> open;
    for (const auto& item : schema) {
        open[{item.section, item.key}] = &item;
    }
    for (const auto& [section, keys] : tree) {
        if (keys.empty() && !keys.data().empty()) {
            result.errors.push_back(
                describe("", section, keys.data(), "key outside a section"));
            continue;
        }
        if (section == "hosts") {
            read_hosts(keys, result);
            continue;
        }
        for (const auto& [key, value] : keys) {
            const auto found = open.find({section, key});
            if (found == open.end()) {
                result.errors.push_back(
                    describe(section, key, value.data(), "unknown key"));
            } else if (const auto error = found->second->set(value.data())) {
                result.errors.push_back(
                    describe(section, key, value.data(), *error));
            }
        }
    }
    for (const auto& item : schema) {
        const auto section = tree.find(item.section);
        const bool given =
            section != tree.not_found() && section->second.count(item.key) > 0;
        if (item.required && !given) {
            result.errors.push_back(
                describe(item.section, item.key, "", "missing"));
        }
    }
    check_hosts(result);
    return result;
}

settings_result load_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        settings_result result;
        result.errors.push_back(absl::StrCat("can't read ", path));
        return result;
    }
    return parse_settings(file);
}

} // namespace figridge
