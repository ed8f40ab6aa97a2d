// Simulated endpoint that runs tasks under a lease and a fencing token.
//
// A task's payload sets its run time, its CPU demand and whether it fails:
// "ms=60 cpu=6000 [fail]".
#ifndef FIGRIDGE_TESTING_PLATFORM_LEASED_ENDPOINT_HPP
#define FIGRIDGE_TESTING_PLATFORM_LEASED_ENDPOINT_HPP

#include <functional>
#include <list>
#include <optional>

#include "adapters/http_server.hpp"
#include "codec/json_codec.hpp"
#include "platform/run_judge.hpp"

namespace figridge::testing {

// Owned by the program's main object. Not thread-safe.
class leased_endpoint {
public:
    // `clock` is the time that runs and leases are measured by.
    leased_endpoint(event_loop& loop, std::string id, std::string address,
                    std::string failure_domain, run_judge& judge,
                    std::function<timestamp()> clock = &event_loop::now);

    absl::Status start();
    // Content of its row in the store.
    [[nodiscard]] json describe() const;
    [[nodiscard]] const std::string& id() const { return id_; }

    // "ok", "fail_all", "mute" (executes requests but resets their connections)
    // or "shed" (rejects starts with 503).
    void set_mode(const std::string& mode) { mode_ = mode; }
    void set_draining(bool draining);
    // Speed of its clock relative to real time, at least 0.98.
    void set_clock_rate(double rate) { clock_rate_ = rate; }
    // Address in its row, if it differs from the one it listens at.
    void set_shown_address(std::string address) {
        shown_address_ = std::move(address);
    }
    // Simulates a crash and restart: all runs, the lease and the token are
    // lost.
    void crash();
    // Ends the runs that are done or whose lease has expired, each as of the
    // time when it was due.
    void end_due_runs();

private:
    struct run {
        std::uint32_t number = 0;
        std::uint32_t cpu_millis = 0;
        timestamp started{0};
        duration length{0};
        timestamp stopped_at = timestamp::max();
        bool fails = false;
    };
    struct end {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };
    struct waiting_hold {
        http_token token = 0;
        timestamp until{0};
    };

    void handle(const http_request& request);
    void start_run(http_token token, const json& body);
    void stop_run(http_token token, const json& body);
    void hold(http_token token, const json& body);
    void tick();
    void end_run(const std::string& task, const std::string& how);
    void log_end(const std::string& task, const run& ended,
                 const std::string& how) const;
    void answer_holds(bool all);
    [[nodiscard]] json runs_to_json() const;
    [[nodiscard]] std::int64_t clock_ms() const;
    bool reject_stale_token(http_token token, const json& body);
    void renew(const json& body);
    void respond(http_token token, int status, json body);

    std::function<timestamp()> now_;
    std::string id_;
    std::string address_;
    std::string failure_domain_;
    run_judge& judge_;
    http_server server_;
    timer_watcher ticker_;
    std::string mode_ = "ok";
    std::optional<timestamp> draining_since_;
    double clock_rate_ = 1.0;
    std::string shown_address_;
    timestamp born_{0};
    std::int64_t born_ms_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_until_ms_ = 0;
    std::uint64_t next_end_ = 1;
    std::map<std::string, run> runs_;
    std::map<std::string, std::uint32_t> highest_run_;
    std::list<end> ends_;
    std::list<waiting_hold> holds_;
};

} // namespace figridge::testing

#endif
