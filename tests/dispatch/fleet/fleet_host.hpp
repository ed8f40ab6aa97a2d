// One host of a virtual fleet: its process, links and ports.
#ifndef FIGRIDGE_TESTS_DISPATCH_FLEET_FLEET_HOST_HPP
#define FIGRIDGE_TESTS_DISPATCH_FLEET_FLEET_HOST_HPP

#include "host_processor.hpp"
#include "virtual_fleet.hpp"

namespace figridge::dispatch::fleet {

// Owned by a `virtual_fleet`. Each process has its own dispatcher.
class fleet_host final : public peer_port,
                         public endpoint_port,
                         public holder_store_port,
                         public caller_port,
                         public observer_port {
public:
    fleet_host(virtual_fleet& fleet, std::size_t index, std::size_t domain,
               double cpu_share);

    void begin_process(std::uint64_t number);
    // Ends the process; with `power_off`, its peers' connections don't break.
    void end_process(bool power_off);
    void thaw();
    void tick();
    // Handles the input, or queues it if the process is frozen or its processor
    // is busy. Precondition: the process is up.
    void take(host_input input);
    // Uses processor time for an output. Returns when it leaves the host:
    // `now` without processors.
    timestamp use_processor(duration time);
    // Uses a connection to the present instance of the endpoint, a new one if
    // all are in use.
    void use_connection(const std::string& endpoint,
                        std::int64_t instance_started_ms);
    // This instance has answered a call, so its connection can be used again.
    void return_connection(const std::string& endpoint,
                           std::int64_t instance_started_ms);
    // Delivers the messages that a cut has queued.
    void release_links();
    void break_link(const std::string& address);

    // --- ports ---
    void connect(const std::string& address) override;
    void disconnect(const std::string& address) override;
    void send(const std::string& address, const envelope& message) override;
    [[nodiscard]] bool
    is_connected(const call_target& target,
                 std::int64_t instance_started_ms) const override;
    void start(const start_call& call) override;
    void stop(const stop_call& call) override;
    void hold(const hold_call& call) override;
    void replace(std::uint64_t request,
                 const std::vector<holder_record>& rows) override;
    void answer(caller_token token, const job_answer& answer) override;
    void log(log_level level, std::string_view event,
             const log_fields& fields) override;
    void record(latency_metric /*what*/, duration /*value*/) override {}
    void count(std::string_view /*counter*/,
               std::string_view /*label*/) override {}

    std::size_t index;
    std::size_t domain;
    double cpu_share;
    std::string address;
    bool up = false;
    bool powered_off = false;
    bool frozen = false;
    bool disconnects_deferred = false; // until the thaw
    bool cut = false;
    bool store_cut = false;
    bool peers_cut = false;
    bool slow = false;
    timestamp next_input{0}; // earliest time, while `slow`
    std::optional<timestamp> draining_since;
    std::uint64_t process = 0;
    timestamp started_at{0};
    std::unique_ptr<dispatcher> core;
    std::deque<host_input> backlog;                 // until the thaw
    std::vector<caller_token> deferred_disconnects; // until the thaw
    host_processor processor;
    host_traffic traffic;

private:
    struct link {
        bool connected = false;
        std::uint64_t to_process = 0;
        std::uint64_t epoch = 0;
        timestamp last_arrival{0};
        std::deque<envelope> queued_by_cut;
    };

    void try_connect(const std::string& to);
    void arrive(const std::string& to, std::uint64_t epoch,
                const envelope& message);
    host_input envelope_input(const envelope& message);
    // Handles the next input when the processor is free.
    void schedule_input();
    // The time limit of a call to an endpoint.
    [[nodiscard]] duration call_limit() const;

    virtual_fleet& fleet_;
    std::map<std::string, link> links_;
    // To one instance of an endpoint; they end with it.
    struct idle_connections {
        std::int64_t instance_started_ms = 0;
        int count = 0;
    };
    std::map<std::string, idle_connections> idle_connections_; // by endpoint
    bool input_scheduled_ = false;
    bool tick_queued_ = false;
};

} // namespace figridge::dispatch::fleet

#endif
