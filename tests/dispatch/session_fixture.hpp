// Fixture: an endpoint session on a port that records its calls.
#ifndef FIGRIDGE_TESTS_DISPATCH_SESSION_FIXTURE_HPP
#define FIGRIDGE_TESTS_DISPATCH_SESSION_FIXTURE_HPP

#include <algorithm>

#include "core/dispatch/endpoint_session.hpp"

namespace figridge::dispatch {

// Records the calls; the test supplies the replies.
class recording_endpoint_port final : public endpoint_port {
public:
    [[nodiscard]] bool
    is_connected(const call_target& /*target*/,
                 std::int64_t instance_started_ms) const override {
        return connected &&
               (connected_to == 0 || connected_to == instance_started_ms);
    }
    void start(const start_call& call) override { starts.push_back(call); }
    void stop(const stop_call& call) override { stops.push_back(call); }
    void hold(const hold_call& call) override { holds.push_back(call); }

    std::vector<start_call> starts;
    std::vector<stop_call> stops;
    std::vector<hold_call> holds;
    // Whether a connection is free, and to which instance; 0: to any.
    bool connected = true;
    std::int64_t connected_to = 0;
};

class recording_session_events final : public session_events {
public:
    void on_adopted(endpoint_session& /*session*/,
                    const endpoint_adoption& found) override {
        adoptions.push_back(found);
    }
    void on_run_finished(endpoint_session& /*session*/, const run_entry& entry,
                         update_kind kind) override {
        ends.emplace_back(entry.run, kind);
    }
    void on_started(endpoint_session& /*session*/,
                    const run_entry& entry) override {
        started.push_back(entry.run);
    }
    void on_fenced(endpoint_session& /*session*/) override { ++fenced; }
    void on_crash_evidence(endpoint_session& /*session*/,
                           const std::vector<lost_run>& runs,
                           crash_evidence evidence,
                           std::int64_t instance_started_ms) override {
        for (const auto& lost : runs) {
            crashes.emplace_back(lost.run, evidence);
            crashed_instances.push_back(instance_started_ms);
        }
    }
    void on_instance_began(endpoint_session& /*session*/,
                           std::size_t /*runs*/) override {
        ++instances_began;
    }
    [[nodiscard]] timestamp
    last_contact(const process_id& /*coordinator*/) const override {
        return contact;
    }

    timestamp contact = timestamp::max();

    std::vector<endpoint_adoption> adoptions;
    std::vector<std::pair<task_run, update_kind>> ends;
    std::vector<task_run> started;
    std::vector<std::pair<task_run, crash_evidence>> crashes;
    std::vector<std::int64_t> crashed_instances; // of the crashes
    int fenced = 0;
    int instances_began = 0;
};

// A session with token 7 on an endpoint of 16 cores.
struct session_fixture {
    session_fixture() {
        endpoint.id = "endpoint-1";
        endpoint.address = "10.0.0.1:80";
        endpoint.capacity = {16'000, 32'768, 0};
        session = std::make_unique<endpoint_session>(
            settings, port, events, endpoint, 7, process_id{"10.1.0.1:1", 5});
        session->begin(now);
    }

    static task_run run_of(std::uint32_t index, std::uint32_t run = 1) {
        return {{"0123456789abcdef", 0, index}, run};
    }

    // Answers the latest hold call with these lists of the endpoint.
    void answer_hold(const std::vector<task_run>& running,
                     const std::vector<ended_entry>& ended = {},
                     std::int64_t instance_started_ms = 1000) {
        answer_call(port.holds.back(), running, ended, instance_started_ms);
    }

    void answer_call(const hold_call& call,
                     const std::vector<task_run>& running,
                     const std::vector<ended_entry>& ended = {},
                     std::int64_t instance_started_ms = 1000) {
        hold_reply reply;
        reply.number = call.number;
        reply.call = {call_status::ok, clock_ms()};
        reply.instance_started_ms = instance_started_ms;
        for (const auto& run : running) {
            reply.running.push_back({run, 0});
        }
        reply.ended = ended;
        session->handle_hold(now, reply);
    }

    // Answers the latest hold call with the progress of each run.
    void answer_hold_with_progress(const std::vector<running_entry>& running) {
        hold_reply reply;
        reply.number = port.holds.back().number;
        reply.call = {call_status::ok, clock_ms()};
        reply.instance_started_ms = 1000;
        reply.running = running;
        session->handle_hold(now, reply);
    }

    void start(std::uint32_t index, std::uint32_t cpu_millis = 6000) {
        run_entry entry;
        entry.run = run_of(index);
        entry.need.room = {cpu_millis, 64, 0};
        entry.need.estimate_ms = 60;
        entry.coordinator = {"10.1.0.2:1", 9};
        session->start(now, entry, "payload");
    }

    void answer_start(std::uint32_t index,
                      call_status status = call_status::ok) {
        session->handle_start(now, run_of(index), {status, clock_ms()});
    }

    // Advances the time, with a tick every 25 ms.
    void pass(duration time) {
        for (const auto end = now + time; now < end;) {
            now += 25ms;
            session->tick(now);
        }
    }

    // For this time, the endpoint lists these runs in each reply to a poll, and
    // answers no stop.
    void stay_without_stops(const std::vector<task_run>& running,
                            duration time = 2s) {
        for (const auto end = now + time; now < end;) {
            if (port.holds.size() > answered_holds) {
                answered_holds = port.holds.size();
                answer_hold(running);
            }
            for (; unanswered_stops < port.stops.size(); ++unanswered_stops) {
                session->handle_stop(now, port.stops[unanswered_stops].run, {});
            }
            pass(25ms);
        }
    }

    // For this time, the endpoint refuses connections.
    void refuse_calls(duration time) {
        for (const auto end = now + time; now < end;) {
            if (port.holds.size() > answered_holds) {
                answered_holds = port.holds.size();
                hold_reply reply;
                reply.number = port.holds.back().number;
                reply.call.status = call_status::not_sent;
                session->handle_hold(now, reply);
            }
            for (; unanswered_stops < port.stops.size(); ++unanswered_stops) {
                session->handle_stop(now, port.stops[unanswered_stops].run,
                                     {call_status::not_sent, -1});
            }
            pass(25ms);
        }
    }

    // Number of calls that renewed the lease.
    [[nodiscard]] std::ptrdiff_t renewals() const {
        return std::count_if(port.holds.begin(), port.holds.end(),
                             [](const hold_call& call) {
                                 return call.lease_deadline_ms.has_value();
                             });
    }

    [[nodiscard]] std::int64_t clock_ms() const { return to_ms(now) + 500; }

    dispatch_settings settings;
    recording_endpoint_port port;
    recording_session_events events;
    endpoint_record endpoint;
    timestamp now{10s};
    std::unique_ptr<endpoint_session> session;
    std::size_t answered_holds = 0;
    std::size_t unanswered_stops = 0;
};

} // namespace figridge::dispatch

#endif
