// Settings of the core of one host.
//
// The daemon reads them from its INI file; tests set them directly. The parser
// ensures that all durations are positive.
#ifndef FIGRIDGE_SETTINGS_HPP
#define FIGRIDGE_SETTINGS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figridge/time.hpp"

namespace figridge {

// Policies for choosing the holder that a task is sent to.
enum class placement_policy_kind { random_holder, free_slots, rebalance };

struct host_identity {
    std::string address; // ip:port of the peer port
    std::string failure_domain;

    bool operator==(const host_identity&) const = default;
};

struct core_settings {
    host_identity self;
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    std::vector<host_identity> hosts; // every host, self included

    placement_policy_kind placement = placement_policy_kind::rebalance;
    std::uint32_t max_queued_per_slot = 40;

    duration heartbeat_interval = 250ms;
    duration suspect_after = 1500ms;
    duration resend_after = 1s;
    duration start_freshness = 2500ms;

    duration loan_term = 3s;
    duration max_task_run = 30s;
    duration clock_margin = 500ms;

    duration endpoint_probe_interval = 700ms;
    duration host_list_interval = 1s;
    duration catalogue_poll_interval = 1s;
    duration platform_timeout = 2s;
    duration key_claim_deadline = 3s;

    duration default_deadline = 60s;
    duration answer_retention = 120s;
    std::uint64_t answer_memory_bytes = 8ULL << 20;
    duration id_validity = 600s;
    std::uint32_t id_window = 1U << 20;
    duration drain_limit = 60s;
    double retry_budget_ratio = 0.1;
};

std::string_view to_string(placement_policy_kind kind);
std::optional<placement_policy_kind> parse_placement(std::string_view name);

} // namespace figridge

#endif
