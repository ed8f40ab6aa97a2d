// An endpoint in virtual time that behaves as the users' platform specifies.
//
// It records a violation when its capacity is exceeded, and enforces it only if
// told to. A task's payload describes it: "ms=60 cpu=6000 [fail]
// [deadly=INDEX]"; the task with that index crashes the endpoint.
#ifndef FIGRIDGE_TESTS_DISPATCH_FLEET_VIRTUAL_ENDPOINT_HPP
#define FIGRIDGE_TESTS_DISPATCH_FLEET_VIRTUAL_ENDPOINT_HPP

#include <functional>
#include <set>

#include "core/dispatch/ports.hpp"

namespace figridge::dispatch::fleet {

// Crashes of endpoints while a task ran there.
struct task_crashes_seen {
    int crashes = 0;
    int starts_after_third = 0; // while the hosts were in touch
    bool in_touch = true;       // the starting hosts, at each start
};

// Runs, answers and violations recorded by all parts of one fleet.
struct observations {
    std::map<task_key, int> running;
    std::map<std::string, std::set<task_key>> done; // by job
    std::set<std::string> started;                  // jobs
    std::map<task_key, task_crashes_seen> crashed;
    std::map<task_key, int> failed_ends;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    std::uint64_t lapsed = 0;
    std::uint64_t stopped = 0;

    // Whether every host can have read the current state of the store.
    std::function<bool()> all_connected;
    // Whether a host that calls now counts as in touch by the rules.
    std::function<bool(std::size_t host)> in_touch = [](std::size_t) {
        return true;
    };
    // Whether the store and the host's path to it were undisturbed for long
    // enough that the host must know which domains are evacuated.
    std::function<bool(std::size_t host)> reads_store = [](std::size_t) {
        return true;
    };
    // Called when an endpoint starts a task that crashes it.
    std::function<void(const std::string& endpoint, const task_run& run)>
        deadly_started;
    // Called with a line for each start and end of a run, if set.
    std::function<void(const std::string&)> trace;

    void add_violation(timestamp now, const std::string& text) {
        violations.push_back(std::to_string(to_ms(now)) + " ms: " + text);
    }
};

enum class endpoint_mode { normal, fail_all, shed, mute };

// Owned by a `virtual_fleet`. Not thread-safe.
class virtual_endpoint {
public:
    virtual_endpoint(const endpoint_record& record, double clock_rate,
                     observations& observed)
        : record_(record), clock_rate_(clock_rate), observed_(observed),
          cpu_millis_(record.capacity.cpu_millis),
          full_cpu_millis_(cpu_millis_) {}

    // Starts a new instance, which keeps no state of an earlier one.
    void start_instance(timestamp now);
    // The instance ends, and its runs with it.
    void crash(timestamp now);
    // Changes the capacity to this share of the full one. The endpoint's row
    // shows it only after `list_capacity`.
    void set_capacity(timestamp now, double share);
    void list_capacity() { record_.capacity.cpu_millis = cpu_millis_; }
    // Changes the id of the next instance.
    void set_id(const std::string& id) { record_.id = id; }
    [[nodiscard]] bool has_run(const task_run& run) const {
        const auto found = runs_.find(run.task);
        return found != runs_.end() && found->second.number == run.run;
    }
    // Ends the runs that are finished, stopped or past the lease.
    void advance(timestamp now);
    // When the next run ends; empty if none is running.
    [[nodiscard]] std::optional<timestamp> next_run_end() const;

    call_reply start(timestamp now, const start_call& call);
    call_reply stop(timestamp now, const stop_call& call);
    // Applies the call; `list_runs` fills in the rest of the reply.
    call_reply hold(timestamp now, const hold_call& call);
    [[nodiscard]] hold_reply list_runs(timestamp now, call_reply call) const;
    [[nodiscard]] bool has_ended_runs() const { return !ends_.empty(); }

    [[nodiscard]] const endpoint_record& record() const { return record_; }
    [[nodiscard]] bool is_mute() const { return mode == endpoint_mode::mute; }
    void set_draining(timestamp now, bool draining);
    void set_evacuated(timestamp now, bool evacuated);

    endpoint_mode mode = endpoint_mode::normal;
    double slowness = 1.0;
    bool enforces_capacity = false;
    std::size_t calling_host = 0; // host of the current call
    bool is_late_call = false;    // the current call was delayed
    // How long a stop takes; empty: it depends on the index of the task.
    std::optional<duration> stop_takes;

private:
    struct run {
        std::uint32_t number = 0;
        std::uint32_t cpu_millis = 0;
        timestamp started{0};
        timestamp ends{0};
        bool fails = false;
        std::optional<timestamp> stops_at;
    };

    [[nodiscard]] std::int64_t clock_ms(timestamp now) const;
    [[nodiscard]] timestamp lease_end() const;
    bool refuse_stale_token(timestamp now, std::uint64_t token,
                            call_reply& reply);
    void renew(timestamp now, std::int64_t deadline_ms);
    void end_run(const task_key& task, end_kind kind);
    // The capacity by which a start by the calling host is judged now.
    [[nodiscard]] std::uint32_t capacity_limit(timestamp now) const;
    // Judges a start of a task under which endpoints have crashed.
    void check_crash_limit(timestamp now, const task_key& task);

    endpoint_record record_;
    double clock_rate_;
    observations& observed_;
    std::uint32_t cpu_millis_;      // at present
    std::uint32_t full_cpu_millis_; // without a fault
    struct former_capacity {
        std::uint32_t cpu_millis = 0;
        timestamp counts_until{0};
    };
    std::vector<former_capacity> former_capacities_;
    timestamp instance_started_at_{0};
    std::uint64_t token_ = 0;
    // The host that first started a run with each token.
    std::map<std::uint64_t, std::size_t> token_users_;
    std::int64_t lease_ms_ = 0;
    std::uint64_t next_end_number_ = 1;
    std::optional<timestamp> draining_since_;
    std::optional<timestamp> evacuated_since_;
    std::map<task_key, run> runs_;
    std::map<task_key, std::uint32_t> highest_;
    struct refusals {
        timestamp first{0};
        int later = 0; // count, from `refusal_known_after` after `first`
    };
    // By caller and token.
    std::map<std::pair<std::size_t, std::uint64_t>, refusals> refusals_;
    std::vector<ended_entry> ends_;
};

} // namespace figridge::dispatch::fleet

#endif
