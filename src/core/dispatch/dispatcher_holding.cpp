// Takeovers, grants and stored rows of the endpoints that this host holds.
#include <algorithm>
#include <utility>

#include "core/dispatch/dispatcher.hpp"

namespace figridge::dispatch {
namespace {

// While hosts and rows stay the same, the endpoints to take over change only
// when a cooldown expires.
constexpr duration recompute_interval = 500ms;
constexpr duration probe_interval = 150ms;
constexpr duration ask_list_interval = 250ms;
// A reply to a probe is valid for this long.
constexpr duration probe_validity = 300ms;
// Longer than the longest pause between two connection attempts to a peer.
constexpr duration remote_settle_time = 1500ms;
// If the store answers, successors take over through it within a tenth of this.
constexpr duration grant_delay = 500ms;
constexpr duration grant_write_retry_interval = 500ms;
// After an endpoint has refused this host's token, the row of the holder with
// the higher token is read within this time.
constexpr duration refused_row_timeout = 1s;
// Each endpoint adds two entries to a transaction: a condition and a row.
constexpr std::size_t max_rows_per_transaction = 50;
// Takeovers that a host begins per second, and at once: those of the endpoints
// that it can serve, but enough for those of a large host that has ended.
constexpr double takeovers_per_core = 72.0;
constexpr double min_takeovers = 16.0;
// A host that hears none of its known peers after it has started is probably
// cut off; for this long after the start it does not treat their endpoints as
// abandoned.
constexpr duration isolation_timeout = 3s;

// The token for a takeover through the store: the next multiple of the stride
// above `highest`.
std::uint64_t next_stored_token(std::uint64_t highest) {
    return (highest / stored_token_stride + 1) * stored_token_stride;
}

// The highest token that any holder can have got up to this version of the
// store: each takeover is a write of its own and raises the token to the next
// multiple of the stride.
std::uint64_t highest_token(std::uint64_t version) {
    return (version + 1) * stored_token_stride - 1;
}

} // namespace

void dispatcher::record_holder(timestamp now, const holder_record& record) {
    directory_.set_holder(now, record);
    record_tenure(record.holder, record.endpoint, record.token);
}

void dispatcher::check_holders(timestamp now) {
    for (const auto& [endpoint, token] : holder_.take_fenced()) {
        refused_tokens_[endpoint] = {token, now};
    }
    hold_own_rows(now);
    write_granted_rows(now);
    grant_endpoints(now);
    const bool settled = now - started_at_ >= settings_.settle_time;
    const auto& known_peers = sessions_.peers();
    const bool hears_nobody =
        !known_peers.empty() &&
        std::none_of(known_peers.begin(), known_peers.end(),
                     [this, now](const auto& item) {
                         return sessions_.is_heard(now, item.second);
                     });
    if (hears_nobody) {
        holder_.set_unheard_successors(fence_cause::isolated);
    } else if (sessions_.may_miss_a_peer(now)) {
        holder_.set_unheard_successors(fence_cause::peer_silent);
    } else {
        holder_.set_unheard_successors(std::nullopt);
    }
    const bool isolated = hears_nobody && now - started_at_ < isolation_timeout;
    if (draining_ || !has_endpoints_) {
        return;
    }
    const bool membership_known = settled && !isolated;
    auto endpoints_to_take = cached_endpoints_to_take(now);
    const auto refused = refused_rows(now);
    endpoints_to_take.insert(endpoints_to_take.end(), refused.begin(),
                             refused.end());
    takeover_wanted_ = !endpoints_to_take.empty();
    std::vector<std::string> ready;
    for (const auto& id : endpoints_to_take) {
        const auto* row = directory_.holder_of(id);
        const bool may_take_over =
            membership_known || (row != nullptr && has_ended(row->holder));
        if (!may_take_over) {
            continue;
        }
        const auto& endpoint = directory_.endpoints().at(id);
        if (rows_in_flight_.contains(id)) {
            // The store may be away: jobs don't wait for an endpoint only as
            // long as its instance is known to be the same.
            if (row != nullptr && ended_peers_.size() >= 2) {
                probe(now, endpoint, row->token);
            }
            continue;
        }
        const auto answers = probe_answers_.find(id);
        const bool reachable = answers != probe_answers_.end() &&
                               now - answers->second.last < probe_validity;
        // When a partition heals, endpoints of another failure domain may
        // answer before its hosts are heard again.
        const bool stable =
            reachable && (endpoint.failure_domain == settings_.failure_domain ||
                          answers->second.last - answers->second.first >=
                              remote_settle_time);
        if (row == nullptr || stable) {
            ready.push_back(id);
            continue;
        }
        const auto refused_probe = refused_probes_.find(id);
        if (refused_probe != refused_probes_.end() &&
            refused_probe->second.token >= row->token) {
            // Either a newer row will be read, or the endpoint was granted to a
            // process that ended before it wrote its row.
            if (now - refused_probe->second.at >= remote_settle_time) {
                ready.push_back(id);
                refused_probe->second.at = now;
            }
            continue;
        }
        probe(now, endpoint, row->token);
    }
    probe_for_others(now);
    if (const auto room = takeover_room(now); ready.size() > room) {
        ready.resize(room); // the others in later checks
    }
    if (!ready.empty()) {
        takeover_credit_ -= static_cast<double>(ready.size());
        take_over(now, ready);
    }
}

void dispatcher::probe(timestamp now, const endpoint_record& endpoint,
                       std::uint64_t token) {
    if (auto& sent = probe_sent_at_[endpoint.id];
        now - sent >= probe_interval) {
        sent = now;
        pending_probes_.insert(endpoint.id);
        ports_.endpoints.hold(
            {{endpoint.id, endpoint.address, token}, 0, std::nullopt, 0});
    }
}

void dispatcher::probe_for_others(timestamp now) {
    if (ended_peers_.size() < 2) {
        return;
    }
    if (now >= next_ask_list_) {
        next_ask_list_ = now + ask_list_interval;
        auto hosts = holding_hosts(now);
        std::erase_if(hosts, [this](const candidate& host) {
            const auto peer = sessions_.peers().find(host.id.address);
            return peer != sessions_.peers().end() &&
                   !peer->second.about.knows_endpoints;
        });
        endpoints_to_ask_ =
            directory_.endpoints_to_take(now, settings_.self, hosts);
    }
    for (const auto& id : endpoints_to_ask_) {
        const auto* row = directory_.holder_of(id);
        const auto endpoint = directory_.endpoints().find(id);
        if (row != nullptr && endpoint != directory_.endpoints().end() &&
            end_noticed_at(row->holder)) {
            probe(now, endpoint->second, row->token);
        }
    }
}

std::size_t dispatcher::takeover_room(timestamp now) {
    const auto rate =
        std::max(min_takeovers, settings_.cpu_share * takeovers_per_core);
    const std::chrono::duration<double> passed = now - takeover_credit_at_;
    takeover_credit_at_ = now;
    takeover_credit_ = std::min(rate, takeover_credit_ + passed.count() * rate);
    return static_cast<std::size_t>(takeover_credit_);
}

bool dispatcher::has_ended(const process_id& process) const {
    const auto peer = sessions_.peers().find(process.address);
    const auto present =
        process.address == settings_.self.address ? settings_.self.incarnation
        : peer != sessions_.peers().end()         ? peer->second.id.incarnation
                                                  : 0;
    return present != 0 && present != process.incarnation;
}

void dispatcher::record_probe_reply(timestamp now, const call_target& target,
                                    const hold_reply& reply) {
    record_probed_instance(now, target, reply);
    const auto status = reply.call.status;
    if (status == call_status::stale_token) {
        auto& refused = refused_probes_[target.endpoint];
        if (refused.token < target.token) {
            refused = {target.token, now};
        }
    } else if (status != call_status::not_sent &&
               status != call_status::unanswered &&
               status != call_status::other_instance) {
        auto& answers = probe_answers_[target.endpoint];
        if (now - answers.last > probe_validity) {
            answers.first = now;
        }
        answers.last = now;
    }
}

const std::vector<std::string>&
dispatcher::cached_endpoints_to_take(timestamp now) {
    auto hosts = holding_hosts(now);
    const bool same = hosts == compared_hosts_ &&
                      directory_.generation() == compared_generation_ &&
                      now - compared_at_ < recompute_interval;
    if (!same) {
        endpoints_to_take_ =
            directory_.endpoints_to_take(now, settings_.self, hosts);
        compared_hosts_ = std::move(hosts);
        compared_generation_ = directory_.generation();
        compared_at_ = now;
    }
    return endpoints_to_take_;
}

void dispatcher::hold_own_rows(timestamp now) {
    for (const auto& [id, token] : directory_.held_by(settings_.self)) {
        const auto refused = refused_tokens_.find(id);
        const bool usable =
            refused == refused_tokens_.end() || refused->second.token < token;
        if (usable && directory_.endpoints().contains(id) &&
            holder_.token_of(id) < token) {
            holder_.take(now, directory_.endpoints().at(id), token,
                         directory_.former_holder_of(id));
        }
    }
}

std::vector<std::string> dispatcher::refused_rows(timestamp now) const {
    std::vector<std::string> found;
    for (const auto& [id, refused] : refused_tokens_) {
        const auto* row = directory_.holder_of(id);
        if (row != nullptr && row->holder == settings_.self &&
            row->token <= refused.token &&
            directory_.endpoints().contains(id) &&
            now - refused.at >= refused_row_timeout) {
            found.push_back(id);
        }
    }
    return found;
}

void dispatcher::take_over(timestamp /*now*/,
                           const std::vector<std::string>& endpoints) {
    std::map<std::string, std::vector<holder_record>> by_domain;
    for (const auto& id : endpoints) {
        const auto& endpoint = directory_.endpoints().at(id);
        const auto* row = directory_.holder_of(id);
        const auto refused = refused_tokens_.find(id);
        holder_record new_row;
        new_row.endpoint = id;
        new_row.failure_domain = endpoint.failure_domain;
        new_row.holder = settings_.self;
        new_row.token = next_stored_token(std::max(
            row == nullptr ? highest_token(store_version_) : row->token,
            refused == refused_tokens_.end() ? 0 : refused->second.token));
        new_row.version = row == nullptr ? 0 : row->version;
        auto& batch = by_domain[endpoint.failure_domain];
        if (batch.size() >= max_rows_per_transaction) {
            continue; // taken over in a later check
        }
        batch.push_back(new_row);
        rows_in_flight_.insert(id);
    }
    write_rows("takeover_begun", by_domain);
}

void dispatcher::write_rows(
    std::string_view event,
    const std::map<std::string, std::vector<holder_record>>& rows_by_domain) {
    for (const auto& [domain, batch] : rows_by_domain) {
        const auto request = next_request_++;
        ports_.observer.log(log_level::info, event,
                            {{"failure_domain", domain},
                             {"endpoints", std::to_string(batch.size())},
                             {"request", std::to_string(request)}});
        pending_writes_[request] = batch;
        ports_.store.replace(request, batch);
    }
}

// During the pause another process may have taken the endpoint over, and a
// later instance of it does not know that one's token.
void dispatcher::refuse_pending_takeovers(timestamp now) {
    for (const auto& [request, batch] : pending_writes_) {
        for (const auto& row : batch) {
            if (holder_.token_of(row.endpoint) < row.token) {
                refused_tokens_[row.endpoint] = {row.token, now};
            }
        }
    }
}

void dispatcher::handle_write_result(timestamp now, std::uint64_t request,
                                     store_status status) {
    begin_input(now);
    const auto found = pending_writes_.find(request);
    if (found == pending_writes_.end()) {
        return;
    }
    ports_.observer.count("takeovers", to_string(status));
    const auto batch = std::move(found->second);
    pending_writes_.erase(found);
    ports_.observer.log(status == store_status::ok ? log_level::info
                                                   : log_level::warning,
                        "takeover_stored",
                        {{"request", std::to_string(request)},
                         {"outcome", std::string(to_string(status))}});
    for (const auto& row : batch) {
        rows_in_flight_.erase(row.endpoint);
        if (status == store_status::ok) {
            record_holder(now, row);
            unstored_grants_.erase(row.endpoint);
        }
    }
    hold_own_rows(now);
    end_input(now);
}

void dispatcher::set_holder(timestamp now, const holder_record& record) {
    begin_input(now);
    const auto* known = directory_.holder_of(record.endpoint);
    if (known != nullptr && known->token > record.token) {
        // The known holder has not written its row yet.
        directory_.set_version(record.endpoint, record.version);
        return;
    }
    record_holder(now, record);
    unstored_grants_.erase(record.endpoint);
    const bool ours = record.holder == settings_.self;
    if (!ours && holder_.token_of(record.endpoint) < record.token) {
        holder_.release(now, record.endpoint);
    }
    if (ours) {
        // Also completes a write whose reply was lost.
        hold_own_rows(now);
    }
    end_input(now);
}

// --- grants -----------------------------------------------------------------

std::vector<candidate> dispatcher::possible_successors() const {
    std::vector<candidate> hosts;
    for (const auto& host : live_hosts()) {
        const auto peer = sessions_.peers().find(host.id.address);
        const bool can_hold = peer != sessions_.peers().end() &&
                              peer->second.about.knows_endpoints;
        if (!host.draining && can_hold && is_in_contact(host.id)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

void dispatcher::grant_endpoints(timestamp now) {
    if (!draining_ || now - draining_since_ < grant_delay ||
        holder_.sessions().empty()) {
        return;
    }
    const auto hosts = possible_successors();
    std::vector<holder_record> granted;
    for (const auto& [id, session] : holder_.sessions()) {
        const auto* row = directory_.holder_of(id);
        const auto receiver = directory_.successor(id, hosts);
        const auto token = session->token() + 1;
        // Multiples of the stride are reserved for takeovers.
        if (row == nullptr || !receiver || token % stored_token_stride == 0) {
            continue;
        }
        if (auto* pending = outbox(*receiver)) {
            pending->grants.push_back({id, token, row->version});
            auto granted_row = *row;
            granted_row.holder = *receiver;
            granted_row.token = token;
            grant_receivers_.insert(*receiver);
            granted.push_back(std::move(granted_row));
        }
    }
    for (const auto& row : granted) {
        ports_.observer.log(log_level::info, "endpoint_granted",
                            {{"endpoint", row.endpoint},
                             {"to", row.holder.address},
                             {"token", std::to_string(row.token)}});
        record_holder(now, row);
        holder_.release(now, row.endpoint);
    }
}

void dispatcher::accept_grant(timestamp now, const process_id& from,
                              const endpoint_grant& grant) {
    const auto* known = directory_.holder_of(grant.endpoint);
    const auto endpoint = directory_.endpoints().find(grant.endpoint);
    if (endpoint == directory_.endpoints().end() ||
        (known != nullptr && known->token >= grant.token)) {
        return;
    }
    ports_.observer.log(log_level::info, "grant_taken",
                        {{"endpoint", grant.endpoint},
                         {"from", from.address},
                         {"token", std::to_string(grant.token)}});
    record_holder(now, {grant.endpoint, endpoint->second.failure_domain,
                        settings_.self, grant.token, grant.version});
    unstored_grants_[grant.endpoint] = now;
    hold_own_rows(now);
}

void dispatcher::record_announced_holder(timestamp now,
                                         const process_id& holder,
                                         const endpoint_adoption& adoption) {
    const auto* known = directory_.holder_of(adoption.endpoint);
    if (known == nullptr || known->token >= adoption.token ||
        holder == settings_.self) {
        return;
    }
    auto row = *known;
    row.holder = holder;
    row.token = adoption.token;
    record_holder(now, row);
    if (holder_.holds(adoption.endpoint)) {
        holder_.release(now, adoption.endpoint);
    }
}

void dispatcher::write_granted_rows(timestamp now) {
    std::map<std::string, std::vector<holder_record>> by_domain;
    for (auto& [id, due] : unstored_grants_) {
        const auto* row = directory_.holder_of(id);
        if (row == nullptr || row->holder != settings_.self || now < due ||
            rows_in_flight_.contains(id)) {
            continue;
        }
        auto& batch = by_domain[row->failure_domain];
        if (batch.size() < max_rows_per_transaction) {
            batch.push_back(*row);
            rows_in_flight_.insert(id);
            due = now + grant_write_retry_interval;
        }
    }
    std::erase_if(unstored_grants_, [this](const auto& item) {
        const auto* row = directory_.holder_of(item.first);
        return row == nullptr || row->holder != settings_.self;
    });
    write_rows("grant_store_begun", by_domain);
}

void dispatcher::set_store_version(std::uint64_t version) {
    store_version_ = std::max(store_version_, version);
}

void dispatcher::remove_holder(timestamp now, const std::string& endpoint) {
    begin_input(now);
    directory_.remove_holder(endpoint);
    holder_.release(now, endpoint);
    end_input(now);
}

} // namespace figridge::dispatch
