// table_follower: full reads, changes, missing history and lost replies.
#include <boost/test/unit_test.hpp>

#include <deque>

#include "table_follower.hpp"

namespace figridge::platform {
namespace {

// Answers each call from the event loop with the next scripted reply.
class scripted_source final : public row_source {
public:
    struct call {
        bool is_read = false;
        std::string part;
        std::string from;
        std::uint64_t after = 0;
        bool immediate = false; // sent while handling the previous reply
    };

    explicit scripted_source(event_loop& loop)
        : loop_(loop), timer_(loop, [this] { answer(); }) {}

    void read(const std::string& /*table*/, const std::string& part,
              const std::string& from, handler done) override {
        record_call({true, part, from, 0, answering_}, std::move(done));
    }
    void follow(const std::string& /*table*/, std::uint64_t after,
                duration /*wait*/, handler done) override {
        record_call({false, {}, {}, after, answering_}, std::move(done));
    }

    std::vector<call> calls;
    std::deque<rows_reply> replies;

private:
    void record_call(const call& made, handler done) {
        BOOST_TEST(!done_, "two calls at once");
        calls.push_back(made);
        done_ = std::move(done);
        timer_.start_once(1ms);
    }
    void answer() {
        if (replies.empty()) {
            loop_.stop();
            return;
        }
        const auto reply = replies.front();
        replies.pop_front();
        answering_ = true;
        std::exchange(done_, {})(reply);
        answering_ = false;
    }

    event_loop& loop_;
    timer_watcher timer_;
    handler done_;
    bool answering_ = false;
};

stored_row make_row(const std::string& key) {
    stored_row row;
    row.key = key;
    return row;
}

rows_reply ok(std::uint64_t version, const std::vector<std::string>& keys,
              bool has_more = false) {
    rows_reply reply;
    reply.status = dispatch::store_status::ok;
    reply.version = version;
    reply.has_more = has_more;
    for (const auto& key : keys) {
        reply.rows.push_back(make_row(key));
    }
    return reply;
}

rows_reply history_gone() {
    rows_reply reply;
    reply.status = dispatch::store_status::unavailable;
    reply.history_gone = true;
    return reply;
}

struct follower_fixture {
    // Runs until all scripted replies have been delivered.
    void run_script(std::deque<rows_reply> replies,
                    const std::vector<std::string>& parts = {""}) {
        source.replies = std::move(replies);
        const auto record_keys = [](std::vector<std::string>& target) {
            return [&target](const std::vector<stored_row>& rows) {
                std::string keys;
                for (const auto& row : rows) {
                    keys += row.key;
                }
                target.push_back(keys);
            };
        };
        table_follower follower(loop, source,
                                {"table", parts, duration{0}, 1ms},
                                record_keys(full), record_keys(changed));
        follower.start();
        loop.run();
    }

    event_loop loop;
    scripted_source source{loop};
    std::vector<std::string> full;
    std::vector<std::string> changed;
};

using string_list = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(table_follower_test, follower_fixture)

BOOST_AUTO_TEST_CASE(full_read_is_followed_by_changes_from_its_version_on) {
    run_script({ok(7, {"a", "b"}), ok(9, {"b"})});
    BOOST_TEST(full == string_list{"ab"});
    BOOST_TEST(changed == string_list{"b"});
    BOOST_TEST(source.calls.at(1).after == 7U);
    BOOST_TEST(source.calls.at(2).after == 9U);
}

BOOST_AUTO_TEST_CASE(paged_read_is_delivered_as_one_snapshot) {
    run_script({ok(7, {"a", "b"}, true), ok(8, {"c"})});
    BOOST_TEST(full == string_list{"abc"});
    BOOST_TEST((source.calls.at(1).from > "b"));
    // Rows changed between the pages are delivered again as changes.
    BOOST_TEST(source.calls.at(2).after == 7U);
}

BOOST_AUTO_TEST_CASE(parts_are_read_one_after_the_other) {
    run_script({ok(7, {"a"}), ok(5, {"b"})}, {"one", "two"});
    BOOST_TEST(full == string_list{"ab"});
    BOOST_TEST(source.calls.at(1).part == "two");
    BOOST_TEST(source.calls.at(2).after == 5U);
}

BOOST_AUTO_TEST_CASE(missing_history_causes_a_full_read) {
    run_script({ok(7, {"a"}), history_gone(), ok(30, {"c"}), ok(31, {"d"})});
    BOOST_TEST(full == (string_list{"a", "c"}));
    BOOST_TEST(changed == string_list{"d"});
    BOOST_TEST(source.calls.at(2).is_read);
    BOOST_TEST(source.calls.at(3).after == 30U);
}

// 350 endpoints write 230 rows/s. A host that polled every few seconds and read
// one page per poll would fall behind by a page each time.
BOOST_AUTO_TEST_CASE(full_page_of_changes_requests_the_next_page_immediately) {
    run_script({ok(7, {"a"}), ok(507, string_list(max_rows_per_reply, "b")),
                ok(509, {"c", "d"}), ok(510, {"e"})});
    BOOST_TEST(!source.calls.at(1).immediate);
    BOOST_TEST(source.calls.at(2).immediate);
    BOOST_TEST(source.calls.at(2).after == 507U);
    BOOST_TEST(!source.calls.at(3).immediate);
}

BOOST_AUTO_TEST_CASE(lost_reply_is_retried_from_the_same_version) {
    run_script({ok(7, {"a"}), rows_reply{}, ok(8, {"b"})});
    BOOST_TEST(source.calls.at(1).after == 7U);
    BOOST_TEST(source.calls.at(2).after == 7U);
    BOOST_TEST(changed == string_list{"b"});
}

// A change must be applied within 2 s of being stored, once the store has been
// calm for 3 s.
BOOST_AUTO_TEST_CASE(hanging_catalogue_call_is_retried_within_3_s) {
    constexpr duration calm_after = 3s;
    BOOST_TEST((catalogue_wait + follow_timeout_margin + max_retry_delay <
                calm_after));
}

// Guards against endpoints that are removed although they are listed: a page
// whose rows can't be read ended the full read, and the rows after it counted
// as missing.
BOOST_AUTO_TEST_CASE(page_without_a_readable_row_is_read_again) {
    run_script({ok(7, {"a"}, true), ok(7, {}, true), ok(8, {"b"})});
    BOOST_TEST(full == string_list{"ab"});
    BOOST_TEST(source.calls.at(1).from == source.calls.at(2).from);
}

// Guards against hosts that stop following a table: text that is not UTF-8 made
// the whole reply unreadable, and the same reply came again for as long as the
// row stood.
BOOST_AUTO_TEST_CASE(row_that_is_not_utf8_leaves_the_others_readable) {
    http_result result;
    result.outcome = http_outcome::answered;
    result.status = 200;
    result.body = "{\"ver\":9,\"rows\":[{\"table\":\"t\",\"part\":\"\","
                  "\"key\":\"odd\xff\",\"value\":\"\",\"ver\":8},"
                  "{\"key\":7},{\"table\":\"t\",\"key\":\"good\","
                  "\"value\":\"e30=\",\"ver\":9}]}";
    const auto reply = parse_rows_reply(result);
    BOOST_TEST((reply.status == dispatch::store_status::ok));
    BOOST_TEST(reply.version == 9U);
    BOOST_REQUIRE(reply.rows.size() == 2U);
    BOOST_TEST(reply.rows[1].key == "good");
    BOOST_TEST(reply.rows[1].value == "{}");
    result.body.resize(40);
    BOOST_TEST(
        (parse_rows_reply(result).status == dispatch::store_status::unknown));
}

BOOST_AUTO_TEST_CASE(lost_reply_during_full_read_delivers_no_partial_rows) {
    run_script({ok(7, {"a"}, true), rows_reply{}, ok(8, {"b"})});
    BOOST_TEST(full == string_list{"ab"});
    BOOST_TEST(source.calls.at(1).from == source.calls.at(2).from);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::platform
