// The subcommands of figridgectl.
//
// Each takes its arguments without the command's name and returns the exit
// code of the tool.
#ifndef FIGRIDGE_FIGRIDGECTL_COMMANDS_HPP
#define FIGRIDGE_FIGRIDGECTL_COMMANDS_HPP

#include <string>
#include <vector>

#include "host_client.hpp"

namespace figridge {

// Exit codes, as docs/reference.md lists them.
inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_conflict = 3;
inline constexpr int exit_unreachable = 4;
inline constexpr int exit_not_in_force = 5;

struct command_options {
    bool as_json = false;
    std::uint64_t based_on = 0;
    bool has_based_on = false;
    std::string edit_id;
    std::uint32_t wait_ms = 0;
    std::uint32_t wait_slots = 0;
    std::string id;
};

using arguments = std::vector<std::string>;

int show_catalogue(host_client& host, const command_options& options);
int check_catalogue(host_client& host, const command_options& options,
                    const std::string& path);
int edit_catalogue(host_client& host, const command_options& options,
                   const std::string& path);
int watch_catalogue(host_client& host, const command_options& options,
                    std::uint64_t version);
int list_hosts(host_client& host, const command_options& options);
int list_endpoints(host_client& host, const command_options& options);
int list_jobs(host_client& host, const command_options& options);
int mark_endpoint(host_client& host, const command_options& options,
                  const std::string& address, bool leaving);
int drain_host(host_client& host, const command_options& options);
int show_state(host_client& host, const command_options& options);
int submit_job(host_client& host, const command_options& options,
               const std::string& path);
int fetch_job(host_client& host, const command_options& options,
              const std::string& id);
int cancel_job(host_client& host, const command_options& options,
               const std::string& id);

} // namespace figridge

#endif
