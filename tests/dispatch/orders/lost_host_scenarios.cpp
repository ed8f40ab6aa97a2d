// A start on an instance that nobody knows, carried out late, whose holder and
// another host that could know of it are lost; and former holders beside an
// endpoint that starts again more than once.
#include <algorithm>

#include "order_model.hpp"

namespace figridge::dispatch::orders {
namespace {

using enum action_kind;

// The job at host `coordinator`, its start on an unlisted instance, and no host
// that reaches endpoint 0 after that, up to a `heal`. Then `lost`.
scenario late_start(const std::string& name, std::size_t hosts,
                    std::size_t holder, std::size_t coordinator,
                    const std::vector<scenario_step>& lost) {
    scenario plan{name,
                  hosts,
                  {holder, hosts - 1},
                  2500,
                  1,
                  false,
                  {{100ms, crash_unlisted, 0}, {106ms, submit, coordinator}},
                  6s};
    for (std::size_t host = 0; host < hosts; ++host) {
        plan.steps.push_back({110ms, cut_endpoint, host, 0});
    }
    plan.steps.insert(plan.steps.end(), lost.begin(), lost.end());
    return plan;
}

// Host 0 is the only one of its failure domain: what hosts 1 and 2 know of a
// start is lost with their domain, what they have told host 0 is not.
scenario with_remote_witness(const std::string& name, std::size_t hosts,
                             const std::vector<scenario_step>& lost) {
    auto steps = lost;
    steps.push_back({115ms, kill, 1});
    steps.push_back({200ms, kill, 2});
    auto plan = late_start(name, hosts, 2, 1, steps);
    plan.remote_coordinator = true;
    return plan;
}

// All hosts end after the start, one every `apart`, and are started again
// 500 ms after the first one ended.
scenario with_all_hosts_killed(const std::string& name, duration apart,
                               std::vector<scenario_step> others = {}) {
    constexpr std::size_t hosts = 3;
    for (std::size_t host = 0; host < hosts; ++host) {
        others.push_back({356ms + apart * host, kill, host});
        others.push_back({856ms + apart * host, start, host});
    }
    std::stable_sort(others.begin(), others.end(),
                     [](const scenario_step& one, const scenario_step& other) {
                         return one.at < other.at;
                     });
    auto plan = late_start(name, hosts, 1, 0, others);
    plan.run_ms = 3600;
    plan.length = 9s;
    return plan;
}

} // namespace

void add_lost_host_scenarios(std::vector<scenario>& all) {
    // Guards against two runs where the holder is cut off before it has told
    // that the start stays unanswered, and another host gets the job.
    all.push_back(late_start("late_start_of_a_cut_off_holder_sent_to_a_third",
                             4, 3, 0, {{115ms, kill, 0}, {200ms, cut, 3}}));
    // The same failure where the host that gets the job takes endpoints over,
    // and once more after that.
    {
        scenario plan{"late_start_of_a_cut_off_holder_taken_over_twice",
                      4,
                      {3, 2},
                      2500,
                      1,
                      false,
                      {{100ms, crash_unlisted, 0},
                       {106ms, submit, 0},
                       {110ms, cut_endpoint, 3, 0},
                       {115ms, kill, 0},
                       {130ms, cut, 3},
                       {1700ms, kill, 2},
                       {3000ms, heal}},
                      6s};
        all.push_back(plan);
        // The same failure where the endpoint starts again after the takeover.
        plan.name = "late_start_of_a_holder_whose_heir_lost_the_instance";
        plan.steps.insert(plan.steps.begin() + 5, {1000ms, crash_unlisted, 0});
        all.push_back(plan);
    }
    // Guards against two runs where the memory of all hosts is lost: a process
    // that has just started is told of no start of its predecessors.
    all.push_back(with_all_hosts_killed("late_start_of_hosts_that_all_end", 0ms,
                                        {{5500ms, heal}}));
    // The same failure where they end one after the other.
    all.push_back(with_all_hosts_killed(
        "late_start_of_hosts_that_end_one_by_one", 300ms, {{5500ms, heal}}));
    // The same failure where one host goes on, which was told of nothing: the
    // holder's coordinator is in another failure domain.
    {
        auto plan = late_start("late_start_of_hosts_that_end_but_one", 4, 2, 0,
                               {{356ms, kill, 0},
                                {356ms, kill, 3},
                                {356ms, kill, 2},
                                {856ms, start, 0},
                                {856ms, start, 3},
                                {856ms, start, 2},
                                {5500ms, heal}});
        plan.remote_coordinator = true;
        plan.run_ms = 3600;
        plan.length = 9s;
        all.push_back(plan);
    }
    // Guards against a witness that is lost together with those it would speak
    // for.
    all.push_back(with_remote_witness("late_start_known_to_a_witness", 4, {}));
    all.push_back(with_remote_witness("late_start_of_a_killed_witness", 4,
                                      {{250ms, kill, 0}}));
    all.push_back(with_remote_witness("late_start_of_a_stopping_witness", 4,
                                      {{112ms, stop, 0}}));
    all.push_back(with_remote_witness("late_start_of_a_stopped_witness", 4,
                                      {{250ms, stop, 0}}));
    all.push_back(with_remote_witness("late_start_of_a_frozen_witness", 5,
                                      {{112ms, freeze, 0}, {2600ms, thaw, 0}}));
    all.push_back(
        with_remote_witness("late_start_whose_witness_one_host_misses", 5,
                            {{112ms, cut_link, 0, 3}}));
    all.push_back(with_remote_witness("late_start_of_a_cut_off_witness", 5,
                                      {{112ms, cut, 0}, {2600ms, heal}}));
    // Guards against a host that misses the doubt, and whose relay is lost.
    // With another relay besides, none of these may show it.
    all.push_back(late_start("late_start_of_a_frozen_relay", 4, 1, 2,
                             {{115ms, cut_link, 1, 3},
                              {115ms, kill, 2},
                              {600ms, freeze, 0},
                              {1700ms, thaw, 0}}));
    all.push_back(late_start("late_start_of_a_restarted_relay", 4, 1, 2,
                             {{115ms, cut_link, 1, 3},
                              {115ms, kill, 2},
                              {1000ms, kill, 0},
                              {1100ms, start, 0}}));
    all.push_back(late_start("late_start_of_one_frozen_relay_of_two", 5, 1, 2,
                             {{115ms, cut_link, 1, 3},
                              {115ms, kill, 2},
                              {600ms, freeze, 0},
                              {1700ms, thaw, 0}}));
    all.push_back(late_start("late_start_of_one_restarted_relay_of_two", 5, 1,
                             2,
                             {{115ms, cut_link, 1, 3},
                              {115ms, kill, 2},
                              {1000ms, kill, 0},
                              {1100ms, start, 0}}));
    // Guards against two holders of an endpoint that forgets the successor's
    // token twice.
    all.push_back({"twice_restarted_endpoint_of_an_isolated_former_holder",
                   3,
                   {1, 1},
                   600,
                   1,
                   false,
                   {{100ms, cut, 1},
                    {100ms, cut_store, 1},
                    {1000ms, crash_unlisted, 0},
                    {1994ms, crash_unlisted, 0},
                    {2000ms, submit, 0},
                    {2000ms, block, 1},
                    {3000ms, heal}},
                   5s});
    // The same failure where the former holder reaches the store again.
    all.push_back({"twice_restarted_endpoint_of_a_former_holder_with_the_store",
                   3,
                   {1, 1},
                   600,
                   1,
                   false,
                   {{100ms, cut, 1},
                    {1000ms, crash_unlisted, 0},
                    {1994ms, crash_unlisted, 0},
                    {2000ms, submit, 0},
                    {2000ms, block, 1},
                    {3000ms, heal}},
                   5s});
    // Guards against two runs of one task: the former holder coordinates, and
    // its caller comes again elsewhere.
    all.push_back({"restarted_endpoint_of_an_isolated_coordinator",
                   3,
                   {1, 1},
                   4500,
                   1,
                   false,
                   {{100ms, cut, 1},
                    {100ms, cut_store, 1},
                    {1994ms, crash_unlisted, 0},
                    {2000ms, submit, 1},
                    {2100ms, freeze, 1},
                    {2100ms, leave},
                    {4500ms, thaw, 1},
                    {5000ms, heal}},
                   7s});
}

} // namespace figridge::dispatch::orders
