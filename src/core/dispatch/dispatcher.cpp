#include "core/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_join.h>

namespace figridge::dispatch {
namespace {

constexpr duration holder_check_interval = 50ms;
// Well within `shared_work_window` (5 s).
constexpr duration shared_work_refresh_interval = 1s;
// Only a suspended or starved process has longer gaps between inputs.
constexpr duration suspension_gap = 400ms;
// Shorter gaps from this length on are logged: the answers to calls that were
// open meanwhile may have been read after the calls' time limits.
constexpr duration delay_gap = 100ms;
// For this long after a holder is lost, any host may have to take over
// endpoints.
constexpr duration successor_window = 3s;
constexpr duration catalogue_request_interval = 300ms;
constexpr duration entry_request_interval = 200ms;
// A holder in contact for this long has told which of its starts may still be
// carried out; for the last part it may collect them.
constexpr duration doubt_settle_time =
    500ms + late_doubt_delay + doubt_collect_interval;
// The end of a doubt is sent to a peer with the next payload, and within this
// time: one message for each end would be many while hosts are late.
constexpr duration ended_doubts_interval = 100ms;
// A host that ends within this time after another one may have been the only
// one that knew of a start of that one: a job waits for the endpoints of a lost
// holder, and other hosts are told of its tasks when it is given up.
constexpr duration joint_end_window = 10s;
// Messages that were sent before a cut are read within this time.
constexpr duration cut_notice_limit = 100ms;
// Longest time that a new process sends callers elsewhere since it waits for
// endpoints. Most callers give up sooner.
constexpr duration max_unready_time = 3s;
// Lateness of callers and hosts between two submissions of a job.
constexpr duration resend_delay_limit = 500ms;
// Jobs of most callers were first sent this long before they arrive, at most.
constexpr duration usual_job_age = 5s;
// A new process that has not read the rows by then will not for a while, as the
// store is away.
constexpr duration first_read_limit = 400ms;
// What a probe has shown is told again after this time, within the time for
// which it counts (`evidence_validity`).
constexpr duration instance_tell_interval = 4s;
// Reports of instances whose rows are not read yet; far more than endpoints.
constexpr std::size_t max_early_ages = 4096;
// While jobs wait for endpoints, these are logged this often.
constexpr duration unproved_log_interval = 1s;
constexpr std::size_t max_logged_endpoints = 4;
// Longest time that a draining host waits for others to take over its
// endpoints. It sends grants after a third of this time.
constexpr duration handover_limit = 1500ms;

std::string ms_text(duration time) {
    return std::to_string(to_ms(time));
}

} // namespace

dispatcher::dispatcher(const dispatch_settings& settings,
                       const dispatch_ports& ports)
    : settings_(settings), ports_(ports), views_(settings.failure_domain),
      doubts_(settings_),
      holder_(settings_, ports.endpoints, ports.observer, *this, evacuation_),
      coordinator_(settings_, views_, crashes_, doubts_, ports.callers,
                   ports.observer, *this),
      sessions_(settings_, ports.peers, *this) {}

void dispatcher::start(timestamp now) {
    now_ = now;
    started_at_ = now;
    ticked_at_ = now;
    for (const auto& seed : settings_.seeds) {
        sessions_.add(now, seed);
    }
}

void dispatcher::update_settings(timestamp now,
                                 const dispatch_settings& settings) {
    auto changed = settings;
    changed.self = settings_.self;
    changed.failure_domain = settings_.failure_domain;
    settings_ = std::move(changed);
    for (const auto& seed : settings_.seeds) {
        sessions_.add(now, seed);
    }
}

void dispatcher::begin_input(timestamp now) {
    const auto gap = now - now_;
    now_ = now;
    if (const auto overdue = now - ticked_at_; overdue >= delay_gap) {
        lateness_.record(now, overdue);
    }
    // Before peers are checked: what they have sent meanwhile is not read yet.
    sessions_.set_lateness(lateness_.at(now));
    late_starts_.clear();
    unproved_pools_.clear();
    witness_choice_.reset();
    // A process that handles other inputs all the time may still not have read
    // that a caller has gone.
    const bool is_overdue = now - ticked_at_ >= settings_.resend_after &&
                            !std::exchange(gave_up_jobs_, true);
    was_paused_ = gap >= suspension_gap;
    if (gap < suspension_gap) {
        if (gap >= delay_gap) {
            ports_.observer.log(log_level::info, "process_delayed",
                                {{"gap_ms", ms_text(gap)}});
        }
        if (is_overdue) {
            coordinator_.abandon_all(now, "process_late");
        }
        return;
    }
    ports_.observer.log(log_level::warning, "process_stood_still",
                        {{"gap_ms", ms_text(gap)}});
    if (is_overdue || gap >= settings_.resend_after) {
        coordinator_.abandon_all(now, "process_stood_still");
    }
    sessions_.tick(now);
    holder_.handle_process_pause(now);
    refuse_pending_takeovers(now);
}

void dispatcher::end_input(timestamp now) {
    if (batches_inputs_ && !was_paused_ && !holder_.confirms_starts()) {
        // What it tells itself, such as a doubt, counts for the next input.
        deliver_to_self(now);
        has_postponed_end_ = true;
        return;
    }
    finish_inputs(now);
}

void dispatcher::end_batch(timestamp now) {
    if (has_postponed_end_) {
        // The process may have been paused since the last input.
        begin_input(now);
        finish_inputs(now);
    }
}

void dispatcher::finish_inputs(timestamp now) {
    has_postponed_end_ = false;
    await_entries();
    deliver_to_self(now);
    holder_.dispatch(now);
    deliver_to_self(now);
    own_advert_ = describe_self();
    views_.update(now, settings_.self, settings_.failure_domain, own_advert_);
    if (!serves_since_ && catalogue_version_ != 0 && !views_.empty()) {
        serves_since_ = now;
    }
    inform_peers();
    send_digests();
    send_collected_doubts(now);
    sessions_.flush(now);
}

void dispatcher::tick(timestamp now) {
    begin_input(now);
    const auto interval = now - std::exchange(ticked_at_, now);
    ports_.observer.record(latency_metric::tick_interval, interval);
    holder_.set_late(interval >= delay_gap);
    gave_up_jobs_ = false;
    admission_.record_tick(now);
    refresh_shared_work(now);
    sessions_.tick(now);
    evacuation_.tick(now);
    ask_about_unheard();
    holder_.tick(now);
    holder_.use_without_entries(now, endpoints_read_at_);
    refresh_start_notices();
    witness_.tick(
        [this](const process_id& holder) { return last_stamp(holder); });
    coordinator_.tick(now);
    crashes_.tick(now);
    tenures_.tick(now);
    doubts_.tick(
        now, [this](const start_doubt& doubt) { return is_doubt_open(doubt); });
    if (now >= next_check_) {
        next_check_ = now + holder_check_interval;
        check_holders(now);
        note_ended_peers();
        note_proofs();
        forget_instances(now);
        if (!early_ages_.empty()) {
            apply_instance_ages();
        }
        if (!holder_.queue().empty()) {
            holder_.return_queued(views_.free_cpu_elsewhere(settings_.self));
        }
    }
    end_input(now);
}

void dispatcher::refresh_shared_work(timestamp now) {
    if (now < next_shared_work_refresh_) {
        return;
    }
    next_shared_work_refresh_ = now + shared_work_refresh_interval;
    for (const auto& peer : holder_.coordinators()) {
        sessions_.note_shared_work(now, peer);
    }
    for (const auto& peer : coordinator_.holders()) {
        sessions_.note_shared_work(now, peer);
    }
}

// --- membership -------------------------------------------------------------

void dispatcher::add_member(timestamp now, const std::string& address) {
    sessions_.add(now, address);
}

void dispatcher::remove_member(const std::string& address) {
    sessions_.remove(address);
}

void dispatcher::handle_envelope(timestamp now, const envelope& message,
                                 const absl::Status& content) {
    begin_input(now);
    const auto header = check_header(message);
    const auto accepted =
        content.ok() ? check_content(message.content) : content;
    for (const auto& status : {header, accepted}) {
        if (!status.ok()) {
            ports_.observer.log(log_level::warning, "peer_message_refused",
                                {{"peer", message.from.address},
                                 {"sequence", std::to_string(message.sequence)},
                                 {"error", std::string(status.message())}});
            ports_.observer.count("peer_messages_refused",
                                  header.ok() ? "payload" : "envelope");
            break;
        }
    }
    if (!header.ok()) {
        return;
    }
    sessions_.handle_envelope(now, message, accepted);
    end_input(now);
}

void dispatcher::handle_link_refused(timestamp now, const std::string& address,
                                     timestamp connect_started) {
    begin_input(now);
    sessions_.handle_link_refused(now, address, connect_started);
    check_holders(now);
    end_input(now);
}

void dispatcher::handle_link_restored(timestamp now,
                                      const std::string& address) {
    begin_input(now);
    sessions_.handle_link_restored(now, address);
    end_input(now);
}

std::vector<candidate> dispatcher::live_hosts() const {
    std::vector<candidate> live{{settings_.self, settings_.failure_domain,
                                 settings_.cpu_share, draining_}};
    for (const auto& [address, peer] : sessions_.peers()) {
        if (!peer.lost) {
            live.push_back({peer.id, peer.failure_domain, peer.about.cpu_share,
                            peer.about.draining});
        }
    }
    return live;
}

std::vector<candidate> dispatcher::holding_hosts(timestamp now) const {
    auto hosts = live_hosts();
    for (const auto& [address, peer] : sessions_.peers()) {
        if (sessions_.keeps_endpoints(now, peer)) {
            hosts.push_back({peer.id, peer.failure_domain, peer.about.cpu_share,
                             peer.about.draining, true});
        }
    }
    return hosts;
}

// A holder that is cut off drops this host's tasks after `abandon_after`; those
// of a holder that has ended are stopped when the lease expires.
timestamp dispatcher::runs_end_by(bool restarted) const {
    const auto lease = settings_.lease_limit +
                       std::chrono::duration_cast<duration>(
                           settings_.lease_limit * settings_.clock_drift) +
                       2 * settings_.stop_limit;
    return now_ + lease + (restarted ? duration{0} : settings_.abandon_after);
}

// The runs that an adoption lists and nobody claims are stopped.
timestamp dispatcher::listed_runs_end_by() const {
    return runs_end_by(true) + claim_window;
}

bool dispatcher::is_in_contact(const process_id& peer) const {
    const auto found = sessions_.peers().find(peer.address);
    return found != sessions_.peers().end() && !found->second.out_of_contact;
}

void dispatcher::on_lost(const process_id& peer, bool restarted) {
    ports_.observer.log(
        log_level::warning, "peer_lost",
        {{"peer", peer.address},
         {"restarted", restarted ? "yes" : "no"},
         {"holds", std::to_string(directory_.held_by(peer).size())}});
    coordinator_.handle_holder_lost(peer, runs_end_by(restarted));
    if (!sessions_.peers().at(peer.address).about.draining) {
        lost_peers_[peer.address] = {peer, now_};
    }
    tell_witnessed_starts(peer);
    next_check_ = timestamp{0};
    if (!directory_.held_by(peer).empty()) {
        holder_lost_at_ = now_;
    }
}

void dispatcher::on_live(const process_id& peer) {
    ports_.observer.log(log_level::info, "peer_heard",
                        {{"peer", peer.address}});
    withdraw_end(peer);
    peers_to_inform_.insert(peer);
    if (const auto lost = lost_peers_.find(peer.address);
        lost != lost_peers_.end() && lost->second.first == peer) {
        lost_peers_.erase(lost);
    }
    if (!sessions_.peers().at(peer.address).hears_stream) {
        forget_told(peer);
    }
    if (is_in_contact(peer)) {
        coordinator_.handle_holder_recovered(peer, doubts_told_by(peer));
    }
}

void dispatcher::on_out_of_contact(const process_id& peer) {
    holder_.abandon(now_, peer);
    if (sessions_.is_live(peer)) {
        // The link is cut in one direction: the peer is heard, but does not
        // hear this host.
        ports_.observer.log(log_level::warning, "peer_out_of_contact",
                            {{"peer", peer.address}});
        coordinator_.handle_holder_lost(peer, runs_end_by(false));
    }
}

void dispatcher::on_in_contact(const process_id& peer) {
    peers_to_inform_.insert(peer);
    coordinator_.handle_holder_recovered(peer, doubts_told_by(peer));
}

timestamp dispatcher::doubts_told_by(const process_id& peer) const {
    return sessions_.peers().at(peer.address).contact_since + doubt_settle_time;
}

void dispatcher::on_payloads_dropped(const process_id& peer, drop_cause cause) {
    ports_.observer.log(
        log_level::error, "peer_payloads_dropped",
        {{"peer", peer.address}, {"cause", std::string(to_string(cause))}});
    ports_.observer.count("peer_payloads_dropped", "yes");
    peers_to_inform_.insert(peer);
    forget_told(peer);
    holder_.abandon(now_, peer);
    coordinator_.handle_reports_lost(peer, runs_end_by(false));
}

void dispatcher::on_advert(const process_id& from,
                           const std::string& failure_domain,
                           const advert& about) {
    const auto peer = sessions_.peers().find(from.address);
    const bool hears_stream =
        peer != sessions_.peers().end() && peer->second.hears_stream;
    if (is_in_contact(from) && hears_stream) {
        views_.update(now_, from, failure_domain, about);
    }
    if (about.catalogue_version > catalogue_version_) {
        auto& requested_at = catalogue_requested_at_[from.address];
        if (now_ - requested_at >= catalogue_request_interval) {
            requested_at = now_;
            if (auto* pending = outbox(from)) {
                pending->catalogue_queries.push_back({catalogue_version_});
            }
        }
    }
}

void dispatcher::on_removed(const process_id& peer) {
    forget_told(peer);
    holder_.abandon(now_, peer);
    coordinator_.handle_reports_lost(peer, runs_end_by(false));
}

void dispatcher::on_forgotten(const std::string& address) {
    ports_.observer.log(log_level::info, "peer_forgotten", {{"peer", address}});
    if (on_member_forgotten) {
        on_member_forgotten(address);
    }
}

advert dispatcher::make_advert() {
    return own_advert_;
}

advert dispatcher::describe_self() const {
    advert about;
    about.catalogue_version = catalogue_version_;
    about.draining = draining_;
    about.cpu_share = settings_.cpu_share;
    about.knows_endpoints = has_endpoints_;
    about.late_ms = static_cast<std::uint32_t>(to_ms(lateness_.at(now_)));
    holder_.fill(about);
    return about;
}

// --- messages ---------------------------------------------------------------

payload* dispatcher::outbox(const process_id& peer) {
    return peer == settings_.self ? &to_self_ : sessions_.pending_for(peer);
}

void dispatcher::deliver_to_self(timestamp now) {
    bool again = false;
    while (!to_self_.empty()) {
        if (std::exchange(again, true)) {
            // Tasks placed here may have been returned. With the advert as of
            // the last input, they would be placed here again indefinitely.
            views_.update(now, settings_.self, settings_.failure_domain,
                          describe_self());
        }
        const auto content = std::exchange(to_self_, {});
        handle_payload(settings_.self, content, true);
    }
}

void dispatcher::on_payload(const process_id& from, const payload& content,
                            bool fresh) {
    handle_payload(from, content, fresh);
}

void dispatcher::handle_payload(const process_id& from, const payload& content,
                                bool fresh) {
    pass_on(from, content);
    for (const auto& wanted : content.catalogue_queries) {
        auto* pending = outbox(from);
        if (pending != nullptr && wanted.known_version < catalogue_version_) {
            pending->catalogues.push_back({catalogue_text_});
        }
    }
    for (const auto& catalogue : content.catalogues) {
        if (on_catalogue_text) {
            on_catalogue_text(catalogue.text);
        }
    }
    // A claim was sent before a withdrawal of its job, an assignment after it;
    // see `send_withdrawal()`.
    for (const auto& claim : content.claims) {
        holder_.claim(now_, from, claim);
    }
    for (const auto& withdrawal : content.withdrawals) {
        holder_.withdraw(now_, from, withdrawal.job);
    }
    for (const auto& assignment : content.assignments) {
        if (fresh) {
            holder_.assign(now_, from, assignment);
            continue;
        }
        for (const auto& item : assignment.items) {
            send_update(from, {item.run, update_kind::returned, {}, 0});
        }
    }
    // After the assignments, so that those of the same payload are returned.
    for (const auto& recall : content.recalls) {
        holder_.recall(from, recall.job);
    }
    for (const auto& grant : content.grants) {
        // Other hosts may have taken over an endpoint granted long ago.
        if (fresh) {
            accept_grant(now_, from, grant);
        }
    }
    for (const auto& adoption : content.adoptions) {
        record_announced_holder(now_, from, adoption);
        record_tenure(from, adoption.endpoint, adoption.token);
        tenures_.fence(adoption.endpoint, adoption.token,
                       adoption.running.empty() ? now_ : listed_runs_end_by());
        tenures_.note_listed(adoption.endpoint, adoption.token);
        // The coordinator claims or awaits the listed runs of this one.
        tenures_.fence_holder(adoption.endpoint, adoption.token,
                              adoption.former, now_);
        crashes_.handle_adoption(adoption);
        doubts_.handle_adoption(now_, adoption);
        coordinator_.handle_adoption(now_, from, adoption);
    }
    record_fences(from, content.fences);
    // Before the updates, which may place the tasks again.
    for (const auto& report : content.crashes) {
        crashes_.record(now_, report);
        holder_.record_crash(now_, report);
    }
    for (const auto& doubt : content.doubts) {
        doubts_.record(now_, doubt);
    }
    record_start_notices(from, content.start_notices);
    record_instance_ages(from, content.instance_ages);
    record_relayed(from, content.relayed);
    // After the doubts, so that the answer has those of the same payload.
    for (const auto& request : content.relay_requests) {
        relay_.record_request(from, request);
        answer_request(from);
    }
    for (const auto& update : content.updates) {
        coordinator_.handle_update(now_, from, update);
    }
}

void dispatcher::record_fences(const process_id& holder,
                               const std::vector<endpoint_fence>& fences) {
    for (const auto& fence : fences) {
        record_announced_holder(now_, holder,
                                {fence.endpoint, {}, fence.token, {}, {}});
        record_tenure(holder, fence.endpoint, fence.token);
        tenures_.fence(fence.endpoint, fence.token,
                       fence.runs_resolved ? now_ : listed_runs_end_by());
        doubts_.handle_fence(now_, fence);
    }
    coordinator_.handle_fences(now_, fences, listed_runs_end_by());
}

void dispatcher::send_update(const process_id& coordinator,
                             const task_update& update) {
    if (auto* pending = outbox(coordinator)) {
        pending->updates.push_back(update);
    }
}

void dispatcher::announce(const endpoint_adoption& adoption) {
    for (const auto& [address, peer] : sessions_.peers()) {
        if (auto* pending = sessions_.pending_for(peer.id);
            pending != nullptr && !peer.lost) {
            pending->adoptions.push_back(adoption);
            if (peer.hears_stream) {
                briefing_.record_sent(peer.id, adoption.endpoint,
                                      adoption.token);
            }
        }
    }
    to_self_.adoptions.push_back(adoption);
}

void dispatcher::inform_peers() {
    if (peers_to_inform_.empty()) {
        return;
    }
    // Listed once, and only if a peer is to be told: others may be out of
    // contact for long.
    std::optional<std::vector<endpoint_fence>> listed;
    const auto held = [&]() -> const std::vector<endpoint_fence>& {
        if (!listed) {
            listed.emplace();
            for (const auto& [endpoint, session] : holder_.sessions()) {
                if (session->knows_runs()) {
                    listed->push_back(
                        {endpoint, session->token(), session->runs_resolved()});
                }
            }
        }
        return *listed;
    };
    std::erase_if(peers_to_inform_, [&](const process_id& id) {
        const auto peer = sessions_.peers().find(id.address);
        if (peer == sessions_.peers().end() || peer->second.id != id) {
            return true;
        }
        // Until it hears the stream, payloads may be dropped unnoticed.
        if (peer->second.out_of_contact || !peer->second.hears_stream) {
            return false;
        }
        auto& content = *sessions_.pending_for(id);
        for (auto& missed : briefing_.take_missed(id, held())) {
            if (const auto used = used_instances_.find(missed.endpoint);
                used != used_instances_.end()) {
                content.instance_ages.push_back(with_age(used->second));
            }
            content.fences.push_back(std::move(missed));
        }
        for (const auto& [endpoint, heard] : heard_instances_) {
            content.instance_ages.push_back(with_age(heard));
        }
        if (briefing_.take_missed_doubts(id)) {
            repeat_doubts(id);
        }
        answer_request(id);
        return true;
    });
}

void dispatcher::announce_crash(const crash_report& report) {
    for (const auto& [address, peer] : sessions_.peers()) {
        if (auto* pending = sessions_.pending_for(peer.id);
            pending != nullptr && !peer.lost) {
            pending->crashes.push_back(report);
        }
    }
    to_self_.crashes.push_back(report);
}

void dispatcher::announce_doubt(const start_doubt& doubt) {
    has_told_doubts_ |= doubt.holder == settings_.self;
    // Who tells for a lost holder must not wait: its callers come again soon.
    const bool is_urgent = !doubt.over && (doubt.holder != settings_.self ||
                                           doubt_budget_.take(now_));
    if (!is_urgent) {
        const auto due = now_ + (doubt.over ? ended_doubts_interval
                                            : doubt_collect_interval);
        collected_doubts_due_ = collected_doubts_.empty()
                                    ? due
                                    : std::min(collected_doubts_due_, due);
    }
    if (!doubt.over) {
        ports_.observer.count("start_doubts",
                              is_urgent ? "sent_at_once" : "collected");
    }
    for (const auto& [address, peer] : sessions_.peers()) {
        if (auto* pending = sessions_.pending_for(peer.id);
            pending != nullptr && !peer.lost) {
            (is_urgent ? pending->doubts : collected_doubts_[peer.id])
                .push_back(doubt);
        }
        // Before it hears the stream, it may miss what it is sent.
        if (peer.lost || !peer.hears_stream) {
            briefing_.record_missed_doubt(peer.id);
        }
    }
    to_self_.doubts.push_back(doubt);
}

void dispatcher::send_collected_doubts(timestamp now) {
    if (collected_doubts_.empty()) {
        return;
    }
    const bool is_due = draining_ || now >= collected_doubts_due_;
    std::erase_if(collected_doubts_, [this, is_due](const auto& item) {
        auto* pending = sessions_.pending_for(item.first);
        if (pending != nullptr && (is_due || !pending->empty())) {
            pending->doubts.insert(pending->doubts.end(), item.second.begin(),
                                   item.second.end());
            return true;
        }
        return pending == nullptr;
    });
}

void dispatcher::repeat_doubts(const process_id& peer) {
    auto* pending = sessions_.pending_for(peer);
    if (pending == nullptr || !has_told_doubts_) {
        return;
    }
    start_doubt end_all;
    end_all.holder = settings_.self;
    end_all.over = true;
    pending->doubts.push_back(std::move(end_all));
    for (auto& doubt : doubts_.of(settings_.self)) {
        pending->doubts.push_back(std::move(doubt));
    }
}

bool dispatcher::is_doubt_open(const start_doubt& doubt) const {
    return doubt.holder != settings_.self &&
           (doubt.endpoint.empty()
                ? may_start_late(doubt.holder, doubt.pool, doubt.required_label)
                : may_start_late_at(doubt.holder, doubt.endpoint, doubt.token));
}

timestamp dispatcher::last_contact(const process_id& coordinator) const {
    if (coordinator == settings_.self) {
        return timestamp::max();
    }
    const auto found = sessions_.peers().find(coordinator.address);
    const bool known =
        found != sessions_.peers().end() && found->second.id == coordinator;
    return known ? found->second.echoed_at : timestamp{0};
}

// Tasks that are placed again one by one go with the job's other tasks: each
// assignment carries the payload of the job.
void dispatcher::send_assignment(const process_id& holder,
                                 const task_assignment& assignment) {
    auto* pending = outbox(holder);
    if (pending == nullptr) {
        return;
    }
    const auto same_job =
        std::find_if(pending->assignments.rbegin(), pending->assignments.rend(),
                     [&assignment](const task_assignment& earlier) {
                         return earlier.job == assignment.job;
                     });
    if (same_job == pending->assignments.rend()) {
        pending->assignments.push_back(assignment);
    } else {
        same_job->items.insert(same_job->items.end(), assignment.items.begin(),
                               assignment.items.end());
    }
}

void dispatcher::send_withdrawal(const process_id& holder,
                                 const job_withdrawal& withdrawal) {
    if (auto* pending = outbox(holder)) {
        std::erase_if(pending->assignments,
                      [&withdrawal](const task_assignment& assignment) {
                          return assignment.job == withdrawal.job;
                      });
        pending->withdrawals.push_back(withdrawal);
    }
}

void dispatcher::send_recall(const process_id& holder,
                             const job_recall& recall) {
    if (auto* pending = outbox(holder)) {
        pending->recalls.push_back(recall);
    }
}

void dispatcher::send_claim(const process_id& holder,
                            const adoption_claim& claim) {
    if (auto* pending = outbox(holder)) {
        pending->claims.push_back(claim);
    }
}

void dispatcher::record_tenure(const process_id& holder,
                               const std::string& endpoint,
                               std::uint64_t token) {
    // The row of an endpoint that is not listed may outlive it. Before the list
    // is read, any may be listed.
    if (!has_endpoints_ || directory_.endpoints().contains(endpoint)) {
        tenures_.set_holder({endpoint, {}, holder, token, 0});
        late_starts_.clear();
        unproved_pools_.clear();
    }
}

// What an earlier process started, a caller sent before this one could serve.
// Each later submission of the job arrives within its caller's time-out and the
// time until it is sent again.
bool dispatcher::may_have_come_before(duration caller_timeout) const {
    const auto since =
        std::max({serves_since_, joint_end_at_,
                  std::optional(tenures_.last_awaited_restart())});
    return !serves_since_ || now_ - *since <= caller_timeout +
                                                  settings_.resend_after +
                                                  resend_delay_limit;
}

void dispatcher::note_ended_peers() {
    std::erase_if(ended_peers_, [this](const auto& item) {
        return now_ - item.second > joint_end_window;
    });
    std::erase_if(lost_peers_, [this](const auto& item) {
        const auto& [process, lost_at] = item.second;
        const auto peer = sessions_.peers().find(item.first);
        if (peer == sessions_.peers().end()) {
            return true;
        }
        const bool has_ended =
            peer->second.id != process || has_refused(peer->second, lost_at);
        if (has_ended) {
            note_ended(process);
        }
        return has_ended;
    });
}

bool dispatcher::has_refused(const peer_sessions::peer& lost,
                             timestamp lost_at) const {
    const auto& peers = sessions_.peers();
    return lost.refused_at > lost.heard_at &&
           std::any_of(peers.begin(), peers.end(), [&](const auto& item) {
               const auto& other = item.second;
               const bool in_same_cut =
                   lost.failure_domain != settings_.failure_domain &&
                   lost.failure_domain != other.failure_domain;
               return !in_same_cut &&
                      other.heard_at > lost_at + cut_notice_limit;
           });
}

void dispatcher::note_ended(const process_id& peer) {
    noticed_ends_.try_emplace(peer, now_);
    if (!ended_peers_.try_emplace(peer, now_).second ||
        ended_peers_.size() < 2) {
        return;
    }
    joint_end_at_ = now_;
    for (const auto& [ended, at] : ended_peers_) {
        tenures_.withdraw_proofs(ended);
    }
    unproved_pools_.clear();
    for (const auto& [endpoint, instance] : heard_instances_) {
        announce_instance(endpoint);
    }
    ports_.observer.log(log_level::warning, "peers_ended_together",
                        {{"peers", std::to_string(ended_peers_.size())},
                         {"last", peer.address}});
}

void dispatcher::note_proofs() {
    if (!holders_read_ || !has_endpoints_) {
        return;
    }
    // With the fence of an endpoint, or its adoption, a holder has told the
    // doubts about it, and it tells later ones at once.
    tenures_.note_proofs(now_, [this](const process_id& holder) {
        return holder == settings_.self || hears(holder);
    });
}

timestamp dispatcher::needs_no_proof_from(const std::string& pool) {
    const auto [known, added] = unproved_pools_.try_emplace(pool);
    if (added) {
        note_proofs();
        known->second = !holders_read_ || !has_endpoints_
                            ? timestamp::max()
                            : tenures_.needs_no_proof_from(pool);
    }
    return known->second;
}

bool dispatcher::lacks_proof(const std::string& pool) {
    return needs_no_proof_from(pool) != timestamp::min();
}

// A start of the job was sent no earlier than the job.
bool dispatcher::is_unproved(const std::string& pool, timestamp arrived,
                             duration caller_timeout) {
    const auto first_sent =
        arrived - caller_timeout - settings_.resend_after - resend_delay_limit;
    const bool unproved = needs_no_proof_from(pool) > first_sent;
    if (unproved && now_ >= next_unproved_log_) {
        next_unproved_log_ = now_ + unproved_log_interval;
        log_unproved(pool, first_sent);
    }
    return unproved;
}

bool dispatcher::may_prove_soon() const {
    return !serves_since_ || (holders_read_ && has_endpoints_) ||
           now_ - *serves_since_ < first_read_limit;
}

void dispatcher::log_unproved(const std::string& pool,
                              timestamp first_sent) const {
    const auto unproved = tenures_.find_unproved(pool, first_sent);
    std::vector<std::string> first;
    for (const auto& endpoint : unproved) {
        if (first.size() < max_logged_endpoints) {
            first.push_back(tenures_.describe_instance(now_, endpoint));
        }
    }
    ports_.observer.log(log_level::info, "endpoints_unproved",
                        {{"pool", pool},
                         {"count", std::to_string(unproved.size())},
                         {"first", absl::StrJoin(first, ",")},
                         {"asked", std::to_string(pending_probes_.size())},
                         {"heard", std::to_string(heard_instances_.size())},
                         {"rows_read", holders_read_ ? "yes" : "no"}});
}

std::optional<timestamp> dispatcher::record_instance(timestamp now,
                                                     const call_target& target,
                                                     const hold_reply& reply) {
    if (reply.call.status != call_status::ok || reply.call.clock_ms < 0 ||
        reply.instance_started_ms <= 0) {
        return std::nullopt;
    }
    // The endpoint's clock counts from the start of its instance.
    const auto began_by =
        now - limit_wait(std::chrono::milliseconds(std::min<std::int64_t>(
                  reply.call.clock_ms, to_ms(max_wait))));
    tenures_.note_instance(now, target.endpoint, reply.instance_started_ms,
                           began_by, settings_.self, target.token);
    unproved_pools_.clear();
    return began_by;
}

std::optional<timestamp>
dispatcher::end_noticed_at(const process_id& process) const {
    if (const auto found = noticed_ends_.find(process);
        found != noticed_ends_.end()) {
        return found->second;
    }
    if (!has_ended(process)) {
        return std::nullopt;
    }
    if (process.address == settings_.self.address) {
        return started_at_;
    }
    // The process may be a later one than that which was heard last.
    const auto& present = sessions_.peers().at(process.address);
    return present.lost ? std::nullopt : std::optional(present.first_heard_at);
}

void dispatcher::withdraw_end(const process_id& process) {
    if (noticed_ends_.erase(process) > 0) {
        tenures_.withdraw_end(process);
        unproved_pools_.clear();
    }
}

void dispatcher::record_probed_instance(timestamp now,
                                        const call_target& target,
                                        const hold_reply& reply) {
    const auto* row = directory_.holder_of(target.endpoint);
    const auto sent = probe_sent_at_.find(target.endpoint);
    if (row == nullptr || row->token != target.token ||
        sent == probe_sent_at_.end()) {
        return;
    }
    // A call that was sent before, or the answer to one before the last, may
    // have been answered before the end.
    const auto ended = end_noticed_at(row->holder);
    if (!ended || sent->second < *ended + settings_.call_timeout) {
        return;
    }
    const auto began_by = record_instance(now, target, reply);
    if (!began_by) {
        return;
    }
    auto& heard = heard_instances_[target.endpoint];
    if (heard.told.instance_started_ms != reply.instance_started_ms ||
        heard.told.token != target.token) {
        heard = {{target.endpoint, reply.instance_started_ms, 0, target.token},
                 *began_by,
                 now,
                 std::nullopt};
    }
    heard.began_by = std::min(heard.began_by, *began_by);
    heard.heard_at = now;
    const bool has_just_started =
        !serves_since_ || now - *serves_since_ < joint_end_window;
    if (has_just_started || ended_peers_.size() >= 2) {
        announce_instance(target.endpoint);
    }
}

// A peer that knows since when this host has read the clock of the present
// instance need not wait for the endpoint once this host has ended.
void dispatcher::note_used_instance(timestamp now, const call_target& target,
                                    const hold_reply& reply) {
    const auto found = holder_.sessions().find(target.endpoint);
    if (found == holder_.sessions().end() || !found->second->knows_runs() ||
        found->second->token() != target.token ||
        found->second->endpoint().instance_started_ms !=
            reply.instance_started_ms) {
        return;
    }
    auto& used = used_instances_[target.endpoint];
    if (used.told.instance_started_ms == reply.instance_started_ms &&
        used.told.token == target.token) {
        return;
    }
    if (const auto began_by = record_instance(now, target, reply)) {
        used = {{target.endpoint, reply.instance_started_ms, 0, target.token},
                *began_by,
                now,
                now};
        tell_instance(with_age(used));
    }
}

instance_age dispatcher::with_age(const heard_instance& heard) const {
    auto told = heard.told;
    told.age_ms = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, to_ms(now_ - heard.began_by)));
    return told;
}

void dispatcher::tell_instance(const instance_age& told) {
    for (const auto& [address, peer] : sessions_.peers()) {
        if (auto* pending = sessions_.pending_for(peer.id);
            pending != nullptr && !peer.lost) {
            pending->instance_ages.push_back(told);
        }
    }
}

void dispatcher::announce_instance(const std::string& endpoint) {
    auto& heard = heard_instances_.at(endpoint);
    if (!heard.announced_at ||
        now_ - *heard.announced_at >= instance_tell_interval) {
        heard.announced_at = now_;
        tell_instance(with_age(heard));
    }
}

void dispatcher::forget_instances(timestamp now) {
    std::erase_if(heard_instances_, [now](const auto& item) {
        return now - item.second.heard_at > joint_end_window;
    });
    std::erase_if(noticed_ends_, [this, now](const auto& item) {
        return now - item.second > settings_.forget_after;
    });
}

void dispatcher::record_instance_ages(const process_id& from,
                                      const std::vector<instance_age>& ages) {
    for (const auto& told : ages) {
        early_ages_.push_back({from, told, now_});
    }
    if (!ages.empty()) {
        apply_instance_ages();
    }
}

void dispatcher::apply_instance_ages() {
    std::erase_if(early_ages_, [this](const told_instance& told) {
        const auto& age = told.age;
        const auto began_by = told.told_at - wait_from_ms(age.age_ms);
        return tenures_.note_instance(now_, age.endpoint,
                                      age.instance_started_ms, began_by,
                                      told.from, age.token) ||
               now_ - told.told_at > joint_end_window;
    });
    if (early_ages_.size() > max_early_ages) {
        early_ages_.clear();
    }
    unproved_pools_.clear();
}

bool dispatcher::tells_doubts(const process_id& holder) const {
    return sessions_.is_live(holder) && is_in_contact(holder) &&
           sessions_.is_heard(now_, sessions_.peers().at(holder.address)) &&
           now_ >= doubts_told_by(holder);
}

bool dispatcher::may_start_late(const process_id& holder,
                                const std::string& pool,
                                const std::string& label) const {
    const auto [known, added] =
        late_starts_.try_emplace(std::tuple(holder, pool, label));
    if (added) {
        known->second =
            !tells_doubts(holder) && tenures_.may_start(holder, pool, label);
    }
    return known->second;
}

bool dispatcher::may_start_late_at(const process_id& holder,
                                   const std::string& endpoint,
                                   std::uint64_t token) const {
    return !tells_doubts(holder) && tenures_.may_start_at(endpoint, token);
}

// --- the platform's list -----------------------------------------------------

void dispatcher::set_endpoint(timestamp now, const endpoint_record& endpoint) {
    set_endpoints(now, {endpoint});
}

void dispatcher::set_endpoints(timestamp now,
                               const std::vector<endpoint_record>& listed) {
    begin_input(now);
    const bool is_first_list = !std::exchange(has_endpoints_, true);
    for (const auto& endpoint : listed) {
        directory_.set_endpoint(endpoint);
        tenures_.set_endpoint(now, endpoint);
        // Rows are kept while their endpoint is not listed.
        if (const auto* row = directory_.holder_of(endpoint.id)) {
            tenures_.set_holder(*row);
        }
        crashes_.handle_listed(endpoint.id, endpoint.instance_started_ms);
        doubts_.handle_listed(endpoint.id);
        evacuation_.record_row(now, endpoint.id, endpoint.cold_left);
        holder_.update_endpoint(now, endpoint);
    }
    if (is_first_list) {
        tenures_.forget_unlisted();
    }
    end_input(now);
}

void dispatcher::note_endpoints_read(timestamp at) {
    endpoints_read_at_ = std::max(endpoints_read_at_, at);
}

void dispatcher::await_entries() {
    bool wanted = false;
    for (const auto& [id, instance_started_ms] : holder_.awaited_entries()) {
        // It may have been read before the instance answered.
        const auto listed = directory_.endpoints().find(id);
        if (listed != directory_.endpoints().end() &&
            listed->second.instance_started_ms == instance_started_ms) {
            holder_.update_endpoint(now_, listed->second);
        } else {
            wanted = true;
        }
    }
    if (wanted && on_entries_wanted && now_ >= next_entry_request_) {
        next_entry_request_ = now_ + entry_request_interval;
        on_entries_wanted();
    }
}

void dispatcher::note_holders_read(timestamp now) {
    begin_input(now);
    holders_read_ = true;
    tenures_.note_rows_read();
    end_input(now);
}

void dispatcher::remove_endpoint(timestamp now, const std::string& endpoint) {
    begin_input(now);
    directory_.remove_endpoint(endpoint);
    tenures_.remove_endpoint(endpoint, now + settings_.gone_limit);
    briefing_.forget_endpoint(endpoint);
    used_instances_.erase(endpoint);
    evacuation_.end_return(endpoint);
    crashes_.handle_removed(endpoint);
    doubts_.handle_removed(now, endpoint);
    holder_.mark_gone(now, endpoint);
    coordinator_.handle_endpoint_gone(now, endpoint);
    end_input(now);
}

void dispatcher::set_evacuations(timestamp now, std::uint64_t version,
                                 const std::set<std::string>& failure_domains) {
    begin_input(now);
    const bool is_first = !evacuation_.was_read();
    const auto change = evacuation_.replace(version, failure_domains);
    if (is_first) {
        ports_.observer.log(
            log_level::info, "evacuations_read",
            {{"version", std::to_string(version)},
             {"evacuated", std::to_string(failure_domains.size())}});
    }
    apply_evacuation_change(now, change);
    end_input(now);
}

void dispatcher::set_evacuation(timestamp now, std::uint64_t version,
                                const std::string& failure_domain,
                                bool evacuated) {
    begin_input(now);
    apply_evacuation_change(
        now, evacuation_.apply(version, failure_domain, evacuated));
    end_input(now);
}

void dispatcher::apply_evacuation_change(timestamp now,
                                         const evacuation_change& change) {
    const std::set<std::string> taken_back(change.taken_back.begin(),
                                           change.taken_back.end());
    for (const auto& [id, endpoint] : directory_.endpoints()) {
        if (taken_back.contains(endpoint.failure_domain)) {
            evacuation_.begin_return(now, id);
        } else if (!evacuation_.admits(endpoint.failure_domain)) {
            evacuation_.end_return(id);
        }
    }
    for (const auto& domain : change.evacuated) {
        log_evacuation("failure_domain_evacuated", domain);
    }
    for (const auto& domain : change.taken_back) {
        log_evacuation("failure_domain_taken_back", domain);
    }
    holder_.handle_evacuation_change(now);
    // Tasks that are returned in this input would be placed here again by the
    // advert of the last one.
    views_.update(now, settings_.self, settings_.failure_domain,
                  describe_self());
}

void dispatcher::log_evacuation(std::string_view event,
                                const std::string& failure_domain) const {
    const auto& listed = directory_.endpoints();
    const auto endpoints =
        std::count_if(listed.begin(), listed.end(), [&](const auto& item) {
            return item.second.failure_domain == failure_domain;
        });
    ports_.observer.log(
        log_level::info, event,
        {{"failure_domain", failure_domain},
         {"version", std::to_string(evacuation_.version())},
         {"endpoints", std::to_string(endpoints)},
         {"runs", std::to_string(holder_.running_tasks_in(failure_domain))}});
}

std::set<std::string> dispatcher::evacuated_domains() const {
    std::set<std::string> found;
    if (evacuation_.domains().empty()) {
        return found;
    }
    for (const auto& [id, endpoint] : directory_.endpoints()) {
        if (evacuation_.domains().contains(endpoint.failure_domain)) {
            found.insert(endpoint.failure_domain);
        }
    }
    return found;
}

bool dispatcher::is_evacuated(const std::string& pool, const job& work) const {
    if (evacuation_.domains().empty()) {
        return false;
    }
    const auto is_step_evacuated = [&](const job_step& step) {
        bool any = false;
        for (const auto& [id, endpoint] : directory_.endpoints()) {
            const auto& label = step.need.required_label;
            const auto& labels = endpoint.labels;
            const bool matches =
                endpoint.pool == pool &&
                fits(step.need.room, endpoint.capacity) &&
                (label.empty() || std::find(labels.begin(), labels.end(),
                                            label) != labels.end());
            if (matches && evacuation_.admits(endpoint.failure_domain)) {
                return false;
            }
            any |= matches;
        }
        return any;
    };
    return std::any_of(work.steps.begin(), work.steps.end(), is_step_evacuated);
}

bool dispatcher::is_label_listed(const std::string& pool,
                                 const std::string& label) const {
    const auto& listed = directory_.endpoints();
    return !has_endpoints_ ||
           std::any_of(listed.begin(), listed.end(), [&](const auto& item) {
               const auto& labels = item.second.labels;
               return item.second.pool == pool &&
                      std::find(labels.begin(), labels.end(), label) !=
                          labels.end();
           });
}

bool dispatcher::is_rack_listed(const std::string& pool,
                                const std::string& rack) const {
    const auto& listed = directory_.endpoints();
    return !has_endpoints_ ||
           std::any_of(listed.begin(), listed.end(), [&](const auto& item) {
               return item.second.pool == pool && item.second.rack == rack;
           });
}

void dispatcher::set_catalogue(std::uint64_t version, const std::string& text) {
    catalogue_version_ = version;
    catalogue_text_ = text;
    sessions_.announce();
}

// --- endpoints --------------------------------------------------------------

void dispatcher::handle_hold(timestamp now, const call_target& target,
                             const hold_reply& reply) {
    begin_input(now);
    ports_.observer.count("hold_replies", to_string(reply.call.status));
    if (holder_.token_of(target.endpoint) == target.token) {
        holder_.handle_hold(now, target.endpoint, target.token, reply);
        note_used_instance(now, target, reply);
    } else {
        record_probe_reply(now, target, reply);
    }
    if (pending_probes_.erase(target.endpoint) > 0 && pending_probes_.empty()) {
        check_holders(now);
    }
    end_input(now);
}

void dispatcher::handle_start(timestamp now, const call_target& target,
                              const task_run& run, const call_reply& reply) {
    begin_input(now);
    ports_.observer.count("start_replies", to_string(reply.status));
    holder_.handle_start(now, target.endpoint, target.token, run, reply);
    end_input(now);
}

void dispatcher::handle_stop(timestamp now, const call_target& target,
                             const task_run& run, const call_reply& reply) {
    begin_input(now);
    ports_.observer.count("stop_replies", to_string(reply.status));
    holder_.handle_stop(now, target.endpoint, target.token, run, reply);
    end_input(now);
}

// --- callers ----------------------------------------------------------------

void dispatcher::submit(timestamp now, caller_token token,
                        job_submission submission) {
    begin_input(now);
    is_admitted_ = submission.admitted;
    submitted_priority_ = submission.queue.priority;
    coordinator_.submit(now, token, std::move(submission));
    end_input(now);
}

std::optional<job_answer> dispatcher::refuse_unread(timestamp now,
                                                    const unread_job& unread) {
    begin_input(now);
    is_admitted_ = false;
    submitted_priority_ = unread.queue.priority;
    auto refusal = coordinator_.refuse_unread(now, unread);
    if (was_paused_) {
        end_input(now);
    }
    return refusal;
}

void dispatcher::drop_caller(timestamp now, caller_token token) {
    begin_input(now);
    coordinator_.drop_caller(now, token);
    end_input(now);
}

std::size_t dispatcher::waiting(const std::string& queue) const {
    return coordinator_.waiting(queue);
}

void dispatcher::drain(timestamp now) {
    begin_input(now);
    draining_since_ = draining_ ? draining_since_ : now;
    draining_ = true;
    sessions_.announce();
    end_input(now);
}

bool dispatcher::is_drained() const {
    const bool grants_delivered =
        std::none_of(grant_receivers_.begin(), grant_receivers_.end(),
                     [this](const process_id& receiver) {
                         return is_in_contact(receiver) &&
                                sessions_.has_undelivered(receiver);
                     });
    const bool handed_over = (holder_.sessions().empty() && grants_delivered) ||
                             possible_successors().empty() ||
                             now_ - draining_since_ >= handover_limit;
    // Holders that are lost meanwhile have their starts told.
    const bool witnesses =
        witness_.size() > 0 && now_ - draining_since_ < handover_limit;
    return draining_ && coordinator_.job_count() == 0 &&
           holder_.running_tasks() == 0 && holder_.queue().empty() &&
           handed_over && !witnesses;
}

bool dispatcher::is_ready(timestamp now) const {
    // Other hosts may not have to wait for the endpoints.
    const bool awaits_endpoints = serves_since_ &&
                                  now - *serves_since_ < max_unready_time &&
                                  (!holders_read_ || !has_endpoints_ ||
                                   tenures_.has_unproved(now - usual_job_age));
    return !draining_ && catalogue_version_ != 0 && !views_.empty() &&
           !awaits_endpoints;
}

bool dispatcher::follows_endpoints(timestamp now) const {
    const bool successor = holder_lost_at_ != timestamp{0} &&
                           now - holder_lost_at_ < successor_window;
    return !has_endpoints_ || !holder_.sessions().empty() || takeover_wanted_ ||
           successor;
}

} // namespace figridge::dispatch
