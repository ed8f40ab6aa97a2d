// Simulated endpoint: runs a task by waiting for its run time.
//
// A task's payload is `run_ms=N` and any text; its output is `done ` followed
// by the payload. Starts are counted per task, independently of figridge's own
// records.
#ifndef FIGRIDGE_TESTING_ENDPOINT_STAND_IN_HPP
#define FIGRIDGE_TESTING_ENDPOINT_STAND_IN_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "adapters/event_loop.hpp"
#include "adapters/http_server.hpp"
#include "codec/json_codec.hpp"

namespace figridge {

enum class endpoint_mode {
    normal,
    fail_all, // every task fails after 1 ms
    hang,     // tasks are started but never answered
    slow,     // tasks take five times as long
    refuse,   // starts are rejected as busy
    die,      // the connection is reset instead of an answer
    late,     // the answer comes 700 ms after the end of the run time
    crossed,  // the answers of two tasks are swapped
    leaving,  // starts are rejected because the endpoint is leaving
};

std::optional<endpoint_mode> parse_endpoint_mode(std::string_view name);

// Starts on all endpoints of the process. Owned by the process.
struct start_record {
    std::unordered_map<std::string, std::uint32_t> starts; // by "ID/TASK"
    std::uint64_t total = 0;
    std::uint64_t refused = 0;
    std::uint64_t late_starts = 0; // after expect_no_starts()
};

// Not thread-safe.
class endpoint_stand_in {
public:
    endpoint_stand_in(event_loop& loop, std::string address,
                      std::uint32_t slots, start_record& record);

    absl::Status start() { return server_.start(address_); }
    void set_mode(endpoint_mode mode) { mode_ = mode; }
    // Counts each start later than `after` from now as late.
    void expect_no_starts(duration after);
    void allow_starts() { no_starts_from_.reset(); }

private:
    struct running_task {
        json start_request;
        bool failed = false;
        bool past_deadline = false;
        std::unique_ptr<timer_watcher> end;
    };

    void handle(const http_request& request);
    void start_task(const http_request& request);
    void stop_task(const http_request& request);
    void end_task(http_token token);
    void answer(http_token token, const running_task& task);
    void swap_answers(http_token token, running_task task);
    void refuse(const http_request& request, const char* reason);
    void respond(http_token token, int status, const json& body);

    event_loop& loop_;
    std::string address_;
    std::uint32_t slots_;
    start_record& record_;
    endpoint_mode mode_ = endpoint_mode::normal;
    std::optional<timestamp> no_starts_from_;
    std::map<http_token, running_task> running_;
    std::optional<std::pair<http_token, running_task>> pending_swap_;
    http_server server_;
};

} // namespace figridge

#endif
