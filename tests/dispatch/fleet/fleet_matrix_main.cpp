// Runs faults on virtual fleets: each singly with several seeds, then seeded
// pairs and triples. Usage: fleet_matrix [--seeds N] [--mixes N]
// [--first_seed N] [--only FAULT,FAULT --show_log]. Exit code 1 if a guarantee
// was violated. --runs FILE executes the runs listed there instead, one a line:
// names of the faults, seed and, for a fleet of another size, jobs per second,
// hosts, endpoints and cores per host; '#' begins a comment.
#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include "fleet_matrix.hpp"

DEFINE_uint64(seeds, 4, "Number of seeds for each single fault.");
DEFINE_uint64(first_seed, 1, "The first seed.");
DEFINE_uint64(mixes, 100, "Number of pairs and triples of faults to run.");
DEFINE_string(only, "", "Run only these faults together, by name.");
DEFINE_string(runs, "", "Execute the runs listed in this file.");
DEFINE_double(jobs_per_s, 20, "Load in jobs per second.");
DEFINE_uint64(hosts, 5, "Number of hosts.");
DEFINE_uint64(endpoints, 9, "Number of endpoints.");
DEFINE_double(cpu_share, 0.25, "Share of a CPU core per host.");
DEFINE_bool(check_grants, false, "Also check that granted endpoints are held.");
DEFINE_bool(end_connections, false,
            "Connections to an endpoint end with its instance.");
DEFINE_bool(show_log, false, "Print the log of each failed run.");
DEFINE_bool(stop_at_first, false, "Stop after the first failed run.");
DEFINE_uint64(most_shown, 12, "How many failed runs are printed.");

namespace figridge::dispatch::fleet {
namespace {

std::vector<std::size_t> fault_indices(const std::string& names) {
    std::vector<std::size_t> numbers;
    const std::vector<std::string> wanted = absl::StrSplit(names, ',');
    for (const auto& name : wanted) {
        for (std::size_t i = 0; i < all_fleet_faults().size(); ++i) {
            if (all_fleet_faults()[i].name == name) {
                numbers.push_back(i);
            }
        }
    }
    return numbers;
}

// Throws on an invalid line, since a run that is skipped checks nothing.
std::vector<fleet_run> read_runs(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::vector<fleet_run> runs;
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line.substr(0, line.find('#')));
        std::string faults;
        std::uint64_t seed = 0;
        if (!(words >> faults)) {
            continue;
        }
        const auto named =
            std::count(faults.begin(), faults.end(), ',') + std::size_t{1};
        if (!(words >> seed) || fault_indices(faults).size() != named) {
            throw std::runtime_error(
                path + ": expected FAULT[,FAULT...] SEED, got: " + line);
        }
        runs.push_back(plan_run(seed, fault_indices(faults)));
        auto& run = runs.back();
        if (double load = 0; words >> load) {
            run.jobs_per_s = load;
            if (!(words >> run.size.hosts >> run.size.endpoints >>
                  run.size.cpu_share)) {
                throw std::runtime_error(
                    path +
                    ": expected hosts, endpoints and cores per host, got: " +
                    line);
            }
        }
    }
    return runs;
}

std::vector<fleet_run> plan_runs() {
    std::vector<fleet_run> runs;
    if (!FLAGS_only.empty()) {
        for (std::uint64_t seed = 0; seed < FLAGS_seeds; ++seed) {
            runs.push_back(
                plan_run(FLAGS_first_seed + seed, fault_indices(FLAGS_only)));
        }
        return runs;
    }
    const auto count = all_fleet_faults().size();
    for (std::size_t fault = 0; fault < count; ++fault) {
        for (std::uint64_t seed = 0; seed < FLAGS_seeds; ++seed) {
            runs.push_back(plan_run(FLAGS_first_seed + seed, {fault}));
        }
    }
    std::mt19937_64 random(FLAGS_first_seed);
    for (std::uint64_t mix = 0; mix < FLAGS_mixes; ++mix) {
        std::vector<std::size_t> faults{random() % count, random() % count};
        if (mix % 2 == 1) {
            faults.push_back(random() % count);
        }
        runs.push_back(plan_run(FLAGS_first_seed + mix, faults));
    }
    return runs;
}

std::vector<fleet_run> plan_all() {
    auto runs = FLAGS_runs.empty() ? plan_runs() : read_runs(FLAGS_runs);
    for (auto& run : runs) {
        run.check_grants = FLAGS_check_grants;
        run.end_connections = FLAGS_end_connections;
        if (!FLAGS_runs.empty()) {
            continue;
        }
        run.jobs_per_s = FLAGS_jobs_per_s;
        run.size.hosts = FLAGS_hosts;
        run.size.endpoints = FLAGS_endpoints;
        run.size.cpu_share = FLAGS_cpu_share;
    }
    return runs;
}

// Executes all runs in parallel on all cores; returns the number of failed
// runs.
std::uint64_t execute_all(const std::vector<fleet_run>& runs) {
    std::atomic<std::size_t> next{0};
    std::atomic<std::uint64_t> broken{0};
    std::uint64_t sent = 0;
    std::uint64_t completed = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t lapsed = 0;
    std::mutex output;
    const auto work = [&] {
        while (true) {
            const auto index = next++;
            if (index >= runs.size() || (FLAGS_stop_at_first && broken > 0)) {
                return;
            }
            const auto& run = runs[index];
            const auto result = execute_run(run, FLAGS_show_log);
            const std::lock_guard guard(output);
            sent += result.sent;
            completed += result.completed;
            timed_out += result.timed_out;
            lapsed += result.lapsed;
            if (result.violations.empty() || broken++ >= FLAGS_most_shown) {
                continue;
            }
            std::cout << "BROKEN " << describe(run) << "\n";
            for (const auto& violation : result.violations) {
                std::cout << "  " << violation << "\n";
            }
            std::cout << result.log;
        }
    };
    std::vector<std::thread> threads;
    const auto count = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned thread = 0; thread < count; ++thread) {
        threads.emplace_back(work);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    std::cout << "fleet runs=" << runs.size() << " jobs=" << sent
              << " completed=" << completed << " left=" << timed_out
              << " lapsed_runs=" << lapsed << " broken=" << broken << "\n";
    return broken;
}

} // namespace
} // namespace figridge::dispatch::fleet

int main(int argc, char** argv) {
    using namespace figridge::dispatch::fleet;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return execute_all(plan_all()) == 0 ? 0 : 1;
}
