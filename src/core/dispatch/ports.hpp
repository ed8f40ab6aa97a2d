// Ports of the dispatcher: what it asks of endpoints, the store and callers.
//
// Calls return at once; each is answered once through an input of
// `dispatcher`, also when it times out. Not thread-safe.
#ifndef FIGRIDGE_CORE_DISPATCH_PORTS_HPP
#define FIGRIDGE_CORE_DISPATCH_PORTS_HPP

#include <optional>

#include "core/dispatch/messages.hpp"
#include "figridge/ports.hpp"

namespace figridge::dispatch {

// How an endpoint took a call.
enum class call_status {
    ok,
    stale_token,  // another holder has used a higher token
    outdated_run, // this run or a higher one has been there
    too_late,     // the deadline had passed on the endpoint's clock
    no_room,
    other_instance, // another life of the endpoint answered
    unavailable,    // refused for now; nothing was done
    rejected,       // refused for good; nothing was done
    not_sent,       // no connection could be made
    unanswered,     // may have been carried out, or may be later
};

// The endpoint and the holder's right to call it.
struct call_target {
    std::string endpoint;
    std::string address;
    std::uint64_t token = 0;
};

struct start_call {
    call_target target;
    task_run run;
    std::string payload;
    std::int64_t lease_deadline_ms = 0; // endpoint's clock
};

struct stop_call {
    call_target target;
    task_run run;
};

// Renews the lease if there is a deadline, acknowledges ends, and reads what
// runs and has ended; waits up to `wait_ms` for an end. The reply carries the
// call's number, since replies may overtake each other.
struct hold_call {
    call_target target;
    std::uint64_t acknowledged = 0;
    std::optional<std::int64_t> lease_deadline_ms;
    std::uint32_t wait_ms = 0;
    std::uint64_t number = 0;
};

struct call_reply {
    call_status status = call_status::unanswered;
    std::int64_t clock_ms = -1; // endpoint's clock; -1: not told
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
    virtual void start(const start_call& call) = 0;
    virtual void stop(const stop_call& call) = 0;
    virtual void hold(const hold_call& call) = 0;
};

enum class store_status { ok, conflict, unavailable, unknown };

class holder_store_port {
public:
    virtual ~holder_store_port() = default;
    // Writes the rows if each stored row still has the version named by the
    // new row's `version` (0: no row). All rows are of one failure domain.
    virtual void replace(std::uint64_t request,
                         const std::vector<holder_record>& rows) = 0;
};

enum class job_outcome {
    completed,
    failed,
    refused, // nothing of it ran
    unknown_queue,
    not_ready,
    gave_up, // tasks of it ran; they are over
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
    // Makes and keeps a connection.
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
