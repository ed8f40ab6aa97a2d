// Scenarios in which a holder that is cut off sends a start to an endpoint that
// has restarted unnoticed, or restarts right after the start.
//
// Guards against two runs: the start opened a connection to the later instance,
// on whose clock its deadline lies far ahead and which knew no token. It was
// carried out seconds later, after the job had come again at another host, and
// nobody on that side could know of it.
#include <algorithm>

#include <absl/strings/str_cat.h>

#include "order_model.hpp"

namespace figridge::dispatch::orders {
namespace {

constexpr duration cut_at = 100ms;
constexpr std::size_t holder = 1;

// `age`: how long before the start the instance of endpoint 0 began.
// `into_cut`: how long after the cut the job is submitted.
scenario start_in_a_cut(duration age, duration into_cut) {
    using enum action_kind;
    scenario plan;
    plan.name = absl::StrCat("start_on_an_instance_of_", to_ms(age), "_ms_",
                             to_ms(into_cut), "_ms_into_a_cut");
    plan.holders = {holder, holder};
    plan.run_ms = 2500;
    const auto submitted_at = cut_at + into_cut;
    plan.steps = {{cut_at, cut, holder},
                  {submitted_at - age, crash_unlisted, 0},
                  {submitted_at, submit, holder},
                  // The start is on its way by then, and nobody else hears of
                  // the instance before it is carried out.
                  {submitted_at + 4ms, cut_endpoint, 0, 0},
                  {submitted_at + 4ms, cut_endpoint, 1, 0},
                  {submitted_at + 4ms, cut_endpoint, 1, 1},
                  {submitted_at + 4ms, cut_endpoint, 2, 0},
                  {submitted_at + 20ms, leave},
                  {5000ms, heal}};
    std::stable_sort(plan.steps.begin(), plan.steps.end(),
                     [](const scenario_step& a, const scenario_step& b) {
                         return a.at < b.at;
                     });
    plan.length = 7s;
    plan.latest_call = 3800ms;
    plan.connections_end = true;
    return plan;
}

// Guards against two runs: the endpoint restarts after the start was passed on
// to it, and the later instance carries that out. The platform lists the
// restart, so hosts that don't hear the holder know of it.
scenario start_before_a_restart(duration restart_after) {
    using enum action_kind;
    auto plan = start_in_a_cut(6ms, 300ms);
    plan.name = absl::StrCat("start_", to_ms(restart_after),
                             "_ms_before_a_restart_in_a_cut");
    const auto submitted_at = cut_at + 300ms;
    std::erase_if(plan.steps, [](const scenario_step& step) {
        return step.kind == crash_unlisted;
    });
    plan.steps.push_back({submitted_at + restart_after, crash, 0});
    std::stable_sort(plan.steps.begin(), plan.steps.end(),
                     [](const scenario_step& a, const scenario_step& b) {
                         return a.at < b.at;
                     });
    plan.starts_outlast_instances = true;
    return plan;
}

scenario with_step(scenario plan, const char* suffix,
                   const scenario_step& step) {
    absl::StrAppend(&plan.name, "_", suffix);
    plan.steps.insert(plan.steps.begin(), step);
    return plan;
}

} // namespace

void add_unknown_instance_scenarios(std::vector<scenario>& all) {
    using enum action_kind;
    for (const auto into_cut : {20ms, 150ms, 300ms, 370ms}) {
        all.push_back(start_in_a_cut(6ms, into_cut));
    }
    for (const auto age : {20ms, 300ms, 600ms}) {
        all.push_back(start_in_a_cut(age, 300ms));
    }
    const auto plan = start_in_a_cut(6ms, 300ms);
    all.push_back(
        with_step(plan, "without_the_store", {cut_at, cut_store, holder}));
    all.push_back(
        with_step(plan, "of_two", {cut_at + 290ms, crash_unlisted, 1}));
    for (const auto restart_after : {5ms, 100ms, 600ms}) {
        all.push_back(start_before_a_restart(restart_after));
    }
    // No other endpoint of its failure domain can tell that this is not cut
    // off.
    auto apart = start_before_a_restart(100ms);
    apart.name += "_of_a_lone_endpoint";
    apart.endpoints_apart = true;
    all.push_back(apart);
    // The other host of the cut-off failure domain goes on hearing the holder.
    auto domain = plan;
    domain.name += "_of_a_domain";
    domain.hosts = 4;
    domain.steps.erase(domain.steps.begin());
    for (const std::size_t inside : {1, 3}) {
        for (const std::size_t outside : {0, 2}) {
            domain.steps.insert(domain.steps.begin(),
                                {{cut_at, cut_link, inside, outside},
                                 {cut_at, cut_link, outside, inside}});
        }
    }
    all.push_back(domain);
}

} // namespace figridge::dispatch::orders
