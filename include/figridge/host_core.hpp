// The dispatch logic of one host, free of I/O.
//
// The caller passes in events, each with the current time; the core requests
// all side effects through its ports. It reads no clock, opens no socket and
// starts no thread, so a test can run several cores in one process in virtual
// time and replay any run from its seed:
//
//     host_core host(settings, ports);
//     host.start(now);
//     host.submit(now, token, id, job);   // answered through caller_port
//     host.tick(now);                     // every few milliseconds
//
// Not thread-safe: all calls must come from one thread. `now` must never
// decrease.
#ifndef FIGRIDGE_HOST_CORE_HPP
#define FIGRIDGE_HOST_CORE_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "figridge/catalogue.hpp"
#include "figridge/job.hpp"
#include "figridge/ports.hpp"
#include "figridge/settings.hpp"

namespace figridge {

class host_core {
public:
    host_core(const core_settings& settings, const core_ports& ports);
    ~host_core();
    host_core(const host_core&) = delete;
    host_core& operator=(const host_core&) = delete;

    // Precondition: called once, before any other input.
    void start(timestamp now);

    // Runs the timers that are due. Call at least every 20 ms.
    void tick(timestamp now);

    // --- callers ---

    // Mints `count` ids. Returns none if the host accepts no new work.
    std::vector<submission_id> mint_ids(timestamp now, std::uint32_t count);

    // Submits a job under an id, which any host may have minted.
    // Precondition: `check_job(job)` is ok. The token is answered once.
    void submit(timestamp now, caller_token token, const submission_id& id,
                const job_request& job);
    void fetch(timestamp now, caller_token token, const submission_id& id);
    void cancel(timestamp now, caller_token token, const submission_id& id);

    // Discards a token whose caller has disconnected, so that it is not
    // answered. The caller's job continues.
    void drop_caller(timestamp now, caller_token token);

    // --- operators ---

    void edit_catalogue(timestamp now, caller_token token,
                        const catalogue_edit& edit);
    // Returns false if the endpoint is unknown.
    bool set_endpoint_leaving(timestamp now, const std::string& endpoint,
                              bool leaving);
    // Starts a graceful shutdown.
    void drain(timestamp now);
    // Ends all running jobs as failed.
    void stop_now(timestamp now);
    // True when a graceful shutdown has completed.
    [[nodiscard]] bool is_drained() const;
    // True if new work is accepted; the load balancer's health check.
    [[nodiscard]] bool is_serving() const;

    [[nodiscard]] const catalogue& current_catalogue() const;
    [[nodiscard]] bool has_catalogue() const;
    // The complete state, for diagnostics by operators.
    [[nodiscard]] nlohmann::json dump_state() const;
    [[nodiscard]] nlohmann::json list_hosts() const;
    [[nodiscard]] nlohmann::json list_endpoints() const;
    [[nodiscard]] nlohmann::json list_jobs() const;
    [[nodiscard]] nlohmann::json message_counts() const;

    // --- replies and events from the ports ---

    void handle_envelope(timestamp now, const envelope& message);
    // A connection attempt started at `begun` was refused, so no process
    // listens at that address.
    void handle_link_refused(timestamp now, const std::string& host,
                             timestamp begun);
    void handle_link_restored(timestamp now, const std::string& host);
    void handle_start_reply(timestamp now, const start_reply& reply);
    void handle_probe_reply(timestamp now, const probe_reply& reply);
    void handle_table_reply(timestamp now, std::uint64_t request,
                            const table_reply& reply);
    void handle_endpoint_list(timestamp now, std::uint64_t request, bool ok,
                              const std::vector<endpoint_info>& endpoints);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace figridge

#endif
