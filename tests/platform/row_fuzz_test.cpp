// Seeded fuzzing of the rows of each table, through the followers and the
// handler of rows to the calls, connections and writes that they lead to.
#include <boost/test/unit_test.hpp>

#include <deque>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include "adapters/socket_address.hpp"
#include "codec/json_codec.hpp"
#include "damage.hpp"
#include "row_host.hpp"
#include "table_follower.hpp"

namespace figridge::platform {
namespace {

constexpr int seeds = 60;
constexpr std::size_t odd_rows_per_table = 12;
// Small, so that odd rows are also the last of a page.
constexpr std::size_t rows_per_page = 3;

const std::string good_endpoint =
    R"({"service":"pool","address":"10.0.0.1:80","zone":"domain-1",)"
    R"("state":"ready","capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
    R"("labels":["a","r1"],"born":1700000000000,"seq":4})";
const std::string good_holder =
    R"({"host":"10.1.0.2:1","incarnation":7,"token":1000})";
const std::string good_catalogue =
    R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/",)"
    R"("service":"pool","attempts":4,"stretch":1.6}],"services":[],)"
    R"("limits":{"max-header-bytes":16384}})";
const std::vector<std::string> good_endpoints{"i-a", "i-b", "i-c"};

// Reads the rows of a host's store as bodies of the store's responses. Changes
// consist of all rows, once.
class body_source final : public row_source {
public:
    body_source(event_loop& loop, const row_host& host)
        : host_(host), timer_(loop, [this] { answer(); }) {}

    void read(const std::string& table, const std::string& part,
              const std::string& from, handler done) override {
        std::vector<stored_row> page;
        bool has_more = false;
        for (const auto& row : host_.rows_of(table)) {
            if (row.part != part || row.key < from) {
                continue;
            }
            has_more = page.size() >= rows_per_page;
            if (has_more) {
                break;
            }
            page.push_back(row);
        }
        send(page, has_more, std::move(done));
    }

    void follow(const std::string& table, std::uint64_t /*after*/,
                duration /*wait*/, handler done) override {
        if (!std::exchange(followed_, true)) {
            send(host_.rows_of(table), false, std::move(done));
        }
    }

private:
    void send(const std::vector<stored_row>& rows, bool has_more,
              handler done) {
        json list = json::array();
        for (const auto& row : rows) {
            list.push_back({{"table", row.table},
                            {"part", row.part},
                            {"key", row.key},
                            {"ver", row.version},
                            {"value", absl::Base64Escape(row.value)}});
        }
        http_result result;
        result.outcome = http_outcome::answered;
        result.status = 200;
        result.body = dump_json(
            {{"rows", list}, {"has-more", has_more}, {"ver", 1'000'000}});
        reply_ = parse_rows_reply(result);
        done_ = std::move(done);
        timer_.start_once(duration{0});
    }

    void answer() { std::exchange(done_, {})(reply_); }

    const row_host& host_;
    timer_watcher timer_;
    rows_reply reply_;
    handler done_;
    bool followed_ = false;
};

std::string make_odd_value(const std::string& good, std::mt19937_64& random) {
    const std::vector<std::string> numbers{"70000",
                                           "-1",
                                           "1e999",
                                           "9007199254740992",
                                           "18446744073709551616",
                                           "1.5e300",
                                           "null",
                                           "[]",
                                           "\"\""};
    auto value = good;
    switch (random() % 4) {
    case 0:
        return damage(value, random);
    case 1:
        return std::string(1 + random() % 30'000, '[');
    case 2: {
        const auto depth = 1 + random() % 30'000;
        return value.insert(1, absl::StrCat("\"odd\":", std::string(depth, '['),
                                            std::string(depth, ']'), ","));
    }
    default:
        break;
    }
    // Another value in place of a number.
    const auto digits = value.find_first_of("0123456789", random() % 100);
    if (digits != std::string::npos) {
        const auto end = value.find_first_not_of("0123456789", digits);
        value.replace(digits, end - digits, numbers[random() % numbers.size()]);
    }
    return value;
}

std::string make_odd_key(const std::string& good, std::mt19937_64& random) {
    const std::vector<std::string> keys{
        "127.0.0.1:70000", "10.1.0.7:-1",         "odd",          "10.1.0.7",
        "i\r\nX-Odd: 1",   std::string(200, 'k'), "10.1.0.7:1\n", " "};
    auto key =
        random() % 2 == 0 ? keys[random() % keys.size()] : damage(good, random);
    // The store's keys are text of one byte or more.
    std::replace_if(
        key.begin(), key.end(),
        [](char c) { return static_cast<unsigned char>(c) >= 0x80; }, '?');
    return key.empty() ? "?" : key;
}

bool is_free_of_control_characters(const std::string& text) {
    return std::none_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_iscntrl(static_cast<unsigned char>(c));
    });
}

// Leaves odd rows beside the good ones.
void fill_store(row_host& host, std::mt19937_64& random) {
    host.put(host_table, "", "10.1.0.9:1", "{}");
    host.put(operator_table, "", catalogue_key, good_catalogue);
    for (const auto& id : good_endpoints) {
        host.put(endpoint_table, "", id, good_endpoint);
    }
    for (std::size_t i = 0; i < odd_rows_per_table; ++i) {
        const auto endpoint =
            absl::StrCat(make_odd_key("i-0123456789", random), i);
        host.put(endpoint_table, "", endpoint,
                 make_odd_value(good_endpoint, random));
        host.put(host_table, "", make_odd_key("10.1.0.2:1", random), "{}");
        host.put(operator_table, "", absl::StrCat("odd-", i),
                 make_odd_value(good_catalogue, random));
        host.put(holder_table, "domain-1", endpoint,
                 make_odd_value(good_holder, random));
    }
    for (const auto& id : good_endpoints) {
        if (random() % 2 == 0) {
            host.put(holder_table, "domain-1", id,
                     make_odd_value(good_holder, random));
        }
    }
}

// Follows all tables until they have been read in full, and their changes once.
void follow_store(row_host& host) {
    event_loop loop;
    std::deque<body_source> sources;
    std::deque<table_follower> followers;
    auto& rows = host.rows;
    const auto now = host.host.now;
    const auto follow = [&](const char* table, const char* part,
                            const table_follower::rows_handler& on_snapshot,
                            const table_follower::rows_handler& on_changes) {
        sources.emplace_back(loop, host);
        followers.emplace_back(
            loop, sources.back(),
            follow_options{table, {part}, duration{0}, duration{0}},
            on_snapshot, on_changes);
        followers.back().start();
    };
    const auto apply_holders = [&](const auto& read) {
        rows.apply_holder_rows(read);
    };
    const auto version = [&] { return followers.front().version(); };
    follow(
        operator_table, "",
        [&](const auto& read) {
            rows.apply_operator_snapshot(version(), read);
        },
        [&](const auto& read) {
            rows.apply_operator_changes(version(), read);
        });
    follow(
        endpoint_table, "",
        [&](const auto& read) { rows.apply_endpoint_snapshot(now, read); },
        [&](const auto& read) { rows.apply_endpoint_changes(now, read); });
    follow(holder_table, "domain-1", apply_holders, apply_holders);
    follow(
        host_table, "",
        [&](const auto& read) { rows.apply_host_snapshot(read); },
        [&](const auto& read) { rows.apply_host_changes(read); });
    loop.run();
}

void check_outputs(const row_host& host) {
    for (const auto& address : host.host.peers.connected) {
        BOOST_TEST(parse_socket_address(address).ok());
    }
    for (const auto& target : host.targets) {
        BOOST_TEST(parse_socket_address(target.address).ok());
        BOOST_TEST(is_free_of_control_characters(target.endpoint));
    }
    for (const auto& [request, batch] : host.host.store.writes) {
        for (const auto& record : batch) {
            BOOST_TEST(record.endpoint.size() <= max_key_bytes);
            BOOST_TEST(record.failure_domain.size() <= max_key_bytes);
            BOOST_TEST(is_free_of_control_characters(record.failure_domain));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(row_fuzz)

// Guards against rows of another writer that end the process, stop it from
// following a table, leave good endpoints without a holder, or shape the
// addresses, headers and writes that the process sends.
BOOST_AUTO_TEST_CASE(good_rows_are_used_beside_odd_ones) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed) {
            std::mt19937_64 random(seed);
            row_host host;
            fill_store(host, random);
            follow_store(host);
            host.advance(8s);
            check_outputs(host);
            for (const auto& id : good_endpoints) {
                const auto holder = host.holder_of("domain-1", id);
                BOOST_TEST_CONTEXT("endpoint " << id) {
                    BOOST_REQUIRE(holder.ok());
                    BOOST_TEST(holder->holder.address == "10.1.0.9:1");
                }
            }
            BOOST_TEST(host.gauge("endpoints_held") >= good_endpoints.size());
            BOOST_TEST(host.host.core.is_ready(host.host.now));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::platform
