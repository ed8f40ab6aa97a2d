#include "platform/table_stand_in.hpp"

#include <algorithm>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

namespace figridge::testing {
namespace {

constexpr std::size_t max_body_bytes = 2U << 20;
constexpr std::size_t max_history = 20'000;
constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_gone = 410;
constexpr int http_conflict = 412;
constexpr int http_unavailable = 503;

std::uint64_t query_number(const http_request& request, const char* name) {
    std::uint64_t number = 0;
    const auto found = request.query.find(name);
    if (found != request.query.end() &&
        !absl::SimpleAtoi(found->second, &number)) {
        return 0;
    }
    return number;
}

std::string query_text(const http_request& request, const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string{} : found->second;
}

} // namespace

table_stand_in::table_stand_in(event_loop& loop)
    : loop_(loop), server_(
                       loop, max_body_bytes,
                       [this](const http_request& request) { handle(request); },
                       [this](http_token token) {
                           feeds_.remove_if([token](const waiting_feed& feed) {
                               return feed.token == token;
                           });
                       }) {}

absl::Status table_stand_in::start(const std::string& address) {
    return server_.start(address);
}

json table_stand_in::row_to_json(const row_key& key, const std::string& value,
                                 std::uint64_t version, bool removed) {
    json row{{"table", std::get<0>(key)},
             {"part", std::get<1>(key)},
             {"key", std::get<2>(key)},
             {"ver", version}};
    if (removed) {
        row["tombstone"] = true;
    } else {
        row["value"] = value;
    }
    return row;
}

void table_stand_in::respond(http_token token, int status, const json& body) {
    server_.respond(token, {status, dump_json(body)});
}

// --- rows -------------------------------------------------------------------

void table_stand_in::set(const row_key& key, std::string value) {
    rows_[key] = {value, version_};
    history_.push_back({key, version_, false, std::move(value)});
}

void table_stand_in::erase(const row_key& key) {
    if (rows_.erase(key) > 0) {
        history_.push_back({key, version_, true, {}});
    }
}

void table_stand_in::put(const std::string& table, const std::string& key,
                         const json& value) {
    ++version_;
    set({table, "", key}, absl::Base64Escape(dump_json(value)));
    notify_feeds();
}

void table_stand_in::remove(const std::string& table, const std::string& key) {
    ++version_;
    erase({table, "", key});
    notify_feeds();
}

void table_stand_in::notify_feeds() {
    while (history_.size() > max_history) {
        compacted_up_to_ = history_.front().version;
        history_.pop_front();
    }
    auto waiting = std::exchange(feeds_, {});
    for (auto& feed : waiting) {
        if (has_changed(feed.table, feed.checked_up_to)) {
            answer_feed(feed.token, feed.table, feed.after);
        } else {
            feed.checked_up_to = version_;
            feeds_.push_back(std::move(feed));
        }
    }
}

std::deque<table_stand_in::change>::const_iterator
table_stand_in::first_after(std::uint64_t version) const {
    return std::upper_bound(history_.begin(), history_.end(), version,
                            [](std::uint64_t wanted, const change& item) {
                                return wanted < item.version;
                            });
}

bool table_stand_in::has_changed(const std::string& table,
                                 std::uint64_t after) const {
    return std::any_of(first_after(after), history_.end(),
                       [&table](const change& item) {
                           return std::get<0>(item.key) == table;
                       });
}

// --- calls ------------------------------------------------------------------

void table_stand_in::handle(const http_request& request) {
    if (request.path == "/control") {
        return control(request);
    }
    ++calls_;
    if (mode_ == "silent") {
        return;
    }
    if (mode_ == "down") {
        return respond(request.token, http_unavailable, json::object());
    }
    call_later(delay_, [this, request] { serve(request); });
}

void table_stand_in::call_later(duration delay,
                                std::function<void()> callback) {
    delayed_.push_back(
        std::make_unique<timer_watcher>(loop_, std::move(callback)));
    delayed_.back()->start_once(delay);
    constexpr std::size_t max_delay_timers = 4096;
    if (delayed_.size() > max_delay_timers) {
        delayed_.pop_front();
    }
}

void table_stand_in::control(const http_request& request) {
    const auto body = parse_json(request.body);
    if (!body.ok() || !body->is_object()) {
        return respond(request.token, http_bad_request, json::object());
    }
    mode_ = body->value("mode", mode_);
    reply_loss_share_ = body->value("lose", reply_loss_share_);
    lost_delay_ = std::chrono::milliseconds(
        body->value("late_ms", static_cast<int>(to_ms(lost_delay_))));
    delay_ = std::chrono::milliseconds(
        body->value("delay_ms", static_cast<int>(to_ms(delay_))));
    if (body->value("compact", false)) {
        history_.clear();
        compacted_up_to_ = version_;
    }
    if (const auto row = body->find("put"); row != body->end()) {
        put(row->value("table", ""), row->value("key", ""), (*row)["value"]);
    }
    respond(request.token, http_ok, json::object());
}

void table_stand_in::serve(const http_request& request) {
    if (request.path == "/rows-tx") {
        return transact(request);
    }
    if (request.path == "/rows-get") {
        return read(request);
    }
    if (request.path == "/rows-feed") {
        return follow(request);
    }
    respond(request.token, http_not_found, json::object());
}

void table_stand_in::transact(const http_request& request) {
    const auto body = parse_json(request.body);
    if (!body.ok() || !body->is_object()) {
        return respond(request.token, http_bad_request, json::object());
    }
    std::uniform_real_distribution<double> share(0, 1);
    const bool reply_lost = share(random_) < reply_loss_share_;
    if (reply_lost && lost_delay_ > duration{0}) {
        call_later(lost_delay_, [this, body = *body] { apply(body); });
        return server_.abort(request.token);
    }
    const auto current = apply(*body);
    if (!current.empty()) {
        return respond(request.token, http_conflict,
                       {{"rows", current}, {"ver", version_}});
    }
    if (reply_lost) {
        return server_.abort(request.token);
    }
    respond(request.token, http_ok, {{"ver", version_}, {"now-ms", 0}});
}

json table_stand_in::apply(const json& transaction) {
    const auto key_of = [](const json& entry) {
        return row_key{entry.value("table", ""), entry.value("part", ""),
                       entry.value("key", "")};
    };
    json current = json::array();
    for (const auto& entry : transaction.value("expect", json::array())) {
        const auto found = rows_.find(key_of(entry));
        const std::uint64_t current_version =
            found == rows_.end() ? 0 : found->second.version;
        if (current_version != entry.value("ver", std::uint64_t{0})) {
            current.push_back(row_to_json(
                key_of(entry), found == rows_.end() ? "" : found->second.value,
                current_version, found == rows_.end()));
        }
    }
    if (!current.empty()) {
        return current;
    }
    ++version_;
    for (const auto& entry : transaction.value("set-keys", json::array())) {
        set(key_of(entry), entry.value("value", ""));
    }
    for (const auto& entry : transaction.value("remove", json::array())) {
        erase(key_of(entry));
    }
    notify_feeds();
    return current;
}

void table_stand_in::read(const http_request& request) {
    json rows = json::array();
    const auto table = query_text(request, "table");
    const auto part = query_text(request, "part");
    for (const auto& [key, row] : rows_) {
        if (std::get<0>(key) == table && std::get<1>(key) == part &&
            std::get<2>(key) >= query_text(request, "from")) {
            rows.push_back(row_to_json(key, row.value, row.version, false));
        }
    }
    respond(request.token, http_ok,
            {{"rows", rows}, {"has-more", false}, {"ver", version_}});
}

void table_stand_in::follow(const http_request& request) {
    const auto after = query_number(request, "after");
    const auto table = query_text(request, "table");
    if (after < compacted_up_to_) {
        return respond(request.token, http_gone, json::object());
    }
    const bool changed = has_changed(table, after);
    const auto wait =
        std::chrono::milliseconds(query_number(request, "wait-ms"));
    if (changed || wait == duration{0}) {
        return answer_feed(request.token, table, after);
    }
    waiting_feed feed{request.token, table, after, version_, nullptr};
    feed.timeout = std::make_unique<timer_watcher>(
        loop_, [this, token = request.token, table, after] {
            answer_feed(token, table, after);
        });
    feed.timeout->start_once(wait);
    feeds_.push_back(std::move(feed));
}

void table_stand_in::answer_feed(http_token token, const std::string& table,
                                 std::uint64_t after) {
    json rows = json::array();
    for (auto item = first_after(after); item != history_.end(); ++item) {
        if (std::get<0>(item->key) == table) {
            rows.push_back(row_to_json(item->key, item->value, item->version,
                                       item->removed));
        }
    }
    respond(token, http_ok, {{"rows", rows}, {"ver", version_}});
}

} // namespace figridge::testing
