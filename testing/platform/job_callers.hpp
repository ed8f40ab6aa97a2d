// Simulated callers of jobs, which resend as the platform's callers do.
#ifndef FIGRIDGE_TESTING_PLATFORM_JOB_CALLERS_HPP
#define FIGRIDGE_TESTING_PLATFORM_JOB_CALLERS_HPP

#include <list>
#include <random>

#include "adapters/http_client.hpp"
#include "codec/json_codec.hpp"
#include "platform/run_judge.hpp"

namespace figridge::testing {

struct load_plan {
    std::vector<std::string> hosts; // callers' addresses
    std::uint32_t jobs = 0;
    std::uint32_t jobs_per_s = 100;
    std::uint32_t tasks = 4;
    std::uint32_t task_ms = 60;
    std::uint32_t task_cpu = 6000;
    bool mixed = false; // 2 to 8 tasks of 60, 200 or 900 ms, by seed
    duration answer_timeout{1500ms};
    // A job without an answer is sent again, at another host, until this many
    // time limits have passed.
    std::uint32_t timeouts = 1;
};

struct load_result {
    std::uint32_t sent = 0;
    std::uint32_t completed = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::uint32_t unanswered = 0;
    std::uint32_t resent = 0;
};

// Runs one load at a time. Owned by the program's main object. Not
// thread-safe.
class job_callers {
public:
    job_callers(event_loop& loop, run_judge& judge, std::uint64_t seed);

    void begin(load_plan plan);
    // While `stopping` is set, the host must not close the connection of a job
    // that has started.
    void set_stopping(const std::string& host, bool stopping);
    [[nodiscard]] bool is_done() const {
        return sent_ == plan_.jobs && open_.empty();
    }
    [[nodiscard]] const load_result& result() const { return result_; }

private:
    struct call {
        std::string id;
        std::string body;
        std::uint32_t tasks = 0;
        timestamp deadline{0};
        std::uint32_t timeouts = 0;  // time limits that have passed
        std::string host;            // of the last attempt
        bool not_sent_before = true; // no earlier attempt reached a host
        std::unique_ptr<timer_watcher> resend_timer;
    };

    void send_next();
    [[nodiscard]] std::string pick_host(const std::string& last);
    void send(const std::shared_ptr<call>& open);
    void handle(const std::shared_ptr<call>& open, const http_result& result);
    void finish(const std::shared_ptr<call>& open, const char* how);

    event_loop& loop_;
    run_judge& judge_;
    http_client client_;
    timer_watcher timer_;
    std::mt19937_64 random_;
    std::set<std::string> stopping_;
    load_plan plan_;
    load_result result_;
    std::uint32_t sent_ = 0;
    std::list<std::shared_ptr<call>> open_;
};

} // namespace figridge::testing

#endif
