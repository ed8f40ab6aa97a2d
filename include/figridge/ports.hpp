// Interfaces through which the core performs all side effects.
//
// The daemon implements them over sockets; tests implement them over queues in
// virtual time. All calls are made from the thread that drives the core and
// must not block; replies are passed to `host_core` later as events.
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

// Sends envelopes to other hosts. They may be lost, duplicated or delayed.
class peer_port {
public:
    virtual ~peer_port() = default;
    virtual void send(const std::string& host, envelope message) = 0;
};

// A request to run one task on an endpoint.
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
    lost,     // the connection broke or the reply was invalid
    deadline, // the endpoint stopped the task at its deadline
};

// The reply received on the connection of `order`. `answered` is the task
// named in the body, which differs from `order` if the endpoint is faulty.
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

// After `unavailable` the outcome is unknown: the writes may have been applied.
// On `conflict`, `rows` holds the current rows of the failed conditions.
struct table_reply {
    table_status status = table_status::unavailable;
    std::vector<table_row> rows;
};

// The platform's table service and its list of endpoints, which may be out of
// date. Each request is answered exactly once, under its number, also when it
// times out.
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

// Identifies a caller's request that awaits its answer.
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

enum class latency_metric {
    response_time,
    queue_time,
    task_time,
    tick_interval, // between two ticks
};

// Receives log events, latencies and counter increments.
class observer_port {
public:
    virtual ~observer_port() = default;
    virtual void log(log_level level, std::string_view event,
                     const log_fields& fields) = 0;
    virtual void record(latency_metric what, duration value) = 0;
    // Increments a counter for a label. Both strings must have static storage
    // duration: they are stored by reference.
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
