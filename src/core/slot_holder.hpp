// The holder of endpoints: queues tasks, starts them, reports results.
//
// Only the holder dispatches to the endpoints it holds. It starts each attempt
// at most once, and either reports the result to the coordinator over the
// ordered link or returns the attempt unstarted.
#ifndef FIGRIDGE_CORE_SLOT_HOLDER_HPP
#define FIGRIDGE_CORE_SLOT_HOLDER_HPP

#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "core_context.hpp"
#include "endpoint_pool.hpp"
#include "fair_queue.hpp"
#include "membership.hpp"

namespace figridge {

// Owned by `host_core`. Not thread-safe.
class slot_holder {
public:
    slot_holder(core_context& context, membership& members);

    void handle_batch(const std::string& from, const task_batch& batch);
    void handle_cancel(const std::string& from, const job_cancel& cancel);
    void handle_pull(const std::string& from, const pull_request& pull);

    // The coordinator's process has ended: drops its queued tasks, and discards
    // the results of its running tasks when they end.
    void coordinator_gone(const host_incarnation& gone);

    void handle_start_reply(const start_reply& reply);

    // Starts queued tasks while slots are free; call after any change of slots
    // or queue.
    void dispatch();

    void tick(const peer_health& health_of_peers);

    // Replaces the set of held endpoints. Queued tasks that fit on none of them
    // are returned to their coordinators.
    void assign(const std::vector<endpoint_info>& endpoints,
                const std::map<std::string, bool>& leaving);

    [[nodiscard]] endpoint_pool& pool() { return pool_; }
    [[nodiscard]] const endpoint_pool& pool() const { return pool_; }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::uint32_t mean_run_ms() const { return mean_run_ms_; }

private:
    struct running_task {
        queued_task task;
        std::string endpoint;
        timestamp started{0};
        timestamp give_up_at{0};
        bool orphan = false;
        bool stopping = false;
    };
    using running_map =
        std::unordered_map<task_ref, running_task, task_ref_hash>;

    [[nodiscard]] std::size_t queue_bound() const;
    [[nodiscard]] bool may_start(const queued_task& task) const;
    void start(held_endpoint& endpoint, queued_task task);
    void return_task(const queued_task& task, return_reason reason,
                     const std::string& hint);
    void handle_refused_start(running_map::iterator running);
    // Queues a task again, or returns it to its coordinator if it fits on no
    // held endpoint now.
    void requeue(queued_task task);
    void finish(running_map::iterator running, task_result_kind kind,
                const start_reply& reply);
    void pull_if_idle();
    void give_up_overdue_tasks();
    [[nodiscard]] std::string most_loaded_host() const;

    core_context& context_;
    membership& members_;
    endpoint_pool pool_;
    fair_queue queue_;
    running_map running_;
    std::map<std::string, std::vector<queued_task>> awaiting_contact_;
    peer_health health_of_peers_;
    std::uint32_t mean_run_ms_ = 0;
    std::map<std::string, timestamp> last_pull_by_host_;
    timestamp last_pull_at_{-1s};
};

} // namespace figridge

#endif
