// row_handler: rows of the store that another writer left, beside good ones.
#include <boost/test/unit_test.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "adapters/log_observer.hpp"
#include "row_host.hpp"

namespace figridge::platform {
namespace {

using string_list = std::vector<std::string>;

class recording_events final : public row_events {
public:
    void on_catalogue_row(const std::string& text) override {
        catalogues.push_back(text);
    }
    void on_evacuations(std::uint64_t version,
                        const std::set<std::string>& failure_domains) override {
        evacuations.emplace_back(version, failure_domains);
    }
    void on_evacuation(std::uint64_t version, const std::string& failure_domain,
                       bool evacuated) override {
        evacuation_changes.emplace_back(version, failure_domain, evacuated);
    }
    void on_endpoints(
        const std::vector<dispatch::endpoint_record>& listed) override {
        for (const auto& endpoint : listed) {
            endpoints.push_back(endpoint.id);
        }
    }
    void on_endpoint_gone(const std::string& id) override {
        gone.push_back(id);
    }
    void on_holder(const dispatch::holder_record& record) override {
        holders.push_back(record);
    }
    void on_holder_removed(const std::string& /*endpoint*/) override {}
    void on_host(const std::string& address) override {
        hosts.push_back(address);
    }
    void on_host_removed(const std::string& /*address*/) override {}
    void on_own_row_missing() override { ++own_row_missing; }

    string_list catalogues;
    std::vector<std::pair<std::uint64_t, std::set<std::string>>> evacuations;
    std::vector<std::tuple<std::uint64_t, std::string, bool>>
        evacuation_changes;
    string_list endpoints;
    string_list gone;
    std::vector<dispatch::holder_record> holders;
    string_list hosts;
    int own_row_missing = 0;
};

// Number of log lines of an event so far, written or left out.
std::uint64_t logged(const std::string& event) {
    const auto text = log_observer().metrics_text(nlohmann::json::object(),
                                                  nlohmann::json::object());
    const auto name =
        absl::StrCat("figridge_events_total{event=\"", event, "\"} ");
    const auto found = text.find(name);
    std::uint64_t count = 0;
    if (found != std::string::npos) {
        const auto begin = found + name.size();
        BOOST_REQUIRE(absl::SimpleAtoi(
            text.substr(begin, text.find('\n', begin) - begin), &count));
    }
    return count;
}

stored_row make_row(const std::string& key, const std::string& value = {}) {
    stored_row row;
    row.key = key;
    row.value = value;
    row.version = 1;
    return row;
}

std::string make_endpoint_text(const std::string& address = "10.0.0.1:80",
                               const std::string& failure_domain = "domain-1") {
    return nlohmann::json{{"service", "pool"},
                          {"address", address},
                          {"zone", failure_domain},
                          {"state", "ready"},
                          {"capacity", {{"cpu", 16000}, {"mem-mb", 32768}}}}
        .dump();
}

std::string nest(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

struct row_handler_fixture {
    recording_events events;
    row_handler rows{"10.1.0.9:1", events};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(row_handler_test, row_handler_fixture)

// Guards against hosts that end again and again: each row of the table of hosts
// was taken for the address of a peer to connect to.
BOOST_AUTO_TEST_CASE(host_row_without_a_usable_address_names_no_peer) {
    const auto before = logged("host_row_unreadable");
    const std::vector<stored_row> read{make_row("10.1.0.9:1"),
                                       make_row("127.0.0.1:70000"),
                                       make_row("odd"), make_row("10.1.0.2:1")};
    rows.apply_host_snapshot(read);
    rows.apply_host_changes({make_row("127.0.0.1:70000"), make_row("")});
    rows.apply_host_snapshot(read);
    const string_list usable{"10.1.0.9:1", "10.1.0.2:1", "10.1.0.9:1",
                             "10.1.0.2:1"};
    BOOST_TEST(events.hosts == usable);
    BOOST_TEST(events.own_row_missing == 0);
    BOOST_TEST(logged("host_row_unreadable") - before == 3U);
}

// Guards against calls and store writes that another writer's row shapes: a
// line break in the id of an endpoint ends a request header, and the store
// refuses the rows of all endpoints in one write if one failure domain is too
// long.
BOOST_AUTO_TEST_CASE(endpoint_row_that_can_not_be_used_names_no_endpoint) {
    const auto before = logged("endpoint_row_unreadable");
    std::vector<stored_row> read{make_row("good", make_endpoint_text())};
    int number = 0;
    for (const char* address :
         {"10.0.0.1:70000", "10.0.0.1:-1", "10.0.0.1", "odd", "",
          "10.0.0.1:80/x?", "10.0.0.1:80\r\nX-Odd: 1", "user@10.0.0.1:80"}) {
        read.push_back(make_row(absl::StrCat("address-", ++number),
                                make_endpoint_text(address)));
    }
    for (const auto& failure_domain :
         {std::string(10'000, 'z'), std::string("z\nz")}) {
        read.push_back(
            make_row(absl::StrCat("zone-", ++number),
                     make_endpoint_text("10.0.0.1:80", failure_domain)));
    }
    for (const auto& key : {std::string("i\r\nX-Odd: 1"), std::string(201, 'i'),
                            std::string("i\0", 2)}) {
        read.push_back(make_row(key, make_endpoint_text()));
    }
    rows.apply_endpoint_snapshot(1s, read);
    rows.apply_endpoint_changes(2s, read);
    BOOST_TEST(events.endpoints == (string_list{"good", "good"}));
    BOOST_TEST(logged("endpoint_row_unreadable") - before == read.size() - 1);
}

// Guards against tasks on a worker that its entry does not name any more. A
// full read and a change take an unreadable entry alike.
BOOST_AUTO_TEST_CASE(endpoint_whose_row_becomes_unreadable_counts_as_missing) {
    const auto good = make_row("a", make_endpoint_text());
    const auto odd = make_row("a", "{\"service\":7");
    const auto other = make_row("b", make_endpoint_text());
    for (const bool full_read : {true, false}) {
        BOOST_TEST_CONTEXT("full read: " << full_read) {
            const auto read = [&](timestamp now, const stored_row& row) {
                if (full_read) {
                    rows.apply_endpoint_snapshot(now, {row, other});
                } else {
                    rows.apply_endpoint_changes(now, {row});
                }
            };
            events.gone.clear();
            rows.apply_endpoint_snapshot(10s, {good, other});
            read(11s, odd);
            read(12s, good); // the worker has written its entry again
            rows.remove_missing_endpoints(14s);
            BOOST_TEST(events.gone.empty());
            read(14s, odd);
            read(15s, odd);
            rows.remove_missing_endpoints(16s);
            BOOST_TEST(events.gone.empty());
            rows.remove_missing_endpoints(16s + 500ms);
            BOOST_TEST(events.gone == string_list{"a"});
        }
    }
}

// Guards against endpoints without a holder, and two holders under one token: a
// row that could not be read was passed over, so that each write of a new
// holder of its endpoint, and of all in the same write, conflicted with it.
BOOST_AUTO_TEST_CASE(endpoint_of_an_odd_holder_row_gets_a_holder) {
    const std::vector<std::string> odd_values{
        "",
        "{\"host\":",
        R"({"host":"10.1.0.2:1","incarnation":7})",
        R"({"host":"10.1.0.2:1","incarnation":7,"token":9007199254740992})",
        R"({"host":"10.1.0.2:1","incarnation":7,"token":9007199254739999})",
        R"({"host":"10.1.0.2:1","incarnation":7,"token":18446744073709551615})",
        R"({"host":"10.1.0.2:1","incarnation":7,"token":1e999})",
        R"({"host":"10.1.0.2:1","incarnation":7,"token":-1})",
        R"({"host":"10.1.0.2:1","incarnation":7,"token":1000})", // not heard
        R"({"host":"127.0.0.1:70000","incarnation":7,"token":1000})",
        nest(32'000)};
    for (const auto& value : odd_values) {
        BOOST_TEST_CONTEXT("row <" << value.substr(0, 80) << ">") {
            row_host one;
            for (const char* id : {"a", "b"}) {
                one.put(endpoint_table, "", id, make_endpoint_text());
            }
            one.put(holder_table, "domain-1", "a", value);
            const auto token_written =
                one.stored.at({holder_table, "domain-1", "a"}).version * 1000;
            one.read_all();
            one.advance(6s);
            for (const char* id : {"a", "b"}) {
                const auto holder = one.holder_of("domain-1", id);
                BOOST_REQUIRE(holder.ok());
                BOOST_TEST(holder->holder.address == "10.1.0.9:1");
            }
            BOOST_TEST(one.gauge("endpoints_held") == 2.0);
            const auto token = one.holder_of("domain-1", "a")->token;
            const bool was_readable =
                value.find("10.1.0.2:1\",\"incarnation\":7,\"token\":1000}") !=
                std::string::npos;
            BOOST_TEST(token > (was_readable ? 1000 : token_written));
        }
    }
}

// Guards against two holders under one token: the row of the present holder
// becomes unreadable, and a host that has never read it takes the endpoint
// over.
BOOST_AUTO_TEST_CASE(holder_after_an_unreadable_row_has_a_token_of_its_own) {
    row_host one;
    one.put(endpoint_table, "", "a", make_endpoint_text());
    one.read_all();
    one.advance(2s);
    const auto former = one.holder_of("domain-1", "a");
    BOOST_REQUIRE(former.ok());
    BOOST_TEST(former->holder.address == "10.1.0.9:1");
    one.put(holder_table, "domain-1", "a", "odd");

    row_host second;
    second.copy_store(one);
    second.read_all();
    second.advance(4s);
    const auto present = second.holder_of("domain-1", "a");
    BOOST_REQUIRE(present.ok());
    BOOST_TEST(present->token > former->token);
    for (const auto& [request, batch] : second.host.store.writes) {
        for (const auto& record : batch) {
            BOOST_TEST(record.token > former->token);
        }
    }

    // The former holder gives the endpoint up as soon as it reads the row.
    one.rows.apply_holder_rows(one.rows_of(holder_table));
    BOOST_TEST(one.gauge("endpoints_held") == 0.0);
}

// Guards against calls and writes that do not end: an entry names a port where
// nothing listens.
BOOST_AUTO_TEST_CASE(endpoint_that_can_not_be_reached_costs_one_write) {
    row_host one;
    one.unreachable = "10.0.0.2:9";
    one.put(operator_table, "", catalogue_key,
            R"({"version":7,"routes":[],"services":[]})");
    one.put(endpoint_table, "", "good", make_endpoint_text());
    one.put(endpoint_table, "", "odd", make_endpoint_text(one.unreachable));
    one.read_all();
    one.advance(10s);
    std::size_t writes = 0;
    for (const auto& [request, batch] : one.host.store.writes) {
        writes += static_cast<std::size_t>(
            std::count_if(batch.begin(), batch.end(), [](const auto& record) {
                return record.endpoint == "odd";
            }));
    }
    BOOST_TEST(writes == 1U);
    const auto calls = std::count_if(
        one.targets.begin(), one.targets.end(),
        [](const auto& target) { return target.endpoint == "odd"; });
    // Pauses grow to 500 ms within six calls.
    BOOST_TEST(calls <= 6 + 10s / 500ms);
    BOOST_TEST(one.host.core.is_ready(one.host.now));
    one.rows.apply_endpoint_snapshot(one.host.now,
                                     {make_row("good", make_endpoint_text())});
    one.advance(3s);
    BOOST_TEST(one.gauge("endpoints_held") == 1.0);
}

// Guards against two holders under one token: another writer removes the row of
// a holder that is cut off from the store. Counted from the beginning again,
// the tokens of the next holder reached that of the former one.
BOOST_AUTO_TEST_CASE(token_is_not_given_again_after_its_row_was_removed) {
    row_host one;
    one.put(endpoint_table, "", "a", make_endpoint_text());
    auto removed =
        one.put(holder_table, "domain-1", "a",
                R"({"host":"10.1.0.2:1","incarnation":7,"token":5000})");
    one.tokens_seen["a"] = 5000;
    one.read_all();
    one.stored.erase({holder_table, "domain-1", "a"});
    removed.removed = true;
    one.rows.apply_holder_rows({removed});
    one.advance(8s);
    BOOST_TEST(one.gauge("endpoints_held") == 1.0);
    BOOST_TEST(!one.host.store.writes.empty());
    for (const auto& [request, batch] : one.host.store.writes) {
        for (const auto& record : batch) {
            BOOST_TEST(record.token > 5000U);
        }
    }
}

// Guards against two holders under one token: a host that starts after another
// writer removed the row of a holder that is cut off from the store. Its tokens
// began below that of the holder and reached it.
BOOST_AUTO_TEST_CASE(token_of_a_row_removed_before_the_start_is_not_reached) {
    row_host one;
    one.put(endpoint_table, "", "a", make_endpoint_text());
    one.put(holder_table, "domain-1", "a",
            R"({"host":"10.1.0.2:1","incarnation":7,"token":3000})");
    one.tokens_seen["a"] = 3000;
    one.stored.erase({holder_table, "domain-1", "a"});
    one.read_all();
    one.advance(8s);
    BOOST_TEST(one.gauge("endpoints_held") == 1.0);
    BOOST_TEST(!one.host.store.writes.empty());
    for (const auto& [request, batch] : one.host.store.writes) {
        for (const auto& record : batch) {
            BOOST_TEST(record.token > 3000U);
        }
    }
}

// Guards against a log and a memory that grow with each odd row.
BOOST_AUTO_TEST_CASE(warnings_about_unreadable_rows_are_bounded) {
    const auto before = logged("endpoint_row_unreadable");
    std::vector<stored_row> read;
    for (int i = 0; i < 5000; ++i) {
        read.push_back(make_row(absl::StrCat("odd-", i), "odd"));
    }
    read.push_back(make_row("good", make_endpoint_text()));
    for (int round = 0; round < 3; ++round) {
        rows.apply_endpoint_snapshot(1s, read);
    }
    const auto warnings = logged("endpoint_row_unreadable") - before;
    BOOST_TEST(warnings <= max_logged_rows);
    BOOST_TEST(logged("unreadable_rows_not_logged") == 1U);
    BOOST_TEST(events.endpoints == string_list(3, "good"));
    // Rows that are gone make room for warnings about others.
    rows.apply_endpoint_snapshot(2s, {make_row("new", "odd")});
    BOOST_TEST(logged("endpoint_row_unreadable") - before == warnings + 1);
}

// Guards against a domain that stays in use since another program wrote its
// row, and against a slip in a key that evacuates something else.
BOOST_AUTO_TEST_CASE(operator_row_evacuates_whatever_its_value) {
    rows.apply_operator_snapshot(
        7,
        {make_row("config", "{}"), make_row("evacuate/"), make_row("evacuate"),
         make_row("evacuated/domain-4"), make_row("evacuate/domain-1", "\xff{"),
         make_row("evacuate/domain-2"), make_row("evacuate/a/b")});
    BOOST_TEST(events.catalogues.size() == 1U);
    BOOST_REQUIRE(events.evacuations.size() == 1U);
    const std::set<std::string> named{"a/b", "domain-1", "domain-2"};
    BOOST_TEST(events.evacuations[0].first == 7U);
    BOOST_TEST(events.evacuations[0].second == named);
}

// Guards against an evacuated domain that is not taken back, as its removed row
// has no version of its own.
BOOST_AUTO_TEST_CASE(changed_and_removed_operator_rows_name_their_domain) {
    auto removed = make_row("evacuate/domain-1");
    removed.version = 0;
    removed.removed = true;
    rows.apply_operator_changes(
        9, {make_row("evacuate/"), make_row("evacuate/domain-2"), removed});
    BOOST_TEST(events.evacuations.empty());
    const std::vector<std::tuple<std::uint64_t, std::string, bool>> changes{
        {9, "domain-2", true}, {9, "domain-1", false}};
    BOOST_TEST((events.evacuation_changes == changes));
}

// Guards against an endpoint that is lost by a wrong optional field.
BOOST_AUTO_TEST_CASE(wrong_cold_time_costs_no_endpoint) {
    auto value = nlohmann::json::parse(make_endpoint_text());
    value["cold-left-ms"] = 2500;
    const auto cold = parse_endpoint("endpoint-1", value.dump());
    BOOST_REQUIRE(cold.ok());
    BOOST_TEST((cold->cold_left == 2500ms));
    value["cold-left-ms"] = "soon";
    const auto wrong = parse_endpoint("endpoint-1", value.dump());
    BOOST_REQUIRE(wrong.ok());
    BOOST_TEST((wrong->cold_left == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::platform
