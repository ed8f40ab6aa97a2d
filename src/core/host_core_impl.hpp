// The modules of one host, and the message flow between them.
#ifndef FIGRIDGE_CORE_HOST_CORE_IMPL_HPP
#define FIGRIDGE_CORE_HOST_CORE_IMPL_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "catalogue_keeper.hpp"
#include "coordinator.hpp"
#include "core_context.hpp"
#include "endpoint_directory.hpp"
#include "figridge/host_core.hpp"
#include "key_registry.hpp"
#include "limit_book.hpp"
#include "membership.hpp"
#include "request_router.hpp"
#include "slot_holder.hpp"
#include "store_client.hpp"

namespace figridge {

// Owned by `host_core`. Not thread-safe.
class host_core::impl final : public host_view {
public:
    impl(const core_settings& settings, const core_ports& ports);

    // Runs one input, delivers the messages that this host has addressed to
    // itself, handles hosts proved gone, and sends the remaining messages.
    template <typename Input>
    void input(timestamp now, Input&& run) {
        context.now = std::max(context.now, now);
        run();
        deliver_messages();
    }

    void start();
    void tick();
    void start_draining();
    void drop_caller(caller_token token);
    void handle_payload(const std::string& from, const peer_payload& payload);
    void broadcast_mark(const std::string& endpoint, leaving_source source);
    void note_endpoint_answer(const std::string& endpoint, bool leaving);
    [[nodiscard]] bool is_drained() const;

    [[nodiscard]] const catalogue& current_catalogue() const override {
        return keeper.current();
    }
    [[nodiscard]] host_advert own_advert() const override;
    [[nodiscard]] std::set<std::string>
    holders_fitting(const task_spec& spec) const override;

    core_context context;
    membership members;
    store_client store;
    endpoint_directory directory;
    limit_book limits;
    coordinator jobs;
    slot_holder holder;
    request_router router;
    catalogue_keeper keeper;
    key_registry keys;
    bool draining = false;

    // The holder of each endpoint, as computed by this host.
    std::map<std::string, std::string> holder_of;

private:
    enum class stop_stage { running, finishing_work, handing_over, done };

    void deliver_messages();
    void deliver_local();
    void handle_gone_hosts();
    bool serve(const routed_request& request, const waiter& recipient);
    void claim_key(const submission_id& id, const job_request& job);
    void redirect_to(const submission_id& id, const submission_id& holder_id);
    void answer(const waiter& recipient, const job_answer& answer,
                bool invalid);
    void poll_endpoint_list();
    void apply_endpoint_list(const std::vector<endpoint_info>& endpoints);
    void refresh_topology();
    void assign_endpoints();
    void send_marks_to_new_peers();
    void send_snapshot(const std::string& host, std::uint64_t have);
    void read_host_row();
    void write_host_row(std::uint64_t row_version, bool clean);
    void advance_stop();
    void hand_over_answers();
    void mark_clean_stop();
    [[nodiscard]] bool peers_saw_handover() const;
    [[nodiscard]] std::string host_row_key() const;
    [[nodiscard]] bool is_work_finished() const;
    [[nodiscard]] peer_health total_peer_health() const;

    std::map<std::string, std::vector<std::string>> domain_holders_;
    std::map<std::string, std::uint64_t> marks_sent_to_;
    timestamp topology_checked_at_{-1s};
    timestamp list_requested_at_{-1};
    bool list_request_open_ = false;
    bool directory_changed_ = false;
    stop_stage stage_ = stop_stage::running;
    timestamp handover_started_at_{0};
    std::uint64_t host_row_version_ = 0;
    bool host_row_written_ = false;
};

} // namespace figridge

#endif
