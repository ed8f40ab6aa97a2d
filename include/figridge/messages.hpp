// Messages between hosts.
//
// Hosts exchange envelopes over one ordered stream per direction. An
// envelope carries a header, used for membership and reliable delivery, and a
// payload of typed messages. The receiver handles the payload's lists in the
// order in which they are declared here.
#ifndef FIGRIDGE_MESSAGES_HPP
#define FIGRIDGE_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "figridge/catalogue.hpp"
#include "figridge/job.hpp"
#include "figridge/outcome.hpp"
#include "figridge/submission_id.hpp"

namespace figridge {

// State of the sending host, included in every envelope.
struct host_advert {
    std::uint32_t free_slots = 0;
    std::uint32_t total_slots = 0;
    std::uint32_t queued_tasks = 0;
    std::uint32_t endpoints_held = 0;
    std::uint32_t endpoints_ejected = 0;
    std::uint32_t mean_run_ms = 0;
    std::uint32_t recently_ended = 0; // tasks on non-ejected endpoints
    std::uint32_t recently_failed = 0;
    std::uint64_t catalogue_version = 0;
    bool draining = false;

    bool operator==(const host_advert&) const = default;
    MSGPACK_DEFINE(free_slots, total_slots, queued_tasks, endpoints_held,
                   endpoints_ejected, mean_run_ms, recently_ended,
                   recently_failed, catalogue_version, draining);
};

// Sends tasks of one job to a holder. `echo_us` is the latest timestamp of the
// holder's clock known to the coordinator; the holder starts none of the tasks
// later than `start_within_us` after it.
struct task_batch {
    struct item {
        std::uint32_t task = 0;
        std::uint32_t attempt = 0;
        task_spec spec;
        MSGPACK_DEFINE(task, attempt, spec);
    };
    submission_id id;
    std::string entry;
    std::string owner;
    priority_class priority = priority_class::normal;
    std::uint32_t task_deadline_ms = 0;
    std::uint64_t job_age_us = 0;
    std::int64_t echo_us = 0;
    std::int64_t start_within_us = 0;
    std::vector<item> items;

    MSGPACK_DEFINE(id, entry, owner, priority, task_deadline_ms, job_age_us,
                   echo_us, start_within_us, items);
};

enum class return_reason {
    queue_full,
    start_window_passed,
    rebalanced,
    no_endpoint,
    refused,
};

// Returns tasks to the coordinator: these attempts were not started and never
// will be.
struct task_return {
    return_reason reason = return_reason::queue_full;
    std::string hint; // address of a host with free slots, or empty
    std::vector<task_ref> refs;
    MSGPACK_DEFINE(reason, hint, refs);
};

enum class task_result_kind { ok, failed, deadline, lost, stopped };

struct task_result {
    task_ref ref;
    task_result_kind kind = task_result_kind::ok;
    std::string endpoint;
    std::string output;
    std::uint32_t run_ms = 0;
    std::uint32_t queue_ms = 0;
    MSGPACK_DEFINE(ref, kind, endpoint, output, run_ms, queue_ms);
};

// Tells a holder to discard a job's queued tasks and stop its running ones.
struct job_cancel {
    submission_id id;
    MSGPACK_DEFINE(id);
};

// Sent by a holder with free slots and an empty queue to request tasks from a
// loaded one.
struct pull_request {
    std::uint32_t slots = 0;
    MSGPACK_DEFINE(slots);
};

enum class forward_kind { submit, fetch, cancel, lookup };

// Forwards a caller's request to the host named by the id, or (`lookup`) asks
// whether the receiver stores the answer of a host that has shut down.
struct forward_request {
    std::uint64_t request = 0;
    forward_kind kind = forward_kind::fetch;
    submission_id id;
    job_request job;
    MSGPACK_DEFINE(request, kind, id, job);
};

struct forward_reply {
    std::uint64_t request = 0;
    bool invalid = false;
    job_answer answer;
    MSGPACK_DEFINE(request, invalid, answer);
};

enum class loan_kind { running, starts };

struct loan_request {
    std::uint64_t loan = 0;
    std::string entry;
    loan_kind kind = loan_kind::running;
    std::uint32_t amount = 0;
    MSGPACK_DEFINE(loan, entry, kind, amount);
};

struct loan_grant {
    std::uint64_t loan = 0;
    std::string entry;
    loan_kind kind = loan_kind::running;
    std::uint32_t amount = 0;
    MSGPACK_DEFINE(loan, entry, kind, amount);
};

// Ends a loan of running tasks: the borrower no longer uses any of it.
struct loan_return {
    std::uint64_t loan = 0;
    std::string entry;
    MSGPACK_DEFINE(loan, entry);
};

struct endpoint_info {
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 0;
    std::uint32_t cpu_millis = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;
    bool leaving = false;

    bool operator==(const endpoint_info&) const = default;
    MSGPACK_DEFINE(address, failure_domain, slots, cpu_millis, memory_mb,
                   accelerators, leaving);
};

enum class leaving_source {
    none,
    endpoint_answer,
    platform_list,
    operator_request,
};

// Marks an endpoint as leaving (or, with source `none`, as not leaving). The
// mark with the higher revision wins; on a tie, the one whose source is
// declared later in `leaving_source`.
struct leaving_mark {
    std::string endpoint;
    std::uint64_t revision = 0;
    leaving_source source = leaving_source::none;

    bool operator==(const leaving_mark&) const = default;
    MSGPACK_DEFINE(endpoint, revision, source);
};

struct catalogue_request {
    std::uint64_t have = 0;
    MSGPACK_DEFINE(have);
};

struct catalogue_snapshot {
    catalogue content;
    std::vector<endpoint_info> endpoints;
    MSGPACK_DEFINE(content, endpoints);
};

// The ids that an incarnation minted and used before its graceful shutdown.
// Jobs of unused ids have not run and never will.
struct retired_ids {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t first = 0;
    std::vector<bool> used; // indexed from `first`
    MSGPACK_DEFINE(host, incarnation, first, used);
};

// State that a host hands over when it shuts down: answers and used ids.
struct answer_handover {
    std::vector<job_answer> answers;
    std::vector<retired_ids> retired;
    MSGPACK_DEFINE(answers, retired);
};

struct peer_payload {
    std::vector<leaving_mark> marks;
    std::vector<catalogue_request> catalogue_requests;
    std::vector<catalogue_snapshot> catalogues;
    std::vector<task_batch> batches;
    std::vector<job_cancel> cancels;
    std::vector<pull_request> pulls;
    std::vector<task_return> returns;
    std::vector<task_result> results;
    std::vector<forward_request> forwards;
    std::vector<forward_reply> replies;
    std::vector<loan_request> loan_requests;
    std::vector<loan_grant> loan_grants;
    std::vector<loan_return> loan_returns;
    std::vector<answer_handover> handovers;

    [[nodiscard]] bool empty() const;
    MSGPACK_DEFINE(marks, catalogue_requests, catalogues, batches, cancels,
                   pulls, returns, results, forwards, replies, loan_requests,
                   loan_grants, loan_returns, handovers);
};

// `sequence` is 0 for an envelope without payload. `to_incarnation` is 0 until
// the sender knows the receiver's incarnation. `stamp_us` is the sender's clock
// when it sends; `echo_us` is the latest stamp that it has received from the
// receiver.
struct envelope {
    std::string from;
    std::string from_domain;
    std::uint64_t from_incarnation = 0;
    std::uint64_t to_incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t ack = 0;
    std::int64_t stamp_us = 0;
    std::int64_t echo_us = 0;
    host_advert advert;
    peer_payload payload;

    MSGPACK_DEFINE(from, from_domain, from_incarnation, to_incarnation,
                   sequence, ack, stamp_us, echo_us, advert, payload);
};

std::string_view to_string(return_reason reason);
std::string_view to_string(task_result_kind kind);
std::string_view to_string(leaving_source source);

} // namespace figridge

MSGPACK_ADD_ENUM(figridge::return_reason);
MSGPACK_ADD_ENUM(figridge::task_result_kind);
MSGPACK_ADD_ENUM(figridge::forward_kind);
MSGPACK_ADD_ENUM(figridge::loan_kind);
MSGPACK_ADD_ENUM(figridge::leaving_source);

#endif
