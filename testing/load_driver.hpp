// Simulated callers that submit a trace to a cluster and check every answer.
#ifndef FIGRIDGE_TESTING_LOAD_DRIVER_HPP
#define FIGRIDGE_TESTING_LOAD_DRIVER_HPP

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "adapters/event_loop.hpp"
#include "adapters/http_client.hpp"
#include "codec/json_codec.hpp"
#include "trace.hpp"

namespace figridge {

struct load_options {
    std::vector<std::string> hosts;
    std::string endpoints_control;
    duration caller_delay{0};  // one way, between caller and host
    double resubmit_share = 0; // of jobs; at a random host after 30 ms
    double cancel_share = 0;
    std::uint32_t deadline_ms = 60'000;
    duration answer_timeout = 90s; // a job without an answer by then is lost
    std::uint64_t seed = 1;
};

struct load_result {
    std::uint64_t jobs = 0;
    std::uint64_t tasks = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t partial = 0;       // wrong or differing answers
    std::uint64_t lost = 0;          // not answered in time
    std::uint64_t doubled = 0;       // tasks started more than once
    std::uint64_t false_not_run = 0; // started, but answered not_run_*
    std::uint64_t starts = 0;
    std::uint64_t late_starts = 0;
    std::map<std::string, std::uint64_t> causes;
    std::vector<double> slowdowns;
    struct slow_job {
        double slowdown = 0;
        std::size_t index = 0;
        duration response{0};
    };
    std::vector<slow_job> job_slowdowns;
    std::vector<double> urgent_slowdowns;
    std::map<std::uint32_t, std::vector<double>> owner_slowdowns;
};

// Submits a trace and checks the answers. Not thread-safe.
class load_driver {
public:
    load_driver(event_loop& loop, const load_options& options,
                std::vector<trace_job> trace);

    // Stores one catalogue entry for each owner and waits 1.5 s for it to come
    // into force. Returns false if 20 attempts fail.
    bool prepare(std::uint32_t owners);

    // Submits the whole trace and waits until each job is answered or lost.
    load_result run();

    // Prints the jobs with the highest slowdown (response / ideal response).
    void print_slowest(std::size_t most) const;

    // The metrics summed over all hosts; `wasted` and `sent` are the sums of
    // figridge_messages_total with and without a label that contains `wasted`.
    std::map<std::string, double> read_metrics();

private:
    struct open_job {
        std::string id;
        std::string first_id;
        timestamp start_time{0};
        bool ended = false;
        bool cancelled = false;
        std::vector<std::unique_ptr<timer_watcher>> timers;
    };

    bool store_entries(std::uint32_t owners);
    void begin(std::size_t index);
    void draw_id(std::size_t index);
    void submit(std::size_t index, const std::string& host, bool is_first);
    void handle_answer(std::size_t index, const std::string& id,
                       const http_result& result);
    void finish(std::size_t index, const json& body);
    void retry(std::size_t index, bool new_id);
    void schedule(std::size_t index, duration time,
                  std::function<void()> action);
    [[nodiscard]] json body_of(std::size_t index) const;
    [[nodiscard]] std::string payload_of(std::size_t index,
                                         std::size_t task) const;
    [[nodiscard]] const std::string& random_host();
    void check_starts();
    http_result call(http_call call);

    event_loop& loop_;
    load_options options_;
    std::vector<trace_job> trace_;
    std::vector<open_job> open_;
    std::vector<std::unique_ptr<timer_watcher>> start_timers_;
    std::mt19937_64 random_;
    http_client client_;
    std::map<std::string, std::vector<std::string>> unused_ids_;
    std::set<std::string> answered_not_run_;
    std::map<std::string, std::string> answers_;
    std::size_t ended_ = 0;
    load_result result_;
};

} // namespace figridge

#endif
