// One host of the virtual cluster.
#ifndef FIGRIDGE_TESTS_VIRTUAL_HOST_HPP
#define FIGRIDGE_TESTS_VIRTUAL_HOST_HPP

#include <absl/strings/str_cat.h>

#include "virtual_cluster.hpp"

namespace figridge::testing {

// One process: a core and the ports it calls. Inputs to a paused process are
// delivered when it resumes.
class virtual_cluster::host_node final : public peer_port,
                                         public endpoint_port,
                                         public platform_port,
                                         public caller_port,
                                         public observer_port {
public:
    host_node(virtual_cluster& cluster, std::string name)
        : cluster_(cluster), name_(std::move(name)) {}

    void boot(const core_settings& settings) {
        incarnation = settings.incarnation;
        paused_until = timestamp{0};
        draining = false;
        core = std::make_unique<host_core>(
            settings, core_ports{*this, *this, *this, *this, *this});
        core->start(cluster_.now_);
    }

    void send(const std::string& host, envelope message) override {
        cluster_.transmit(name_, host, std::move(message));
    }
    void start(const std::string& endpoint, const start_order& order) override {
        cluster_.reach_step(step::slot_asked, order.ref.id);
        cluster_.reach_step(step::granted, order.ref.id);
        cluster_.start_task(name_, endpoint, order);
    }
    void stop(const std::string& endpoint, const task_ref& ref) override {
        cluster_.at(cluster_.link_delay(), [this, endpoint, ref] {
            cluster_.stop_task(endpoint, ref);
        });
    }
    void probe(const std::string& endpoint) override {
        cluster_.probe(name_, endpoint);
    }
    void transact(std::uint64_t request,
                  const table_transaction& transaction) override {
        const bool is_edit = !transaction.conditions.empty() &&
                             transaction.conditions[0].key == "catalogue/head";
        cluster_.serve_table(
            name_, request,
            [transaction, is_edit](virtual_cluster& cluster) {
                const auto reply = cluster.transact(transaction);
                if (is_edit) {
                    cluster.reach_edit_step(step::edit_written);
                }
                return reply;
            },
            true);
    }
    void read_keys(std::uint64_t request,
                   const std::vector<std::string>& keys) override {
        const bool is_edit = keys.size() == 1 && keys[0].starts_with("edit/");
        cluster_.serve_table(
            name_, request,
            [keys, is_edit](virtual_cluster& cluster) {
                table_reply reply{table_status::ok, {}};
                for (const auto& key : keys) {
                    const auto row = cluster.table_.find(key);
                    if (row != cluster.table_.end()) {
                        reply.rows.push_back(
                            {key, row->second.version, row->second.value});
                    }
                }
                if (is_edit) {
                    cluster.reach_edit_step(step::edit_read);
                }
                return reply;
            },
            false);
    }
    void read_prefix(std::uint64_t request,
                     const std::string& prefix) override {
        cluster_.serve_table(
            name_, request,
            [prefix](virtual_cluster& cluster) {
                table_reply reply{table_status::ok, {}};
                for (const auto& [key, row] : cluster.table_) {
                    if (key.starts_with(prefix)) {
                        reply.rows.push_back({key, row.version, row.value});
                    }
                }
                return reply;
            },
            false);
    }
    void read_endpoints(std::uint64_t request) override {
        cluster_.list_endpoints(name_, request);
    }
    void answer(caller_token token, const job_answer& answer) override {
        cluster_.at(cluster_.link_delay(), [this, token, answer] {
            cluster_.caller_answered(token, answer);
        });
    }
    void answer_edit(caller_token token, const edit_answer& answer) override {
        auto open = cluster_.open_edits_.extract(token);
        if (!open.empty() && answer.status == edit_status::stored) {
            open.mapped().version = answer.version;
            open.mapped().stored_at = cluster_.now_;
            cluster_.stored_edits_.push_back(open.mapped());
            cluster_.reach_edit_step(step::edit_reply);
        }
    }
    void log(log_level /*level*/, std::string_view event,
             const log_fields& fields) override {
        auto line = absl::StrCat(name_, " ", std::string(event));
        for (const auto& [key, value] : fields) {
            absl::StrAppend(&line, " ", std::string(key), "=", value);
        }
        cluster_.note(line);
    }
    void record(latency_metric /*what*/, duration /*value*/) override {}
    void count(std::string_view /*counter*/,
               std::string_view /*label*/) override {}

    std::unique_ptr<host_core> core;
    std::uint64_t incarnation = 0;
    timestamp paused_until{0};
    bool draining = false;

private:
    virtual_cluster& cluster_;
    std::string name_;
};

} // namespace figridge::testing

#endif
