// Interfaces through which the dispatcher uses peers, endpoints, the store and
// callers.
//
// Calls return without blocking. Every call to an endpoint or the store is
// answered exactly once through an input of `dispatcher`, also after a
// time-out. Not thread-safe.
#ifndef FIGRIDGE_CORE_DISPATCH_PORTS_HPP
#define FIGRIDGE_CORE_DISPATCH_PORTS_HPP

#include <optional>

#include "core/dispatch/messages.hpp"
#include "figridge/ports.hpp"

namespace figridge::dispatch {

// Result of a call to an endpoint.
enum class call_status {
    ok,
    stale_token,  // another holder has used a higher token
    outdated_run, // the endpoint has seen this run or a higher one
    too_late,     // the deadline had passed on the endpoint's clock
    no_room,
    other_instance, // another instance of the endpoint answered
    unavailable,    // refused temporarily; no effect
    rejected,       // refused permanently; no effect
    not_sent,       // connection failed; no effect
    not_connected,  // no connection to the named instance; no effect
    unanswered,     // may have taken effect, or may do so later
};

// An endpoint and the token under which its holder calls it.
struct call_target {
    std::string endpoint;
    std::string address;
    std::uint64_t token = 0;
};

// A start is sent only on a connection on which the instance that began at
// `instance_started_ms` has answered a hold call: the deadline means nothing on
// the clock of a later instance, which has not seen the token of a later holder
// either. A connection ends with the process at its other end.
struct start_call {
    call_target target;
    task_run run;
    std::string payload;
    std::int64_t lease_deadline_ms = 0; // on the clock of that instance
    std::int64_t instance_started_ms = 0;
};

struct stop_call {
    call_target target;
    task_run run;
};

// Reads which runs are active and which have ended, waiting up to `wait_ms` for
// an end. Acknowledges ends up to `acknowledged`, and renews the lease if a
// deadline is given. The reply repeats `number`, since replies may be
// reordered.
struct hold_call {
    call_target target;
    std::uint64_t acknowledged = 0;
    std::optional<std::int64_t> lease_deadline_ms;
    std::uint32_t wait_ms = 0;
    std::uint64_t number = 0;
};

struct call_reply {
    call_status status = call_status::unanswered;
    std::int64_t clock_ms = -1; // on the endpoint's clock; -1: unknown
};

enum class end_kind { done, failed, stopped, lapsed };

struct running_entry {
    task_run run;
    std::uint32_t percent = 0;
};

struct ended_entry {
    std::uint64_t number = 0;
    task_run run;
    end_kind kind = end_kind::lapsed;
};

struct hold_reply {
    call_reply call;
    std::int64_t instance_started_ms = 0;
    std::vector<running_entry> running;
    std::vector<ended_entry> ended;
    std::uint64_t number = 0; // of the call
};

class endpoint_port {
public:
    virtual ~endpoint_port() = default;
    // Whether a connection to this instance is free, as far as is known, so
    // that a start for it can be sent at once. Not thread-safe.
    [[nodiscard]] virtual bool
    is_connected(const call_target& target,
                 std::int64_t instance_started_ms) const = 0;
    // Answered as `not_connected` if there is no connection to the instance
    // that the call names, also where `is_connected()` was true: the end of an
    // unused connection is noticed at its next use.
    virtual void start(const start_call& call) = 0;
    virtual void stop(const stop_call& call) = 0;
    virtual void hold(const hold_call& call) = 0;
};

enum class store_status { ok, conflict, unavailable, unknown };

class holder_store_port {
public:
    virtual ~holder_store_port() = default;
    // Writes all rows in one transaction if every stored row still has the
    // `version` of its new row (0: no stored row); otherwise none. All rows
    // must be of the same failure domain.
    virtual void replace(std::uint64_t request,
                         const std::vector<holder_record>& rows) = 0;
};

enum class job_outcome {
    completed,
    failed,
    refused, // no task of it ran
    unknown_queue,
    not_ready,
    gave_up, // tasks of it ran; none runs any more
};

struct job_answer {
    job_outcome outcome = job_outcome::refused;
    std::string reason;
    duration retry_after{0};
};

class caller_port {
public:
    virtual ~caller_port() = default;
    virtual void answer(caller_token token, const job_answer& answer) = 0;
};

class peer_port {
public:
    virtual ~peer_port() = default;
    // Opens a connection, and reopens it when it breaks.
    virtual void connect(const std::string& address) = 0;
    virtual void disconnect(const std::string& address) = 0;
    virtual void send(const std::string& address, const envelope& message) = 0;
};

struct dispatch_ports {
    peer_port& peers;
    endpoint_port& endpoints;
    holder_store_port& store;
    caller_port& callers;
    observer_port& observer;
};

std::string_view to_string(call_status status);
std::string_view to_string(end_kind kind);
std::string_view to_string(store_status status);
std::string_view to_string(job_outcome outcome);

} // namespace figridge::dispatch

#endif
