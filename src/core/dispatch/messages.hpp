// Messages between the dispatchers of two hosts.
//
// Payloads are delivered once and in order to one incarnation of a peer, unless
// they are dropped, which both sides are told; see `peer_sessions`. Every
// envelope carries an advert, which replaces the previous one.
#ifndef FIGRIDGE_CORE_DISPATCH_MESSAGES_HPP
#define FIGRIDGE_CORE_DISPATCH_MESSAGES_HPP

#include <limits>
#include <string_view>

#include <absl/status/status.h>

#include "core/dispatch/types.hpp"

namespace figridge::dispatch {

// State and load of a process. `free_cpu` lists the unused processor capacity,
// in thousandths of a core, of each held endpoint that accepts work.
struct advert {
    std::uint64_t catalogue_version = 0;
    bool draining = false;
    double cpu_share = 0.0;
    std::uint32_t endpoints_held = 0;
    std::uint32_t capacity_cpu = 0;
    std::uint64_t queued_cpu_ms = 0; // processor time queued tasks need
    std::uint32_t queued_tasks = 0;
    std::uint32_t largest_cpu = 0; // of one endpoint
    std::uint32_t largest_memory_mb = 0;
    std::vector<std::uint32_t> free_cpu;
    // Whether the process has a list of endpoints, without which it can hold
    // none. This and the next ones are last, so that older peers can read the
    // fields before them.
    bool knows_endpoints = true;
    // `queued_cpu_ms` by priority, the highest first; the last entry includes
    // all lower priorities. Empty if sent by an older peer.
    std::vector<std::uint64_t> queued_cpu_ms_by_priority;
    // How late the process reads its inputs; see `local_lateness`. 0 if sent by
    // an older peer.
    std::uint32_t late_ms = 0;
    // Further tasks that the process takes; it returns those beyond. Older
    // peers take any number.
    std::uint32_t task_room = std::numeric_limits<std::uint32_t>::max();

    MSGPACK_DEFINE(catalogue_version, draining, cpu_share, endpoints_held,
                   capacity_cpu, queued_cpu_ms, queued_tasks, largest_cpu,
                   largest_memory_mb, free_cpu, knows_endpoints,
                   queued_cpu_ms_by_priority, late_ms, task_room);
};

// Assigns tasks of one job to a holder. Times are relative to the sending; the
// holder limits them to `max_wait`, as older peers send longer ones.
struct task_assignment {
    struct item {
        task_run run;
        task_need need;
        std::vector<std::string> avoid; // endpoints this task failed on
        // Endpoint instances that have, or may have, crashed under the task.
        // Last, so that older peers can read the fields before it.
        std::uint32_t crashes = 0;
        MSGPACK_DEFINE(run, need, avoid, crashes);
    };
    std::string job;
    std::string payload;
    std::string pool;
    std::uint32_t priority = 0;
    std::int64_t objective_us = 0; // time left to the latency objective
    std::int64_t patience_us = 0;  // time left until the caller gives up
    std::vector<item> items;
    // The queue of the job. Last, so that older peers can read the fields
    // before it; empty if sent by one of them.
    std::string queue;

    MSGPACK_DEFINE(job, payload, pool, priority, objective_us, patience_us,
                   items, queue);
};

// Cancels all tasks of a job at a holder: queued ones are dropped, running
// ones stopped.
struct job_withdrawal {
    std::string job;
    MSGPACK_DEFINE(job);
};

// Asks a holder for the tasks of a job that it has not started; it returns
// each of them.
struct job_recall {
    std::string job;
    MSGPACK_DEFINE(job);
};

enum class update_kind {
    started,
    done,
    failed,   // ran and failed
    stopped,  // ran and was stopped
    lost,     // may have run; does not run any more
    refused,  // the endpoint did not start it
    outdated, // the endpoint has seen this run or a higher one
    returned, // never sent to an endpoint
    disowned, // may run on an endpoint that now has another holder
};

struct task_update {
    task_run run;
    update_kind kind = update_kind::returned;
    std::string endpoint;
    std::uint64_t token = 0; // under which the holder held the endpoint
    // The run is on an instance whose clock the holder knows, so that no start
    // that is carried out late extends its lease. Last, so that older peers can
    // read the fields before it.
    bool known_instance = false;
    MSGPACK_DEFINE(run, kind, endpoint, token, known_instance);
};

// Runs that a new holder found on an endpoint when it took it over.
struct endpoint_adoption {
    std::string endpoint;
    process_id former;
    std::uint64_t token = 0;
    std::vector<task_run> running;
    std::vector<task_update> ended;
    MSGPACK_DEFINE(endpoint, former, token, running, ended);
};

// Reply to an adoption: the runs that the sender still needs.
struct adoption_claim {
    struct item {
        task_run run;
        task_need need;
        MSGPACK_DEFINE(run, need);
    };
    std::string endpoint;
    std::vector<item> items;
    MSGPACK_DEFINE(endpoint, items);
};

// Transfers an endpoint from a draining holder to the receiver, under a token
// that only the sender can assign. The sender makes no more calls to the
// endpoint. `version` is that of the stored row.
struct endpoint_grant {
    std::string endpoint;
    std::uint64_t token = 0;
    std::uint64_t version = 0;
    MSGPACK_DEFINE(endpoint, token, version);
};

// What is known of an endpoint instance on which a run was lost.
enum class crash_evidence {
    none,     // it has answered since
    refusing, // it refuses connections, which a cut may cause as well
    ended,    // it has ended
};

// A run whose endpoint has, or may have, crashed while it ran there. Sent to
// all hosts; a later report of the same run and instance replaces an earlier
// one. `queue` is empty if the holder does not know it.
struct crash_report {
    task_run run;
    std::string queue;
    std::string endpoint;
    std::int64_t instance_started_ms = 0;
    crash_evidence evidence = crash_evidence::none;
    MSGPACK_DEFINE(run, queue, endpoint, instance_started_ms, evidence);
};

// A start that may still be carried out, or whose run may still go on, although
// its coordinator may not know. Sent to all hosts; `over` ends an earlier one
// of the same run and endpoint. `holder` has sent the start to `endpoint` under
// `token`. If `endpoint` is empty, `holder` is lost and may have sent it to any
// endpoint that it held.
struct start_doubt {
    task_run run;
    process_id holder;
    std::string endpoint;
    std::uint64_t token = 0;
    bool over = false;
    // Told by the coordinator of a job that was given up, since `holder` was
    // lost. Nobody ends it; it is over once `holder` tells its doubts itself,
    // or the endpoints that it held have answered others.
    bool holder_lost = false;
    // What an endpoint needs for the task; only set if `holder_lost`.
    std::string pool;
    std::string required_label;
    MSGPACK_DEFINE(run, holder, endpoint, token, over, holder_lost, pool,
                   required_label);
};

// The endpoint has answered the sender under `token`, so it refuses calls under
// any lower one. Sent when two hosts are in contact again, since announced
// adoptions may have been missed meanwhile.
struct endpoint_fence {
    std::string endpoint;
    std::uint64_t token = 0;
    // The runs that the endpoint listed then have ended, or their coordinators
    // have claimed them. Last, so that older peers can read the fields before
    // it.
    bool runs_resolved = false;
    MSGPACK_DEFINE(endpoint, token, runs_resolved);
};

// The processes that the sender does not hear. The receiver passes on what they
// tell. Replaces the sender's last request.
struct relay_request {
    std::vector<process_id> unheard;
    MSGPACK_DEFINE(unheard);
};

// What `origin` has told the sender, for a receiver that does not hear it.
struct relayed_report {
    process_id origin;
    std::vector<start_doubt> doubts;
    std::vector<endpoint_fence> fences; // of endpoints that `origin` holds
    MSGPACK_DEFINE(origin, doubts, fences);
};

// Starts of one job that the sender is sending to its endpoints. If the sender
// is lost before it can tell which of them stay unanswered, the receiver tells
// all hosts of them. Without a job and items, it ends all that the sender has
// told the receiver before.
struct start_notice {
    struct item {
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        std::uint32_t run = 0;
        std::string endpoint;
        std::uint64_t token = 0;
        MSGPACK_DEFINE(step, index, run, endpoint, token);
    };
    std::string job;
    std::vector<item> items;
    MSGPACK_DEFINE(job, items);
};

// The present instance of an endpoint, which began `age_ms` or more before this
// was sent. Sent by the holder under `token`, which reads the clock of this
// instance from now on; or by a host that the instance has answered after the
// holder under `token` had ended.
struct instance_age {
    std::string endpoint;
    std::int64_t instance_started_ms = 0; // as the instance says
    std::uint64_t age_ms = 0;
    std::uint64_t token = 0;
    MSGPACK_DEFINE(endpoint, instance_started_ms, age_ms, token);
};

struct catalogue_query {
    std::uint64_t known_version = 0;
    MSGPACK_DEFINE(known_version);
};

// The text of a catalogue version as the platform stores it.
struct catalogue_text {
    std::string text;
    MSGPACK_DEFINE(text);
};

struct payload {
    std::vector<catalogue_query> catalogue_queries;
    std::vector<catalogue_text> catalogues;
    std::vector<task_assignment> assignments;
    std::vector<job_withdrawal> withdrawals;
    std::vector<endpoint_adoption> adoptions;
    std::vector<adoption_claim> claims;
    std::vector<task_update> updates;
    // Last, so that older peers can read the fields before them.
    std::vector<endpoint_grant> grants;
    std::vector<crash_report> crashes;
    std::vector<job_recall> recalls;
    std::vector<start_doubt> doubts;
    std::vector<endpoint_fence> fences;
    std::vector<relay_request> relay_requests;
    std::vector<relayed_report> relayed;
    std::vector<start_notice> start_notices;
    std::vector<instance_age> instance_ages;

    [[nodiscard]] bool empty() const {
        return catalogue_queries.empty() && catalogues.empty() &&
               assignments.empty() && withdrawals.empty() &&
               adoptions.empty() && claims.empty() && updates.empty() &&
               grants.empty() && crashes.empty() && recalls.empty() &&
               doubts.empty() && fences.empty() && relay_requests.empty() &&
               relayed.empty() && start_notices.empty() &&
               instance_ages.empty();
    }
    MSGPACK_DEFINE(catalogue_queries, catalogues, assignments, withdrawals,
                   adoptions, claims, updates, grants, crashes, recalls, doubts,
                   fences, relay_requests, relayed, start_notices,
                   instance_ages);
};

// `sequence` numbers the payload, 0 if there is none; payloads before
// `first_sequence` have been acknowledged or dropped. `to_incarnation` is 0
// until the sender knows the receiver's. `stamp_us` is the sender's clock,
// `echo_us` the latest stamp received from the receiver, and `content_echo_us`
// the value of `echo_us` when the payload was first sent.
//
// `stream` identifies the sender's numbering: a sender that has forgotten the
// receiver begins a new one with a higher `stream`. `ack_stream` is the latest
// `stream` received from the receiver: `ack` counts payloads of that one, and
// the payload was sent to a receiver that remembers it. Both are 0 in envelopes
// of older versions.
struct envelope {
    process_id from;
    std::string failure_domain;
    std::uint64_t to_incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t ack = 0;
    std::int64_t stamp_us = 0;
    std::int64_t echo_us = 0;
    std::int64_t content_echo_us = 0;
    advert about;
    payload content;
    std::uint64_t first_sequence = 0;
    // Last, so that older peers can read the fields before them.
    std::uint64_t stream = 0;
    std::uint64_t ack_stream = 0;

    MSGPACK_DEFINE(from, failure_domain, to_incarnation, sequence, ack,
                   stamp_us, echo_us, content_echo_us, about, content,
                   first_sequence, stream, ack_stream);
};

std::string_view to_string(update_kind kind);
std::string_view to_string(crash_evidence evidence);

// An envelope as it was read. If `content` is an error, the payload can't be
// read and is empty.
struct received_envelope {
    envelope message;
    absl::Status content;
};

// Reads an unpacked envelope. Throws `msgpack::type_error` if anything but its
// payload can't be read. Thread-safe.
received_envelope read_envelope(const msgpack::object& unpacked);

// These check that fields are in range; the error names the first that is not.
// A peer of the same version sends only valid envelopes. Thread-safe.
//
// All but the payload. An envelope with an error here counts for nothing.
absl::Status check_header(const envelope& message);
// The payload. One with an error is not handled, and its sender learns it.
absl::Status check_content(const payload& content);
// Both.
absl::Status check_envelope(const envelope& message);

} // namespace figridge::dispatch

MSGPACK_ADD_ENUM(figridge::dispatch::update_kind);
MSGPACK_ADD_ENUM(figridge::dispatch::crash_evidence);

#endif
