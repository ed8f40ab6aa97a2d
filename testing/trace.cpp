#include "trace.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <tuple>

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr double shortest_ms = 50;
constexpr double longest_common_ms = 1000;
constexpr double tail_share = 0.02;
constexpr double tail_shortest_ms = 2000;
constexpr double tail_longest_ms = 5000;
constexpr double wrong_hint_share = 0.4;

std::uint32_t draw_run_ms(std::mt19937_64& random, double scale) {
    std::uniform_real_distribution<double> unit(0, 1);
    double run = 0;
    if (unit(random) < tail_share) {
        run = tail_shortest_ms +
              unit(random) * (tail_longest_ms - tail_shortest_ms);
    } else {
        const auto span = std::log(longest_common_ms / shortest_ms);
        run = shortest_ms * std::exp(unit(random) * span);
    }
    return std::max(1U, static_cast<std::uint32_t>(run * scale));
}

std::size_t draw_size(std::mt19937_64& random, const std::string& mix) {
    std::uniform_real_distribution<double> unit(0, 1);
    const double single = mix == "certis" ? 0.5 : 0.3;
    const double small = mix == "certis" ? 0.9 : 0.85;
    const auto kind = unit(random);
    if (kind < single) {
        return 1;
    }
    if (kind < small) {
        return 2 + static_cast<std::size_t>(unit(random) * 18);
    }
    return 20 + static_cast<std::size_t>(
                    std::pow(unit(random), 3) *
                    static_cast<double>(max_tasks_per_job - 20));
}

std::uint32_t draw_hint(std::mt19937_64& random, std::uint32_t run_ms) {
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(random) >= wrong_hint_share) {
        return run_ms;
    }
    return static_cast<std::uint32_t>(run_ms * std::exp(4 * unit(random) - 2));
}

trace_job draw_job(std::mt19937_64& random, const trace_options& options) {
    std::uniform_real_distribution<double> unit(0, 1);
    trace_job job;
    job.owner = static_cast<std::uint32_t>(random() % options.owners);
    job.urgent = unit(random) < (options.mix == "certis" ? 0.1 : 0.2);
    const auto size = draw_size(random, options.mix);
    for (std::size_t task = 0; task < size; ++task) {
        const auto run_ms = draw_run_ms(random, options.mean_run_scale);
        job.run_ms.push_back(run_ms);
        job.declared_ms.push_back(draw_hint(random, run_ms));
    }
    return job;
}

double work_seconds(const trace_job& job) {
    double sum = 0;
    for (const auto run_ms : job.run_ms) {
        sum += run_ms / 1000.0;
    }
    return sum;
}

} // namespace

std::string entry_name(std::uint32_t owner) {
    return absl::StrCat("entry-", owner);
}

std::vector<trace_job> make_trace(const trace_options& options) {
    std::mt19937_64 random(options.seed);
    // Mean work per job, estimated from a sample drawn with the same seed.
    constexpr int sample = 4000;
    double work = 0;
    for (int index = 0; index < sample; ++index) {
        work += work_seconds(draw_job(random, options));
    }
    const double jobs_per_s = options.load * options.slots / (work / sample);
    std::exponential_distribution<double> gap(1);
    std::vector<trace_job> jobs;
    double now = 0;
    while (true) {
        const bool in_burst =
            options.burst_factor > 1 && now < options.burst_seconds;
        now +=
            gap(random) / (jobs_per_s * (in_burst ? options.burst_factor : 1));
        if (now >= options.seconds) {
            break;
        }
        auto job = draw_job(random, options);
        job.arrival = timestamp{static_cast<std::int64_t>(now * 1e6)};
        jobs.push_back(std::move(job));
    }
    add_ideal_responses(jobs, options.slots);
    return jobs;
}

void add_ideal_responses(std::vector<trace_job>& jobs, std::uint32_t slots) {
    struct waiting_task {
        std::size_t job = 0;
        duration run{0};
    };
    using ending = std::pair<timestamp, std::size_t>;
    std::deque<waiting_task> urgent;
    std::deque<waiting_task> normal;
    std::priority_queue<ending, std::vector<ending>, std::greater<>> running;
    std::vector<timestamp> ends(jobs.size(), timestamp{0});
    std::size_t next = 0;
    timestamp now{0};
    while (next < jobs.size() || !running.empty()) {
        const bool arrival_first =
            next < jobs.size() &&
            (running.empty() || jobs[next].arrival <= running.top().first);
        if (arrival_first) {
            now = jobs[next].arrival;
            auto& queue = jobs[next].urgent ? urgent : normal;
            for (const auto run_ms : jobs[next].run_ms) {
                queue.push_back({next, std::chrono::milliseconds(run_ms)});
            }
            ++next;
        } else {
            now = running.top().first;
            running.pop();
        }
        while (running.size() < slots && (!urgent.empty() || !normal.empty())) {
            auto& queue = urgent.empty() ? normal : urgent;
            const auto task = queue.front();
            queue.pop_front();
            running.emplace(now + task.run, task.job);
            ends[task.job] = std::max(ends[task.job], now + task.run);
        }
    }
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        jobs[index].ideal_response = ends[index] - jobs[index].arrival;
    }
}

} // namespace figridge
