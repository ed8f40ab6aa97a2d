// An endpoint in virtual time that does what the users' platform says of one.
//
// It enforces no capacity: whoever starts too much is caught by the judge. A
// task's payload says what it is: "ms=60 cpu=6000 [fail]".
#ifndef FIGRIDGE_TESTS_DISPATCH_FLEET_VIRTUAL_ENDPOINT_HPP
#define FIGRIDGE_TESTS_DISPATCH_FLEET_VIRTUAL_ENDPOINT_HPP

#include <functional>
#include <set>

#include "core/dispatch/ports.hpp"

namespace figridge::dispatch::fleet {

// What was seen of all runs and answers. Shared by the parts of one fleet.
struct evidence {
    std::map<task_key, int> running;
    std::map<std::string, std::set<task_key>> done; // by job
    std::set<std::string> started;                  // jobs
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    std::uint64_t lapsed = 0;
    std::uint64_t stopped = 0;

    // Whether every host could have read what the store has.
    std::function<bool()> all_in_touch;
    // Gets a line for each start and end, if it is set.
    std::function<void(const std::string&)> trace;

    void complain(timestamp now, const std::string& text) {
        violations.push_back(std::to_string(to_ms(now)) + " ms: " + text);
    }
};

enum class endpoint_mode { good, fail_all, shed, mute };

// Owned by a `virtual_fleet`. Not thread-safe.
class virtual_endpoint {
public:
    virtual_endpoint(const endpoint_record& record, double clock_rate,
                     evidence& seen)
        : record_(record), clock_rate_(clock_rate), seen_(seen) {}

    // Begins a life; what an earlier one knew is forgotten.
    void begin_life(timestamp now);
    // Ends what is due by time or lease.
    void advance(timestamp now);
    // When the next run ends; nothing if none runs.
    [[nodiscard]] std::optional<timestamp> next_end() const;

    call_reply start(timestamp now, const start_call& call);
    call_reply stop(timestamp now, const stop_call& call);
    // Takes the call in; the answer is given by `lists`.
    call_reply hold(timestamp now, const hold_call& call);
    [[nodiscard]] hold_reply lists(timestamp now, call_reply call) const;
    [[nodiscard]] bool has_ends() const { return !ends_.empty(); }

    [[nodiscard]] const endpoint_record& record() const { return record_; }
    [[nodiscard]] bool is_mute() const { return mode == endpoint_mode::mute; }
    void set_draining(timestamp now, bool draining);

    endpoint_mode mode = endpoint_mode::good;
    double slowness = 1.0;
    std::size_t caller = 0;        // the host of the present call
    bool carries_out_late = false; // the present call is an old one

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
    bool refuse(timestamp now, std::uint64_t token, call_reply& reply);
    void renew(timestamp now, std::int64_t deadline_ms);
    void end_run(const task_key& task, end_kind kind);

    endpoint_record record_;
    double clock_rate_;
    evidence& seen_;
    timestamp born_{0};
    std::uint64_t token_ = 0;
    // The host that ordered starts under a token.
    std::map<std::uint64_t, std::size_t> token_users_;
    std::int64_t lease_ms_ = 0;
    std::uint64_t next_end_ = 1;
    std::optional<timestamp> draining_since_;
    std::map<task_key, run> runs_;
    std::map<task_key, std::uint32_t> highest_;
    struct refusals {
        timestamp first{0};
        int later = 0; // well after the first
    };
    // By caller and token.
    std::map<std::pair<std::size_t, std::uint64_t>, refusals> refusals_;
    std::vector<ended_entry> ends_;
};

} // namespace figridge::dispatch::fleet

#endif
