#include "host_core_impl.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "rendezvous.hpp"

namespace figridge {
namespace {

constexpr auto clean_stop_value = "clean";
constexpr duration handover_limit = 2s;
constexpr duration topology_check_interval = 100ms;
constexpr std::size_t answers_per_handover = 500;

} // namespace

host_core::impl::impl(const core_settings& settings, const core_ports& ports)
    : context{settings,
              ports,
              timestamp{0},
              std::mt19937_64(settings.seed),
              {}},
      members(context), store(context), limits(context, members),
      jobs(context, members, limits, directory, *this),
      holder(context, members), router(context, members),
      keeper(context, members, store), keys(context, store) {
    jobs.on_answer = [this](const waiter& recipient, const job_answer& reply) {
        answer(recipient, reply, false);
    };
    router.answer = jobs.on_answer;
    router.answer_invalid = [this](const waiter& recipient,
                                   const submission_id& id) {
        job_answer invalid;
        invalid.id = id;
        answer(recipient, invalid, true);
    };
    router.serve_here = [this](const routed_request& request,
                               const waiter& recipient) {
        return serve(request, recipient);
    };
    keeper.on_change = [this] { limits.set_catalogue(keeper.current()); };
}

// --- inputs ---------------------------------------------------------------

void host_core::impl::start() {
    members.start();
    read_host_row();
    poll_endpoint_list();
    keeper.tick();
    members.send_due_heartbeats(own_advert());
}

void host_core::impl::tick() {
    store.tick();
    poll_endpoint_list();
    keeper.tick();
    keys.tick();
    if (context.now - topology_checked_at_ >= topology_check_interval) {
        topology_checked_at_ = context.now;
        refresh_topology();
        send_marks_to_new_peers();
    }
    limits.tick();
    router.tick();
    jobs.tick();
    holder.tick(total_peer_health());
    advance_stop();
    members.send_due_heartbeats(own_advert());
}

void host_core::impl::deliver_messages() {
    deliver_local();
    handle_gone_hosts();
    deliver_local();
    members.flush(own_advert());
}

void host_core::impl::deliver_local() {
    const auto& self = context.settings.self.address;
    while (true) {
        const auto payload = members.take_local();
        if (payload.empty()) {
            return;
        }
        handle_payload(self, payload);
    }
}

void host_core::impl::handle_gone_hosts() {
    for (const auto& gone : members.take_gone()) {
        context.log(log_level::warning, "host_gone",
                    {{"host", gone.host},
                     {"incarnation", std::to_string(gone.incarnation)}});
        holder.coordinator_gone(gone);
        jobs.holder_gone(gone);
        router.host_gone(gone);
        refresh_topology();
    }
}

void host_core::impl::handle_payload(const std::string& from,
                                     const peer_payload& payload) {
    for (const auto& mark : payload.marks) {
        directory_changed_ |= directory.apply_mark(mark);
    }
    for (const auto& request : payload.catalogue_requests) {
        send_snapshot(from, request.have);
    }
    for (const auto& snapshot : payload.catalogues) {
        keeper.apply_if_newer(snapshot.content);
        if (directory.empty()) {
            directory_changed_ |= directory.set_list(snapshot.endpoints);
        }
    }
    if (directory_changed_) {
        refresh_topology();
    }
    for (const auto& batch : payload.batches) {
        holder.handle_batch(from, batch);
    }
    for (const auto& cancel : payload.cancels) {
        holder.handle_cancel(from, cancel);
    }
    for (const auto& pull : payload.pulls) {
        holder.handle_pull(from, pull);
    }
    for (const auto& returned : payload.returns) {
        jobs.handle_return(from, returned);
    }
    for (const auto& result : payload.results) {
        jobs.handle_result(from, result);
    }
    for (const auto& request : payload.forwards) {
        router.handle_forward(from, request);
    }
    for (const auto& reply : payload.replies) {
        router.handle_reply(from, reply);
    }
    for (const auto& request : payload.loan_requests) {
        limits.handle_request(from, request);
    }
    for (const auto& grant : payload.loan_grants) {
        limits.handle_grant(from, grant);
        jobs.place_pending();
    }
    for (const auto& returned : payload.loan_returns) {
        limits.handle_return(from, returned);
    }
    for (const auto& handover : payload.handovers) {
        router.adopt(handover);
    }
}

// --- callers --------------------------------------------------------------

bool host_core::impl::serve(const routed_request& request,
                            const waiter& recipient) {
    const auto& id = request.id;
    switch (request.kind) {
    case forward_kind::submit: {
        const bool has_key = !request.job.idempotency_key.empty();
        const auto result = jobs.submit(id, request.job, recipient, has_key);
        if (result == coordinator::submit_result::accepted && has_key) {
            claim_key(id, request.job);
        }
        jobs.place_pending();
        return result != coordinator::submit_result::invalid_id;
    }
    case forward_kind::cancel:
        // The recipient is answered once the cancelled job has ended.
        return jobs.cancel(id) && jobs.wait(id, recipient);
    case forward_kind::fetch:
    case forward_kind::lookup:
        return jobs.wait(id, recipient);
    }
    return false;
}

void host_core::impl::claim_key(const submission_id& id,
                                const job_request& job) {
    if (jobs.answer_of(id).state != job_state::running) {
        return;
    }
    const auto handle_claim = [this, id](const claim_result& result) {
        switch (result.status) {
        case claim_status::claimed:
            jobs.release_hold(id);
            break;
        case claim_status::taken:
            redirect_to(id, result.holder);
            break;
        case claim_status::store_down:
            jobs.reject_held(id, failure_cause::not_run_store_down,
                             "idempotency_key: the table service does not "
                             "answer");
            break;
        }
    };
    keys.claim(job.entry, job.idempotency_key, id, handle_claim);
}

void host_core::impl::redirect_to(const submission_id& id,
                                  const submission_id& holder_id) {
    const auto waiters = jobs.take_waiters(id);
    jobs.reject_held(id, failure_cause::not_run_key_in_use,
                     absl::StrCat("idempotency_key: already used by ",
                                  to_string(holder_id)));
    for (const auto& recipient : waiters) {
        router.route({forward_kind::fetch, holder_id, {}}, recipient);
    }
}

void host_core::impl::answer(const waiter& recipient, const job_answer& reply,
                             bool invalid) {
    if (const auto* token = std::get_if<caller_token>(&recipient)) {
        context.ports.callers.answer(*token, reply);
        return;
    }
    const auto& remote = std::get<remote_waiter>(recipient);
    if (members.incarnation_of(remote.host) == remote.incarnation) {
        members.outbox(remote.host)
            .replies.push_back({remote.request, invalid, reply});
    }
}

void host_core::impl::drop_caller(caller_token token) {
    router.drop_caller(token);
}

// --- endpoints ------------------------------------------------------------

host_advert host_core::impl::own_advert() const {
    host_advert advert;
    advert.free_slots = holder.pool().free_slots();
    advert.total_slots = holder.pool().total_slots();
    advert.queued_tasks = static_cast<std::uint32_t>(holder.queued());
    advert.endpoints_held = holder.pool().held_count();
    advert.endpoints_ejected = holder.pool().ejected_count();
    advert.mean_run_ms = holder.mean_run_ms();
    const auto ends = holder.pool().recent_outcomes({});
    advert.recently_ended = ends.ended;
    advert.recently_failed = ends.failed;
    advert.catalogue_version = keeper.current().version;
    advert.draining = draining;
    return advert;
}

std::set<std::string>
host_core::impl::holders_fitting(const task_spec& spec) const {
    std::set<std::string> holders;
    for (const auto& [address, endpoint] : directory.all()) {
        const auto found = holder_of.find(address);
        if (found != holder_of.end() && endpoint_fits(endpoint, spec) &&
            !directory.is_leaving(address)) {
            holders.insert(found->second);
        }
    }
    return holders;
}

void host_core::impl::poll_endpoint_list() {
    const auto interval = context.settings.host_list_interval;
    const bool due = list_requested_at_ < timestamp{0} ||
                     context.now - list_requested_at_ >= interval;
    if (list_request_open_ || !due) {
        return;
    }
    list_request_open_ = true;
    list_requested_at_ = context.now;
    store.read_endpoints(
        [this](bool ok, const std::vector<endpoint_info>& endpoints) {
            list_request_open_ = false;
            if (ok) {
                apply_endpoint_list(endpoints);
            }
        });
}

void host_core::impl::apply_endpoint_list(
    const std::vector<endpoint_info>& endpoints) {
    if (directory.matches(endpoints)) {
        return;
    }
    const auto before = directory.all();
    directory.set_list(endpoints);
    directory_changed_ = true;
    // The marks inform peers that can't reach the platform.
    for (const auto& endpoint : endpoints) {
        const auto old = before.find(endpoint.address);
        const bool was_leaving = old != before.end() && old->second.leaving;
        const auto mark = directory.leaving_source_of(endpoint.address);
        if (endpoint.leaving && mark == leaving_source::none) {
            broadcast_mark(endpoint.address, leaving_source::platform_list);
        } else if (!endpoint.leaving && was_leaving &&
                   mark == leaving_source::platform_list) {
            broadcast_mark(endpoint.address, leaving_source::none);
        }
    }
    refresh_topology();
}

void host_core::impl::refresh_topology() {
    std::map<std::string, std::vector<std::string>> new_holders;
    for (const auto& [address, endpoint] : directory.all()) {
        new_holders.try_emplace(endpoint.failure_domain);
    }
    for (auto& [domain, holders] : new_holders) {
        holders = members.holders_of_domain(domain, draining);
        if (stage_ == stop_stage::handing_over) {
            std::erase(holders, context.settings.self.address);
        }
    }
    if (directory_changed_ || new_holders != domain_holders_) {
        domain_holders_ = std::move(new_holders);
        directory_changed_ = false;
        assign_endpoints();
    }
}

void host_core::impl::assign_endpoints() {
    std::vector<endpoint_info> assigned;
    std::map<std::string, bool> leaving;
    holder_of.clear();
    for (const auto& [address, endpoint] : directory.all()) {
        const auto& holders = domain_holders_.at(endpoint.failure_domain);
        const auto chosen = rendezvous_pick(address, holders);
        if (chosen.empty()) {
            continue;
        }
        holder_of[address] = chosen;
        leaving[address] = directory.is_leaving(address);
        if (chosen == context.settings.self.address) {
            assigned.push_back(endpoint);
        }
    }
    holder.assign(assigned, leaving);
}

peer_health host_core::impl::total_peer_health() const {
    const auto& self = context.settings.self;
    peer_health sum;
    for (const auto& host : members.alive_hosts()) {
        const auto& advert = members.advert_of(host);
        const bool same_domain = members.domain_of(host) == self.failure_domain;
        sum.held += same_domain ? advert.endpoints_held : 0;
        sum.ejected += same_domain ? advert.endpoints_ejected : 0;
        sum.ended += advert.recently_ended;
        sum.failed += advert.recently_failed;
    }
    return sum;
}

void host_core::impl::broadcast_mark(const std::string& endpoint,
                                     leaving_source source) {
    const auto mark = directory.make_mark(endpoint, source);
    context.log(
        log_level::info, "leaving_mark",
        {{"endpoint", endpoint}, {"source", std::string(to_string(source))}});
    for (const auto& host : members.known_hosts()) {
        if (members.can_send(host)) {
            members.outbox(host).marks.push_back(mark);
        }
    }
    directory_changed_ = true;
    refresh_topology();
}

void host_core::impl::note_endpoint_answer(const std::string& endpoint,
                                           bool leaving) {
    const auto mark = directory.leaving_source_of(endpoint);
    if (leaving && mark == leaving_source::none) {
        broadcast_mark(endpoint, leaving_source::endpoint_answer);
    } else if (!leaving && mark == leaving_source::endpoint_answer) {
        broadcast_mark(endpoint, leaving_source::none);
    }
}

void host_core::impl::send_marks_to_new_peers() {
    const auto marks = directory.marks();
    for (const auto& host : members.known_hosts()) {
        const auto incarnation = members.incarnation_of(host);
        if (incarnation == 0 || marks_sent_to_[host] == incarnation) {
            continue;
        }
        marks_sent_to_[host] = incarnation;
        auto& outbox = members.outbox(host).marks;
        outbox.insert(outbox.end(), marks.begin(), marks.end());
    }
}

void host_core::impl::send_snapshot(const std::string& host,
                                    std::uint64_t have) {
    const auto& current = keeper.current();
    const bool is_start = have == 0;
    if (!keeper.is_ready() || (current.version <= have && !is_start)) {
        return;
    }
    members.outbox(host).catalogues.push_back({current, directory.list()});
}

// --- start and planned stop -----------------------------------------------

std::string host_core::impl::host_row_key() const {
    return absl::StrCat("host/", context.settings.self.address);
}

void host_core::impl::read_host_row() {
    limits.begin(false);
    store.read_keys({host_row_key()}, [this](const table_reply& reply) {
        if (reply.status != table_status::ok) {
            return;
        }
        host_row_version_ = reply.rows.empty() ? 0 : reply.rows[0].version;
        const bool clean =
            reply.rows.empty() || reply.rows[0].value == clean_stop_value;
        write_host_row(host_row_version_, clean);
    });
}

void host_core::impl::write_host_row(std::uint64_t row_version, bool clean) {
    table_transaction transaction;
    transaction.conditions = {{host_row_key(), row_version}};
    transaction.writes = {
        {host_row_key(), std::to_string(context.settings.incarnation)}};
    store.transact(transaction, [this, clean](const table_reply& reply) {
        if (reply.status != table_status::ok) {
            return;
        }
        host_row_written_ = true;
        ++host_row_version_;
        if (clean) {
            limits.begin(true);
        }
    });
}

void host_core::impl::start_draining() {
    if (draining) {
        return;
    }
    context.log(log_level::info, "drain_started", {});
    draining = true;
    stage_ = stop_stage::finishing_work;
    jobs.start_draining();
    refresh_topology();
    const auto advert = own_advert();
    for (const auto& host : members.known_hosts()) {
        members.send_heartbeat(host, advert);
    }
}

bool host_core::impl::is_work_finished() const {
    return jobs.is_idle() && holder.running() == 0 && holder.queued() == 0 &&
           router.open_requests() == 0;
}

// True once every live peer has seen that this host holds no endpoint. All that
// a peer sent before that has then arrived, since links are ordered.
bool host_core::impl::peers_saw_handover() const {
    const auto hosts = members.alive_hosts();
    return std::all_of(hosts.begin(), hosts.end(), [this](const auto& host) {
        return host == context.settings.self.address ||
               members.echo_of(host) >= handover_started_at_;
    });
}

void host_core::impl::advance_stop() {
    if (stage_ == stop_stage::finishing_work && is_work_finished()) {
        stage_ = stop_stage::handing_over;
        handover_started_at_ = context.now;
        refresh_topology();
        hand_over_answers();
        mark_clean_stop();
    } else if (stage_ == stop_stage::handing_over) {
        const bool is_over = is_work_finished() && peers_saw_handover() &&
                             members.all_acknowledged() && !store.is_busy();
        const bool is_late =
            context.now - handover_started_at_ >= handover_limit;
        if (is_over || (is_late && is_work_finished())) {
            stage_ = stop_stage::done;
            context.log(log_level::info, "drain_finished", {});
        }
    }
}

void host_core::impl::mark_clean_stop() {
    if (!host_row_written_ || !limits.is_idle()) {
        return;
    }
    table_transaction transaction;
    transaction.conditions = {{host_row_key(), host_row_version_}};
    transaction.writes = {{host_row_key(), clean_stop_value}};
    store.transact(transaction, [](const table_reply&) {});
}

void host_core::impl::hand_over_answers() {
    std::string successor;
    for (const auto& host : members.alive_hosts()) {
        if (host != context.settings.self.address &&
            !members.advert_of(host).draining) {
            successor = host;
        }
    }
    if (successor.empty()) {
        return;
    }
    auto answers = jobs.ended_answers();
    const auto adopted = router.adopted();
    answers.insert(answers.end(), adopted.begin(), adopted.end());
    for (std::size_t first = 0; first < answers.size();
         first += answers_per_handover) {
        const auto last =
            std::min(first + answers_per_handover, answers.size());
        members.outbox(successor).handovers.push_back(
            {{answers.begin() + static_cast<std::ptrdiff_t>(first),
              answers.begin() + static_cast<std::ptrdiff_t>(last)},
             {}});
    }
    auto retired = router.retired();
    retired.push_back(jobs.used_ids());
    members.outbox(successor).handovers.push_back({{}, std::move(retired)});
}

bool host_core::impl::is_drained() const {
    return stage_ == stop_stage::done;
}

} // namespace figridge
