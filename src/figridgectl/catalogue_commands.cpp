// Subcommands that read and change the catalogue.
#include "commands.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include "output.hpp"

namespace figridge {
namespace {

constexpr duration in_force_timeout = 10s;
constexpr duration poll_interval = 100ms;

absl::StatusOr<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError(absl::StrCat(path, ": can't read"));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Returns the line of the entry and field that an error message names; 1 if
// they are not found.
std::size_t find_line(const std::string& text, const std::string& message) {
    const std::vector<std::string> parts = absl::StrSplit(message, ": ");
    const std::vector<std::string> lines = absl::StrSplit(text, '\n');
    std::size_t line = 0;
    for (const auto& part : parts) {
        const auto word =
            absl::StartsWith(part, "entry ") ? part.substr(6) : part;
        const auto quoted = absl::StrCat("\"", word, "\"");
        for (std::size_t next = line; next < lines.size(); ++next) {
            if (absl::StrContains(lines[next], quoted)) {
                line = next;
                break;
            }
        }
    }
    return line + 1;
}

std::string new_edit_id() {
    std::random_device source;
    return absl::StrFormat("%08x%08x", source(), source());
}

struct loaded_edit {
    int exit_code = exit_ok;
    catalogue_edit edit;
};

loaded_edit load_edit(const command_options& options, const std::string& path) {
    const auto text = read_file(path);
    if (!text.ok()) {
        std::cerr << "figridgectl: " << text.status().message() << "\n";
        return {exit_usage, {}};
    }
    auto value = parse_json(*text);
    if (value.ok() && value->is_object()) {
        if (options.has_based_on) {
            (*value)["based_on"] = options.based_on;
        }
        if (!options.edit_id.empty()) {
            (*value)["edit_id"] = options.edit_id;
        } else if (!value->contains("edit_id")) {
            (*value)["edit_id"] = new_edit_id();
        }
    }
    const auto edit = value.ok()
                          ? edit_from_json(*value)
                          : absl::StatusOr<catalogue_edit>(value.status());
    if (!edit.ok()) {
        const std::string message(edit.status().message());
        std::cerr << "figridgectl: " << path << ":" << find_line(*text, message)
                  << ": " << message << "\n";
        return {exit_usage, {}};
    }
    return {exit_ok, *edit};
}

struct rollout {
    std::size_t in_force = 0;
    std::vector<std::string> missing;
};

rollout measure_rollout(const json& hosts, std::uint64_t version) {
    rollout result;
    for (const auto& host : hosts) {
        const bool reached = host.value("state", "") != "gone";
        const bool has = host.value("catalogue_version", 0ULL) >= version &&
                         host.value("state", "") != "suspect";
        if (has && reached) {
            ++result.in_force;
        } else {
            result.missing.push_back(
                absl::StrCat(host.value("address", "?"), " (",
                             host.value("state", "?"), ")"));
        }
    }
    return result;
}

std::string shares_text(const domain_shares& shares) {
    std::string text;
    for (const auto& [domain, share] : shares) {
        absl::StrAppend(&text, text.empty() ? "" : ",", domain, "=", share);
    }
    return text.empty() ? "unlimited" : text;
}

} // namespace

int show_catalogue(host_client& host, const command_options& options) {
    const auto reply = host.call("GET", "/v1/catalogue");
    if (!reply.is_ok()) {
        return report_failure(reply);
    }
    if (options.as_json) {
        std::cout << dump_json(reply.body, 2) << "\n";
        return exit_ok;
    }
    std::cout << "version " << reply.body.at("version") << "\n";
    json rows = json::array();
    for (const auto& item : reply.body.at("entries")) {
        const auto entry = entry_from_json(item);
        if (!entry.ok()) {
            rows.push_back(item); // a route in the platform's catalogue
            continue;
        }
        rows.push_back({{"name", entry->name},
                        {"owner", entry->owner},
                        {"class", entry->work_class},
                        {"task_deadline_ms", entry->task_deadline_ms},
                        {"running", shares_text(entry->running_tasks)},
                        {"starts/s", shares_text(entry->starts_per_second)},
                        {"queued", shares_text(entry->queued_tasks)}});
    }
    print_table(rows, {"name", "owner", "class", "task_deadline_ms", "running",
                       "starts/s", "queued", "pool", "host", "path_prefix",
                       "priority", "attempts", "stretch", "latency_target_ms",
                       "timeout_ms"});
    return exit_ok;
}

int check_catalogue(host_client& host, const command_options& options,
                    const std::string& path) {
    auto checked = options;
    checked.has_based_on = true;
    const auto loaded = load_edit(checked, path);
    if (loaded.exit_code != exit_ok) {
        return loaded.exit_code;
    }
    const auto reply = host.call("POST", "/v1/catalogue/check",
                                 dump_json(to_json(loaded.edit)));
    if (!reply.is_ok()) {
        return report_failure(reply);
    }
    std::cout << path << ": valid\n";
    return exit_ok;
}

int edit_catalogue(host_client& host, const command_options& options,
                   const std::string& path) {
    const auto loaded = load_edit(options, path);
    if (loaded.exit_code != exit_ok) {
        return loaded.exit_code;
    }
    const auto reply =
        host.call("POST", "/v1/catalogue", dump_json(to_json(loaded.edit)));
    if (!reply.is_ok()) {
        return report_failure(reply);
    }
    const auto version = reply.body.at("version").get<std::uint64_t>();
    if (options.as_json) {
        std::cout << dump_json(reply.body) << "\n";
    } else {
        std::cout << "stored version " << version << "\n";
    }
    return watch_catalogue(host, options, version);
}

int watch_catalogue(host_client& host, const command_options& options,
                    std::uint64_t version) {
    const auto wait_until = event_loop::now() + in_force_timeout;
    rollout seen;
    while (true) {
        const auto reply = host.call("GET", "/v1/hosts");
        if (!reply.is_ok()) {
            return report_failure(reply);
        }
        seen = measure_rollout(reply.body, version);
        if (seen.missing.empty() || event_loop::now() >= wait_until) {
            break;
        }
        host.pause(poll_interval);
    }
    const auto total = seen.in_force + seen.missing.size();
    if (options.as_json) {
        std::cout << dump_json({{"version", version},
                                {"in_force", seen.in_force},
                                {"hosts", total},
                                {"not_reached", seen.missing}})
                  << "\n";
    } else {
        std::cout << "version " << version << " in force on " << seen.in_force
                  << " of " << total << " hosts\n";
        for (const auto& missing : seen.missing) {
            std::cout << "not in force on " << missing << "\n";
        }
    }
    return seen.missing.empty() ? exit_ok : exit_not_in_force;
}

} // namespace figridge
