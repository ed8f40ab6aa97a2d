#include <boost/test/unit_test.hpp>

#include "core/dispatch/tenure_ledger.hpp"

namespace figridge::dispatch {
namespace {

const process_id holder_a{"10.1.0.1:1", 11};
const process_id holder_b{"10.1.0.2:1", 12};
const process_id prober{"10.1.0.3:1", 13};

struct tenure_fixture {
    tenure_fixture() {
        list("endpoint-1", {"gpu"});
        hold("endpoint-1", holder_a, 4);
    }

    void list(const std::string& id, std::vector<std::string> labels = {}) {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.pool = "pool";
        endpoint.labels = std::move(labels);
        tenures.set_endpoint(now, endpoint);
    }

    void hold(const std::string& id, const process_id& holder,
              std::uint64_t token) {
        tenures.set_holder({id, "domain-1", holder, token, 1});
    }

    [[nodiscard]] bool may_start(const process_id& holder,
                                 const std::string& label = {}) const {
        return tenures.may_start(holder, "pool", label);
    }

    // The endpoints that are not proved, where the host hears `heard`, for
    // starts that were sent at `first_sent` or later.
    [[nodiscard]] std::vector<std::string>
    unproved(const std::string& pool = "pool",
             timestamp first_sent = timestamp::min()) {
        tenures.note_proofs(now, [this](const process_id& holder) {
            return std::find(heard.begin(), heard.end(), holder) != heard.end();
        });
        return tenures.find_unproved(pool, first_sent);
    }

    // The platform lists this instance of the endpoint, in this domain.
    void list_instance(const std::string& id, std::int64_t started_ms,
                       const std::string& domain = "domain-1") {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.pool = "pool";
        endpoint.failure_domain = domain;
        endpoint.instance_started_ms = started_ms;
        tenures.set_endpoint(now, endpoint);
    }

    // The endpoint answers its holder under this token, with an empty list.
    void answer(const std::string& id, std::uint64_t token) {
        tenures.fence(id, token, now);
        tenures.note_listed(id, token);
    }

    // Two endpoints of a failure domain are proved, their holder is not heard
    // any more, and one of them answers a successor.
    void lose_holder() {
        list_instance("endpoint-1", 1000);
        list_instance("endpoint-2", 1000);
        hold("endpoint-2", holder_a, 4);
        heard = {holder_a};
        answer("endpoint-1", 4);
        answer("endpoint-2", 4);
        BOOST_TEST(unproved().empty());
        now += evidence_validity;
        heard = {holder_b};
        hold("endpoint-2", holder_b, 8);
        answer("endpoint-2", 8);
        BOOST_TEST(unproved().empty());
    }

    // A host has heard the instance after the holder under the token had ended,
    // or that holder has told of it.
    void note_instance(const std::string& id, std::int64_t started_ms,
                       timestamp began_by, const process_id& by = prober,
                       std::uint64_t token = 4) {
        tenures.note_instance(now, id, started_ms, began_by, by, token);
    }

    timestamp now{10s};
    std::vector<process_id> heard;
    tenure_ledger tenures;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tenure_ledger_test, tenure_fixture)

// Guards against waits for endpoints on which the task can't have been started.
BOOST_AUTO_TEST_CASE(only_endpoints_that_suit_a_task_may_start_it_late) {
    BOOST_TEST(may_start(holder_a));
    BOOST_TEST(may_start(holder_a, "gpu"));
    BOOST_TEST(!may_start(holder_a, "ssd"));
    BOOST_TEST(!tenures.may_start(holder_a, "other-pool", ""));
    BOOST_TEST(!may_start(holder_b));
    BOOST_TEST(!may_start({holder_a.address, 12}));
}

// Guards against two runs at a time: an endpoint that a lost holder sent a
// start has restarted as another kind, and carries it out all the same.
BOOST_AUTO_TEST_CASE(endpoint_may_start_what_its_former_labels_suited) {
    list("endpoint-1", {"ssd"});
    BOOST_TEST(may_start(holder_a, "gpu"));
    BOOST_TEST(may_start(holder_a, "ssd"));
    hold("endpoint-1", holder_b, 8);
    BOOST_TEST(!may_start(holder_b, "gpu"));
}

// Guards against two runs at a time: a row or an endpoint's answer under the
// holder's own token, or a lower one, proves nothing about its starts.
BOOST_AUTO_TEST_CASE(only_an_answer_under_a_higher_token_fences_a_tenure) {
    hold("endpoint-1", holder_b, 8);
    BOOST_TEST(may_start(holder_a));
    tenures.fence("endpoint-1", 4, now);
    tenures.tick(now);
    BOOST_TEST(may_start(holder_a));
    tenures.fence("endpoint-1", 8, now);
    tenures.tick(now);
    BOOST_TEST(!may_start(holder_a));
    BOOST_TEST(may_start(holder_b));
}

// Guards against a second run beside one that the endpoint listed when it was
// taken over.
BOOST_AUTO_TEST_CASE(fenced_tenure_counts_until_its_listed_runs_have_ended) {
    tenures.fence("endpoint-1", 8, now + 1s);
    tenures.tick(now + 999ms);
    BOOST_TEST(may_start(holder_a));
    BOOST_TEST(tenures.may_start_at("endpoint-1", 4));
    tenures.tick(now + 1s);
    BOOST_TEST(!may_start(holder_a));
    BOOST_TEST(!tenures.may_start_at("endpoint-1", 4));
}

// Guards against tasks that wait until their caller's deadline: a list of the
// store that is read again names a holder that the endpoint has refused since.
BOOST_AUTO_TEST_CASE(row_read_again_does_not_open_a_fenced_tenure) {
    tenures.fence("endpoint-1", 8, now);
    tenures.tick(now);
    hold("endpoint-1", holder_a, 4);
    tenures.tick(now);
    BOOST_TEST(!may_start(holder_a));
    hold("endpoint-1", holder_b, 8);
    BOOST_TEST(may_start(holder_b));
}

// The same where the row is read after the fence and while a run of its holder
// may go on.
BOOST_AUTO_TEST_CASE(tenure_known_after_its_fence_ends_with_it) {
    list("endpoint-2");
    tenures.fence("endpoint-2", 8, now + 1s);
    hold("endpoint-2", holder_b, 4);
    BOOST_TEST(may_start(holder_b));
    tenures.tick(now + 1s);
    BOOST_TEST(!may_start(holder_b));
}

// Guards against a second run beside one that is listed, but not claimed: the
// successor names another former holder.
BOOST_AUTO_TEST_CASE(fence_of_one_holder_leaves_the_runs_of_others) {
    hold("endpoint-1", holder_b, 8);
    tenures.fence("endpoint-1", 12, now + 1s);
    tenures.fence_holder("endpoint-1", 12, holder_b, now);
    tenures.tick(now);
    BOOST_TEST(!may_start(holder_b));
    BOOST_TEST(may_start(holder_a));
    tenures.tick(now + 1s);
    BOOST_TEST(!may_start(holder_a));
}

// Guards against two runs at a time: an endpoint that a list lacks for a moment
// may still carry a start out.
BOOST_AUTO_TEST_CASE(endpoint_counts_until_it_was_gone_for_long) {
    tenures.remove_endpoint("endpoint-1", now + 15s);
    tenures.remove_endpoint("endpoint-1", now + 30s);
    tenures.tick(now + 15s);
    BOOST_TEST(may_start(holder_a));
    list("endpoint-1");
    tenures.tick(now + 16s);
    BOOST_TEST(may_start(holder_a));
    tenures.remove_endpoint("endpoint-1", now + 30s);
    tenures.tick(now + 30s + 1ms);
    BOOST_TEST(!may_start(holder_a));
}

// Guards against two runs at a time: the store is slow, so the row of a holder
// that has reported a run under its token is not read yet.
BOOST_AUTO_TEST_CASE(start_under_a_token_whose_row_is_not_read_may_come_late) {
    BOOST_TEST(tenures.may_start_at("endpoint-1", 8));
    tenures.fence("endpoint-1", 8, now);
    BOOST_TEST(tenures.may_start_at("endpoint-1", 8));
    tenures.fence("endpoint-1", 12, now);
    tenures.tick(now);
    BOOST_TEST(!tenures.may_start_at("endpoint-1", 8));
}

// Guards against two runs at a time: the only row that can be read is that of
// a holder that has not called the endpoint yet, and the one before it has
// ended.
BOOST_AUTO_TEST_CASE(newest_row_of_a_silent_endpoint_hides_earlier_holders) {
    hold("endpoint-1", holder_b, 8);
    tenures.note_rows_read();
    heard = {holder_a, holder_b};
    BOOST_TEST(unproved() == std::vector<std::string>{"endpoint-1"});
    tenures.fence("endpoint-1", 8, now);
    BOOST_TEST(unproved().empty());
}

// Guards against two runs at a time: the endpoint has answered a holder that
// has ended since.
BOOST_AUTO_TEST_CASE(holder_that_was_never_heard_leaves_no_proof) {
    tenures.note_rows_read();
    tenures.fence("endpoint-1", 4, now);
    BOOST_TEST(unproved() == std::vector<std::string>{"endpoint-1"});
    heard = {holder_a};
    BOOST_TEST(unproved().empty());
}

// Guards against waits for a holder that is lost later, as its doubts were
// told.
BOOST_AUTO_TEST_CASE(proved_endpoint_stays_proved) {
    tenures.note_rows_read();
    tenures.fence("endpoint-1", 4, now);
    heard = {holder_a};
    BOOST_TEST(unproved().empty());
    heard.clear();
    hold("endpoint-1", holder_b, 8);
    BOOST_TEST(unproved().empty());
}

// Guards against jobs that wait without need, and against two runs at a time: a
// silent endpoint of the pool may have had another label.
BOOST_AUTO_TEST_CASE(all_endpoints_of_the_pool_need_a_proof) {
    tenures.note_rows_read();
    BOOST_TEST(unproved() == std::vector<std::string>{"endpoint-1"});
    BOOST_TEST(unproved("other-pool").empty());
}

// Guards against jobs that wait without need where a deployment starts: its
// endpoints have never been held.
BOOST_AUTO_TEST_CASE(endpoint_that_was_never_held_needs_no_proof) {
    tenures.note_rows_read();
    tenures.fence("endpoint-1", 8, now);
    tenures.tick(now);
    list("endpoint-2");
    BOOST_TEST(unproved().empty());
    hold("endpoint-2", holder_b, 8);
    heard = {holder_b};
    BOOST_TEST(unproved().empty());
}

// Guards against two runs at a time: two hosts end at once, and one of them was
// the only one that knew of a start of the other.
BOOST_AUTO_TEST_CASE(withdrawn_proof_needs_an_answer_to_another_holder) {
    list("endpoint-2");
    hold("endpoint-2", holder_b, 8);
    tenures.note_rows_read();
    tenures.fence("endpoint-1", 4, now);
    tenures.fence("endpoint-2", 8, now);
    heard = {holder_a, holder_b};
    BOOST_TEST(unproved().empty());
    heard.clear();
    tenures.withdraw_proofs(holder_a);
    BOOST_TEST(unproved() == std::vector<std::string>{"endpoint-1"});
    tenures.fence("endpoint-1", 12, now);
    tenures.note_listed("endpoint-1", 12);
    BOOST_TEST(unproved().empty());
}

// Guards against a second run beside one that a holder found, and whose task
// this host does not know: it was told the fence, not the list.
BOOST_AUTO_TEST_CASE(fence_without_a_list_counts_once_its_runs_have_ended) {
    tenures.note_rows_read();
    tenures.fence("endpoint-1", 8, now + 1s);
    BOOST_TEST(unproved() == std::vector<std::string>{"endpoint-1"});
    tenures.note_listed("endpoint-1", 8);
    BOOST_TEST(unproved().empty());
}

// The same where the list was not told at all.
BOOST_AUTO_TEST_CASE(fence_counts_once_unknown_runs_have_ended) {
    tenures.note_rows_read();
    tenures.fence("endpoint-1", 8, now + 1s);
    now += 1s;
    tenures.tick(now);
    BOOST_TEST(unproved().empty());
}

// Guards against jobs that wait for a takeover while the store is down, though
// no start that is carried out late can be accepted: the instance was there
// when the start was sent.
BOOST_AUTO_TEST_CASE(instance_that_began_before_the_start_needs_no_proof) {
    tenures.note_rows_read();
    note_instance("endpoint-1", 1000, 4s);
    const auto safe_from = 4s + clock_reading_limit;
    BOOST_TEST(unproved("pool", safe_from).empty());
    BOOST_TEST(unproved("pool", safe_from - 1ms) ==
               std::vector<std::string>{"endpoint-1"});
    BOOST_TEST(!tenures.has_unproved(safe_from));
    BOOST_TEST((tenures.needs_no_proof_from("pool") == safe_from));
}

// Guards against the same where a later answer was read late.
BOOST_AUTO_TEST_CASE(earliest_reading_of_an_instance_counts) {
    note_instance("endpoint-1", 1000, 4s);
    note_instance("endpoint-1", 1000, 5s);
    BOOST_TEST(
        (tenures.needs_no_proof_from("pool") == 4s + clock_reading_limit));
}

// Guards against two runs at a time: the endpoint has restarted since its age
// was read, so that it accepts starts of before.
BOOST_AUTO_TEST_CASE(later_instance_is_as_young_as_it_says) {
    note_instance("endpoint-1", 1000, 4s);
    note_instance("endpoint-1", 2000, 9s);
    BOOST_TEST(
        (tenures.needs_no_proof_from("pool") == 9s + clock_reading_limit));
    endpoint_record listed;
    listed.id = "endpoint-1";
    listed.pool = "pool";
    listed.instance_started_ms = 3000;
    tenures.set_endpoint(now, listed);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
}

// Guards against two runs at a time: the time of day of an endpoint has gone
// back, so that its later instance names the lower start.
BOOST_AUTO_TEST_CASE(instance_with_an_earlier_start_may_be_the_later_one) {
    note_instance("endpoint-1", 2000, 4s, holder_a);
    note_instance("endpoint-1", 1000, 9s, holder_a);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
}

// Guards against two runs at a time: one endpoint of the pool was not heard.
BOOST_AUTO_TEST_CASE(unheard_endpoint_leaves_its_pool_unproved) {
    list("endpoint-2");
    hold("endpoint-2", holder_b, 4);
    note_instance("endpoint-1", 1000, 4s);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
    note_instance("endpoint-2", 1000, 6s);
    BOOST_TEST(
        (tenures.needs_no_proof_from("pool") == 6s + clock_reading_limit));
    note_instance("endpoint-3", 1000, 6s); // not listed
    BOOST_TEST((tenures.needs_no_proof_from("other-pool") == timestamp::min()));
}

// Guards against jobs that wait for an endpoint that has restarted long before
// its holder ended: the holder had told that it reads the clock of the present
// instance, so that it sent no start with a deadline of an earlier one.
BOOST_AUTO_TEST_CASE(start_after_its_holder_told_of_the_instance_is_safe) {
    note_instance("endpoint-1", 1000, 9s, holder_a);
    now += 1s;
    note_instance("endpoint-1", 1000, 9s);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == now - 1s));
}

// Guards against two runs at a time: the endpoint may have restarted after its
// holder told of the instance, so that the holder's last starts have a deadline
// of an earlier clock.
BOOST_AUTO_TEST_CASE(instance_counts_only_if_heard_after_its_holder_ended) {
    note_instance("endpoint-1", 1000, 4s, holder_a);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
    note_instance("endpoint-1", 2000, 9s);
    BOOST_TEST(
        (tenures.needs_no_proof_from("pool") == 9s + clock_reading_limit));
}

// Guards against two runs at a time: the holder was taken for ended in a cut,
// and is heard again.
BOOST_AUTO_TEST_CASE(instance_heard_while_its_holder_lives_does_not_count) {
    note_instance("endpoint-1", 1000, 4s);
    tenures.withdraw_end(holder_a);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
}

// The same where the holder is not heard any more: what was heard long ago says
// little of the present instance.
BOOST_AUTO_TEST_CASE(instance_heard_long_ago_does_not_count) {
    note_instance("endpoint-1", 1000, 4s);
    now += evidence_validity + 1ms;
    BOOST_TEST(unproved() == std::vector<std::string>{"endpoint-1"});
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
}

// Guards against two runs at a time: a holder whose row is not read yet tells
// of its instance, and is not the one that has ended.
BOOST_AUTO_TEST_CASE(report_under_an_unknown_token_does_not_count) {
    note_instance("endpoint-1", 1000, 4s, holder_b, 8);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
}

// The same where another holder has taken the endpoint over since it was heard,
// and may still read the clock of an earlier instance.
BOOST_AUTO_TEST_CASE(instance_heard_before_the_newest_holder_does_not_count) {
    note_instance("endpoint-1", 1000, 4s, holder_a);
    note_instance("endpoint-1", 1000, 4s);
    hold("endpoint-1", holder_b, 8);
    BOOST_TEST((tenures.needs_no_proof_from("pool") == timestamp::max()));
    note_instance("endpoint-1", 1000, 4s, prober, 8);
    BOOST_TEST(
        (tenures.needs_no_proof_from("pool") == 4s + clock_reading_limit));
}

// The next five guard against two runs: the holder of an endpoint is cut off
// and has sent a start to it, and the endpoint restarts and carries that out
// late.

BOOST_AUTO_TEST_CASE(restart_under_a_silent_holder_is_waited_for) {
    lose_holder();
    list_instance("endpoint-1", 2000);
    const auto listed_at = now;
    BOOST_TEST(unproved() == std::vector<std::string>{"endpoint-1"});
    BOOST_TEST((tenures.last_awaited_restart() == listed_at));
    // The former instance refused starts that were sent later.
    now += 1s;
    BOOST_TEST(unproved("pool", listed_at).empty());
    BOOST_TEST(unproved("pool", listed_at - 1ms).size() == 1U);
}

BOOST_AUTO_TEST_CASE(restarted_endpoint_that_answers_a_successor_is_proved) {
    lose_holder();
    list_instance("endpoint-1", 2000);
    BOOST_TEST(unproved().size() == 1U);
    hold("endpoint-1", holder_b, 8);
    BOOST_TEST(unproved().size() == 1U);
    answer("endpoint-1", 8);
    BOOST_TEST(unproved().empty());
    BOOST_TEST((tenures.last_awaited_restart() == timestamp::min()));
}

BOOST_AUTO_TEST_CASE(restart_under_a_heard_holder_is_not_waited_for) {
    lose_holder();
    heard = {holder_a, holder_b}; // tells what is open itself
    list_instance("endpoint-1", 2000);
    BOOST_TEST(unproved().empty());
    heard = {holder_b};
    BOOST_TEST(unproved().size() == 1U);
}

// A job must not wait for a failure domain until its cut ends.
BOOST_AUTO_TEST_CASE(restart_in_a_cut_off_domain_is_not_waited_for) {
    lose_holder();
    list_instance("endpoint-1", 1000, "domain-2");
    list_instance("endpoint-1", 2000, "domain-2");
    BOOST_TEST(unproved().empty());
}

BOOST_AUTO_TEST_CASE(restart_is_waited_for_as_long_as_jobs_may_be_older) {
    lose_holder();
    list_instance("endpoint-1", 2000);
    now += longest_job_age;
    hold("endpoint-2", holder_b, 12);
    answer("endpoint-2", 12);
    BOOST_TEST(unproved().size() == 1U);
    now += 1ms;
    BOOST_TEST(unproved().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace figridge::dispatch
