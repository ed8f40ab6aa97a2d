// Ports: what the decisions ask of the outside.
//
// `host_core` calls these interfaces and nothing else. The daemon implements
// them over sockets; tests implement them over queues in virtual time. All
// calls are made from the thread that drives the core and must return without
// blocking; replies come back later as inputs of `host_core`.
#ifndef FIGRIDGE_PORTS_HPP
#define FIGRIDGE_PORTS_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figridge/messages.hpp"
#include "figridge/time.hpp"

namespace figridge {

// Carries envelopes to other hosts. Delivery may fail, repeat or be late.
class peer_port {
public:
    virtual ~peer_port() = default;
    virtual void send(const std::string& host, envelope message) = 0;
};

// One task for an endpoint.
struct start_order {
    task_ref ref;
    std::string entry;
    task_spec spec;
    std::uint32_t deadline_ms = 0;
};

enum class start_status {
    finished, // the task ran; `failed` says how it ended
    refused,  // the endpoint did not start it: no free slot
    leaving,  // the endpoint did not start it: it is leaving
    not_sent, // the connection was refused: certainly not started
    lost,     // the connection broke or the reply made no sense
    deadline, // the endpoint stopped the task at its deadline
};

// What came back on the connection of `order`. `answered` is the task that
// the body speaks of, which a faulty endpoint may mix up.
struct start_reply {
    std::string endpoint;
    task_ref order;
    task_ref answered;
    start_status status = start_status::lost;
    bool failed = false;
    std::string output;
    std::uint32_t run_ms = 0;
};

struct probe_reply {
    std::string endpoint;
    bool reachable = false;
    bool leaving = false;
    std::uint32_t running = 0;
};

// Talks to endpoints.
class endpoint_port {
public:
    virtual ~endpoint_port() = default;
    virtual void start(const std::string& endpoint,
                       const start_order& order) = 0;
    virtual void stop(const std::string& endpoint, const task_ref& ref) = 0;
    virtual void probe(const std::string& endpoint) = 0;
};

struct row_condition {
    std::string key;
    std::uint64_t version = 0; // 0: the row must not exist
};

struct row_write {
    std::string key;
    std::string value;
};

struct table_transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

struct table_row {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

enum class table_status { ok, conflict, unavailable };

// `unavailable` says nothing of the effect: a write may have been made. On
// `conflict` the rows are the current ones of the conditions that failed.
struct table_reply {
    table_status status = table_status::unavailable;
    std::vector<table_row> rows;
};

// The platform's table service and its lagging list of endpoints. Every
// request is answered once, by its number, also when it times out.
class platform_port {
public:
    virtual ~platform_port() = default;
    virtual void transact(std::uint64_t request,
                          const table_transaction& transaction) = 0;
    virtual void read_keys(std::uint64_t request,
                           const std::vector<std::string>& keys) = 0;
    virtual void read_prefix(std::uint64_t request,
                             const std::string& prefix) = 0;
    virtual void read_endpoints(std::uint64_t request) = 0;
};

// Names one request of a caller that waits for its answer.
using caller_token = std::uint64_t;

enum class edit_status { stored, conflict, invalid, store_down, not_ready };

struct edit_answer {
    edit_status status = edit_status::stored;
    std::uint64_t version = 0;
    std::string detail;
};

// Answers callers; each token is answered at most once.
class caller_port {
public:
    virtual ~caller_port() = default;
    virtual void answer(caller_token token, const job_answer& answer) = 0;
    virtual void answer_edit(caller_token token, const edit_answer& answer) = 0;
};

enum class log_level { debug, info, warning, error };

using log_fields = std::vector<std::pair<std::string_view, std::string>>;

enum class latency_metric { response_time, queue_time, task_time };

// Takes log events, measured times and counts.
class observer_port {
public:
    virtual ~observer_port() = default;
    virtual void log(log_level level, std::string_view event,
                     const log_fields& fields) = 0;
    virtual void record(latency_metric what, duration value) = 0;
    // Adds one to a counter, which has a value for each label. Both texts
    // live as long as the process.
    virtual void count(std::string_view counter, std::string_view label) = 0;
};

struct core_ports {
    peer_port& peers;
    endpoint_port& endpoints;
    platform_port& platform;
    caller_port& callers;
    observer_port& observer;
};

} // namespace figridge

#endif
