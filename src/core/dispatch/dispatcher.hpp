// The dispatching logic of one host.
//
// The caller passes in events, each with the current time of a clock that also
// advances while the system is suspended; the dispatcher acts through its
// ports. It reads no clock and opens no socket, so several instances can run in
// one process in virtual time:
//
//     dispatcher host(settings, ports);
//     host.start(now);
//     host.set_endpoints(now, list);         // from the platform
//     host.submit(now, token, submission);   // answered by caller_port
//     host.tick(now);                        // every 25 ms
//
// Not thread-safe. `now` must never decrease.
#ifndef FIGRIDGE_CORE_DISPATCH_DISPATCHER_HPP
#define FIGRIDGE_CORE_DISPATCH_DISPATCHER_HPP

#include <functional>
#include <optional>
#include <tuple>

#include <nlohmann/json_fwd.hpp>

#include "core/dispatch/admission_control.hpp"
#include "core/dispatch/contact_relay.hpp"
#include "core/dispatch/crash_ledger.hpp"
#include "core/dispatch/doubt_ledger.hpp"
#include "core/dispatch/endpoint_holder.hpp"
#include "core/dispatch/holder_directory.hpp"
#include "core/dispatch/job_coordinator.hpp"
#include "core/dispatch/peer_briefing.hpp"
#include "core/dispatch/peer_sessions.hpp"
#include "core/dispatch/start_teller.hpp"
#include "core/dispatch/start_witness.hpp"
#include "core/dispatch/telling_budget.hpp"
#include "core/dispatch/tenure_ledger.hpp"

namespace figridge::dispatch {

class dispatcher final : holder_events,
                         coordinator_events,
                         peer_session_events {
public:
    dispatcher(const dispatch_settings& settings, const dispatch_ports& ports);

    void start(timestamp now);
    void tick(timestamp now);
    // From now on, the work that ends an input (starts of queued tasks, the
    // advert and messages) is done in `end_batch()`, once for all inputs before
    // it. While starts need an answer in the same input, and after a pause of
    // the process, it is still done with each input. Not thread-safe.
    void batch_inputs() { batches_inputs_ = true; }
    // Call after the inputs that were ready, before waiting for others. Not
    // thread-safe.
    void end_batch(timestamp now);
    // Applies changed settings, except for the address, incarnation and failure
    // domain of the process.
    void update_settings(timestamp now, const dispatch_settings& settings);

    // --- membership and peers ---
    void add_member(timestamp now, const std::string& address);
    void remove_member(const std::string& address);
    // `content`: why the payload can't be read, if it can't. Each refused
    // envelope or payload is logged.
    void handle_envelope(timestamp now, const envelope& message,
                         const absl::Status& content = absl::OkStatus());
    void handle_link_refused(timestamp now, const std::string& address,
                             timestamp connect_started);
    void handle_link_restored(timestamp now, const std::string& address);

    // --- the platform's rows ---
    // Adds or updates endpoints. Endpoints that are not listed stay until
    // `remove_endpoint()`.
    void set_endpoints(timestamp now,
                       const std::vector<endpoint_record>& listed);
    void set_endpoint(timestamp now, const endpoint_record& endpoint);
    void remove_endpoint(timestamp now, const std::string& endpoint);
    // The failure domains that are evacuated as of this version of the store,
    // from a full read. Before the first one no task starts. Not thread-safe.
    void set_evacuations(timestamp now, std::uint64_t version,
                         const std::set<std::string>& failure_domains);
    // One row was changed or removed at this version. Not thread-safe.
    void set_evacuation(timestamp now, std::uint64_t version,
                        const std::string& failure_domain, bool evacuated);
    // The list of endpoints was read then, changed or not. Not thread-safe.
    void note_endpoints_read(timestamp at);
    void set_holder(timestamp now, const holder_record& record);
    void remove_holder(timestamp now, const std::string& endpoint);
    // The rows of all holders, as of some time after the start of this process,
    // were passed to `set_holder()`. Not thread-safe.
    void note_holders_read(timestamp now);
    // This host has read the store at this version, so a row of a holder that
    // it does not know has been removed, or was written later. Lower versions
    // than before are ignored.
    void set_store_version(std::uint64_t version);
    void handle_write_result(timestamp now, std::uint64_t request,
                             store_status status);
    // This host now uses the given catalogue version.
    void set_catalogue(std::uint64_t version, const std::string& text);
    // Called with the text of a newer catalogue version received from a peer.
    std::function<void(const std::string& text)> on_catalogue_text;

    // Called when the list of endpoints should be read at once: it has not
    // shown an instance that has answered. Repeated until it has.
    std::function<void()> on_entries_wanted;

    // Called with the address of a host that was not heard for
    // `forget_after` and so counts as replaced.
    std::function<void(const std::string& address)> on_member_forgotten;

    // --- endpoints' replies ---
    void handle_hold(timestamp now, const call_target& target,
                     const hold_reply& reply);
    void handle_start(timestamp now, const call_target& target,
                      const task_run& run, const call_reply& reply);
    void handle_stop(timestamp now, const call_target& target,
                     const task_run& run, const call_reply& reply);

    // --- callers and operators ---
    void submit(timestamp now, caller_token token, job_submission submission);
    // The refusal of a job whose body was not read, if this host lacks the
    // processor time for it or no holder can take it in time. Jobs that may
    // have run, or are open, are not refused here. Each call counts as one job:
    // if it is not refused, pass it to `submit()` with `admitted`. Not
    // thread-safe.
    [[nodiscard]] std::optional<job_answer>
    refuse_unread(timestamp now, const unread_job& unread);
    void drop_caller(timestamp now, caller_token token);
    [[nodiscard]] std::size_t waiting(const std::string& queue) const;
    // Tasks of the open jobs of this host, and those that it queues or runs for
    // any host. Not thread-safe.
    [[nodiscard]] std::size_t task_count() const {
        return coordinator_.task_count() + holder_.held_tasks();
    }
    void drain(timestamp now);
    // Whether a drain has finished and the process can end.
    [[nodiscard]] bool is_drained() const;
    // Whether new callers should be sent to this host.
    [[nodiscard]] bool is_ready(timestamp now) const;
    // Whether this host needs frequent updates of the list of endpoints.
    [[nodiscard]] bool follows_endpoints(timestamp now) const;
    // State for operators: the whole, and its parts as arrays of rows.
    [[nodiscard]] nlohmann::json dump_state(timestamp now) const;
    [[nodiscard]] nlohmann::json dump_hosts(timestamp now) const;
    [[nodiscard]] nlohmann::json dump_endpoints(timestamp now) const;
    [[nodiscard]] nlohmann::json dump_jobs(timestamp now) const;
    [[nodiscard]] nlohmann::json gauges(timestamp now) const;

private:
    // A token that an endpoint has refused, and when.
    struct refused_token {
        std::uint64_t token = 0;
        timestamp at{0};
    };

    // Called at the start of every input. Detects that the process was
    // suspended.
    void begin_input(timestamp now);
    // Called at the end of an input. Starts queued tasks that fit and sends
    // pending payloads.
    void end_input(timestamp now);
    void finish_inputs(timestamp now);
    void check_holders(timestamp now);
    void record_holder(timestamp now, const holder_record& record);
    // The process calls the endpoint under this token; its row may not be read
    // yet.
    void record_tenure(const process_id& holder, const std::string& endpoint,
                       std::uint64_t token);
    // Keeps peers active, so that heartbeats stay frequent, while a task of
    // theirs is here or one of this host is there, however long it runs.
    void refresh_shared_work(timestamp now);
    // Grants the endpoints that a draining host still holds to their
    // successors, bypassing the store.
    void grant_endpoints(timestamp now);
    // The hosts that a draining host can grant endpoints to.
    [[nodiscard]] std::vector<candidate> possible_successors() const;
    void accept_grant(timestamp now, const process_id& from,
                      const endpoint_grant& grant);
    // Records the sender of an adoption as the endpoint's holder. The stored
    // row that names it may be read only later.
    void record_announced_holder(timestamp now, const process_id& holder,
                                 const endpoint_adoption& adoption);
    // Writes the rows of endpoints that were granted to this host.
    void write_granted_rows(timestamp now);
    void write_rows(std::string_view event,
                    const std::map<std::string, std::vector<holder_record>>&
                        rows_by_domain);
    // Handles the reply to a probe of an endpoint before a takeover.
    void record_probe_reply(timestamp now, const call_target& target,
                            const hold_reply& reply);
    // An instance that has answered this host, and whether the peers were told.
    struct heard_instance {
        instance_age told;     // but for its age
        timestamp began_by{0}; // at the latest
        timestamp heard_at{0};
        std::optional<timestamp> announced_at;
    };

    // Records since when the instance that has answered is there. Returns the
    // latest time at which it can have begun, if the reply says.
    std::optional<timestamp> record_instance(timestamp now,
                                             const call_target& target,
                                             const hold_reply& reply);
    // The same for the answer to a probe that was sent after the holder of the
    // endpoint had ended. Tells the peers if they may wait for the endpoint:
    // hosts have ended together, or this process has just started.
    void record_probed_instance(timestamp now, const call_target& target,
                                const hold_reply& reply);
    // When the end of the process was noticed; empty if it was not.
    [[nodiscard]] std::optional<timestamp>
    end_noticed_at(const process_id& process) const;
    // The process is heard, so it has not ended.
    void withdraw_end(const process_id& process);
    void announce_instance(const std::string& endpoint);
    // Tells the peers of each instance whose clock this host, as its holder,
    // reads from now on.
    void note_used_instance(timestamp now, const call_target& target,
                            const hold_reply& reply);
    void tell_instance(const instance_age& told);
    [[nodiscard]] instance_age with_age(const heard_instance& heard) const;
    // Logs the failure domains that were evacuated or taken back, and begins
    // the return of the latter's endpoints.
    void apply_evacuation_change(timestamp now,
                                 const evacuation_change& change);
    void log_evacuation(std::string_view event,
                        const std::string& failure_domain) const;
    // The evacuated failure domains that listed endpoints have.
    [[nodiscard]] std::set<std::string> evacuated_domains() const;
    // Logs the endpoints that jobs of the pool wait for.
    void log_unproved(const std::string& pool, timestamp first_sent) const;
    // Applies the reports whose endpoints and rows have been read.
    void apply_instance_ages();
    // Asks the endpoints of ended hosts whose successor can't ask them, as it
    // has not read the list of endpoints.
    void probe_for_others(timestamp now);
    // Forgets the instances that nobody waits for any more.
    void forget_instances(timestamp now);
    void record_instance_ages(const process_id& from,
                              const std::vector<instance_age>& ages);
    // Whether another incarnation is known at the process's address.
    [[nodiscard]] bool has_ended(const process_id& process) const;
    // Result of `holder_directory::endpoints_to_take()`, computed again only
    // when hosts or rows have changed or a short interval has passed.
    const std::vector<std::string>& cached_endpoints_to_take(timestamp now);
    // After a pause: tokens written before it and not in use yet are not used.
    void refuse_pending_takeovers(timestamp now);
    // Starts holding the endpoints whose rows name this process.
    void hold_own_rows(timestamp now);
    // Endpoints whose rows name this process with a token that the endpoint has
    // refused.
    [[nodiscard]] std::vector<std::string> refused_rows(timestamp now) const;
    void take_over(timestamp now, const std::vector<std::string>& endpoints);
    void probe(timestamp now, const endpoint_record& endpoint,
               std::uint64_t token);
    // How many takeovers this host may begin now. Advances `takeover_credit_`.
    std::size_t takeover_room(timestamp now);
    [[nodiscard]] std::vector<candidate> live_hosts() const;
    // `live_hosts()` and those that keep their endpoints although silent.
    [[nodiscard]] std::vector<candidate> holding_hosts(timestamp now) const;
    [[nodiscard]] advert describe_self() const;
    // The time by which all runs of a holder have ended if contact with it is
    // lost now. `restarted`: the holder's process has ended.
    [[nodiscard]] timestamp runs_end_by(bool restarted) const;
    // The time by which the runs have ended that an endpoint taken over by now
    // listed and this host has not claimed.
    [[nodiscard]] timestamp listed_runs_end_by() const;
    // When the peer has told which of its starts may still be carried out.
    // Precondition: the peer is known.
    [[nodiscard]] timestamp doubts_told_by(const process_id& peer) const;
    // Whether the process is in contact and has told which of its starts may
    // still be carried out.
    [[nodiscard]] bool tells_doubts(const process_id& holder) const;
    // Has the entries read of instances that have answered before they were
    // listed.
    void await_entries();
    // Notes which endpoints need not be waited for; see `tenure_ledger`.
    void note_proofs();
    // Notices which lost peers have ended. What one of them knew of the starts
    // of another is lost if both end soon after each other.
    void note_ended_peers();
    void note_ended(const process_id& peer);
    // Whether the lost peer refuses connections, and no cut explains that: a
    // host of its failure domain is heard since, or any host if that is the own
    // one.
    [[nodiscard]] bool has_refused(const peer_sessions::peer& lost,
                                   timestamp lost_at) const;
    // Tells peers, once they are in contact, which endpoints have answered this
    // host and which doubts are open, as far as they were not sent this.
    void inform_peers();
    [[nodiscard]] bool is_in_contact(const process_id& peer) const;
    payload* outbox(const process_id& peer);
    // Replaces what the peer knows of the doubts of this host, which it may
    // have missed while it was out of contact.
    void repeat_doubts(const process_id& peer);
    // Sends the collected doubts that are due, or with what is sent anyway.
    void send_collected_doubts(timestamp now);
    // Whether a start that the coordinator of a lost holder has told may still
    // be carried out.
    [[nodiscard]] bool is_doubt_open(const start_doubt& doubt) const;
    // Whether the peer, heard before, is silent or does not hear this host.
    [[nodiscard]] bool is_unheard(const peer_sessions::peer& peer) const;
    // Whether this incarnation of the process is heard and hears this host.
    [[nodiscard]] bool hears(const process_id& process) const;
    // Asks a few of the peers in contact to pass on what the unheard ones tell,
    // whenever either change.
    void ask_about_unheard();
    // Passes on what the sender tells to those that asked about it.
    // Precondition: the payload has not been handled.
    void pass_on(const process_id& from, const payload& content);
    // Passes on that the doubts of the sender have ended but for the listed
    // ones.
    void pass_on_end(const process_id& from,
                     const std::vector<start_doubt>& listed,
                     const std::vector<process_id>& asking);
    // Tells the requester what this host knows of the processes that it has
    // asked about, if it has.
    void answer_request(const process_id& requester);
    // The peer may have missed what it was sent.
    void forget_told(const process_id& peer);
    // Sends the digests that are due to those that have asked.
    void send_digests();
    void log_relayed(std::string_view direction, const process_id& peer,
                     const std::vector<relayed_report>& reports) const;
    // Applies reports of processes that this host does not hear; ignores those
    // of others.
    void record_relayed(const process_id& from,
                        const std::vector<relayed_report>& reports);
    // The part of a report that counts.
    [[nodiscard]] relayed_report select_relayed(const relayed_report& report);
    // The endpoints have answered the holder under these tokens.
    void record_fences(const process_id& holder,
                       const std::vector<endpoint_fence>& fences);
    // Whether another failure domain knows where the coordinator has placed its
    // tasks.
    [[nodiscard]] bool is_known_elsewhere(const process_id& coordinator) const;
    // The peer to tell of starts for this coordinator, of another failure
    // domain if one is in contact; null if there is none.
    [[nodiscard]] const peer_sessions::peer*
    find_witness(const process_id& coordinator) const;
    // Tells witnesses which of the starts that they know of are still open.
    void refresh_start_notices();
    // As a witness: keeps the starts that the holder has told.
    void record_start_notices(const process_id& holder,
                              const std::vector<start_notice>& notices);
    // As a witness: tells all hosts of the starts that the lost holder may not
    // have told them of.
    void tell_witnessed_starts(const process_id& holder);
    // The last stamp heard of this incarnation of a peer, of its clock.
    [[nodiscard]] std::int64_t last_stamp(const process_id& peer) const;
    void deliver_to_self(timestamp now);
    void handle_payload(const process_id& from, const payload& content,
                        bool fresh);

    void send_update(const process_id& coordinator,
                     const task_update& update) override;
    void announce(const endpoint_adoption& adoption) override;
    void announce_crash(const crash_report& report) override;
    void announce_doubt(const start_doubt& doubt) override;
    [[nodiscard]] bool is_label_listed(const std::string& pool,
                                       const std::string& label) const override;
    [[nodiscard]] bool is_rack_listed(const std::string& pool,
                                      const std::string& rack) const override;
    [[nodiscard]] bool is_evacuated(const std::string& pool,
                                    const job& work) const override;
    [[nodiscard]] bool admit_job() override {
        return is_admitted_ || admission_.admit(submitted_priority_);
    }
    void note_start(const process_id& coordinator, const task_run& run,
                    const std::string& endpoint, std::uint64_t token) override;
    [[nodiscard]] timestamp
    last_contact(const process_id& coordinator) const override;
    void send_assignment(const process_id& holder,
                         const task_assignment& assignment) override;
    void send_withdrawal(const process_id& holder,
                         const job_withdrawal& withdrawal) override;
    void send_recall(const process_id& holder,
                     const job_recall& recall) override;
    void send_claim(const process_id& holder,
                    const adoption_claim& claim) override;
    [[nodiscard]] bool
    may_have_come_before(duration caller_timeout) const override;
    [[nodiscard]] bool may_prove_soon() const override;
    [[nodiscard]] bool lacks_proof(const std::string& pool) override;
    // Of `unproved_pools_`.
    timestamp needs_no_proof_from(const std::string& pool);
    [[nodiscard]] bool is_unproved(const std::string& pool, timestamp arrived,
                                   duration caller_timeout) override;
    [[nodiscard]] bool may_start_late(const process_id& holder,
                                      const std::string& pool,
                                      const std::string& label) const override;
    [[nodiscard]] bool may_start_late_at(const process_id& holder,
                                         const std::string& endpoint,
                                         std::uint64_t token) const override;
    void on_payload(const process_id& from, const payload& content,
                    bool fresh) override;
    void on_advert(const process_id& from, const std::string& failure_domain,
                   const advert& about) override;
    void on_lost(const process_id& peer, bool restarted) override;
    void on_live(const process_id& peer) override;
    void on_out_of_contact(const process_id& peer) override;
    void on_in_contact(const process_id& peer) override;
    void on_payloads_dropped(const process_id& peer, drop_cause cause) override;
    void on_removed(const process_id& peer) override;
    void on_forgotten(const std::string& address) override;
    advert make_advert() override;

    dispatch_settings settings_;
    dispatch_ports ports_;
    holder_views views_;
    holder_directory directory_;
    tenure_ledger tenures_;
    // Results of `may_start_late()` in this input: many tasks ask the same.
    mutable std::map<std::tuple<process_id, std::string, std::string>, bool>
        late_starts_;
    // The same for `tenure_ledger::needs_no_proof_from()`.
    std::map<std::string, timestamp> unproved_pools_;
    timestamp next_unproved_log_{0};
    crash_ledger crashes_;
    doubt_ledger doubts_;
    admission_control admission_;
    // Of the submission being handled.
    bool is_admitted_ = false;
    std::uint32_t submitted_priority_ = 0;
    contact_relay relay_;
    peer_briefing briefing_;
    timestamp next_relay_check_{0};
    start_witness witness_;
    start_teller start_teller_;
    // A coordinator and the witness of its starts (no address: none), as of
    // this input.
    std::optional<std::pair<process_id, process_id>> witness_choice_;
    // Whether this host, as a holder, has told any doubt.
    bool has_told_doubts_ = false;
    // Ends of doubts, and doubts beyond the budget, that are not sent yet, by
    // peer, and when they are due.
    std::map<process_id, std::vector<start_doubt>> collected_doubts_;
    timestamp collected_doubts_due_{0};
    telling_budget doubt_budget_;
    evacuation evacuation_;
    endpoint_holder holder_;
    job_coordinator coordinator_;
    peer_sessions sessions_;
    timestamp now_{0};
    timestamp started_at_{0};
    timestamp ticked_at_{0};
    // When this process could first serve jobs; empty before. What was sent to
    // endpoints before it may not have been told to it.
    std::optional<timestamp> serves_since_;
    bool holders_read_ = false;
    // By address: the processes that are lost, without a planned stop, and
    // since when.
    std::map<std::string, std::pair<process_id, timestamp>> lost_peers_;
    // Those that have ended, and when that was noticed.
    std::map<process_id, timestamp> ended_peers_;
    // When two were noticed to have ended soon after each other.
    std::optional<timestamp> joint_end_at_;
    // Whether jobs were given up since the tick is overdue.
    bool gave_up_jobs_ = false;
    local_lateness lateness_;
    timestamp next_check_{0};
    timestamp next_shared_work_refresh_{0};
    timestamp next_entry_request_{0};
    timestamp endpoints_read_at_{0};
    payload to_self_;
    bool batches_inputs_ = false;
    // The process was paused before the present input.
    bool was_paused_ = false;
    // Inputs were handled whose end is postponed.
    bool has_postponed_end_ = false;
    advert own_advert_; // as of the end of the last input
    // Inputs from which `endpoints_to_take_` was last computed.
    std::vector<candidate> compared_hosts_;
    std::uint64_t compared_generation_ = 0;
    timestamp compared_at_{0};
    std::vector<std::string> endpoints_to_take_;
    std::map<std::uint64_t, std::vector<holder_record>> pending_writes_;
    std::set<std::string> rows_in_flight_;
    double takeover_credit_ = 0; // grows with time up to one second's
    timestamp takeover_credit_at_{0};
    std::map<std::string, refused_token> refused_tokens_;
    // Replies to probes, which precede a takeover.
    struct probe_answers {
        timestamp first{0}; // of an uninterrupted series
        timestamp last{0};
    };
    std::map<std::string, timestamp> probe_sent_at_;
    // The highest token with which each endpoint has refused a probe, and the
    // time of the first refusal or of a later attempt to take it over.
    std::map<std::string, refused_token> refused_probes_;
    std::set<std::string> pending_probes_;
    std::map<std::string, probe_answers> probe_answers_;
    // By endpoint: instances that have answered probes.
    std::map<std::string, heard_instance> heard_instances_;
    // The same for the instances of held endpoints.
    std::map<std::string, heard_instance> used_instances_;
    // What peers have told of instances before their rows were read.
    struct told_instance {
        process_id from;
        instance_age age;
        timestamp told_at{0};
    };
    std::vector<told_instance> early_ages_;
    std::vector<std::string> endpoints_to_ask_;
    timestamp next_ask_list_{0};
    // The processes that have ended without a planned stop, and when that was
    // noticed.
    std::map<process_id, timestamp> noticed_ends_;
    std::uint64_t next_request_ = 1;
    std::uint64_t store_version_ = 0;
    std::uint64_t catalogue_version_ = 0;
    std::string catalogue_text_;
    std::map<std::string, timestamp> catalogue_requested_at_;
    bool draining_ = false;
    timestamp draining_since_{0};
    // Endpoints granted to this host whose rows are not written yet, and when
    // to write them.
    std::map<std::string, timestamp> unstored_grants_;
    // The hosts to which this host has granted endpoints.
    std::set<process_id> grant_receivers_;
    // The peers that were not informed since contact was restored or payloads
    // were dropped.
    std::set<process_id> peers_to_inform_;
    bool has_endpoints_ = false;
    bool takeover_wanted_ = false; // there are endpoints to take over
    timestamp holder_lost_at_{0};
};

} // namespace figridge::dispatch

#endif
