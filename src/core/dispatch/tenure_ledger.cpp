#include "core/dispatch/tenure_ledger.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace figridge::dispatch {

void tenure_ledger::set_holder(const holder_record& record) {
    auto& known = endpoints_[record.endpoint];
    known.newest_token = std::max(known.newest_token, record.token);
    const bool outdated =
        !known.tenures.empty() && known.tenures.back().token >= record.token;
    if (outdated || record.holder.address.empty()) {
        return;
    }
    auto& added = known.tenures.emplace_back();
    added.holder = record.holder;
    added.token = record.token;
    if (record.token < known.answered_token) {
        added.end_by(known.earlier_runs_end_by);
        note_end(known.earlier_runs_end_by);
    }
}

void tenure_ledger::tenure::end_by(timestamp runs_end_by) {
    ends_by = std::min(ends_by.value_or(runs_end_by), runs_end_by);
}

void tenure_ledger::note_end(timestamp ends_by) {
    next_end_ = std::min(next_end_.value_or(ends_by), ends_by);
}

void tenure_ledger::fence(const std::string& endpoint, std::uint64_t token,
                          timestamp runs_end_by) {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || token < found->second.answered_token) {
        return;
    }
    auto& known = found->second;
    known.runs_known &= token == known.answered_token;
    known.earlier_runs_end_by =
        token == known.answered_token
            ? std::min(known.earlier_runs_end_by, runs_end_by)
            : runs_end_by;
    known.answered_token = token;
    for (auto& earlier : known.tenures) {
        if (earlier.token < token) {
            earlier.end_by(runs_end_by);
            note_end(runs_end_by);
        }
    }
}

void tenure_ledger::fence_holder(const std::string& endpoint,
                                 std::uint64_t token, const process_id& holder,
                                 timestamp runs_end_by) {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || token < found->second.answered_token) {
        return;
    }
    for (auto& earlier : found->second.tenures) {
        if (earlier.token < token && earlier.holder == holder) {
            earlier.end_by(runs_end_by);
            note_end(runs_end_by);
        }
    }
}

void tenure_ledger::note_listed(const std::string& endpoint,
                                std::uint64_t token) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end() && token == found->second.answered_token) {
        found->second.runs_known = true;
    }
}

void tenure_ledger::set_endpoint(timestamp now,
                                 const endpoint_record& endpoint) {
    auto& known = endpoints_[endpoint.id];
    known.pool = endpoint.pool;
    known.failure_domain = endpoint.failure_domain;
    if (known.labels != endpoint.labels) {
        for (auto& open : known.tenures) {
            open.former_labels.insert(open.former_labels.end(),
                                      known.labels.begin(), known.labels.end());
        }
        known.labels = endpoint.labels;
    }
    known.gone_by.reset();
    known.tenures_known |= rows_read_ && known.newest_token == 0;
    if (endpoint.instance_started_ms > known.instance_started_ms) {
        if (known.instance_started_ms != 0) {
            known.restart_listed_at = now;
        }
        known.instance_started_ms = endpoint.instance_started_ms;
        known.began_by = timestamp::max();
        known.heard_after_token = 0;
    }
}

bool tenure_ledger::note_instance(timestamp now, const std::string& endpoint,
                                  std::int64_t instance_started_ms,
                                  timestamp began_by, const process_id& by,
                                  std::uint64_t token) {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return false;
    }
    auto& known = found->second;
    const auto named = std::find_if(
        known.tenures.begin(), known.tenures.end(),
        [token](const tenure& open) { return open.token == token; });
    if (named == known.tenures.end()) {
        return false;
    }
    if (instance_started_ms < known.instance_started_ms) {
        known.began_by = timestamp::max();
        known.heard_after_token = 0;
        known.used_since = timestamp::max();
        return true;
    }
    if (instance_started_ms > known.instance_started_ms) {
        known.instance_started_ms = instance_started_ms;
        known.began_by = timestamp::max();
        known.heard_after_token = 0;
    }
    known.began_by = std::min(known.began_by, began_by);
    if (named->holder != by) {
        known.heard_after_token = std::max(known.heard_after_token, token);
        known.heard_at = now;
    } else if (known.used_instance_ms != instance_started_ms ||
               known.used_token != token) {
        known.used_instance_ms = instance_started_ms;
        known.used_token = token;
        known.used_since = now;
    }
    return true;
}

bool tenure_ledger::domain_answers(timestamp now, const std::string& id) const {
    const auto& domain = endpoints_.at(id).failure_domain;
    return std::any_of(
        endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
            const auto& [other, known] = item;
            return other != id && known.failure_domain == domain &&
                   known.answered_token != 0 &&
                   now - known.earlier_runs_end_by < evidence_validity;
        });
}

bool tenure_ledger::awaits_answer(
    timestamp now, const std::string& id, const known_endpoint& known,
    const std::function<bool(const process_id&)>& tells) const {
    return known.restart_listed_at &&
           std::any_of(known.tenures.begin(), known.tenures.end(),
                       [&tells](const tenure& open) {
                           return !open.ends_by && !tells(open.holder);
                       }) &&
           domain_answers(now, id);
}

timestamp tenure_ledger::known_endpoint::safe_from() const {
    if (proved) {
        return awaits_answer ? *restart_listed_at : timestamp::min();
    }
    if (heard_after_token == 0 || heard_after_token < newest_token) {
        return timestamp::max();
    }
    const auto by_age = began_by == timestamp::max()
                            ? began_by
                            : began_by + clock_reading_limit;
    const bool is_used =
        used_token == newest_token && used_instance_ms == instance_started_ms;
    return is_used ? std::min(by_age, used_since) : by_age;
}

void tenure_ledger::note_rows_read() {
    rows_read_ = true;
    for (auto& [id, known] : endpoints_) {
        known.tenures_known |= known.newest_token == 0;
    }
}

void tenure_ledger::forget_unlisted() {
    std::erase_if(endpoints_,
                  [](const auto& item) { return item.second.pool.empty(); });
}

void tenure_ledger::remove_endpoint(const std::string& endpoint,
                                    timestamp runs_end_by) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end() && !found->second.gone_by) {
        found->second.gone_by = runs_end_by;
        note_end(runs_end_by);
    }
}

void tenure_ledger::tick(timestamp now) {
    if (!next_end_ || now < *next_end_) {
        return;
    }
    next_end_.reset();
    std::erase_if(endpoints_, [now](const auto& item) {
        return item.second.gone_by && now > *item.second.gone_by;
    });
    for (auto& [id, known] : endpoints_) {
        std::erase_if(known.tenures, [now](const tenure& ended) {
            return ended.ends_by && now >= *ended.ends_by;
        });
        for (const auto& ending : known.tenures) {
            if (ending.ends_by) {
                note_end(*ending.ends_by);
            }
        }
        if (known.gone_by) {
            note_end(*known.gone_by);
        }
    }
}

void tenure_ledger::note_proofs(
    timestamp now, const std::function<bool(const process_id&)>& tells) {
    last_awaited_restart_ = timestamp::min();
    for (auto& [id, known] : endpoints_) {
        if (now - known.heard_at > evidence_validity) {
            known.heard_after_token = 0;
        }
        if (known.restart_listed_at &&
            now - *known.restart_listed_at > longest_job_age) {
            known.restart_listed_at.reset();
        }
        known.awaits_answer = awaits_answer(now, id, known, tells);
        if (known.awaits_answer) {
            last_awaited_restart_ =
                std::max(last_awaited_restart_, *known.restart_listed_at);
        }
        if (known.proved) {
            continue;
        }
        known.tenures_known |= known.has_answered(now);
        const bool all_over = std::all_of(
            known.tenures.begin(), known.tenures.end(),
            [&tells, runs_known = known.runs_known](const tenure& open) {
                return (open.ends_by && runs_known) || tells(open.holder);
            });
        known.proved = known.tenures_known && all_over;
    }
}

void tenure_ledger::withdraw_proofs(const process_id& process) {
    for (auto& [id, known] : endpoints_) {
        known.proved &= std::none_of(
            known.tenures.begin(), known.tenures.end(),
            [&process](const tenure& open) { return open.holder == process; });
    }
}

void tenure_ledger::withdraw_end(const process_id& process) {
    for (auto& [id, known] : endpoints_) {
        if (!known.tenures.empty() && known.tenures.back().holder == process) {
            known.heard_after_token = 0;
        }
    }
}

bool tenure_ledger::known_endpoint::has_answered(timestamp now) const {
    return answered_token >= newest_token &&
           (runs_known || now >= earlier_runs_end_by);
}

bool tenure_ledger::may_start(const process_id& process,
                              const std::string& pool,
                              const std::string& label) const {
    const auto has_label = [&label](const std::vector<std::string>& labels) {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    };
    return std::any_of(
        endpoints_.begin(), endpoints_.end(), [&](const auto& item) {
            const auto& known = item.second;
            return known.pool == pool &&
                   std::any_of(known.tenures.begin(), known.tenures.end(),
                               [&](const tenure& open) {
                                   return open.holder == process &&
                                          (label.empty() ||
                                           has_label(known.labels) ||
                                           has_label(open.former_labels));
                               });
        });
}

bool tenure_ledger::may_start_at(const std::string& endpoint,
                                 std::uint64_t token) const {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return false;
    }
    // The row of the tenure may not have been read.
    return token >= found->second.answered_token ||
           std::any_of(
               found->second.tenures.begin(), found->second.tenures.end(),
               [token](const tenure& open) { return open.token == token; });
}

std::vector<std::string>
tenure_ledger::find_unproved(const std::string& pool,
                             timestamp first_sent) const {
    std::vector<std::string> found;
    for (const auto& [id, known] : endpoints_) {
        if (known.pool == pool && known.safe_from() > first_sent) {
            found.push_back(id);
        }
    }
    return found;
}

std::string
tenure_ledger::describe_instance(timestamp now,
                                 const std::string& endpoint) const {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return endpoint;
    }
    const auto& known = found->second;
    const auto since = [now](timestamp at) {
        return at == timestamp::max() ? std::string("unknown")
                                      : absl::StrCat(to_ms(now - at));
    };
    return absl::StrCat(
        endpoint, "/token:", known.newest_token,
        "/heard_after:", known.heard_after_token,
        "/age_ms:", since(known.began_by), "/used_under:", known.used_token,
        "/used_ms:", since(known.used_since), "/restarted_ms:",
        since(known.restart_listed_at.value_or(timestamp::max())));
}

timestamp tenure_ledger::needs_no_proof_from(const std::string& pool) const {
    auto latest = timestamp::min();
    for (const auto& [id, known] : endpoints_) {
        if (known.pool == pool) {
            latest = std::max(latest, known.safe_from());
        }
    }
    return latest;
}

bool tenure_ledger::has_unproved(timestamp first_sent) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [first_sent](const auto& item) {
                           return item.second.safe_from() > first_sent;
                       });
}

std::uint64_t tenure_ledger::answered_token(const std::string& endpoint) const {
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? 0 : found->second.answered_token;
}

} // namespace figridge::dispatch
