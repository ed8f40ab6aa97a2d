// Load generator: submits a seeded trace to a cluster, checks every answer
// against the starts that the endpoints counted, and compares response times
// with those of an ideal scheduler.
#include <algorithm>
#include <csignal>
#include <iostream>
#include <numeric>

#include <absl/strings/match.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include "load_driver.hpp"

DEFINE_string(hosts, "",
              "Addresses of the hosts for callers, separated by commas.");
DEFINE_string(endpoints_control, "", "Control address of the endpoints.");
DEFINE_string(mix, "certis", "certis or consortium.");
DEFINE_string(policy, "?", "Name printed in the result line.");
DEFINE_double(load, 0.8, "Offered load, as a share of the slots.");
DEFINE_double(seconds, 10, "Seconds during which jobs arrive.");
DEFINE_uint32(slots, 384, "Slots of all endpoints.");
DEFINE_uint32(owners, 8, "Owners, equally loaded.");
DEFINE_uint64(seed, 1, "Seed of the trace.");
DEFINE_double(burst, 1, "Factor on the load for the first 5 s.");
DEFINE_double(run_scale, 1, "Factor on all run times.");
DEFINE_uint32(caller_delay_ms, 0, "One-way delay of callers.");
DEFINE_double(resubmit_share, 0, "Share of jobs resubmitted at a random host.");
DEFINE_double(cancel_share, 0, "Share of jobs that are cancelled.");
DEFINE_uint32(deadline_ms, 60000, "Deadline of jobs.");
DEFINE_uint32(patience_ms, 90000,
              "Time after which an unanswered job counts as lost.");
DEFINE_uint64(show_slowest, 0, "Print this many of the slowest jobs.");
DEFINE_bool(as_bench, false, "Print a bench line.");

namespace figridge {
namespace {

double percentile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1) + 0.5);
    return values[index];
}

// Jain's index over the owners' mean slowdowns.
double fairness(const load_result& result) {
    double sum = 0;
    double squares = 0;
    for (const auto& [owner, values] : result.owner_slowdowns) {
        const auto mean = std::accumulate(values.begin(), values.end(), 0.0) /
                          static_cast<double>(values.size());
        sum += mean;
        squares += mean * mean;
    }
    const auto count = static_cast<double>(result.owner_slowdowns.size());
    return squares == 0 ? 1 : sum * sum / (count * squares);
}

void print_bench(const load_result& result,
                 const std::map<std::string, double>& before,
                 std::map<std::string, double> after) {
    const auto tasks = std::max<double>(1, static_cast<double>(result.tasks));
    const auto per_task = [&](const char* name) {
        const auto found = before.find(name);
        return (after[name] - (found == before.end() ? 0 : found->second)) /
               tasks;
    };
    std::cout << absl::StrFormat(
        "bench mix=%s load=%g policy=%s seed=%d jobs=%d slowdown_p50=%.3f "
        "slowdown_p99=%.3f urgent_p99=%.3f fairness=%.3f "
        "messages_per_task=%.2f wasted_per_task=%.4f cpu_us_per_task=%.0f "
        "doubled=%d lost=%d tasks=%d failed=%d not_run=%d\n",
        FLAGS_mix, FLAGS_load * FLAGS_burst, FLAGS_policy, FLAGS_seed,
        result.jobs, percentile(result.slowdowns, 0.5),
        percentile(result.slowdowns, 0.99),
        percentile(result.urgent_slowdowns, 0.99), fairness(result),
        per_task("sent"), per_task("wasted"),
        per_task("figridge_cpu_seconds") * 1e6, result.doubled, result.lost,
        result.tasks, result.failed, result.not_run);
    for (auto& [name, value] : after) {
        if (absl::StrContains(name, "figridge_messages_total")) {
            const auto amount = per_task(name.c_str());
            if (amount > 0.0005) {
                std::cerr << absl::StrFormat("  %s %.4f\n", name, amount);
            }
        }
    }
}

void print_load(const load_result& result) {
    std::cout << absl::StrFormat(
        "load jobs=%d tasks=%d complete=%d failed=%d not_run=%d starts=%d "
        "doubled=%d partial=%d lost=%d false_not_run=%d late_leaving=%d",
        result.jobs, result.tasks, result.complete, result.failed,
        result.not_run, result.starts, result.doubled, result.partial,
        result.lost, result.false_not_run, result.late_starts);
    for (const auto& [cause, count] : result.causes) {
        std::cout << " " << cause << "=" << count;
    }
    std::cout << "\n";
}

int run() {
    trace_options trace;
    trace.mix = FLAGS_mix;
    trace.load = FLAGS_load;
    trace.seconds = FLAGS_seconds;
    trace.slots = FLAGS_slots;
    trace.owners = FLAGS_owners;
    trace.seed = FLAGS_seed;
    trace.burst_factor = FLAGS_burst;
    trace.mean_run_scale = FLAGS_run_scale;
    load_options options;
    options.hosts = absl::StrSplit(FLAGS_hosts, ',');
    options.endpoints_control = FLAGS_endpoints_control;
    options.caller_delay = std::chrono::milliseconds(FLAGS_caller_delay_ms);
    options.resubmit_share = FLAGS_resubmit_share;
    options.cancel_share = FLAGS_cancel_share;
    options.deadline_ms = FLAGS_deadline_ms;
    options.answer_timeout = std::chrono::milliseconds(FLAGS_patience_ms);
    options.seed = FLAGS_seed;
    event_loop loop;
    load_driver driver(loop, options, make_trace(trace));
    if (!driver.prepare(FLAGS_owners)) {
        std::cerr
            << "load: the catalogue could not be stored on the first host\n";
        return 1;
    }
    const auto before = driver.read_metrics();
    const auto result = driver.run();
    if (FLAGS_as_bench) {
        print_bench(result, before, driver.read_metrics());
        driver.print_slowest(FLAGS_show_slowest);
    } else {
        print_load(result);
    }
    const auto broken = result.doubled + result.partial + result.lost +
                        result.false_not_run + result.late_starts;
    return broken == 0 ? 0 : 1;
}

} // namespace
} // namespace figridge

int main(int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return figridge::run();
}
