// Simulated table store of the platform: rows, transactions and change feeds.
//
// PUT /control sets its behaviour: {"mode": "up" | "down" | "silent" |
// "slow", "lose": SHARE, "late_ms": N, "delay_ms": N}; {"compact": true} drops
// the change history. "lose" is the share of transactions that get no reply;
// they are applied after "late_ms", if their condition holds then.
#ifndef FIGRIDGE_TESTING_PLATFORM_TABLE_STAND_IN_HPP
#define FIGRIDGE_TESTING_PLATFORM_TABLE_STAND_IN_HPP

#include <deque>
#include <list>
#include <map>
#include <random>
#include <tuple>

#include "adapters/event_loop.hpp"
#include "adapters/http_server.hpp"
#include "codec/json_codec.hpp"

namespace figridge::testing {

// Owned by the program's main object. Not thread-safe.
class table_stand_in {
public:
    explicit table_stand_in(event_loop& loop);

    absl::Status start(const std::string& address);
    // Writes a row on behalf of the platform.
    void put(const std::string& table, const std::string& key,
             const json& value);
    void remove(const std::string& table, const std::string& key);
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    using row_key = std::tuple<std::string, std::string, std::string>;
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change {
        row_key key;
        std::uint64_t version = 0;
        bool removed = false;
        std::string value;
    };
    struct waiting_feed {
        http_token token = 0;
        std::string table;
        std::uint64_t after = 0;
        // No change of the table from `after` up to this version.
        std::uint64_t checked_up_to = 0;
        std::unique_ptr<timer_watcher> timeout;
    };

    void handle(const http_request& request);
    void control(const http_request& request);
    void serve(const http_request& request);
    void transact(const http_request& request);
    // Empty if the transaction was applied, else the rows as they are.
    json apply(const json& transaction);
    void call_later(duration delay, std::function<void()> callback);
    void read(const http_request& request);
    void follow(const http_request& request);
    void answer_feed(http_token token, const std::string& table,
                     std::uint64_t after);
    void notify_feeds();
    // First change after `version`; the history is sorted by version.
    [[nodiscard]] std::deque<change>::const_iterator
    first_after(std::uint64_t version) const;
    [[nodiscard]] bool has_changed(const std::string& table,
                                   std::uint64_t after) const;
    void respond(http_token token, int status, const json& body);
    void set(const row_key& key, std::string value);
    void erase(const row_key& key);
    static json row_to_json(const row_key& key, const std::string& value,
                            std::uint64_t version, bool removed);

    event_loop& loop_;
    http_server server_;
    std::mt19937_64 random_{1};
    std::map<row_key, row> rows_;
    std::deque<change> history_;
    std::uint64_t version_ = 0;
    std::uint64_t compacted_up_to_ = 0; // the history starts after this
    std::list<waiting_feed> feeds_;
    std::list<std::unique_ptr<timer_watcher>> delayed_;
    std::string mode_ = "up";
    double reply_loss_share_ = 0;
    duration lost_delay_{0}; // of transactions that get no reply
    duration delay_{2ms};
    std::uint64_t calls_ = 0;
};

} // namespace figridge::testing

#endif
