// Coordinator of jobs: decides the outcome of every submission.
//
// Only the incarnation that minted an id coordinates its job. The first
// submission of an id creates the job record; later ones attach to it. Tasks
// are queued here until the limits permit them and are then sent to holders,
// one attempt at a time. A task is sent again only if its holder has returned
// the attempt unstarted, or if the request is marked idempotent.
#ifndef FIGRIDGE_CORE_COORDINATOR_HPP
#define FIGRIDGE_CORE_COORDINATOR_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core_context.hpp"
#include "endpoint_directory.hpp"
#include "id_ledger.hpp"
#include "limit_book.hpp"
#include "membership.hpp"
#include "placement_policy.hpp"

namespace figridge {

// A request forwarded by another host.
struct remote_waiter {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t request = 0;
};

using waiter = std::variant<caller_token, remote_waiter>;

// The state of the local host that the coordinator reads.
class host_view {
public:
    virtual ~host_view() = default;
    [[nodiscard]] virtual const catalogue& current_catalogue() const = 0;
    [[nodiscard]] virtual host_advert own_advert() const = 0;
    // Hosts that hold an endpoint the task fits on; all holders if the task
    // declares no resources.
    [[nodiscard]] virtual std::set<std::string>
    holders_fitting(const task_spec& spec) const = 0;
};

struct job_summary {
    submission_id id;
    std::string entry;
    std::string owner;
    job_state state = job_state::running;
    std::uint32_t done = 0;
    std::uint32_t sent = 0;
    std::uint32_t pending = 0;
};

// Owned by `host_core`. Not thread-safe.
class coordinator {
public:
    coordinator(core_context& context, membership& members, limit_book& limits,
                const endpoint_directory& directory, const host_view& host);

    std::vector<submission_id> mint(std::uint32_t count);

    enum class submit_result { accepted, attached, invalid_id };

    // Creates the record, or attaches to an existing one. The recipient gets
    // the answer when the job ends. With `hold` no task is sent until
    // `release_hold`.
    // Precondition: `check_job(job)` is ok and the id names this incarnation.
    submit_result submit(const submission_id& id, const job_request& job,
                         const waiter& recipient, bool hold);
    void release_hold(const submission_id& id);

    // Fails a held job; none of its tasks has run.
    void reject_held(const submission_id& id, failure_cause cause,
                     const std::string& detail);

    // Removes the waiters from the record of a job and returns them.
    std::vector<waiter> take_waiters(const submission_id& id);

    // Answers when the job ends, or at once if it has ended. Returns false if
    // this host does not know the id.
    bool wait(const submission_id& id, const waiter& recipient);

    // The current answer, also while the job runs.
    [[nodiscard]] job_answer answer_of(const submission_id& id) const;

    // Returns false if this host has no record of the id.
    bool cancel(const submission_id& id);

    void handle_result(const std::string& from, const task_result& result);
    void handle_return(const std::string& from, const task_return& returned);
    void holder_gone(const host_incarnation& gone);
    void tick();
    void start_draining() { draining_ = true; }
    // Fails every running job because the host stops.
    void stop_all();

    // Sends the pending tasks that the limits permit; call after any change of
    // limits or holders.
    void place_pending();

    // Called with the answer for each waiter; set by `host_core`.
    std::function<void(const waiter&, const job_answer&)> on_answer;

    [[nodiscard]] bool is_idle() const;
    [[nodiscard]] std::size_t running_jobs() const { return running_.size(); }
    [[nodiscard]] std::vector<job_answer> ended_answers() const;
    [[nodiscard]] retired_ids used_ids() const;
    [[nodiscard]] std::vector<job_summary>
    summaries(std::size_t max_count) const;
    [[nodiscard]] std::size_t pending_tasks() const { return pending_total_; }

private:
    enum class task_phase { pending, sent, done, unstarted, unsuccessful };
    struct task_record {
        task_phase phase = task_phase::pending;
        std::uint32_t attempt = 0;
        bool has_queue_room = false;
        host_incarnation holder;
    };
    struct job_record {
        job_request request;
        std::string owner;
        timestamp submitted{0};
        timestamp deadline{0};
        timestamp finish_by{0};
        timestamp ended{0};
        bool held = false;
        bool cancels_sent = false;
        bool may_have_run = false;
        failure_cause ending = failure_cause::none;
        std::string detail;
        std::uint32_t pending = 0;
        std::uint32_t sent = 0;
        std::uint32_t done = 0;
        std::uint32_t task_deadline_ms = 0;
        std::vector<task_record> tasks;
        std::vector<waiter> waiters;
        job_answer answer;
    };
    struct entry_queue {
        std::deque<submission_id> urgent;
        std::deque<submission_id> normal;
    };
    struct sent_group {
        timestamp at{0};
        std::uint32_t count = 0;
    };
    struct refusal {
        failure_cause cause = failure_cause::none;
        std::string detail;
        std::uint32_t retry_after_ms = 0;
    };
    using job_map =
        std::unordered_map<submission_id, job_record, submission_id_hash>;
    using batch_map =
        std::map<std::pair<std::string, submission_id>, task_batch>;

    [[nodiscard]] refusal check_admission(const job_request& job) const;
    [[nodiscard]] refusal check_load(const job_request& job) const;
    void refuse(job_record& record, const refusal& reason);
    void enqueue(const submission_id& id, const job_record& record);
    void place_queue(std::deque<submission_id>& queue,
                     std::vector<holder_view>& holders);
    bool place_job(const submission_id& id, job_record& record,
                   std::vector<holder_view>& holders);
    [[nodiscard]] std::vector<holder_view> usable_holders() const;
    [[nodiscard]] holder_view view_of(const std::string& host) const;
    holder_view* choose_holder(std::vector<holder_view>& holders,
                               const task_spec& spec);
    [[nodiscard]] std::uint32_t in_flight_to(const std::string& host) const;
    void remove_delivered();
    void send_task(holder_view& holder, const submission_id& id,
                   job_record& record, std::uint32_t task,
                   const start_permit& permit);
    void send_to_hint(const std::string& hint, const task_ref& ref,
                      job_record& record);
    void send_batches();
    job_record* find_sent(const std::string& from, const task_ref& ref);
    void end_attempt(job_record& record, std::uint32_t task, task_phase phase);
    void retry_or_fail(const submission_id& id, job_record& record,
                       std::uint32_t task, failure_cause cause,
                       const std::string& detail);
    void fail(const submission_id& id, job_record& record, failure_cause cause,
              const std::string& detail);
    void drop_pending(job_record& record);
    void send_cancels(const submission_id& id, job_record& record);
    void try_finish(const submission_id& id, job_record& record);
    void finish(const submission_id& id, job_record& record);
    void answer_waiters(job_record& record);
    void evict_old_answers();
    [[nodiscard]] std::size_t answer_bytes(const job_record& record) const;

    core_context& context_;
    membership& members_;
    limit_book& limits_;
    const endpoint_directory& directory_;
    const host_view& host_;
    std::unique_ptr<placement_policy> policy_;
    id_ledger ledger_;
    job_map jobs_;
    std::set<submission_id> running_;
    std::map<std::string, entry_queue> queues_;
    batch_map batches_;
    std::set<std::pair<timestamp, submission_id>> deadlines_;
    std::deque<submission_id> ended_;
    std::size_t ended_bytes_ = 0;
    std::size_t pending_total_ = 0;
    std::size_t sent_total_ = 0;
    std::map<std::string, std::deque<sent_group>> in_flight_;
    std::map<std::string, timestamp> avoid_until_;
    std::multimap<timestamp, std::string> delayed_releases_;
    double retry_tokens_ = 0;
    bool draining_ = false;
};

} // namespace figridge

#endif
