#include "fleet_matrix.hpp"

#include <absl/strings/str_cat.h>

namespace figridge::dispatch::fleet {
namespace {

constexpr duration startup_time = 2s;
constexpr duration time_after_faults = 2s;
// A start is judged by a former capacity for less than this.
constexpr duration former_capacity_time = 5s;
// The first late starts are executed after 2 s.
constexpr duration late_instance_time = 2s;
// Starts are judged from 5 s after the operator's write on.
constexpr duration evacuation_time = 6s;

using target_action = std::function<void(virtual_fleet&, std::size_t)>;

fleet_fault on_host(std::string name, target_action begin, target_action end) {
    const auto pick = [](const target_action& action) -> target_action {
        return [action](virtual_fleet& fleet, std::size_t target) {
            action(fleet, target % fleet.host_count());
        };
    };
    return {std::move(name), pick(begin), pick(end)};
}

fleet_fault on_endpoint(std::string name, target_action begin,
                        target_action end) {
    const auto pick = [](const target_action& action) -> target_action {
        return [action](virtual_fleet& fleet, std::size_t target) {
            action(fleet, target % fleet.endpoint_count());
        };
    };
    return {std::move(name), pick(begin), pick(end)};
}

void no_action(virtual_fleet& /*fleet*/, std::size_t /*target*/) {}

void heal(virtual_fleet& fleet, std::size_t /*target*/) {
    fleet.heal();
}

void heal_unevenly(virtual_fleet& fleet, std::size_t /*target*/) {
    fleet.heal_unevenly();
}

void start(virtual_fleet& fleet, std::size_t target) {
    fleet.start_host(target);
}

void restore_endpoint(virtual_fleet& fleet, std::size_t target) {
    fleet.set_mode(target, endpoint_mode::normal);
    fleet.set_slowness(target, 1.0);
}

target_action mode(endpoint_mode wanted) {
    return [wanted](virtual_fleet& fleet, std::size_t target) {
        fleet.set_mode(target, wanted);
    };
}

fleet_fault on_store(std::string name, store_mode wanted) {
    return {std::move(name),
            [wanted](virtual_fleet& fleet, std::size_t /*target*/) {
                fleet.set_store(wanted);
            },
            [](virtual_fleet& fleet, std::size_t /*target*/) {
                fleet.set_store(store_mode::up);
            }};
}

// Shrinks a third of the endpoints, or all if the target is a multiple of 4.
fleet_fault shrinking(std::string name, bool enforced) {
    const auto each = [](virtual_fleet& fleet, std::size_t target,
                         const std::function<void(std::size_t)>& act) {
        for (std::size_t i = 0; i < fleet.endpoint_count(); ++i) {
            if (target % 4 == 0 || i % 3 == target % 3) {
                act(i);
            }
        }
    };
    return {std::move(name),
            [each, enforced](auto& fleet, auto target) {
                each(fleet, target, [&fleet, enforced](std::size_t i) {
                    fleet.shrink_capacity(i, enforced);
                });
            },
            [each](auto& fleet, auto target) {
                each(fleet, target,
                     [&fleet](std::size_t i) { fleet.restore_capacity(i); });
            },
            former_capacity_time};
}

std::vector<fleet_fault> make_faults() {
    std::vector<fleet_fault> faults;
    faults.push_back(on_host(
        "kill",
        [](auto& fleet, auto target) { fleet.kill_host(target, false); },
        start));
    faults.push_back(on_host(
        "power_off",
        [](auto& fleet, auto target) { fleet.kill_host(target, true); },
        start));
    faults.push_back({"kill_all",
                      [](auto& fleet, auto target) {
                          for (std::size_t i = 0; i < fleet.host_count(); ++i) {
                              fleet.kill_host(i, target % 2 == 0);
                          }
                      },
                      [](auto& fleet, auto /*target*/) {
                          for (std::size_t i = 0; i < fleet.host_count(); ++i) {
                              fleet.start_host(i);
                          }
                      }});
    faults.push_back(on_host(
        "freeze", [](auto& fleet, auto target) { fleet.freeze_host(target); },
        [](auto& fleet, auto target) { fleet.thaw_host(target); }));
    faults.push_back({"freeze_most",
                      [](auto& fleet, auto target) {
                          for (std::size_t i = 1; i < fleet.host_count(); ++i) {
                              fleet.freeze_host((target + i) %
                                                fleet.host_count());
                          }
                      },
                      [](auto& fleet, auto /*target*/) {
                          for (std::size_t i = 0; i < fleet.host_count(); ++i) {
                              fleet.thaw_host(i);
                          }
                      }});
    faults.push_back(on_host(
        "stop", [](auto& fleet, auto target) { fleet.stop_host(target); },
        no_action));
    faults.push_back(on_host(
        "stop_two",
        [](auto& fleet, auto target) {
            fleet.stop_host(target);
            fleet.stop_host((target + 1) % fleet.host_count());
        },
        no_action));
    faults.push_back(on_host(
        "cut_host", [](auto& fleet, auto target) { fleet.cut_host(target); },
        heal));
    faults.push_back(on_host(
        "cut_store",
        [](auto& fleet, auto target) { fleet.cut_store_from(target); }, heal));
    faults.push_back(
        {"cut_domain",
         [](auto& fleet, auto target) { fleet.cut_domain(target % 3); }, heal});
    faults.push_back({"reset_links",
                      [](auto& fleet, auto /*target*/) { fleet.reset_links(); },
                      no_action});
    faults.push_back(on_endpoint("fail_all", mode(endpoint_mode::fail_all),
                                 restore_endpoint));
    faults.push_back(
        on_endpoint("shed", mode(endpoint_mode::shed), restore_endpoint));
    faults.push_back(
        on_endpoint("mute", mode(endpoint_mode::mute), restore_endpoint));
    faults.push_back(on_endpoint(
        "slow", [](auto& fleet, auto target) { fleet.set_slowness(target, 8); },
        restore_endpoint));
    faults.push_back(on_endpoint(
        "crash", [](auto& fleet, auto target) { fleet.crash_endpoint(target); },
        no_action));
    faults.push_back(on_endpoint(
        "drain",
        [](auto& fleet, auto target) { fleet.drain_endpoint(target, true); },
        [](auto& fleet, auto target) { fleet.drain_endpoint(target, false); }));
    faults.push_back(on_endpoint(
        "cut_endpoint",
        [](auto& fleet, auto target) { fleet.cut_endpoint(target); }, heal));
    faults.push_back(
        {"late_orders",
         [](auto& fleet, auto /*target*/) { fleet.set_late_share(0.2); },
         [](auto& fleet, auto /*target*/) { fleet.set_late_share(0.0); }});
    faults.push_back(
        {"lost_answers",
         [](auto& fleet, auto /*target*/) { fleet.set_lost_share(0.3); },
         [](auto& fleet, auto /*target*/) { fleet.set_lost_share(0.0); }});
    faults.push_back(on_store("store_silent", store_mode::silent));
    faults.push_back(on_store("store_busy", store_mode::busy));
    faults.push_back(on_store("store_lossy", store_mode::lossy));
    faults.push_back({"cut_domain_uneven",
                      [](auto& fleet, auto target) {
                          fleet.queue_calls_during_cuts();
                          fleet.cut_domain(target % 3);
                      },
                      heal_unevenly});
    faults.push_back(on_host(
        "cut_host_uneven",
        [](auto& fleet, auto target) {
            fleet.queue_calls_during_cuts();
            fleet.cut_host(target);
        },
        heal_unevenly));
    faults.push_back(on_host(
        "slow_host",
        [](auto& fleet, auto target) { fleet.slow_host(target, true); },
        [](auto& fleet, auto target) { fleet.slow_host(target, false); }));
    faults.push_back(on_host(
        "cut_peers",
        [](auto& fleet, auto target) { fleet.cut_peers_from(target); },
        heal_unevenly));
    faults.push_back(
        {"delayed_calls",
         [](auto& fleet, auto /*target*/) { fleet.set_delayed_share(0.3); },
         [](auto& fleet, auto /*target*/) { fleet.set_delayed_share(0.0); }});
    faults.push_back(on_host(
        "freeze_for_long",
        [](auto& fleet, auto target) { fleet.freeze_host_for_long(target); },
        no_action));
    faults.push_back(
        {"late_stops",
         [](auto& fleet, auto /*target*/) { fleet.set_late_orders(0.0, 1.0); },
         [](auto& fleet, auto /*target*/) {
             fleet.set_late_orders(0.0, 0.0);
         }});
    faults.push_back(
        {"late_starts_and_stops",
         [](auto& fleet, auto /*target*/) { fleet.set_late_orders(0.2, 1.0); },
         [](auto& fleet, auto /*target*/) {
             fleet.set_late_orders(0.0, 0.0);
         }});
    faults.push_back(shrinking("shrinking_capacity", false));
    faults.push_back(shrinking("shrinking_capacity_enforced", true));
    faults.push_back(
        {"deadly_tasks",
         [](auto& fleet, auto /*target*/) { fleet.set_deadly_share(0.15); },
         [](auto& fleet, auto /*target*/) { fleet.set_deadly_share(0.0); }});
    // A third of the endpoints, or all if the target is a multiple of 4.
    const auto each = [](virtual_fleet& fleet, std::size_t target,
                         void (virtual_fleet::*act)(std::size_t)) {
        for (std::size_t i = 0; i < fleet.endpoint_count(); ++i) {
            if (target % 4 == 0 || i % 3 == target % 3) {
                (fleet.*act)(i);
            }
        }
    };
    faults.push_back(
        {"late_instances",
         [each](auto& fleet, auto target) {
             each(fleet, target, &virtual_fleet::begin_late_instance);
         },
         [each](auto& fleet, auto target) {
             each(fleet, target, &virtual_fleet::end_late_instance);
         },
         late_instance_time});
    faults.push_back({"evacuate",
                      [](auto& fleet, auto target) {
                          fleet.evacuate_domain(target % 3, true);
                      },
                      [](auto& fleet, auto target) {
                          fleet.evacuate_domain(target % 3, false);
                      },
                      evacuation_time});
    return faults;
}

} // namespace

const std::vector<fleet_fault>& all_fleet_faults() {
    static const auto faults = make_faults();
    return faults;
}

std::string describe(const fleet_run& run) {
    std::string text;
    for (const auto& step : run.steps) {
        absl::StrAppend(&text, step.fault->name, "(", step.target, ")@",
                        to_ms(step.at), "ms+", to_ms(step.lasts), " ");
    }
    return absl::StrCat(text, "seed=", run.seed,
                        " jobs_per_s=", run.jobs_per_s);
}

fleet_run plan_run(std::uint64_t seed, const std::vector<std::size_t>& faults) {
    std::mt19937_64 random(seed * 7919);
    fleet_run run;
    run.seed = seed;
    duration at{500'000};
    for (const auto number : faults) {
        fleet_step step;
        step.fault = &all_fleet_faults()[number];
        step.target = random() % 90;
        at += std::chrono::milliseconds(random() % 900);
        step.at = at;
        step.lasts = std::chrono::milliseconds(150 + random() % 3500) +
                     step.fault->at_least;
        run.steps.push_back(step);
    }
    return run;
}

fleet_result execute_run(const fleet_run& run, bool keep_log) {
    virtual_fleet fleet(run.seed, run.size);
    fleet.keep_log = keep_log;
    fleet.check_grants = run.check_grants;
    fleet.end_connections = run.end_connections;
    if (keep_log) {
        fleet.observed.trace = [&fleet](const std::string& line) {
            fleet.note(line);
        };
    }
    fleet.run_for(startup_time);
    fleet.begin_load(run.jobs_per_s);
    std::multimap<duration, std::function<void()>> actions;
    for (const auto& step : run.steps) {
        actions.emplace(step.at,
                        [&] { step.fault->begin(fleet, step.target); });
        actions.emplace(step.at + step.lasts,
                        [&] { step.fault->end(fleet, step.target); });
    }
    duration passed{0};
    for (const auto& [when, action] : actions) {
        fleet.run_for(when - passed);
        passed = when;
        action();
    }
    fleet.run_for(time_after_faults);
    fleet.finish();
    return {fleet.observed.violations, fleet.log,
            fleet.jobs_sent,           fleet.jobs_completed,
            fleet.jobs_timed_out,      fleet.observed.lapsed};
}

} // namespace figridge::dispatch::fleet
