// The HTTP interface for callers and operators.
//
// docs/reference.md lists every path, status and cause.
#ifndef FIGRIDGE_ADAPTERS_CALLER_API_HPP
#define FIGRIDGE_ADAPTERS_CALLER_API_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "event_loop.hpp"
#include "figridge/host_core.hpp"
#include "http_server.hpp"
#include "log_observer.hpp"

namespace figridge {

// Translates HTTP requests to calls of the core, and its answers to responses.
// Owned by the daemon's main object. Not thread-safe.
class caller_api final : public caller_port {
public:
    caller_api(event_loop& loop, std::size_t max_body_bytes,
               log_observer& observer);

    // Precondition: called once, before `start`.
    void attach(host_core& core) { core_ = &core; }

    absl::Status start(const std::string& address);

    // Set by the daemon. `on_drain_request` starts a drain; `on_cut_request`
    // drops messages to the peers that `body` names.
    std::function<void()> on_drain_request;
    std::function<absl::Status(const std::string& body)> on_cut_request;
    // Set by the daemon: gauges of the process for `/metrics`.
    std::function<nlohmann::json()> process_gauges;

    void answer(caller_token token, const job_answer& answer) override;
    void answer_edit(caller_token token, const edit_answer& answer) override;

    [[nodiscard]] std::size_t held_requests() const {
        return server_.held_requests();
    }

private:
    struct held_call {
        submission_id id;
        std::unique_ptr<timer_watcher> wait_limit;
    };

    void handle(const http_request& request);
    void handle_job(const http_request& request, const std::string& id_text);
    void handle_catalogue(const http_request& request);
    void handle_operator(const http_request& request);
    void mint_ids(const http_request& request);
    void submit(const http_request& request, const submission_id& id);
    void submit_with_new_id(const http_request& request);
    // Parses an edit; if that fails, answers the request with the error.
    std::optional<catalogue_edit> read_edit(const http_request& request);
    void edit(const http_request& request);
    void check(const http_request& request);
    void mark_endpoint(const http_request& request, const std::string& address,
                       bool leaving);
    void show_metrics(const http_request& request);
    void hold(const http_request& request, const submission_id& id);
    void answer_after_wait_limit(caller_token token);
    void handle_disconnect(caller_token token);
    void respond(const http_request& request, int status,
                 const nlohmann::json& body);
    void respond_error(const http_request& request, int status,
                       std::string_view error);

    event_loop& loop_;
    log_observer& observer_;
    host_core* core_ = nullptr;
    std::unordered_map<caller_token, held_call> held_;
    http_server server_;
};

} // namespace figridge

#endif
