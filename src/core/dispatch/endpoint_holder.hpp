// The endpoints that a host holds, and the queue of tasks for them.
//
// Coordinators assign tasks; the holder queues them, starts each on the
// endpoint with the lowest cost, and reports their progress and outcome. It
// talks to coordinators only through `holder_events`.
#ifndef FIGRIDGE_CORE_DISPATCH_ENDPOINT_HOLDER_HPP
#define FIGRIDGE_CORE_DISPATCH_ENDPOINT_HOLDER_HPP

#include <set>

#include "core/dispatch/crash_compartment.hpp"
#include "core/dispatch/endpoint_session.hpp"
#include "core/dispatch/evacuation.hpp"
#include "core/dispatch/start_planner.hpp"
#include "core/dispatch/task_queue.hpp"

namespace figridge::dispatch {

class holder_events {
public:
    virtual ~holder_events() = default;
    virtual void send_update(const process_id& coordinator,
                             const task_update& update) = 0;
    virtual void announce(const endpoint_adoption& adoption) = 0;
    // Sends the report to all hosts, this one included.
    virtual void announce_crash(const crash_report& report) = 0;
    // The same with a doubt, or its end.
    virtual void announce_doubt(const start_doubt& doubt) = 0;
    // A start is sent to the endpoint in this input.
    virtual void note_start(const process_id& coordinator, const task_run& run,
                            const std::string& endpoint,
                            std::uint64_t token) = 0;
    // See `session_events::last_contact`.
    [[nodiscard]] virtual timestamp
    last_contact(const process_id& coordinator) const = 0;
};

// Owned by a `dispatcher`. Not thread-safe.
class endpoint_holder final : session_events {
public:
    endpoint_holder(const dispatch_settings& settings, endpoint_port& port,
                    observer_port& observer, holder_events& events,
                    evacuation& evacuated);

    // --- held endpoints ---
    // Begins to hold an endpoint whose stored row names this host as holder
    // with `token`. `former` is the previous holder.
    void take(timestamp now, const endpoint_record& endpoint,
              std::uint64_t token, const process_id& former);
    // Another host holds the endpoint now.
    void release(timestamp now, const std::string& endpoint);
    void update_endpoint(timestamp now, const endpoint_record& endpoint);
    void mark_gone(timestamp now, const std::string& endpoint);
    // Failure domains were evacuated or taken back. Not thread-safe.
    void handle_evacuation_change(timestamp now) { begin_change(now); }
    // The endpoints whose present instance the platform's list has not shown,
    // and when that instance started. Not thread-safe.
    [[nodiscard]] std::vector<std::pair<std::string, std::int64_t>>
    awaited_entries() const;
    // The platform's list was last read then. Once it can't be read, awaited
    // instances get tasks that require no label. Not thread-safe.
    void use_without_entries(timestamp now, timestamp list_read_at);
    [[nodiscard]] bool holds(const std::string& endpoint) const;
    [[nodiscard]] std::uint64_t token_of(const std::string& endpoint) const;
    [[nodiscard]] const std::map<std::string,
                                 std::unique_ptr<endpoint_session>>&
    sessions() const {
        return sessions_;
    }

    // --- coordinators ---
    // Returns the tasks beyond `max_held_tasks`. Not thread-safe.
    void assign(timestamp now, const process_id& coordinator,
                const task_assignment& assignment);
    void withdraw(timestamp now, const process_id& coordinator,
                  const std::string& job);
    // Returns the tasks of the job that were not started.
    void recall(const process_id& coordinator, const std::string& job);
    void claim(timestamp now, const process_id& coordinator,
               const adoption_claim& claim);
    // Drops the queued tasks and stops the runs of a coordinator that is no
    // longer heard.
    void abandon(timestamp now, const process_id& coordinator);
    // This process was paused: returns the queued tasks, which other hosts may
    // have placed again, and uses no endpoint before it has answered.
    void handle_process_pause(timestamp now);
    // This process does not hear a host that may have taken over its endpoints,
    // for this reason; empty: it hears all of them. Later instances of the
    // endpoints are fenced meanwhile, and a start is sent right after an answer
    // of the known one. Not thread-safe.
    void set_unheard_successors(std::optional<fence_cause> why);
    // Whether a start to an endpoint held here needs an answer of it in the
    // same input. Not thread-safe.
    [[nodiscard]] bool confirms_starts() const;
    // Returns queued tasks that would fit endpoints of other holders now, or
    // that need more than the capacity of each endpoint held here.
    // `free_cpu` is the unused processor share of each of those endpoints, in
    // thousandths of a core.
    void return_queued(std::vector<std::uint32_t> free_cpu);
    void return_all();

    // A report of this or another holder.
    void record_crash(timestamp now, const crash_report& report);

    // --- endpoints' replies ---
    void handle_hold(timestamp now, const std::string& endpoint,
                     std::uint64_t token, const hold_reply& reply);
    void handle_start(timestamp now, const std::string& endpoint,
                      std::uint64_t token, const task_run& run,
                      const call_reply& reply);
    void handle_stop(timestamp now, const std::string& endpoint,
                     std::uint64_t token, const task_run& run,
                     const call_reply& reply);
    // Whether the ticks of this process are late, so that answers may wait to
    // be read. Takes effect with the next `tick()`. Not thread-safe.
    void set_late(bool late) { is_late_ = late; }
    void tick(timestamp now);

    // Starts the queued tasks that fit. Called once after each batch of inputs.
    void dispatch(timestamp now);

    void fill(advert& about) const;
    [[nodiscard]] const task_queue& queue() const { return queue_; }
    [[nodiscard]] const crash_compartment& compartment() const {
        return compartment_;
    }
    // Whether the start may be carried out late and other hosts were not told
    // so. Not thread-safe.
    [[nodiscard]] bool is_untold_start(const std::string& endpoint,
                                       std::uint64_t token,
                                       const task_run& run) const;
    [[nodiscard]] std::size_t running_tasks() const;
    // Tasks queued or running here. Not thread-safe.
    [[nodiscard]] std::size_t held_tasks() const {
        return queue_.size() + runs_.size();
    }
    // The same on endpoints of the failure domain. Not thread-safe.
    [[nodiscard]] std::size_t
    running_tasks_in(const std::string& failure_domain) const;
    // Coordinators with queued or running tasks here.
    [[nodiscard]] std::set<process_id> coordinators() const;
    // Returns the endpoints fenced since the last call, with their tokens.
    std::vector<std::pair<std::string, std::uint64_t>> take_fenced();

private:
    void on_adopted(endpoint_session& session,
                    const endpoint_adoption& found) override;
    void on_run_finished(endpoint_session& session, const run_entry& entry,
                         update_kind kind) override;
    void on_started(endpoint_session& session, const run_entry& entry) override;
    void on_fenced(endpoint_session& session) override;
    void on_crash_evidence(endpoint_session& session,
                           const std::vector<lost_run>& runs,
                           crash_evidence evidence,
                           std::int64_t instance_started_ms) override;
    void on_instance_began(endpoint_session& session,
                           std::size_t runs) override;
    [[nodiscard]] timestamp
    last_contact(const process_id& coordinator) const override {
        return events_.last_contact(coordinator);
    }

    endpoint_session* find(const std::string& endpoint, std::uint64_t token);
    // An endpoint that accepts tasks, and its free resources.
    struct available_endpoint {
        endpoint_session* session = nullptr;
        resources room;
    };
    // Whether the failure domain of the endpoint is not evacuated.
    [[nodiscard]] bool is_admitted(const endpoint_session& session) const {
        return evacuation_.admits(session.endpoint().failure_domain);
    }
    // Free resources, less what an endpoint may not use yet after its failure
    // domain was taken back. One task may start on an idle endpoint whatever
    // its size, so that none waits for a larger share.
    [[nodiscard]] resources usable_room(const endpoint_session& session) const;
    // Returns the queued tasks that no endpoint held here may start since
    // failure domains are evacuated.
    void return_evacuated();
    [[nodiscard]] std::vector<available_endpoint> list_available(timestamp now);
    // The same, listed again only if an endpoint may have changed.
    std::vector<available_endpoint>& available_endpoints(timestamp now);
    // An input is handled that may change endpoints or runs.
    void begin_change(timestamp now);
    void place_queued(timestamp now);
    // Where a task may start while a queue of its pool is confined.
    enum class placement_zone { any, inside_compartment, outside_compartment };
    available_endpoint* choose(std::vector<available_endpoint>& available,
                               const queued_task& task,
                               bool confined_waits) const;
    available_endpoint* choose_in(placement_zone zone,
                                  std::vector<available_endpoint>& available,
                                  const queued_task& task) const;
    // Why `choose()` found no endpoint for the task.
    [[nodiscard]] queue_verdict
    refusal_of(const std::vector<available_endpoint>& available,
               const queued_task& task, bool confined_waits) const;

    // --- look-ahead: see `start_planner` ---
    // Shows the planner the endpoints that accept tasks; gives up all
    // reservations if the setting is off.
    void begin_look_ahead(timestamp now);
    // As `choose()`, by the planner if the setting is on. Isolation and
    // compartments decide first.
    available_endpoint* choose_ahead(std::vector<available_endpoint>& available,
                                     const queued_task& task,
                                     bool confined_waits);
    // Whether the task may start there, apart from room and reservations.
    [[nodiscard]] bool admits_in(placement_zone zone,
                                 const endpoint_session& session,
                                 const queued_task& task) const;
    void report_reservations();
    // Starts that are not answered yet, on all endpoints.
    [[nodiscard]] std::size_t open_starts() const;
    // Whether a start may be sent there before others are answered.
    [[nodiscard]] bool may_send_start(const endpoint_session& session) const {
        return session.may_send_start() &&
               open_starts_ < settings_.max_open_starts_in_all;
    }
    // Whether new tasks may be sent to the endpoint, apart from room.
    [[nodiscard]] bool is_open(timestamp now,
                               const endpoint_session& session) const;

    // Whether an endpoint is slow while at most half of those held are.
    [[nodiscard]] bool is_slow_outlier(timestamp now,
                                       const endpoint_session& session) const;
    [[nodiscard]] bool may_start_on_slow_endpoint(const queued_task& task,
                                                  double run_ms) const;
    void move_from_slow_endpoints(timestamp now);
    static bool finishes_sooner_elsewhere(timestamp now,
                                          const run_entry& entry);
    static bool reserve(std::vector<available_endpoint>& available,
                        const std::string& pool, const resources& need);
    // Whether the endpoint, if it were idle, could run the task.
    static bool could_run(const endpoint_record& endpoint,
                          const queued_task& task);

    // --- isolation of suspects: tasks that may have crashed an endpoint ---
    static bool is_suspect(const queued_task& task) { return task.crashes > 0; }
    // Determines which endpoints run a suspect, or were lost under one, and
    // drops the reservations that are of no use any more.
    void update_isolation();
    // Whether the isolation of suspects lets the task start there.
    [[nodiscard]] bool isolation_admits(const endpoint_session& session,
                                        const queued_task& task) const;
    // Whether one more endpoint may run a suspect or be reserved for one.
    [[nodiscard]] bool may_isolate_another() const;
    [[nodiscard]] bool is_isolated(const endpoint_session& session) const;
    void note_suspect_started(const endpoint_session& session,
                              const queued_task& task);
    // Reserves endpoints for the suspects that found no idle one.
    void reserve_for_suspects();
    endpoint_session* choose_to_reserve(const queued_task& task);

    // --- compartment of the confined queue ---
    // Records the load, and logs when a queue is confined or released.
    void update_compartment(timestamp now);
    [[nodiscard]] placement_zone zone_of(const queued_task& task) const;
    [[nodiscard]] bool is_in(placement_zone zone,
                             const endpoint_record& endpoint) const;
    // Whether any endpoint there could run the task if it were idle.
    [[nodiscard]] bool could_run_in(placement_zone zone,
                                    const queued_task& task) const;
    // Whether the task waits for certain endpoints, while others can start.
    [[nodiscard]] bool is_held_back(const queued_task& task) const;
    // Whether a run of the task may still run on an endpoint held here.
    [[nodiscard]] bool has_run_of(const task_key& task) const;
    // Whether the task needs no more than the capacity of an endpoint held
    // here, used or not.
    [[nodiscard]] bool fits_held_endpoint(const queued_task& task) const;
    void disown(endpoint_session& session);
    // Tells other hosts of the starts that stay unanswered, or whose runs are
    // not needed any more.
    void tell_doubts(timestamp now, endpoint_session& session);
    // Precondition: the entry was not told.
    void tell_doubt(const endpoint_session& session, run_entry& entry);
    void announce_doubt(const endpoint_session& session, const run_entry& entry,
                        bool over);
    // Reports the endpoints that began to refuse connections, unless so many
    // did at the same moment that a cut is more likely.
    void report_suspected_crashes(timestamp now);
    // Reports the state of a run to its coordinator, if that is known. The
    // update carries the endpoint and the token under which it is held, by
    // which coordinators order it against adoptions.
    void report(const endpoint_session& session, const run_entry& entry,
                update_kind kind);
    void return_task(const queued_task& task);
    // Logs the status of a start or stop that was not answered with success.
    void log_not_confirmed(std::string_view event,
                           const endpoint_session& session, const task_run& run,
                           const call_reply& reply);
    // Logs the start of a run above 1: its coordinator gave an earlier one up.
    void log_repeated_run(const endpoint_session& session,
                          const queued_task& task);

    const dispatch_settings& settings_;
    endpoint_port& port_;
    observer_port& observer_;
    holder_events& events_;
    evacuation& evacuation_;
    run_index runs_; // on all endpoints
    std::map<std::string, std::unique_ptr<endpoint_session>> sessions_;
    std::vector<std::pair<std::string, std::uint64_t>> fenced_;
    std::uint64_t sessions_begun_ = 0;
    task_queue queue_;
    timestamp now_{0}; // of the input being handled
    // As of the last change or start; unset if an endpoint may have changed.
    std::optional<std::vector<available_endpoint>> available_;
    std::size_t open_starts_ = 0; // likewise
    timestamp available_until_{0};
    // Set while a host is not heard; see `set_unheard_successors()`.
    std::optional<fence_cause> unheard_successors_;
    bool most_are_slow_ = false; // as of the last tick
    // Endpoints that run a suspect, or were lost under one, as of the last
    // start.
    std::set<std::string> suspect_endpoints_;
    // Endpoints that get no new tasks until they are idle and the suspect
    // starts there.
    std::map<std::string, task_key> reserved_;
    crash_compartment compartment_;
    start_planner planner_;
    timestamp load_recorded_at_{0};
    bool is_late_ = false; // see `set_late()`
};

} // namespace figridge::dispatch

#endif
