// A dispatcher whose ports only record the calls made to them.
#ifndef FIGRIDGE_TESTS_DISPATCH_QUIET_DISPATCHER_HPP
#define FIGRIDGE_TESTS_DISPATCH_QUIET_DISPATCHER_HPP

#include "core/dispatch/dispatcher.hpp"
#include "recording_observer.hpp"
#include "session_fixture.hpp"

namespace figridge::dispatch {

class recording_peer_port final : public peer_port {
public:
    void connect(const std::string& address) override {
        connected.insert(address);
    }
    void disconnect(const std::string& address) override {
        connected.erase(address);
    }
    void send(const std::string& address, const envelope& message) override {
        sent.emplace_back(address, message);
    }

    std::set<std::string> connected;
    std::vector<std::pair<std::string, envelope>> sent;
};

class recording_store_port final : public holder_store_port {
public:
    void replace(std::uint64_t request,
                 const std::vector<holder_record>& rows) override {
        writes.emplace_back(request, rows);
        if (on_write) {
            on_write(request);
        }
    }

    std::vector<std::pair<std::uint64_t, std::vector<holder_record>>> writes;
    std::function<void(std::uint64_t request)> on_write;
};

class recording_caller_port final : public caller_port {
public:
    void answer(caller_token token, const job_answer& answer) override {
        answers.emplace_back(token, answer);
    }

    std::vector<std::pair<caller_token, job_answer>> answers;
};

// A host of domain-1. It receives only what the test passes to it. By default
// it has read the rows of holders, of which there are none. No failure domain
// is evacuated, unless `evacuations_read` is false: then that is not known.
struct quiet_dispatcher {
    explicit quiet_dispatcher(
        const dispatch_settings& settings = make_settings(),
        bool holders_read = true, bool evacuations_read = true)
        : core(settings, {peers, endpoints, store, callers, observer}) {
        core.start(now);
        if (holders_read) {
            core.note_holders_read(now);
        }
        if (evacuations_read) {
            core.set_evacuations(now, 1, {});
        }
    }

    static dispatch_settings make_settings() {
        dispatch_settings settings;
        settings.self = {"10.1.0.9:1", 99};
        settings.failure_domain = "domain-1";
        return settings;
    }

    static endpoint_record make_endpoint(const std::string& id) {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.pool = "pool";
        endpoint.address = "10.0.0.1:80";
        endpoint.failure_domain = "domain-1";
        endpoint.capacity = {16'000, 32'768, 0};
        return endpoint;
    }

    static job_submission make_job(const std::string& id,
                                   std::uint32_t tasks = 1) {
        job_submission submission;
        submission.work.id = id;
        job_step step;
        step.count = tasks;
        step.need.room = {6000, 64, 0};
        step.need.estimate_ms = 60;
        submission.work.steps = {step};
        submission.queue.name = "queue";
        submission.queue.pool = "pool";
        submission.queue.attempts = 3;
        submission.queue.latency_target = 60ms;
        submission.caller_timeout = 1500ms;
        return submission;
    }

    // Advances the clock, with a tick every 25 ms.
    void advance(duration time) {
        for (const auto end = now + time; now < end;) {
            now += 25ms;
            core.tick(now);
        }
    }

    timestamp now{100s};
    recording_peer_port peers;
    recording_endpoint_port endpoints;
    recording_store_port store;
    recording_caller_port callers;
    recording_observer observer;
    dispatcher core;
};

// An envelope with one item or more in each of its lists.
inline envelope make_full_envelope() {
    envelope message;
    message.from = {"10.1.0.2:1", 12};
    message.failure_domain = "domain-1";
    message.to_incarnation = 99;
    message.sequence = 1;
    message.stamp_us = 5'000'000;
    message.echo_us = 99'990'000;
    message.content_echo_us = 99'990'000;
    message.about = {3, false,  0.25, 2,      32'000, 9,
                     1, 16'000, 4096, {7, 8}, true,   {9}};
    const task_run run{{"0123456789abcdef", 0, 1}, 2};
    const task_need need{{500, 64, 0}, 60, "label", "rack"};
    auto& content = message.content;
    content.catalogue_queries = {{2}};
    content.catalogues = {{"{}"}};
    content.assignments = {{"0123456789abcdef",
                            "payload",
                            "pool",
                            1,
                            60'000,
                            1'500'000,
                            {{run, need, {"endpoint-1"}}},
                            "queue-1"}};
    content.withdrawals = {{"0123456789abcdef"}};
    content.adoptions = {{"endpoint-1",
                          {"10.1.0.3:1", 13},
                          4,
                          {run},
                          {{run, update_kind::done, "endpoint-1", 4}}}};
    content.claims = {{"endpoint-1", {{run, need}}}};
    content.updates = {{run, update_kind::done, "endpoint-1", 4}};
    content.grants = {{"endpoint-1", 5, 3}};
    content.crashes = {
        {run, "queue-1", "endpoint-1", 1000, crash_evidence::refusing}};
    content.recalls = {{"0123456789abcdef"}};
    content.doubts = {
        {run, {"10.1.0.2:1", 12}, "", 4, false, true, "pool", "label"}};
    content.fences = {{"endpoint-1", 6}};
    content.relay_requests = {{{{"10.1.0.3:1", 13}}}};
    content.relayed = {
        {{"10.1.0.3:1", 13}, content.doubts, {{"endpoint-2", 7}}}};
    content.start_notices = {
        {"0123456789abcdef", {{0, 1, 2, "endpoint-1", 4}}}};
    content.instance_ages = {{"endpoint-1", 1000, 30'000, 4}};
    message.first_sequence = 1;
    message.stream = 4'000'000;
    message.ack_stream =
        100'000'000; // of a host that knows the peer from 100 s
    return message;
}

} // namespace figridge::dispatch

#endif
