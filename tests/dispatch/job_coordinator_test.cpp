#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "core/dispatch/job_coordinator.hpp"
#include "recording_observer.hpp"

namespace figridge::dispatch {
namespace {

const process_id holder_a{"10.1.0.1:1", 11};
const process_id holder_b{"10.1.0.2:1", 12};

// A coordinator with one known holder; records the messages that it sends.
struct coordinator_fixture : coordinator_events, caller_port {
    coordinator_fixture()
        : coordinator(settings, views, crashes, doubts, *this, observer,
                      *this) {
        advert about;
        about.capacity_cpu = 64'000;
        about.largest_cpu = 16'000;
        about.largest_memory_mb = 32'000;
        about.free_cpu = {16'000, 16'000, 16'000, 16'000};
        views.update(now, holder_a, "domain-1", about);
    }

    void add_holder_b() {
        advert about;
        about.capacity_cpu = 64'000;
        about.largest_cpu = 16'000;
        about.largest_memory_mb = 32'000;
        about.free_cpu = {16'000, 16'000};
        views.update(now, holder_b, "domain-2", about);
    }

    void send_assignment(const process_id& holder,
                         const task_assignment& assignment) override {
        assignments.emplace_back(holder, assignment);
    }
    void send_withdrawal(const process_id& holder,
                         const job_withdrawal& /*withdrawal*/) override {
        withdrawals.push_back(holder);
    }
    void send_claim(const process_id& holder,
                    const adoption_claim& claim) override {
        claims.emplace_back(holder, claim);
    }
    void send_recall(const process_id& holder,
                     const job_recall& recall) override {
        recalls.emplace_back(holder, recall);
    }
    [[nodiscard]] bool
    may_start_late(const process_id& holder, const std::string& /*pool*/,
                   const std::string& /*label*/) const override {
        return starts_open_of.contains(holder);
    }
    [[nodiscard]] bool
    may_have_come_before(duration /*caller_timeout*/) const override {
        return may_be_resent;
    }
    [[nodiscard]] bool lacks_proof(const std::string& /*pool*/) override {
        return has_unproved_endpoint || has_only_age;
    }
    [[nodiscard]] bool may_prove_soon() const override { return can_read_rows; }
    [[nodiscard]] bool is_unproved(const std::string& /*pool*/,
                                   timestamp /*arrived*/,
                                   duration /*caller_timeout*/) override {
        return has_unproved_endpoint;
    }
    [[nodiscard]] bool admit_job() override { return has_processor_time; }
    [[nodiscard]] bool
    is_label_listed(const std::string& /*pool*/,
                    const std::string& label) const override {
        return labels.contains(label);
    }
    [[nodiscard]] bool is_rack_listed(const std::string& /*pool*/,
                                      const std::string& rack) const override {
        return racks.contains(rack);
    }
    [[nodiscard]] bool is_evacuated(const std::string& /*pool*/,
                                    const job& /*work*/) const override {
        return false;
    }
    void announce_doubt(const start_doubt& doubt) override {
        told.push_back(doubt);
    }
    [[nodiscard]] bool
    may_start_late_at(const process_id& holder, const std::string& /*endpoint*/,
                      std::uint64_t /*token*/) const override {
        return starts_open_of.contains(holder);
    }
    void answer(caller_token /*token*/, const job_answer& answer) override {
        answers.push_back(answer);
    }

    void submit(std::uint32_t tasks, std::uint32_t attempts = 3,
                duration caller_timeout = 1500ms) {
        job_submission submission;
        submission.work.id = "0123456789abcdef";
        submission.work.steps.push_back(
            {tasks, {{6000, 64, 0}, 60, {}, {}}, {}});
        submission.queue.attempts = attempts;
        submission.queue.stretch = 1.6;
        submission.caller_timeout = caller_timeout;
        coordinator.submit(now, 1, submission);
    }

    static task_run run_of(std::uint32_t index, std::uint32_t run = 1) {
        return {{"0123456789abcdef", 0, index}, run};
    }

    void update(const process_id& holder, std::uint32_t index, update_kind kind,
                std::uint32_t run = 1,
                const std::string& endpoint = "endpoint-1") {
        coordinator.handle_update(
            now, holder,
            {run_of(index, run), kind, endpoint, 1,
             kind != update_kind::disowned && on_known_instance});
    }

    // An endpoint has, or may have, crashed while the task ran there.
    void report_crash(std::uint32_t index, const std::string& endpoint,
                      crash_evidence evidence) {
        crashes.record(now,
                       {run_of(index), "queue-1", endpoint, 1000, evidence});
    }

    // A holder has told that a start of the task may still be carried out, or
    // that it is over.
    void tell_doubt(std::uint32_t index, bool over = false) {
        doubts.record(
            now,
            {run_of(index), holder_b, "endpoint-9", 1000, over, false, {}, {}});
    }

    // Number of assignments of a task to a holder.
    [[nodiscard]] std::size_t placements() const {
        std::size_t count = 0;
        for (const auto& [holder, assignment] : assignments) {
            count += assignment.items.size();
        }
        return count;
    }

    // The holder has this much work of one priority queued.
    void queue_up(duration work, std::uint32_t priority = 0) {
        advert about;
        about.capacity_cpu = 64'000;
        about.largest_cpu = 16'000;
        about.largest_memory_mb = 32'000;
        about.queued_tasks = 100;
        about.queued_cpu_ms =
            static_cast<std::uint64_t>(to_ms(work)) * about.capacity_cpu / 1000;
        about.queued_cpu_ms_by_priority.assign(4, 0);
        about.queued_cpu_ms_by_priority[priority] = about.queued_cpu_ms;
        views.update(now, holder_a, "domain-1", about);
    }

    void advance(duration time) {
        for (const auto end = now + time; now < end;) {
            now += 25ms;
            coordinator.tick(now);
        }
    }

    timestamp now{10s};
    dispatch_settings settings;
    holder_views views{"domain-1"};
    crash_ledger crashes;
    doubt_ledger doubts{settings};
    std::vector<start_doubt> told;
    std::set<std::string> labels; // of listed endpoints
    std::set<std::string> racks;
    recording_observer observer;
    std::vector<std::pair<process_id, task_assignment>> assignments;
    std::vector<process_id> withdrawals;
    std::vector<std::pair<process_id, adoption_claim>> claims;
    std::vector<std::pair<process_id, job_recall>> recalls;
    std::set<process_id> starts_open_of; // holders
    bool may_be_resent = false;
    bool has_unproved_endpoint = false;
    bool can_read_rows = true;
    // No job need wait, but starts may not have been told.
    bool has_only_age = false;
    bool has_processor_time = true;
    // Whether holders know the instances on which they report runs; never of
    // those that they disown.
    bool on_known_instance = true;
    std::vector<job_answer> answers;
    job_coordinator coordinator;
};

BOOST_FIXTURE_TEST_SUITE(job_coordinator_test, coordinator_fixture)

BOOST_AUTO_TEST_CASE(job_is_answered_when_all_tasks_are_done) {
    submit(2);
    update(holder_a, 0, update_kind::done);
    BOOST_TEST(answers.empty());
    update(holder_a, 1, update_kind::done);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::completed));
}

BOOST_AUTO_TEST_CASE(failed_task_is_tried_elsewhere_with_a_higher_run) {
    submit(1);
    update(holder_a, 0, update_kind::failed);
    BOOST_REQUIRE_EQUAL(placements(), 2U);
    const auto& item = assignments[1].second.items[0];
    BOOST_TEST(item.run.run == 2U);
    BOOST_REQUIRE_EQUAL(item.avoid.size(), 1U);
    BOOST_TEST(item.avoid[0] == "endpoint-1");
}

BOOST_AUTO_TEST_CASE(job_fails_when_the_attempts_of_a_task_are_used_up) {
    submit(2, 2);
    update(holder_a, 0, update_kind::failed);
    BOOST_TEST(answers.empty());
    update(holder_a, 0, update_kind::failed, 2);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::failed));
    BOOST_TEST(!withdrawals.empty());
}

BOOST_AUTO_TEST_CASE(lost_run_uses_up_no_attempt) {
    submit(1, 1);
    update(holder_a, 0, update_kind::lost);
    BOOST_TEST(answers.empty());
    BOOST_TEST(placements() == 2U);
}

BOOST_AUTO_TEST_CASE(update_of_an_earlier_run_is_ignored) {
    submit(1);
    update(holder_a, 0, update_kind::lost);
    update(holder_a, 0, update_kind::done, 1);
    BOOST_TEST(answers.empty());
}

// A caller whose first request was cut off retries with its remaining time. If
// that is too short, the job is refused at once. A task with an estimate of
// 60 ms may run for only 34 ms.
BOOST_AUTO_TEST_CASE(job_that_cannot_complete_in_time_is_refused) {
    submit(1, 3, 30ms);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
    BOOST_TEST(answers[0].reason == "too_little_time");
    BOOST_TEST(placements() == 0U);
}

// Work spent on jobs that end too late is missing for the others.
BOOST_AUTO_TEST_CASE(overloaded_host_refuses_new_jobs_at_once) {
    has_processor_time = false;
    submit(1);
    BOOST_TEST(assignments.empty());
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST(answers[0].reason == "host_overloaded");
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
}

// A refusal would tell the caller that the job has not run.
BOOST_AUTO_TEST_CASE(overloaded_host_accepts_a_job_that_may_have_run) {
    submit(1);
    coordinator.drop_caller(now, 1);
    has_processor_time = false;
    submit(1);
    BOOST_TEST(assignments.size() == 2U);
}

BOOST_AUTO_TEST_CASE(job_that_may_complete_in_time_is_placed) {
    submit(1, 3, 35ms);
    BOOST_TEST(answers.empty());
    BOOST_TEST(placements() == 1U);
}

// Under overload such jobs would use capacity that other jobs can still benefit
// from.
BOOST_AUTO_TEST_CASE(job_whose_queued_task_cannot_complete_is_ended_early) {
    submit(2, 3, 500ms);
    update(holder_a, 0, update_kind::started);
    advance(450ms);
    BOOST_TEST(answers.empty());
    advance(50ms); // a run takes at least 34 ms
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
    BOOST_TEST(answers[0].reason == "too_late_to_complete");
    BOOST_TEST(withdrawals.size() == 1U);
}

BOOST_AUTO_TEST_CASE(job_whose_tasks_all_run_is_kept_until_the_deadline) {
    submit(1, 3, 500ms);
    update(holder_a, 0, update_kind::started);
    advance(500ms);
    BOOST_TEST(answers.empty());
}

// A holder may still report runs of the earlier submission.
BOOST_AUTO_TEST_CASE(job_that_comes_again_has_runs_of_its_own) {
    submit(1);
    coordinator.drop_caller(now, 1);
    submit(1);
    BOOST_REQUIRE_EQUAL(placements(), 2U);
    BOOST_TEST(assignments.back().second.items[0].run.run == 2U);
    update(holder_a, 0, update_kind::lost, 1);
    BOOST_TEST(placements() == 2U);
}

// The holder was heard for a moment between the two losses, but stayed out of
// contact. It may have taken more endpoints than are known here.
BOOST_AUTO_TEST_CASE(adoption_ends_no_queued_task_of_a_holder_lost_twice) {
    submit(1);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1s);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {}, {}});
    BOOST_TEST(placements() == 1U);
}

// Guards against duplicate runs: a holder that is lost, heard for a moment and
// lost again may have heard this host then, and keeps its tasks longer.
BOOST_AUTO_TEST_CASE(bound_counts_from_the_last_loss_of_a_holder) {
    submit(1, 3, 5s);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(500ms);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(1000ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// The dropped reports may have included the end of the run.
BOOST_AUTO_TEST_CASE(task_whose_report_was_lost_is_placed_again_at_the_bound) {
    submit(1);
    update(holder_a, 0, update_kind::started);
    coordinator.handle_reports_lost(holder_a, now + 1s);
    coordinator.handle_holder_recovered(holder_a);
    advance(975ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
    BOOST_TEST(assignments.back().second.items[0].run.run == 2U);
}

BOOST_AUTO_TEST_CASE(running_task_on_an_adopted_endpoint_is_claimed) {
    submit(1);
    update(holder_a, 0, update_kind::started);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    BOOST_REQUIRE_EQUAL(claims.size(), 1U);
    BOOST_TEST(claims[0].second.items.size() == 1U);
    update(holder_b, 0, update_kind::done);
    BOOST_TEST(answers.size() == 1U);
    BOOST_TEST(placements() == 1U);
}

// The next holder may detect the loss before this coordinator does.
BOOST_AUTO_TEST_CASE(run_adopted_before_its_holder_is_lost_is_not_repeated) {
    submit(1);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    BOOST_TEST(claims.size() == 1U);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(1300ms);
    BOOST_TEST(placements() == 1U);
}

BOOST_AUTO_TEST_CASE(run_missing_on_its_adopted_endpoint_is_placed_again) {
    submit(1);
    update(holder_a, 0, update_kind::started);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1s);
    BOOST_TEST(placements() == 1U);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {}, {}});
    BOOST_TEST(placements() == 2U);
}

// Messages of two holders may arrive out of order.
BOOST_AUTO_TEST_CASE(adoption_with_an_earlier_token_does_not_end_a_run) {
    submit(1);
    coordinator.handle_update(
        now, holder_a, {run_of(0), update_kind::started, "endpoint-1", 4});
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 3, {}, {}});
    BOOST_TEST(placements() == 1U);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 5, {}, {}});
    BOOST_TEST(placements() == 2U);
}

BOOST_AUTO_TEST_CASE(adoption_that_arrives_after_a_later_one_is_ignored) {
    submit(1);
    update(holder_a, 0, update_kind::started);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 5, {run_of(0)}, {}});
    coordinator.handle_adoption(now, process_id{"10.1.0.3:1", 13},
                                {"endpoint-1", holder_a, 4, {}, {}});
    BOOST_TEST(placements() == 1U);
    update(holder_b, 0, update_kind::done);
    BOOST_TEST(answers.size() == 1U);
}

// Guards against duplicate runs: a live holder that lost all its endpoints
// started a queued task on one that it took over afterwards.
BOOST_AUTO_TEST_CASE(queued_task_waits_for_the_bound_after_all_adoptions) {
    submit(1);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1000ms);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {}, {}});
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-2", holder_a, 8, {}, {}});
    advance(1000ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against duplicate runs: an adoption with a lower token than the run's
// precedes its start and does not show that the run has ended.
BOOST_AUTO_TEST_CASE(only_later_adoptions_end_the_run_of_a_lost_holder) {
    submit(1);
    add_holder_b();
    coordinator.handle_update(
        now, holder_a, {run_of(0), update_kind::started, "endpoint-1", 3000});
    coordinator.handle_holder_lost(holder_a, now + 1s);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 2000, {}, {}});
    BOOST_TEST(placements() == 1U);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 4000, {}, {}});
    BOOST_TEST(placements() == 2U);
}

// Guards against duplicate runs: an adoption that precedes the loss does not
// cover tasks that were queued after it.
BOOST_AUTO_TEST_CASE(adoption_before_the_loss_places_no_queued_task_again) {
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 2000, {}, {}});
    submit(1);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1000ms);
    advance(1000ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

BOOST_AUTO_TEST_CASE(task_of_a_lost_holder_is_placed_again_at_the_bound) {
    submit(1);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1000ms);
    advance(1000ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against two runs of a task at the same time: its lost holder had sent
// the start, unanswered, to an endpoint that carried it out seconds later.
BOOST_AUTO_TEST_CASE(queued_task_waits_while_a_lost_holders_start_may_come) {
    submit(1, 3, 60s);
    add_holder_b();
    starts_open_of.insert(holder_a);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(20s);
    BOOST_TEST(placements() == 1U);
    starts_open_of.clear();
    advance(25ms);
    BOOST_TEST(placements() == 2U);
    BOOST_TEST(assignments.back().second.items[0].run.run == 2U);
}

// Guards against two runs of a task at the same time: all hosts have ended, an
// endpoint that was sent the start carries it out seconds later, and the caller
// sends the job again to a process that was told nothing.
BOOST_AUTO_TEST_CASE(job_of_unknown_past_waits_until_its_endpoints_answered) {
    may_be_resent = true;
    has_unproved_endpoint = true;
    submit(2, 3, 60s);
    advance(20s);
    BOOST_TEST(placements() == 0U);
    BOOST_TEST(observer.lines["job_awaits_endpoints"].size() == 1U);
    has_unproved_endpoint = false;
    advance(25ms);
    BOOST_TEST(placements() == 2U);
    // Later losses are those of holders that this host has heard.
    has_unproved_endpoint = true;
    update(holder_a, 0, update_kind::failed);
    BOOST_TEST(placements() == 3U);
}

// The same where it was given up while it waited, and its caller sends it a
// third time.
BOOST_AUTO_TEST_CASE(job_given_up_while_it_waited_waits_again) {
    may_be_resent = true;
    has_unproved_endpoint = true;
    submit(1);
    advance(1600ms);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
    may_be_resent = false;
    submit(1);
    BOOST_TEST(placements() == 0U);
    has_unproved_endpoint = false;
    advance(25ms);
    BOOST_TEST(placements() == 1U);
}

// The same where the job need not wait, as each of its starts is over.
BOOST_AUTO_TEST_CASE(job_whose_starts_are_over_is_not_said_not_to_have_run) {
    may_be_resent = true;
    has_only_age = true;
    has_processor_time = false;
    submit(1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
    has_processor_time = true;
    submit(1);
    BOOST_TEST(placements() == 1U);
}

// Guards against a caller that is kept to its time-out by a process that has
// started while the store is away, though other hosts could serve it: a job
// whose past can't become known is answered at once, not as "not run".
BOOST_AUTO_TEST_CASE(job_of_unknown_past_is_not_held_while_rows_are_not_read) {
    may_be_resent = true;
    has_unproved_endpoint = true;
    can_read_rows = false;
    submit(1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
    BOOST_TEST(answers[0].reason == "past_unknown");
    BOOST_TEST(placements() == 0U);
}

// Guards against a wait for endpoints that can't have got a job that is new.
BOOST_AUTO_TEST_CASE(job_that_can_not_have_come_before_is_placed_at_once) {
    has_unproved_endpoint = true;
    submit(1);
    BOOST_TEST(placements() == 1U);
}

// Guards against the answer "not run" for a job that may run: it is refused
// without an open start that this host knows of.
BOOST_AUTO_TEST_CASE(job_of_unknown_past_is_not_said_not_to_have_run) {
    may_be_resent = true;
    has_unproved_endpoint = true;
    has_processor_time = false;
    submit(1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
    BOOST_TEST(answers[0].reason == "host_overloaded");
}

// Guards against two runs at a time: an endpoint has answered its new holder,
// and listed the run of an earlier submission.
BOOST_AUTO_TEST_CASE(listed_run_of_a_job_of_unknown_past_is_waited_for) {
    may_be_resent = true;
    doubts.handle_adoption(now, {"endpoint-1", holder_b, 8, {run_of(0)}, {}});
    submit(2, 3, 60s);
    BOOST_TEST(placements() == 1U);
    advance(2s);
    BOOST_TEST(placements() == 2U);
}

// Guards against a log that grows with each tick of a wait, and against waits
// that leave no trace.
BOOST_AUTO_TEST_CASE(wait_for_the_endpoints_of_a_lost_holder_is_logged_once) {
    submit(1, 3, 60s);
    starts_open_of.insert(holder_a);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(1s);
    auto& waits = observer.lines["task_awaits_endpoints"];
    BOOST_TEST(waits.empty());
    advance(5s);
    BOOST_REQUIRE_EQUAL(waits.size(), 1U);
    BOOST_TEST(waits[0]["job"] == "0123456789abcdef");
    BOOST_TEST(waits[0]["task"] == "0.0");
    BOOST_TEST(waits[0]["run"] == "1");
    BOOST_TEST(waits[0]["holder"] == holder_a.address);
}

// Guards against running tasks that wait for an adoption without need: the
// start was answered, so the lease ends the run.
BOOST_AUTO_TEST_CASE(started_task_of_a_lost_holder_waits_for_the_bound_alone) {
    submit(1, 3, 60s);
    update(holder_a, 0, update_kind::started);
    add_holder_b();
    starts_open_of.insert(holder_a);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(1s);
    BOOST_TEST(placements() == 1U);
    advance(25ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against two runs of a task at the same time: an instance that nobody
// knows carries another start out late, which extends the lease of all its runs
// beyond the bound.
BOOST_AUTO_TEST_CASE(run_on_an_unknown_instance_waits_for_its_endpoint) {
    on_known_instance = false;
    submit(1, 3, 60s);
    update(holder_a, 0, update_kind::started);
    add_holder_b();
    starts_open_of.insert(holder_a);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(10s);
    BOOST_TEST(placements() == 1U);
    starts_open_of.clear();
    advance(25ms);
    BOOST_TEST(placements() == 2U);
}

// The same where the holder loses the endpoint, not the coordinator the holder.
BOOST_AUTO_TEST_CASE(
    disowned_run_on_an_unknown_instance_waits_for_an_adoption) {
    on_known_instance = false;
    submit(1, 3, 60s);
    update(holder_a, 0, update_kind::started);
    update(holder_a, 0, update_kind::disowned);
    add_holder_b();
    advance(20s);
    BOOST_TEST(placements() == 1U);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {}, {}});
    BOOST_TEST(placements() == 2U);
}

// Guards against tasks that wait until their caller's deadline: the adoption
// was announced while this host was cut off.
BOOST_AUTO_TEST_CASE(fence_told_after_a_cut_ends_the_wait_for_an_adoption) {
    submit(1, 3, 60s);
    update(holder_a, 0, update_kind::disowned);
    add_holder_b();
    advance(5s);
    coordinator.handle_fences(now, {{"endpoint-1", 1}}, now + 1s); // its own
    advance(2s);
    BOOST_TEST(placements() == 1U);
    coordinator.handle_fences(now, {{"endpoint-1", 8}}, now + 1s);
    advance(1s);
    BOOST_TEST(placements() == 1U);
    advance(25ms);
    BOOST_TEST(placements() == 2U);
}

// The same where the fence is told before the former holder is heard.
BOOST_AUTO_TEST_CASE(fence_told_before_a_run_is_disowned_ends_the_wait) {
    submit(1, 3, 60s);
    add_holder_b();
    coordinator.handle_fences(now, {{"endpoint-1", 8}}, now + 1s);
    update(holder_a, 0, update_kind::disowned);
    advance(1300ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against two runs of a task at the same time: reports were dropped in a
// cut, and the holder tells of its unanswered starts only after the cut.
BOOST_AUTO_TEST_CASE(task_with_lost_reports_waits_for_its_holder_to_tell) {
    submit(2, 3, 60s);
    update(holder_a, 1, update_kind::started);
    add_holder_b();
    coordinator.handle_reports_lost(holder_a, now + 100ms);
    advance(75ms);
    coordinator.handle_holder_recovered(holder_a, now + 500ms);
    advance(50ms);
    BOOST_TEST(placements() == 3U); // the one whose start was answered
    advance(450ms);
    BOOST_TEST(placements() == 3U);
    advance(25ms);
    BOOST_TEST(placements() == 4U);
}

// Guards against the answer "not run" for a job whose start may still be
// carried out: its other task was recalled and came back.
BOOST_AUTO_TEST_CASE(recalled_job_with_a_possible_late_start_is_not_refused) {
    submit(2, 3, 2500ms);
    starts_open_of.insert(holder_a);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    queue_up(10s);
    advance(25ms);
    BOOST_REQUIRE_EQUAL(recalls.size(), 1U);
    update(holder_a, 0, update_kind::returned);
    advance(3s);
    BOOST_TEST(placements() == 3U); // the returned task only
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
}

// Guards against a done task that is placed again: another holder has found the
// run while the task's own holder is lost.
BOOST_AUTO_TEST_CASE(found_run_ends_the_wait_for_a_lost_holders_endpoints) {
    submit(1, 3, 60s);
    add_holder_b();
    starts_open_of.insert(holder_a);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    advance(2s);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    BOOST_TEST(claims.size() == 1U);
    starts_open_of.clear();
    advance(1s);
    BOOST_TEST(placements() == 1U);
    update(holder_b, 0, update_kind::done);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::completed));
}

// A holder that is reachable again before it dropped the tasks still has them.
BOOST_AUTO_TEST_CASE(task_stays_with_a_holder_that_recovers) {
    submit(1);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1000ms);
    advance(200ms);
    coordinator.handle_holder_recovered(holder_a);
    advance(1200ms);
    BOOST_TEST(placements() == 1U);
}

BOOST_AUTO_TEST_CASE(disowned_run_is_claimed_from_an_earlier_adoption) {
    submit(1);
    update(holder_a, 0, update_kind::started);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-2", holder_a, 8, {run_of(0)}, {}});
    update(holder_a, 0, update_kind::disowned, 1, "endpoint-2");
    BOOST_REQUIRE_EQUAL(claims.size(), 1U);
    BOOST_TEST((claims[0].first == holder_b));
}

// Guards against duplicate runs: the adoption by the current holder may not
// have arrived here, while an older one is still retained.
BOOST_AUTO_TEST_CASE(earlier_adoption_does_not_end_a_disowned_run) {
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", process_id{}, 3, {}, {}});
    submit(1);
    coordinator.handle_update(
        now, holder_a, {run_of(0), update_kind::started, "endpoint-1", 5});
    coordinator.handle_update(
        now, holder_a, {run_of(0), update_kind::disowned, "endpoint-1", 5});
    BOOST_TEST(placements() == 1U);
}

// Guards against duplicate runs: two coordinators of one job both start with
// run 1, and the endpoint may still list the end of the other's run.
BOOST_AUTO_TEST_CASE(end_of_another_coordinators_run_is_not_ours) {
    submit(1); // queued at holder_a, or running on another of its endpoints
    add_holder_b();
    coordinator.handle_adoption(
        now, holder_b,
        {"endpoint-1",
         holder_a,
         8,
         {},
         {{run_of(0), update_kind::lost, "endpoint-1", 8}}});
    BOOST_TEST(placements() == 1U);
}

// Guards against duplicate runs: the same with a lost holder, which may start
// the task until it drops the tasks of this host.
BOOST_AUTO_TEST_CASE(end_of_another_coordinators_run_waits_for_the_bound) {
    submit(1);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 1000ms);
    coordinator.handle_adoption(
        now, holder_b,
        {"endpoint-1",
         holder_a,
         8,
         {},
         {{run_of(0), update_kind::stopped, "endpoint-1", 8}}});
    advance(1000ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against duplicate runs: the run that was claimed may be that of
// another coordinator, while the task is queued at its holder.
BOOST_AUTO_TEST_CASE(lost_found_run_does_not_replace_a_queued_task) {
    submit(1);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    BOOST_TEST(claims.size() == 1U);
    update(holder_b, 0, update_kind::lost);
    BOOST_TEST(placements() == 1U);
    update(holder_a, 0, update_kind::started, 1, "endpoint-2");
    update(holder_a, 0, update_kind::done, 1, "endpoint-2");
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::completed));
}

// Guards against duplicate runs: the holder of the task's own run has also
// taken over the endpoint of the found run and reports the end of that one.
BOOST_AUTO_TEST_CASE(end_of_a_found_run_at_the_tasks_own_holder_is_not_ours) {
    submit(1);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    coordinator.handle_adoption(now, holder_a,
                                {"endpoint-1", holder_b, 9, {run_of(0)}, {}});
    update(holder_a, 0, update_kind::lost);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 10, {}, {}});
    BOOST_TEST(placements() == 1U);
}

// Guards against a task that is executed again: the found run that has done it
// was at the holder that has the task's own run queued.
BOOST_AUTO_TEST_CASE(own_run_is_withdrawn_if_its_holder_has_done_a_found_run) {
    submit(1);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    coordinator.handle_adoption(now, holder_a,
                                {"endpoint-1", holder_b, 9, {run_of(0)}, {}});
    update(holder_a, 0, update_kind::done);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST(std::count(withdrawals.begin(), withdrawals.end(), holder_a) ==
               1);
}

// Guards against tasks that are never started: a holder advertises free room on
// an endpoint that the task has to avoid, and returns the task since another
// host has room too. Placed by free room alone, the task went to and fro
// between the two until its caller's deadline.
BOOST_AUTO_TEST_CASE(returned_task_goes_to_another_holder_with_free_room) {
    add_holder_b();
    submit(1);
    BOOST_REQUIRE(assignments.back().first == holder_a);
    update(holder_a, 0, update_kind::returned, 1, {});
    BOOST_TEST((assignments.back().first == holder_b));
    update(holder_b, 0, update_kind::lost);
    BOOST_TEST((assignments.back().first == holder_a));
}

BOOST_AUTO_TEST_CASE(returned_task_goes_back_if_no_other_holder_has_room) {
    submit(1);
    update(holder_a, 0, update_kind::returned, 1, {});
    BOOST_TEST(assignments.size() == 2U);
    BOOST_TEST((assignments.back().first == holder_a));
}

// Guards against duplicate runs: the task's own run has not started, but one of
// another coordinator with its number goes on.
BOOST_AUTO_TEST_CASE(returned_task_is_not_placed_beside_a_found_run) {
    submit(1);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    coordinator.handle_update(now, holder_a,
                              {run_of(0), update_kind::returned, {}, 0});
    BOOST_TEST(placements() == 1U);
    update(holder_b, 0, update_kind::lost);
    BOOST_TEST(placements() == 2U);
}

// Guards against duplicate runs and tasks that wait forever: the holder of a
// found run is lost too.
BOOST_AUTO_TEST_CASE(found_run_of_a_lost_holder_is_waited_for) {
    submit(1);
    add_holder_b();
    coordinator.handle_holder_lost(holder_a, now + 500ms);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    coordinator.handle_holder_lost(holder_b, now + 1000ms);
    advance(1000ms);
    BOOST_TEST(placements() == 1U);
    add_holder_b(); // started again
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against runs that go on for nobody: the task was done by a run of
// another coordinator, and its holder still has its own.
BOOST_AUTO_TEST_CASE(own_run_of_a_task_done_by_a_found_run_is_withdrawn) {
    submit(1);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    update(holder_b, 0, update_kind::done);
    BOOST_TEST(answers.size() == 1U);
    BOOST_TEST((std::find(withdrawals.begin(), withdrawals.end(), holder_a) !=
                withdrawals.end()));
}

// Guards against runs whose end is lost: the report of a start arrives after
// the adoption of its endpoint.
BOOST_AUTO_TEST_CASE(kept_adoption_is_applied_when_the_start_is_reported) {
    submit(2);
    add_holder_b();
    coordinator.handle_adoption(
        now, holder_b,
        {"endpoint-1",
         holder_a,
         8,
         {run_of(0)},
         {{run_of(1), update_kind::lost, "endpoint-1", 8}}});
    BOOST_TEST(claims.size() == 1U);
    update(holder_a, 0, update_kind::started);
    update(holder_a, 1, update_kind::started);
    BOOST_TEST(placements() == 3U);
    update(holder_b, 0, update_kind::lost);
    BOOST_TEST(placements() == 4U);
}

// Guards against tasks that run again although they are done: the end of a run
// follows the report of its start.
BOOST_AUTO_TEST_CASE(started_run_that_an_adoption_lacks_is_not_given_up) {
    submit(1);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {}, {}});
    update(holder_a, 0, update_kind::started);
    BOOST_TEST(placements() == 1U);
    update(holder_a, 0, update_kind::done);
    BOOST_TEST(answers.size() == 1U);
}

// Guards against tasks that wait forever: the task's holder loses the endpoint
// and takes it again before the claim of the run has arrived, so that the run
// is stopped and reported to nobody.
BOOST_AUTO_TEST_CASE(later_adoption_by_the_tasks_own_holder_claims_again) {
    submit(1);
    update(holder_a, 0, update_kind::started);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_b, 9, {run_of(0)}, {}});
    BOOST_TEST(claims.size() == 2U);
    BOOST_TEST(placements() == 1U);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_b, 10, {}, {}});
    BOOST_TEST(placements() == 2U);
}

// Guards against duplicate runs: a report that the run was disowned in an
// earlier tenure of its holder is no news of the run claimed since.
BOOST_AUTO_TEST_CASE(disowned_run_of_an_earlier_tenure_is_not_given_up) {
    submit(1, 3, 10s);
    coordinator.handle_update(
        now, holder_a, {run_of(0), update_kind::started, "endpoint-1", 5});
    coordinator.handle_adoption(now, holder_a,
                                {"endpoint-1", holder_a, 8, {run_of(0)}, {}});
    advance(3100ms); // the adoption is not retained any more
    coordinator.handle_update(
        now, holder_a, {run_of(0), update_kind::disowned, "endpoint-1", 5});
    advance(1400ms);
    BOOST_TEST(placements() == 1U);
}

// Guards against runs that go on for nobody, beside those of the job when it
// comes again: the adoption that lists the run ends its job, and the claim
// would follow the withdrawal.
BOOST_AUTO_TEST_CASE(run_of_a_job_that_the_adoption_ends_is_not_claimed) {
    submit(2, 1);
    update(holder_a, 0, update_kind::started);
    update(holder_a, 1, update_kind::started);
    coordinator.handle_adoption(
        now, holder_b,
        {"endpoint-1",
         holder_a,
         8,
         {run_of(0)},
         {{run_of(1), update_kind::failed, "endpoint-1", 8}}});
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::failed));
    BOOST_TEST(claims.empty());
}

// Guards against tasks that wait forever: after a network cut, the report that
// a run is disowned may arrive before contact with its holder is restored.
BOOST_AUTO_TEST_CASE(disowned_task_is_placed_again_after_contact_is_restored) {
    submit(1, 3, 3s);
    update(holder_a, 0, update_kind::started);
    coordinator.handle_holder_lost(holder_a, now + 1800ms);
    update(holder_a, 0, update_kind::disowned);
    coordinator.handle_holder_recovered(holder_a);
    add_holder_b();
    advance(1300ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against duplicate runs: a start that was not answered before its
// holder lost the endpoint is carried out seconds later, by an instance that
// knows neither the deadline's clock nor the token.
BOOST_AUTO_TEST_CASE(disowned_run_without_an_answer_waits_for_an_adoption) {
    submit(1, 3, 60s);
    update(holder_a, 0, update_kind::disowned);
    add_holder_b();
    coordinator.handle_reports_lost(holder_a, now + 1800ms);
    advance(20s);
    BOOST_TEST(placements() == 1U);
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", holder_a, 8, {}, {}});
    BOOST_TEST(placements() == 2U);
}

// The same where the report comes long after the adoption.
BOOST_AUTO_TEST_CASE(run_disowned_after_an_adoption_waits_for_its_lease) {
    submit(1, 3, 60s);
    add_holder_b();
    coordinator.handle_adoption(now, holder_b,
                                {"endpoint-1", process_id{}, 8, {}, {}});
    advance(4s); // the adoption is not retained any more
    update(holder_a, 0, update_kind::disowned);
    advance(1300ms);
    BOOST_TEST(placements() == 1U);
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against tasks that wait forever for an adoption.
BOOST_AUTO_TEST_CASE(disowned_run_of_a_gone_endpoint_is_placed_again) {
    submit(1, 3, 60s);
    update(holder_a, 0, update_kind::disowned);
    add_holder_b();
    advance(5s);
    coordinator.handle_endpoint_gone(now, "endpoint-1");
    advance(14s);
    BOOST_TEST(placements() == 1U);
    advance(2s);
    BOOST_TEST(placements() == 2U);
}

BOOST_AUTO_TEST_CASE(job_ends_when_its_caller_leaves) {
    submit(2);
    coordinator.drop_caller(now, 1);
    BOOST_TEST(withdrawals.size() == 1U);
    BOOST_TEST(coordinator.job_count() == 0U);
}

BOOST_AUTO_TEST_CASE(job_whose_task_fits_no_endpoint_is_refused) {
    job_submission submission;
    submission.work.id = "0123456789abcdef";
    submission.work.steps.push_back({1, {{60'000, 64, 0}, 60, {}, {}}, {}});
    submission.caller_timeout = 1500ms;
    coordinator.submit(now, 1, submission);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
    BOOST_TEST(to_ms(answers[0].retry_after) > 0);
    BOOST_TEST(placements() == 0U);
}

// Guards against a job refused for good: the capacity may grow again.
BOOST_AUTO_TEST_CASE(job_refused_for_capacity_is_accepted_once_it_has_grown) {
    advert about;
    about.capacity_cpu = 20'000;
    about.largest_cpu = 5000;
    about.largest_memory_mb = 32'000;
    views.update(now, holder_a, "domain-1", about);
    submit(1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
    add_holder_b();
    submit(1);
    BOOST_TEST(answers.size() == 1U);
    BOOST_TEST(placements() == 1U);
}

// Guards against a task that is given up or started twice while it fits no
// endpoint for a while.
BOOST_AUTO_TEST_CASE(returned_task_waits_until_the_capacity_has_grown) {
    submit(1);
    BOOST_TEST(placements() == 1U);
    advert about;
    about.capacity_cpu = 20'000;
    about.largest_cpu = 5000;
    about.largest_memory_mb = 32'000;
    views.update(now, holder_a, "domain-1", about);
    update(holder_a, 0, update_kind::returned);
    advance(500ms);
    BOOST_TEST(placements() == 1U);
    BOOST_TEST(answers.empty());
    add_holder_b();
    advance(50ms);
    BOOST_TEST(placements() == 2U);
}

// After the loss of all holders a takeover takes about a second.
BOOST_AUTO_TEST_CASE(job_is_placed_when_the_next_holder_appears) {
    views.remove(holder_a);
    coordinator.tick(now);
    submit(1);
    BOOST_TEST(answers.empty());
    advance(500ms);
    add_holder_b();
    advance(50ms);
    BOOST_TEST(placements() == 1U);
}

BOOST_AUTO_TEST_CASE(job_is_refused_after_a_long_time_without_holders) {
    views.remove(holder_a);
    advance(2s);
    submit(1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
    BOOST_TEST(to_ms(answers[0].retry_after) > 0);
}

BOOST_AUTO_TEST_CASE(steps_start_when_the_earlier_ones_are_done) {
    job_submission submission;
    submission.work.id = "0123456789abcdef";
    submission.work.steps.push_back({1, {{6000, 64, 0}, 60, {}, {}}, {}});
    submission.work.steps.push_back({1, {{6000, 64, 0}, 60, {}, {}}, {0}});
    submission.queue.attempts = 1;
    submission.caller_timeout = 1500ms;
    coordinator.submit(now, 1, submission);
    BOOST_TEST(placements() == 1U);
    update(holder_a, 0, update_kind::done);
    BOOST_TEST(placements() == 2U);
    BOOST_TEST(assignments[1].second.items[0].run.task.step == 1U);
}

// Guards against a task that crashes one endpoint after the other: lost runs
// use up no attempt, so that only the caller's time limit ended its starts.
BOOST_AUTO_TEST_CASE(task_that_crashes_each_endpoint_is_started_twice) {
    submit(2, 3, 20s);
    constexpr std::uint32_t max_runs = 12;
    for (std::uint32_t run = 1; run <= max_runs && placements() == run + 1;
         ++run) {
        const auto endpoint = "endpoint-" + std::to_string(run);
        update(holder_a, 0, update_kind::started, run, endpoint);
        report_crash(0, endpoint, crash_evidence::refusing);
        advance(1100ms);
        update(holder_a, 0, update_kind::lost, run, endpoint);
        advance(400ms);
        report_crash(0, endpoint, crash_evidence::ended);
    }
    advance(25ms);
    BOOST_TEST(placements() == 3U); // one of them of the other task
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::failed));
    BOOST_TEST(answers[0].reason ==
               "task 0.0 crashed endpoints endpoint-1, endpoint-2");
    BOOST_REQUIRE_EQUAL(withdrawals.size(), 1U);
    BOOST_TEST((withdrawals[0] == holder_a));
}

// Guards against a third crash: endpoints that were only silent at first turn
// out to have crashed when the task is queued, or runs, on another one.
BOOST_AUTO_TEST_CASE(crash_that_becomes_certain_later_ends_the_job) {
    for (const bool started : {false, true}) {
        submit(1, 3, 20s);
        update(holder_a, 0, update_kind::lost, 1, "endpoint-1");
        update(holder_a, 0, update_kind::lost, 2, "endpoint-2");
        BOOST_REQUIRE_EQUAL(placements(), 3U);
        if (started) {
            update(holder_a, 0, update_kind::started, 3, "endpoint-3");
        }
        report_crash(0, "endpoint-1", crash_evidence::ended);
        advance(25ms);
        BOOST_TEST(answers.empty());
        report_crash(0, "endpoint-2", crash_evidence::ended);
        advance(25ms);
        BOOST_REQUIRE_EQUAL(answers.size(), 1U);
        BOOST_TEST((answers[0].outcome == job_outcome::failed));
        BOOST_TEST(withdrawals.size() == 1U);
        BOOST_TEST(coordinator.job_count() == 0U);
        // A job of its own for the second pass.
        assignments.clear();
        answers.clear();
        withdrawals.clear();
        crashes.tick(now + 61s);
        advance(11s);
    }
}

// The holder that suspected the crashes may be gone by the time the platform
// lists later instances.
BOOST_AUTO_TEST_CASE(crashes_that_the_platforms_list_makes_certain_count) {
    submit(1, 3, 20s);
    report_crash(0, "endpoint-1", crash_evidence::refusing);
    update(holder_a, 0, update_kind::lost, 1, "endpoint-1");
    report_crash(0, "endpoint-2", crash_evidence::refusing);
    update(holder_a, 0, update_kind::lost, 2, "endpoint-2");
    crashes.handle_listed("endpoint-1", 2000);
    advance(25ms);
    BOOST_TEST(answers.empty());
    crashes.handle_removed("endpoint-2");
    advance(25ms);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::failed));
}

// Guards against a job that is failed, or a task that is started a third time,
// for what may be a cut: endpoints that refuse connections may work on.
BOOST_AUTO_TEST_CASE(task_with_two_suspicions_waits_until_one_is_withdrawn) {
    submit(1, 3, 20s);
    report_crash(0, "endpoint-1", crash_evidence::refusing);
    update(holder_a, 0, update_kind::lost, 1, "endpoint-1");
    BOOST_REQUIRE_EQUAL(placements(), 2U);
    BOOST_TEST(assignments[1].second.items[0].crashes == 1U);
    report_crash(0, "endpoint-2", crash_evidence::refusing);
    update(holder_a, 0, update_kind::lost, 2, "endpoint-2");
    advance(5s);
    BOOST_TEST(placements() == 2U);
    BOOST_TEST(answers.empty());
    report_crash(0, "endpoint-1", crash_evidence::none);
    advance(25ms);
    BOOST_REQUIRE_EQUAL(placements(), 3U);
    BOOST_TEST(assignments[2].second.items[0].crashes == 1U);
    update(holder_a, 0, update_kind::done, 3, "endpoint-3");
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::completed));
}

BOOST_AUTO_TEST_CASE(one_certain_and_one_suspected_crash_keep_a_task_waiting) {
    submit(1, 3, 20s);
    report_crash(0, "endpoint-1", crash_evidence::ended);
    update(holder_a, 0, update_kind::lost, 1, "endpoint-1");
    report_crash(0, "endpoint-2", crash_evidence::refusing);
    update(holder_a, 0, update_kind::lost, 2, "endpoint-2");
    advance(5s);
    BOOST_TEST(placements() == 2U);
    BOOST_TEST(answers.empty());
    report_crash(0, "endpoint-2", crash_evidence::ended);
    advance(25ms);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::failed));
}

// Guards against a task that crashes two more endpoints each time its caller
// submits the job again, at this or at another host.
BOOST_AUTO_TEST_CASE(job_with_a_crashing_task_fails_when_it_comes_again) {
    report_crash(1, "endpoint-1", crash_evidence::ended);
    report_crash(1, "endpoint-2", crash_evidence::ended);
    submit(2);
    BOOST_TEST(assignments.empty());
    BOOST_TEST(coordinator.job_count() == 0U);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::failed));
    BOOST_TEST(answers[0].reason ==
               "task 0.1 crashed endpoints endpoint-1, endpoint-2");
}

BOOST_AUTO_TEST_CASE(job_that_comes_again_starts_with_its_tasks_crashes) {
    report_crash(1, "endpoint-1", crash_evidence::ended);
    submit(2);
    BOOST_TEST(answers.empty());
    BOOST_REQUIRE_EQUAL(placements(), 2U);
    const auto& items = assignments[0].second.items;
    BOOST_TEST(items[0].crashes == 0U);
    BOOST_TEST(items[1].crashes == 1U);
}

// A run elsewhere has done the task before the reports of its former runs
// arrive.
BOOST_AUTO_TEST_CASE(crashes_of_a_task_that_is_done_do_not_end_its_job) {
    submit(2, 3, 20s);
    update(holder_a, 0, update_kind::lost, 1, "endpoint-1");
    update(holder_a, 0, update_kind::lost, 2, "endpoint-2");
    update(holder_a, 0, update_kind::done, 3, "endpoint-3");
    report_crash(0, "endpoint-1", crash_evidence::ended);
    report_crash(0, "endpoint-2", crash_evidence::ended);
    advance(25ms);
    BOOST_TEST(answers.empty());
    update(holder_a, 1, update_kind::done);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::completed));
}

BOOST_AUTO_TEST_CASE(crashes_of_other_jobs_do_not_end_a_job) {
    submit(1, 3, 20s);
    for (const auto* endpoint : {"endpoint-1", "endpoint-2"}) {
        crashes.record(now, {{{"fedcba9876543210", 0, 0}, 1},
                             "queue-1",
                             endpoint,
                             1000,
                             crash_evidence::ended});
    }
    advance(25ms);
    BOOST_TEST(answers.empty());
    BOOST_TEST(coordinator.job_count() == 1U);
}

// --- refusal of jobs that can't be served any more ---

// Such jobs were held until the caller's time limit, and then answered as if
// they might have run.
BOOST_AUTO_TEST_CASE(queued_job_that_would_wait_too_long_is_refused) {
    submit(2);
    queue_up(3s);
    advance(25ms);
    BOOST_REQUIRE_EQUAL(recalls.size(), 1U);
    BOOST_TEST(recalls[0].first.address == holder_a.address);
    BOOST_TEST(answers.empty());
    update(holder_a, 0, update_kind::returned);
    BOOST_TEST(answers.empty());
    update(holder_a, 1, update_kind::returned);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
    BOOST_TEST(to_ms(answers[0].retry_after) >= 3000);
    BOOST_TEST(placements() == 2U);
}

// A job of which a task was started may not be answered as not run.
BOOST_AUTO_TEST_CASE(recalled_job_goes_on_if_one_of_its_tasks_has_started) {
    submit(2);
    queue_up(3s);
    advance(25ms);
    update(holder_a, 1, update_kind::returned);
    update(holder_a, 0, update_kind::started);
    BOOST_TEST(answers.empty());
    advance(25ms);
    BOOST_TEST(answers.empty());
    BOOST_TEST(placements() == 3U);
    update(holder_a, 0, update_kind::done);
    update(holder_a, 1, update_kind::done);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::completed));
}

// A lost run may have done its work.
BOOST_AUTO_TEST_CASE(job_with_a_lost_run_is_not_recalled) {
    submit(1);
    update(holder_a, 0, update_kind::lost);
    queue_up(3s);
    advance(200ms);
    BOOST_TEST(recalls.empty());
}

BOOST_AUTO_TEST_CASE(
    job_that_was_not_started_is_recalled_before_its_time_limit) {
    submit(1, 3, 500ms);
    advance(400ms);
    BOOST_TEST(recalls.empty());
    advance(50ms);
    BOOST_REQUIRE_EQUAL(recalls.size(), 1U);
    update(holder_a, 0, update_kind::returned);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
}

BOOST_AUTO_TEST_CASE(recalled_job_that_does_not_come_back_counts_as_run) {
    submit(1, 3, 500ms);
    advance(525ms);
    BOOST_TEST(recalls.size() == 1U);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
}

// Urgent tasks start first, whatever else is queued.
BOOST_AUTO_TEST_CASE(urgent_job_waits_only_behind_urgent_ones) {
    queue_up(3s, 1);
    submit(1);
    BOOST_TEST(answers.empty());
    queue_up(3s, 0);
    coordinator.drop_caller(now, 1);
    answers.clear();
    submit(1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST(answers[0].reason == "queue_too_long");
}

// Guards against duplicate runs: the job was sent to another host before, and
// one of its starts there got no answer.
BOOST_AUTO_TEST_CASE(task_with_an_open_doubt_waits_and_the_others_go_on) {
    tell_doubt(0);
    submit(2);
    BOOST_REQUIRE_EQUAL(placements(), 1U);
    BOOST_TEST((assignments[0].second.items[0].run == run_of(1)));
    advance(300ms);
    BOOST_TEST(placements() == 1U);
    tell_doubt(0, true);
    advance(25ms);
    BOOST_REQUIRE_EQUAL(placements(), 2U);
    BOOST_TEST((assignments[1].second.items[0].run == run_of(0)));
}

// Guards against duplicate runs: the run that its holder gave up is over, a
// start elsewhere is not.
BOOST_AUTO_TEST_CASE(task_is_not_placed_again_beside_an_open_doubt) {
    submit(1);
    tell_doubt(0);
    advance(100ms);
    BOOST_TEST(placements() == 1U);
    update(holder_a, 0, update_kind::lost);
    BOOST_TEST(placements() == 1U);
    tell_doubt(0, true);
    advance(25ms);
    BOOST_TEST(placements() == 2U);
}

// Guards against a wrong answer: a job whose start may be carried out is
// refused, which says that it has not run.
BOOST_AUTO_TEST_CASE(job_with_an_open_doubt_is_not_refused) {
    tell_doubt(0);
    queue_up(5s);
    submit(1);
    BOOST_TEST(answers.empty());
    advance(1600ms);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::gave_up));
}

// Guards against the same wrong answer for a job that was accepted before.
BOOST_AUTO_TEST_CASE(job_is_not_recalled_while_a_doubt_is_open) {
    submit(1);
    tell_doubt(0);
    queue_up(5s);
    advance(100ms);
    BOOST_TEST(recalls.empty());
    BOOST_TEST(answers.empty());
}

// Guards against duplicate runs: nobody else knows which tasks a lost holder
// may have started for a job that is given up.
BOOST_AUTO_TEST_CASE(given_up_job_tells_of_the_tasks_of_a_lost_holder) {
    submit(2);
    update(holder_a, 0, update_kind::started);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    coordinator.drop_caller(now, 1);
    BOOST_REQUIRE_EQUAL(told.size(), 1U);
    BOOST_TEST((told[0].run == run_of(1)));
    BOOST_TEST((told[0].holder == holder_a));
    BOOST_TEST(told[0].endpoint.empty());
    BOOST_TEST(!told[0].over);
}

// Guards against duplicate runs: the former holder has no part in the endpoint
// any more.
BOOST_AUTO_TEST_CASE(given_up_job_tells_of_a_disowned_unanswered_start) {
    submit(1);
    update(holder_a, 0, update_kind::disowned);
    coordinator.drop_caller(now, 1);
    BOOST_REQUIRE_EQUAL(told.size(), 1U);
    BOOST_TEST((told[0].run == run_of(0)));
    BOOST_TEST(told[0].endpoint == "endpoint-1");
    BOOST_TEST(told[0].token == 1U);
}

// Guards against duplicate runs: the holder had ended when the job was given
// up, which was noticed only later, so nobody told its unanswered starts.
BOOST_AUTO_TEST_CASE(job_given_up_before_its_holder_is_lost_tells_its_starts) {
    submit(2);
    update(holder_a, 0, update_kind::started);
    coordinator.drop_caller(now, 1);
    BOOST_TEST(told.empty());
    advance(500ms);
    coordinator.handle_holder_lost(holder_a, now + 1s);
    BOOST_REQUIRE_EQUAL(told.size(), 1U);
    BOOST_TEST((told[0].run == run_of(1)));
    coordinator.handle_holder_lost(holder_a, now + 1s);
    BOOST_TEST(told.size() == 1U);
}

// Guards against messages to all hosts for each job that is given up: a holder
// in contact tells its doubts itself.
BOOST_AUTO_TEST_CASE(given_up_job_tells_nothing_of_holders_in_contact) {
    submit(2);
    update(holder_a, 0, update_kind::started);
    coordinator.drop_caller(now, 1);
    BOOST_TEST(told.empty());
}

// No endpoint can get such a task, so its job is not split and sent to holders.
// A short label may be of an endpoint whose entry is not read yet.
BOOST_AUTO_TEST_CASE(job_with_a_long_label_of_no_endpoint_is_refused_at_once) {
    const std::string label(257, 'x');
    job_submission submission;
    submission.work.id = "0123456789abcdef";
    submission.work.steps.push_back({1, {{6000, 64, 0}, 60, label, {}}, {}});
    submission.caller_timeout = 1500ms;
    coordinator.submit(now, 1, submission);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
    BOOST_TEST(answers[0].reason == "task_fits_no_endpoint");
    BOOST_TEST(placements() == 0U);
    labels.insert(label);
    coordinator.submit(now, 1, submission);
    BOOST_TEST(placements() == 1U);
    submission.work.id = "0123456789abcdee";
    submission.work.steps[0].need.required_label = "large";
    coordinator.submit(now, 2, submission);
    BOOST_TEST(placements() == 2U);
}

// Each task has a copy of its need, in each message about it.
BOOST_AUTO_TEST_CASE(name_of_a_rack_without_endpoints_is_not_passed_on) {
    racks.insert("rack-1");
    job_submission submission;
    submission.work.id = "0123456789abcdef";
    submission.caller_timeout = 1500ms;
    const std::string long_name(20'000, 'x');
    for (const auto& rack : {std::string("rack-1"), long_name}) {
        submission.work.steps.push_back({1, {{6000, 64, 0}, 60, {}, rack}, {}});
    }
    coordinator.submit(now, 1, submission);
    BOOST_REQUIRE_EQUAL(placements(), 2U);
    std::vector<std::string> sent;
    for (const auto& [holder, assignment] : assignments) {
        for (const auto& item : assignment.items) {
            sent.push_back(item.need.preferred_rack);
        }
    }
    std::sort(sent.begin(), sent.end());
    BOOST_TEST(sent[0] == "rack-1");
    BOOST_TEST(sent[1].size() < 16U);
}

// Otherwise the capacity of an endpoint would not bound the number of its runs,
// nor the work ahead tell that a job has to wait.
BOOST_AUTO_TEST_CASE(task_counts_for_a_least_processor_share) {
    job_submission submission;
    submission.work.id = "0123456789abcdef";
    submission.work.steps.push_back({1, {{1, 64, 0}, 60, {}, {}}, {}});
    submission.caller_timeout = 1500ms;
    coordinator.submit(now, 1, submission);
    BOOST_REQUIRE_EQUAL(placements(), 1U);
    BOOST_TEST(assignments[0].second.items[0].need.room.cpu_millis ==
               settings.min_task_cpu);
}

BOOST_AUTO_TEST_CASE(job_is_refused_while_holders_take_too_few_tasks) {
    advert about;
    about.capacity_cpu = 64'000;
    about.largest_cpu = 16'000;
    about.largest_memory_mb = 32'000;
    about.task_room = 4;
    views.update(now, holder_a, "domain-1", about);
    views.remove(holder_b);
    submit(5);
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers[0].outcome == job_outcome::refused));
    BOOST_TEST(answers[0].reason == "holders_full");
    BOOST_TEST((answers[0].retry_after > 0ms));
    submit(4);
    BOOST_TEST(placements() == 4U);
    // The tasks sent since the last advert count.
    const auto refusal =
        coordinator.refuse_unread(now, {"0123456789abcdee", {}, 1500ms, {}});
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->reason == "holders_full");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace figridge::dispatch
