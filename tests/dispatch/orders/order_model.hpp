// A small deployment in virtual time whose order of events is chosen outside:
// 3 or 4 dispatchers, two endpoints, a store and the caller of one job.
//
// A run follows a scenario: a few disruptions at fixed times. By default each
// message arrives at once and each call is answered. At every decision point,
// in the order in which a run meets them, a schedule can choose another option:
// hold a message and all behind it on its link, break the connection, lose or
// delay a call or its answer, reset or refuse its connection, delay or lose a
// write of the store or the row that others read, let a host that resumes
// handle its timers before what waits in its sockets, or disturb a host or an
// endpoint. Equal schedules give equal runs.
#ifndef FIGRIDGE_TESTS_DISPATCH_ORDERS_ORDER_MODEL_HPP
#define FIGRIDGE_TESTS_DISPATCH_ORDERS_ORDER_MODEL_HPP

#include <limits>
#include <string>
#include <vector>

#include "figridge/ports.hpp"

namespace figridge::dispatch::orders {

// Option `option` (from 1) instead of the default at decision point `point`.
struct deviation {
    std::size_t point = 0;
    std::size_t option = 0;

    auto operator<=>(const deviation&) const = default;
};

// In ascending order of points.
using schedule = std::vector<deviation>;

struct decision_point {
    timestamp at{0};
    // Options without the default. The last `others` of them need no flag;
    // before them, `removals` remove the row of a live host, and before those,
    // `lost_stops` let an endpoint carry out no stops.
    std::size_t options = 0;
    std::size_t lost_stops = 0;
    std::size_t removals = 0;
    std::size_t others = 0;
    bool disturbance = false; // of hosts, endpoints or all links of a host
};

enum class action_kind {
    submit,       // the job, at the host `target`
    block,        // a job whose tasks fill both endpoints, at `target`
    leave,        // the caller disconnects, and sends the job again elsewhere
    cut,          // the host from all other hosts
    cut_link,     // messages of the host `target` to the host `other`
    cut_endpoint, // the host `target` from the endpoint `other`
    heal,         // ends all cuts, link by link, and those from the store
    stop,         // planned: drains the host, ends its process, starts it again
    kill,
    start,
    freeze,
    thaw,
    cut_store, // the host from the store
    slow,      // the host handles its inputs every 250 ms, its timers first
    crash,     // the endpoint `target` starts again under its id
    crash_unlisted, // the same; the platform does not list the instance
};

struct scenario_step {
    duration at{0}; // from the start of the scenario
    action_kind kind = action_kind::submit;
    std::size_t target = 0;
    std::size_t other = 0;
};

struct scenario {
    std::string name;
    std::size_t hosts = 3;
    std::vector<std::size_t> holders; // of the endpoints 0 and 1
    std::uint32_t run_ms = 600;
    std::uint32_t tasks = 1;
    bool remote_coordinator = false; // host 0 is in a failure domain of its own
    std::vector<scenario_step> steps;
    duration length{3'000'000}; // or up to the end of the job
    std::uint32_t block_ms = 700;
    bool keep_rows = false; // hosts that stop stay in the table of hosts
    // A write that is not answered ends as unknown after this.
    duration store_timeout{3'000'000};
    double clock_rate = 1.0; // of the endpoints' clocks
    // A caller whose connection broke sends its job again after this.
    duration resend_after{1'300'000};
    // With more deviations, two runs may be no fault.
    std::size_t max_depth = std::numeric_limits<std::size_t>::max();
    // A connection to an endpoint ends with the instance at its other end.
    // Otherwise starts reach a later instance as well, as if they had been
    // passed on to the endpoint before it restarted.
    bool connections_end = false;
    // A start that was passed on to an endpoint is carried out even if that
    // restarts before.
    bool starts_outlast_instances = false;
    // Endpoint 1 is in a failure domain of its own.
    bool endpoints_apart = false;
    // How much later the latest calls are carried out.
    duration latest_call{2'000'000};
};

const std::vector<scenario>& all_scenarios();

// Appends the scenarios of lost_host_scenarios.cpp. Not thread-safe.
void add_lost_host_scenarios(std::vector<scenario>& all);

// Appends those of unknown_instance_scenarios.cpp. Not thread-safe.
void add_unknown_instance_scenarios(std::vector<scenario>& all);

// The same scenario with an instance of endpoint 0 that no host knows: the
// endpoint starts again under its id right before the job, and the platform
// does not list the instance. Right after the job, no host reaches the endpoint
// any more, up to the scenario's `heal`. Thread-safe.
scenario with_late_instance(scenario plan);

struct order_result {
    std::vector<std::string> violations;
    std::vector<decision_point> points;
    std::uint64_t starts = 0;
    std::string log;
};

// Executes one run up to its end or the first violation. `keep_log` also
// describes the deviations in the log.
order_result execute(const scenario& plan, const schedule& chosen,
                     bool keep_log);

} // namespace figridge::dispatch::orders

#endif
