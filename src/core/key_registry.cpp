#include "key_registry.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr std::size_t max_claims_per_write = 64;
constexpr duration write_interval = 20ms;
constexpr duration retry_interval = 200ms;

} // namespace

void key_registry::claim(const std::string& entry, const std::string& key,
                         const submission_id& id, handler done) {
    waiting_.push_back({absl::StrCat("key/", entry, "/", key), id,
                        context_.now + context_.settings.key_claim_deadline,
                        std::move(done)});
    write_next_batch();
}

void key_registry::tick() {
    while (!busy_ && !waiting_.empty() &&
           context_.now >= waiting_.front().expires_at) {
        const auto expired = std::move(waiting_.front());
        waiting_.pop_front();
        expired.done({claim_status::store_down, {}});
    }
    write_next_batch();
}

void key_registry::write_next_batch() {
    if (busy_ || waiting_.empty() || context_.now < next_write_) {
        return;
    }
    std::vector<open_claim> claims;
    std::deque<open_claim> deferred;
    while (!waiting_.empty() && claims.size() < max_claims_per_write) {
        auto claim = std::move(waiting_.front());
        waiting_.pop_front();
        // A transaction must not insert the same row twice.
        const bool repeated = std::any_of(claims.begin(), claims.end(),
                                          [&claim](const open_claim& other) {
                                              return other.row == claim.row;
                                          });
        if (repeated) {
            deferred.push_back(std::move(claim));
        } else {
            claims.push_back(std::move(claim));
        }
    }
    for (auto& claim : deferred) {
        waiting_.push_back(std::move(claim));
    }
    busy_ = true;
    write(std::move(claims));
}

void key_registry::write(std::vector<open_claim> claims) {
    table_transaction transaction;
    for (const auto& claim : claims) {
        transaction.conditions.push_back({claim.row, 0});
        transaction.writes.push_back({claim.row, to_string(claim.id)});
    }
    store_.transact(transaction, [this, claims = std::move(claims)](
                                     const table_reply& reply) mutable {
        next_write_ = context_.now + write_interval;
        if (reply.status == table_status::ok) {
            for (const auto& claim : claims) {
                claim.done({claim_status::claimed, {}});
            }
            end_batch();
        } else if (reply.status == table_status::conflict) {
            resolve_claims(std::move(claims), reply.rows);
        } else {
            read_back(std::move(claims));
        }
    });
}

void key_registry::read_back(std::vector<open_claim> claims) {
    std::vector<std::string> rows;
    rows.reserve(claims.size());
    for (const auto& claim : claims) {
        rows.push_back(claim.row);
    }
    store_.read_keys(rows, [this, claims = std::move(claims)](
                               const table_reply& reply) mutable {
        next_write_ = context_.now + retry_interval;
        resolve_claims(std::move(claims), reply.rows);
    });
}

void key_registry::resolve_claims(std::vector<open_claim> claims,
                                  const std::vector<table_row>& rows) {
    for (auto& claim : claims) {
        const auto row = std::find_if(rows.begin(), rows.end(),
                                      [&claim](const table_row& candidate) {
                                          return candidate.key == claim.row;
                                      });
        if (row == rows.end()) {
            waiting_.push_front(std::move(claim));
            continue;
        }
        const auto claimed_by = parse_submission_id(row->value);
        if (claimed_by.ok() && *claimed_by == claim.id) {
            claim.done({claim_status::claimed, {}});
        } else if (claimed_by.ok()) {
            claim.done({claim_status::taken, *claimed_by});
        } else {
            claim.done({claim_status::store_down, {}});
        }
    }
    end_batch();
}

void key_registry::end_batch() {
    busy_ = false;
    write_next_batch();
}

} // namespace figridge
