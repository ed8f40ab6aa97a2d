#include "catalogue_keeper.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "codec/json_codec.hpp"

namespace figridge {
namespace {

constexpr auto head_key = "catalogue/head";
constexpr auto catalogue_prefix = "catalogue/";
constexpr auto entry_prefix = "catalogue/entry/";
constexpr auto edit_prefix = "edit/";
constexpr duration edit_timeout = 8s;
constexpr duration edit_retry_interval = 200ms;
constexpr duration peer_request_interval = 300ms;
constexpr duration platform_grace_period = 2s;

// Builds a catalogue from its rows. Version 0 means that the table is empty.
absl::StatusOr<catalogue> parse_rows(const std::vector<table_row>& rows) {
    catalogue content;
    for (const auto& row : rows) {
        if (row.key == head_key) {
            content.version = row.version;
            content.edit_id = row.value;
            continue;
        }
        if (!absl::StartsWith(row.key, entry_prefix) || row.value.empty()) {
            continue;
        }
        const auto value = parse_json(row.value);
        if (!value.ok()) {
            return value.status();
        }
        const auto entry = entry_from_json(*value);
        if (!entry.ok()) {
            return entry.status();
        }
        content.entries[entry->name] = *entry;
    }
    return content;
}

} // namespace

catalogue_keeper::catalogue_keeper(core_context& context, membership& members,
                                   store_client& store)
    : context_(context), members_(members), store_(store) {}

bool catalogue_keeper::apply_if_newer(const catalogue& content) {
    for (const auto& [name, entry] : content.entries) {
        if (const auto status = check_entry(entry); !status.ok()) {
            context_.log(log_level::error, "catalogue_refused",
                         {{"version", std::to_string(content.version)},
                          {"error", std::string(status.message())}});
            return false;
        }
    }
    const bool first = !ready_;
    ready_ = true;
    if (content.version <= current_.version) {
        if (first && on_change) {
            on_change();
        }
        return false;
    }
    current_ = content;
    context_.log(log_level::info, "catalogue_in_force",
                 {{"version", std::to_string(current_.version)}});
    if (on_change) {
        on_change();
    }
    return true;
}

void catalogue_keeper::tick() {
    if (started_at_ < timestamp{0}) {
        started_at_ = context_.now;
    }
    if (!polling_ && (polled_at_ < timestamp{0} ||
                      context_.now - polled_at_ >=
                          context_.settings.catalogue_poll_interval)) {
        poll();
    }
    const bool may_ask_peers =
        platform_answered_ || ready_ ||
        context_.now - started_at_ >= platform_grace_period;
    if (may_ask_peers) {
        request_catalogue_from_peer();
    }
    run_edits();
}

void catalogue_keeper::poll() {
    polling_ = true;
    polled_at_ = context_.now;
    store_.read_keys({head_key}, [this](const table_reply& reply) {
        polling_ = false;
        if (reply.status != table_status::ok) {
            return;
        }
        platform_answered_ = true;
        const auto version = reply.rows.empty() ? 0 : reply.rows[0].version;
        if (version > current_.version) {
            fetch_all([](bool) {});
        } else {
            apply_if_newer(catalogue{});
        }
    });
}

void catalogue_keeper::fetch_all(const std::function<void(bool)>& done) {
    store_.read_prefix(catalogue_prefix, [this,
                                          done](const table_reply& reply) {
        if (reply.status != table_status::ok) {
            return done(false);
        }
        const auto content = parse_rows(reply.rows);
        if (content.ok()) {
            apply_if_newer(*content);
        } else {
            context_.log(log_level::error, "catalogue_refused",
                         {{"error", std::string(content.status().message())}});
        }
        done(content.ok());
    });
}

void catalogue_keeper::request_catalogue_from_peer() {
    if (context_.now - peer_requested_at_ < peer_request_interval &&
        peer_requested_at_ >= timestamp{0}) {
        return;
    }
    for (const auto& host : members_.alive_hosts()) {
        const auto& advert = members_.advert_of(host);
        const bool should_request =
            advert.catalogue_version > current_.version ||
            (!ready_ && host != context_.settings.self.address);
        if (should_request) {
            peer_requested_at_ = context_.now;
            members_.outbox(host).catalogue_requests.push_back(
                {current_.version});
            return;
        }
    }
}

// --- edits ----------------------------------------------------------------

void catalogue_keeper::edit(const catalogue_edit& change, edit_handler done) {
    if (const auto status = check_edit(change); !status.ok()) {
        done({edit_status::invalid, current_.version,
              std::string(status.message())});
        return;
    }
    if (!ready_) {
        done({edit_status::not_ready, 0, "no catalogue yet"});
        return;
    }
    edits_.push_back({change, std::move(done), context_.now + edit_timeout,
                      context_.now, false});
    run_edits();
}

void catalogue_keeper::run_edits() {
    if (edits_.empty() || edits_.front().busy ||
        context_.now < edits_.front().retry_at) {
        return;
    }
    if (context_.now >= edits_.front().expires_at) {
        end_edit({edit_status::store_down, current_.version,
                  "the table service does not answer; the edit may have been "
                  "stored: repeat it under the same edit_id"});
        return;
    }
    edits_.front().busy = true;
    read_edit_state();
}

void catalogue_keeper::read_edit_state() {
    fetch_all([this](bool ok) {
        if (!ok) {
            retry_edit_later();
            return;
        }
        const auto key =
            absl::StrCat(edit_prefix, edits_.front().change.edit_id);
        store_.read_keys({key}, [this](const table_reply& reply) {
            check_edit_conditions(reply);
        });
    });
}

void catalogue_keeper::check_edit_conditions(const table_reply& edit_row) {
    if (edit_row.status != table_status::ok) {
        retry_edit_later();
        return;
    }
    if (!edit_row.rows.empty()) {
        std::uint64_t version = 0;
        if (!absl::SimpleAtoi(edit_row.rows[0].value, &version)) {
            version = current_.version;
        }
        end_edit({edit_status::stored, version, "already stored"});
        return;
    }
    const auto based_on = edits_.front().change.based_on;
    if (based_on != current_.version) {
        end_edit({edit_status::conflict, current_.version,
                  absl::StrCat("based_on: version ", based_on,
                               " is not the stored one, which is ",
                               current_.version)});
        return;
    }
    write_edit();
}

void catalogue_keeper::write_edit() {
    const auto& change = edits_.front().change;
    const auto next = apply_edit(current_, change);
    const auto edit_key = absl::StrCat(edit_prefix, change.edit_id);
    table_transaction transaction;
    transaction.conditions = {{head_key, change.based_on}, {edit_key, 0}};
    transaction.writes = {{head_key, change.edit_id},
                          {edit_key, std::to_string(next.version)}};
    for (const auto& entry : change.set) {
        transaction.writes.push_back({absl::StrCat(entry_prefix, entry.name),
                                      dump_json(to_json(entry))});
    }
    for (const auto& name : change.remove) {
        transaction.writes.push_back({absl::StrCat(entry_prefix, name), ""});
    }
    store_.transact(transaction, [this, next](const table_reply& reply) {
        if (reply.status != table_status::ok) {
            retry_edit_later();
            return;
        }
        apply_if_newer(next);
        end_edit({edit_status::stored, next.version, ""});
    });
}

void catalogue_keeper::retry_edit_later() {
    edits_.front().busy = false;
    edits_.front().retry_at = context_.now + edit_retry_interval;
}

void catalogue_keeper::end_edit(const edit_answer& answer) {
    const auto ended = std::move(edits_.front());
    edits_.pop_front();
    ended.done(answer);
    run_edits();
}

} // namespace figridge
