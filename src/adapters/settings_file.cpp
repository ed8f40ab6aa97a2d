#include "settings_file.hpp"

#include <algorithm>
#include <fstream>
#include <optional>

#include <absl/strings/str_cat.h>
#include <boost/property_tree/ptree.hpp>

#include "ini_schema.hpp"

namespace figridge {
namespace {

using boost::property_tree::ptree;

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

void read_hosts(const ptree& section, settings_result& result) {
    for (const auto& [address, domain] : section) {
        host_identity host;
        const auto bad_address = set_address(host.address)(address);
        const auto bad_domain = set_name(host.failure_domain)(domain.data());
        for (const auto& error : {bad_address, bad_domain}) {
            if (error) {
                result.errors.push_back(
                    setting_error("hosts", address, domain.data(), *error));
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
            setting_error("hosts", core.self.address, core.self.failure_domain,
                          "this host is not listed with its failure domain"));
    }
}

} // namespace

settings_result parse_settings(std::istream& file) {
    settings_result result;
    const auto tree =
        read_ini(file, make_schema(result.settings), {"hosts"}, result.errors);
    if (const auto hosts = tree.find("hosts"); hosts != tree.not_found()) {
        read_hosts(hosts->second, result);
    }
    if (!tree.empty()) {
        check_hosts(result);
    }
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
