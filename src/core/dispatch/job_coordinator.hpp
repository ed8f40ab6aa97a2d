// Tracks each job from its arrival until its caller is answered, exactly once.
//
// The coordinator keeps all jobs in memory. It assigns tasks to holders, counts
// failed attempts, and answers when all tasks are done or one of them has used
// up its attempts. A task gets a new run only when its previous run has
// certainly ended. A task that crashes endpoints is given up: see
// docs/design/crashes.md.
#ifndef FIGRIDGE_CORE_DISPATCH_JOB_COORDINATOR_HPP
#define FIGRIDGE_CORE_DISPATCH_JOB_COORDINATOR_HPP

#include <set>

#include "core/dispatch/crash_ledger.hpp"
#include "core/dispatch/doubt_ledger.hpp"
#include "core/dispatch/holder_views.hpp"
#include "core/dispatch/ports.hpp"
#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {

// Messages that the coordinator sends to holders.
class coordinator_events {
public:
    virtual ~coordinator_events() = default;
    virtual void send_assignment(const process_id& holder,
                                 const task_assignment& assignment) = 0;
    virtual void send_withdrawal(const process_id& holder,
                                 const job_withdrawal& withdrawal) = 0;
    virtual void send_claim(const process_id& holder,
                            const adoption_claim& claim) = 0;
    virtual void send_recall(const process_id& holder,
                             const job_recall& recall) = 0;
    // Whether a start that the holder sent before it was lost may still be
    // carried out at an endpoint of the pool with the label (any if it is
    // empty), and the holder can't tell. Not thread-safe.
    [[nodiscard]] virtual bool
    may_start_late(const process_id& holder, const std::string& pool,
                   const std::string& label) const = 0;
    // The same for any start that the holder sent to the endpoint under this
    // token, which may extend the lease of all runs there. Not thread-safe.
    [[nodiscard]] virtual bool may_start_late_at(const process_id& holder,
                                                 const std::string& endpoint,
                                                 std::uint64_t token) const = 0;
    // Whether a job that arrives now may have been submitted before to a
    // process that has ended and could not tell this one of its starts. The
    // caller waits for `caller_timeout` for the answer to each submission. Not
    // thread-safe.
    [[nodiscard]] virtual bool
    may_have_come_before(duration caller_timeout) const = 0;
    // Whether this host may not have been told of starts at an endpoint of the
    // pool: a job that may have come before may have run. Not thread-safe.
    [[nodiscard]] virtual bool lacks_proof(const std::string& pool) = 0;
    // Whether a start of which this host was never told may still be carried
    // out at an endpoint of the pool, for a job that arrived then and whose
    // caller waits for `caller_timeout`; see `tenure_ledger`. Not thread-safe.
    [[nodiscard]] virtual bool is_unproved(const std::string& pool,
                                           timestamp arrived,
                                           duration caller_timeout) = 0;
    // Whether an endpoint that is not proved may be so within a caller's
    // time-out: false in a new process that can't read the rows. Not
    // thread-safe.
    [[nodiscard]] virtual bool may_prove_soon() const = 0;
    // Whether this host has the processor time for one more job. Each call
    // counts as one. Not thread-safe.
    [[nodiscard]] virtual bool admit_job() = 0;
    // Whether a step of the job could run only on endpoints whose failure
    // domains are evacuated. Not thread-safe.
    [[nodiscard]] virtual bool is_evacuated(const std::string& pool,
                                            const job& work) const = 0;
    // Whether an endpoint of the pool that the platform lists has the label, or
    // is in the rack; true if the list has not been read. Not thread-safe.
    [[nodiscard]] virtual bool
    is_label_listed(const std::string& pool,
                    const std::string& label) const = 0;
    [[nodiscard]] virtual bool
    is_rack_listed(const std::string& pool, const std::string& rack) const = 0;
    // Sends the doubt to all hosts, this one included. Not thread-safe.
    virtual void announce_doubt(const start_doubt& doubt) = 0;
};

struct job_submission {
    job work;
    queue_policy queue;
    duration caller_timeout{0}; // how long the caller waits for an answer
    std::string request_id;
    // `refuse_unread()` has counted it as accepted.
    bool admitted = false;
};

// What is known of a job before its body is read.
struct unread_job {
    std::string id;
    queue_policy queue;
    duration caller_timeout{0};
    std::string request_id;
};

// An open job as shown to operators.
struct job_summary {
    std::string id;
    std::string queue;
    std::string request_id;
    bool started = false;
    std::size_t tasks = 0;
    std::size_t open_tasks = 0;
    duration age{0};
};

// Owned by a `dispatcher`. Not thread-safe.
class job_coordinator {
public:
    // `crashes` and `doubts` must outlive the coordinator.
    job_coordinator(const dispatch_settings& settings, holder_views& views,
                    const crash_ledger& crashes, const doubt_ledger& doubts,
                    caller_port& callers, observer_port& observer,
                    coordinator_events& events);

    void submit(timestamp now, caller_token token, job_submission submission);
    // See `dispatcher::refuse_unread()`. Not thread-safe.
    [[nodiscard]] std::optional<job_answer>
    refuse_unread(timestamp now, const unread_job& unread);
    // Call when the caller has closed its connection; ends its job.
    void drop_caller(timestamp now, caller_token token);
    void handle_update(timestamp now, const process_id& holder,
                       const task_update& update);
    void handle_adoption(timestamp now, const process_id& holder,
                         const endpoint_adoption& adoption);
    // Contact with a holder is lost. Its tasks may be queued there or run on
    // any endpoint that it holds, or that it takes over before it drops the
    // tasks of this host. All runs that were reported on an instance known to
    // the holder have ended at `runs_end_by`. A run is resolved earlier only by
    // an adoption of the endpoint that it was reported on, and later while its
    // start may come (`coordinator_events::may_start_late()`). Not thread-safe.
    void handle_holder_lost(const process_id& holder, timestamp runs_end_by);
    // Contact with the same process is restored: it still has its tasks, or
    // reports those that it dropped meanwhile. By `doubts_told_by` it has told
    // which of its starts may still be carried out. Not thread-safe.
    void handle_holder_recovered(const process_id& holder,
                                 timestamp doubts_told_by = timestamp{0});
    // Assignments to the holder, or its reports, were dropped in transit. Runs
    // whose end is not reported by `runs_end_by` have ended by then.
    void handle_reports_lost(const process_id& holder, timestamp runs_end_by);
    // Each endpoint has answered a call under this token: runs under lower ones
    // have ended by `runs_end_by`. Not thread-safe.
    void handle_fences(timestamp now, const std::vector<endpoint_fence>& fences,
                       timestamp runs_end_by);
    // The platform does not list the endpoint any more. Not thread-safe.
    void handle_endpoint_gone(timestamp now, const std::string& endpoint);
    void tick(timestamp now);
    // Gives up all jobs. Needed after this process was suspended for so long
    // that others may have run them again.
    void abandon_all(timestamp now, std::string_view reason);

    [[nodiscard]] std::size_t job_count() const { return jobs_.size(); }
    // Tasks of all open jobs, ended ones included. Not thread-safe.
    [[nodiscard]] std::size_t task_count() const { return task_count_; }
    // The holders that tasks of open jobs are placed with.
    [[nodiscard]] std::set<process_id> holders() const;
    [[nodiscard]] std::vector<job_summary> summaries(timestamp now) const;
    // Number of jobs of `queue` of which no task has started.
    [[nodiscard]] std::size_t waiting(const std::string& queue) const;

private:
    enum class task_phase { blocked, unplaced, placed, done };

    // A run with the number of the task's own that a later holder found on an
    // endpoint, and that was claimed. It may be the one of another coordinator
    // of the job: both number their runs from 1.
    struct found_run {
        process_id holder;
        std::string endpoint;
        std::uint64_t token = 0;
        std::optional<timestamp> ends_by; // set while `holder` is lost
        bool report_lost = false;
    };

    struct task_state {
        task_phase phase = task_phase::blocked;
        process_id holder;
        std::string endpoint;    // empty until known
        std::uint64_t token = 0; // under which the run was last reported
        // Its run has ended at `runs_end_by`: no start that is carried out late
        // extends its lease. See `task_update::known_instance`.
        bool bound_holds = false;
        std::uint32_t run = 1;
        std::uint32_t failures = 0;
        std::uint32_t moves = 0;
        std::vector<std::string> avoid;
        process_id returned_by;   // the holder that gave it back last
        bool held_back = false;   // not placed, as endpoints crashed under it
        bool in_doubt = false;    // not placed, as another run may start
        timestamp runs_end_by{0}; // set if `holder_lost`
        bool holder_lost = false;
        bool report_lost = false; // its end may never be reported
        // The bound has passed, but the start may still come.
        bool awaits_endpoints = false;
        // Replaces the task's own run once that one has certainly ended.
        std::optional<found_run> found;
        // Done by a found run; the task's own may still be queued or run.
        bool own_run_open = false;
    };

    struct step_state {
        std::vector<task_state> tasks;
        std::size_t remaining = 0;
    };

    struct job_state {
        caller_token token = 0;
        job_submission submission;
        timestamp arrived{0};
        timestamp answer_by{0};
        timestamp caller_deadline{0};
        std::vector<step_state> steps;
        bool any_started = false;
        // A process that has ended may have sent runs of the job to endpoints.
        bool may_have_come_before = false;
        // Such runs can't be started any more, or the job is a new one.
        bool proved = true;
        bool awaits_proof = false; // and that was logged
        // No run of the job was sent to an endpoint, as far as is known.
        bool never_sent = true;
        // The holders were asked to return the tasks, since the job can't be
        // completed in time. They are not placed again.
        bool recalled = false;
    };

    struct cached_answer {
        job_answer answer;
        timestamp expires_at{0};
    };

    // Runs of a job that was not completed; the job may be submitted again.
    struct former_runs {
        std::uint32_t highest_run = 0;
        timestamp expires_at{0};
        bool proved = true; // see `job_state`
    };

    struct recent_adoption {
        process_id holder;
        endpoint_adoption adoption;
        timestamp at{0};
    };

    // Raises a need below `min_task_cpu`, and shortens the names of racks that
    // no endpoint of the pool is in.
    void adjust_need(const std::string& pool, task_need& need) const;
    task_state* find(const task_key& key, job_state** owner = nullptr);
    void unblock_steps(job_state& state);
    void place(timestamp now, job_state& state);
    // Makes a task ready for placement, unless `found` replaces its run. It
    // gets a new run number unless the run never reached an endpoint
    // (`returned`), and avoids `endpoint` if `cause` is `failed`, `refused` or
    // `lost`. `why` is only logged.
    void reschedule(const task_key& key, task_state& task, update_kind cause,
                    const std::string& endpoint, std::string_view why);
    // Whether the start of the lost holder's task may still be carried out, or
    // its run last longer than its bound. Logs the first time. Precondition:
    // the bound of the task has passed.
    bool may_start_late(const job_state& state, const task_key& key,
                        task_state& task);
    void apply_update(timestamp now, job_state& state, task_state& task,
                      const task_update& update);
    // The answer to a job with a task, not done yet, under which too many
    // endpoints have certainly crashed; nothing if there is none.
    [[nodiscard]] std::optional<job_answer>
    find_crashing_task(const job& work) const;
    // Ends the jobs for which `find_crashing_task()` has an answer, if the
    // ledger has changed since the last call.
    void fail_crashing_jobs(timestamp now);
    // Whether the task must not be placed because of the crashes under it.
    bool hold_back(const task_key& key, task_state& task,
                   const task_crashes& crashes);
    // Whether the task must not be placed because an unanswered start of it may
    // still be carried out.
    bool hold_in_doubt(const task_key& key, task_state& task);
    // Whether the job must not be placed because processes that have ended may
    // have started its tasks. Logs when that changes.
    bool hold_unproved(job_state& state);
    // An open doubt about a task shows that the job was sent to an endpoint.
    void note_doubts(job_state& state) const;
    // Tells all hosts of the starts of a job that is given up which no holder
    // may tell: those of lost holders, and those that were disowned. Those of
    // holders that are lost within `idle_suspect_after` follow then.
    void announce_doubts(timestamp now, const job_state& state);
    void announce_doubt(const start_doubt& doubt);
    void forget_given_up_starts(timestamp now);
    // Report of the holder of `task.found`.
    void apply_found_update(timestamp now, job_state& state, task_state& task,
                            const task_update& update);
    // Whether the endpoint has answered a call under a higher token than that
    // of the update.
    [[nodiscard]] bool is_adopted_since(const task_update& update) const;
    // Applies the retained adoption of the task's endpoint to a task that was
    // reported on it after the adoption had arrived.
    void apply_kept_adoption(timestamp now, job_state& state, task_state& task,
                             const task_update& update);
    // Precondition: `task.found` is set.
    static void follow_found_run(task_state& task);
    void claim_run(const process_id& holder, const endpoint_adoption& adoption,
                   const task_run& run, const task_need& need,
                   const process_id& former, bool endpoint_known,
                   adoption_claim& claim);
    // Precondition: `task.found` is on the endpoint of the adoption, which is
    // later. May end the job.
    void apply_adoption_to_found(timestamp now, const process_id& holder,
                                 const endpoint_adoption& adoption,
                                 job_state& state, task_state& task,
                                 const task_run& run, adoption_claim& claim);
    void apply_adoption(timestamp now, const process_id& holder,
                        const endpoint_adoption& adoption, job_state& state,
                        std::uint32_t step, std::uint32_t index,
                        adoption_claim& claim);
    // Whether a task that has not started could not end before the caller's
    // deadline even if it started now on the fastest endpoint.
    static bool cannot_complete_in_time(timestamp now, const job_state& state);
    static duration min_job_time(const job& work);
    // Whether a job that was never sent can't be completed in time if it waits
    // for `queue_wait`.
    static bool is_hopeless(timestamp now, const job_state& state,
                            duration queue_wait);
    // Asks the holders of the job's tasks to return them.
    void recall(timestamp now, job_state& state);
    // Refuses a recalled job once all its tasks are back. Returns whether it
    // did, which ends the job.
    bool refuse_recalled(timestamp now, const std::string& id);
    void withdraw(const job_state& state);
    void record_former_runs(timestamp now, const job_state& state);
    void finish(timestamp now, const std::string& id, const job_answer& answer);
    void refuse(timestamp now, caller_token token,
                const job_submission& submission, const job_answer& answer);
    // `state`: of the job here when it came again. `first_run` is that of its
    // tasks, 0 if they go on with their present runs.
    void log_resubmission(const job_submission& submission,
                          std::string_view state, std::uint32_t first_run);
    void log_job(log_level level, std::string_view event,
                 const job_state& state, const job_answer& answer,
                 timestamp now);

    const dispatch_settings& settings_;
    holder_views& views_;
    const crash_ledger& crashes_;
    const doubt_ledger& doubts_;
    caller_port& callers_;
    observer_port& observer_;
    coordinator_events& events_;
    std::map<std::string, job_state> jobs_;
    std::size_t task_count_ = 0; // of `jobs_`
    std::map<caller_token, std::string> job_of_caller_;
    std::map<std::string, cached_answer> cached_answers_;
    std::map<std::string, former_runs> former_runs_;
    // Of the ledger when jobs were last looked through.
    std::uint64_t crashes_generation_ = 0;
    // Starts of jobs that were given up, by holder and with the time: if the
    // holder is lost soon after, it may have ended before it could tell them.
    std::map<process_id, std::vector<std::pair<timestamp, start_doubt>>>
        given_up_starts_;
    std::optional<timestamp> no_holder_since_;
    std::map<std::string, recent_adoption> recent_adoptions_;
    // By endpoint: the highest token of its adoptions and when it arrived.
    std::map<std::string, std::pair<std::uint64_t, timestamp>> adoption_tokens_;
};

} // namespace figridge::dispatch

#endif
