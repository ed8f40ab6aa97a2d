// A few hosts in virtual time, over queues instead of sockets.
//
// The cluster runs `host_core` objects against fakes of the ports: a message
// queue with delays, cuts, losses and duplicates, a table with outages,
// endpoints that simulate tasks by waiting, and callers that retry.
// `violations()` checks only what the fakes recorded, never figridge's own
// records.
#ifndef FIGRIDGE_TESTS_VIRTUAL_CLUSTER_HPP
#define FIGRIDGE_TESTS_VIRTUAL_CLUSTER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "figridge/host_core.hpp"

namespace figridge::testing {

// Stages of a job or an edit at which a fault can be injected.
enum class step {
    id_drawn,
    submitted,
    queued,
    slot_asked,
    granted,
    dispatched,
    running,
    result_sent,
    result_acknowledged,
    answered,
    retained,
    edit_read,
    edit_written,
    edit_reply,
    edit_spread,
    edit_applied,
};

std::string_view to_string(step at_step);

enum class virtual_mode { normal, fail_all, hang, slow, refuse, crossed, dead };

// A caller's request and the answers it received.
struct virtual_call {
    submission_id id;
    job_request job;
    std::string host; // last one asked
    bool cancels = false;
    bool redraws_id_if_not_run = false; // after `not_run_draining`
    std::optional<job_answer> final_answer;
    std::vector<job_answer> answers;
    timestamp begun{0};
    timestamp answered{0};
    bool is_tracked = false;
};

// The output that a virtual endpoint returns for a task.
std::string virtual_output(const task_spec& spec);

struct virtual_options {
    std::uint64_t seed = 1;
    std::vector<host_identity> hosts{{"10.0.0.1:1", "d1"},
                                     {"10.0.0.2:1", "d1"},
                                     {"10.0.0.3:1", "d2"},
                                     {"10.0.0.4:1", "d3"}};
    int endpoints_per_domain = 2;
    std::uint32_t slots = 2;
    placement_policy_kind placement = placement_policy_kind::rebalance;
    std::uint64_t answer_memory_bytes = 8ULL << 20;
};

class virtual_cluster {
public:
    explicit virtual_cluster(const virtual_options& options);
    ~virtual_cluster();
    virtual_cluster(const virtual_cluster&) = delete;
    virtual_cluster& operator=(const virtual_cluster&) = delete;

    // --- time ---
    void run_for(duration time);
    void at(duration after, std::function<void()> action);
    [[nodiscard]] timestamp now() const { return now_; }
    std::mt19937_64& random() { return random_; }

    // --- faults ---
    void kill(const std::string& host);
    void restart(const std::string& host);
    void pause(const std::string& host, duration time);
    void drain(const std::string& host); // the process ends when drained
    void cut(const std::string& left, const std::string& right);
    void cut_domain(const std::string& domain);
    void heal();
    void set_platform(bool reachable) { platform_up_ = reachable; }
    void set_platform_delay(duration delay) { platform_delay_ = delay; }
    void lose_write_replies(int count) { write_replies_to_lose_ = count; }
    void lose_messages(int count) { messages_to_lose_ = count; }
    void repeat_messages(int count) { messages_to_repeat_ = count; }
    void delay_messages(int count, duration by);
    void set_mode(const std::string& endpoint, virtual_mode mode);
    void repeat_results(int count) { results_to_repeat_ = count; }
    // The endpoint leaves: it must get no new tasks once the notice has spread.
    void mark_leaving_by_platform(const std::string& endpoint);
    void mark_leaving_by_operator(const std::string& endpoint);
    void mark_leaving_by_answer(const std::string& endpoint);

    // --- callers and operators ---
    std::size_t submit(const std::string& host, const job_request& job);
    // Submits again under the same id; returns the index of the new call.
    std::size_t resubmit(std::size_t call, const std::string& host);
    void cancel(std::size_t call, const std::string& host);
    virtual_call& call(std::size_t index) { return *calls_[index]; }
    void edit(const std::string& host, const std::string& entry,
              const std::string& edit_id);
    void define(const catalogue_entry& entry); // before the hosts start

    // Runs `action` the first time the tracked job or an edit reaches a step.
    void on_step(step at_step, std::function<void()> action);
    void track(std::size_t call);
    [[nodiscard]] std::string tracked_holder() const { return holder_; }
    [[nodiscard]] std::string tracked_endpoint() const { return endpoint_; }

    // --- checks and results ---
    // Descriptions of all violated guarantees.
    [[nodiscard]] std::vector<std::string> violations();
    [[nodiscard]] std::uint64_t starts() const { return starts_total_; }
    [[nodiscard]] std::uint32_t starts_of(const submission_id& id) const;
    [[nodiscard]] std::uint32_t peak_running(const std::string& entry) const;
    [[nodiscard]] host_core& core(const std::string& host);
    [[nodiscard]] bool is_up(const std::string& host) const;
    [[nodiscard]] std::vector<std::string> host_names() const;
    [[nodiscard]] std::vector<std::string> endpoint_names() const;
    [[nodiscard]] std::string log_text() const { return log_; }
    [[nodiscard]] bool all_calls_answered() const;

private:
    class host_node;
    friend class host_node;

    struct event {
        timestamp when{0};
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(when, number) > std::tie(other.when, other.number);
        }
    };
    struct virtual_endpoint {
        endpoint_info info;
        virtual_mode mode = virtual_mode::normal;
        bool answers_leaving = false;
        bool marked_by_operator = false;
        std::optional<timestamp> no_starts_from;
        struct running_task {
            start_order order;
            std::string host;
            std::uint64_t incarnation = 0;
        };
        std::map<std::uint64_t, running_task> running;
        std::optional<std::pair<std::uint64_t, start_reply>> crossing;
    };
    struct table_cell {
        std::uint64_t version = 0;
        std::string value;
    };
    struct stored_edit {
        std::string entry;
        std::string edit_id;
        std::uint64_t version = 0;
        timestamp stored_at{0};
    };

    void reach_step(step at_step, const submission_id& id);
    void reach_edit_step(step at_step);
    void deliver_input(const std::string& host, std::uint64_t incarnation,
                       duration after, std::function<void(host_core&)> input);
    void transmit(const std::string& from, const std::string& to,
                  envelope message);
    void report_refused_links(const std::string& dead);
    void start_task(const std::string& host, const std::string& endpoint,
                    const start_order& order);
    void end_task(const std::string& endpoint, std::uint64_t number);
    void reply_start(const virtual_endpoint::running_task& task,
                     start_reply reply);
    void stop_task(const std::string& endpoint, const task_ref& ref);
    void probe(const std::string& host, const std::string& endpoint);
    void serve_table(const std::string& host, std::uint64_t request,
                     std::function<table_reply(virtual_cluster&)> work,
                     bool is_write);
    void list_endpoints(const std::string& host, std::uint64_t request);
    table_reply transact(const table_transaction& transaction);
    void caller_answered(std::size_t index, const job_answer& answer);
    void send_call(std::size_t index, const std::string& host);
    void retry_call(std::size_t index, duration after);
    std::string any_serving_host();
    void boot(const std::string& host);
    void check_versions();
    void note(const std::string& line);
    duration link_delay();

    void check_starts(std::vector<std::string>& found) const;
    void check_answers(std::vector<std::string>& found) const;
    void check_catalogue(std::vector<std::string>& found);
    void check_limits(std::vector<std::string>& found) const;
    void check_keys(std::vector<std::string>& found) const;
    void check_freshness(const std::string& holder, const start_order& order);

    virtual_options options_;
    std::mt19937_64 random_;
    timestamp now_{0};
    std::priority_queue<event> events_;
    std::uint64_t next_event_ = 1;
    std::map<std::string, std::unique_ptr<host_node>> hosts_;
    std::map<std::string, virtual_endpoint> endpoints_;
    std::map<std::pair<std::string, std::string>, timestamp> delivered_;
    std::map<std::string, table_cell> table_;
    bool platform_up_ = true;
    duration platform_delay_{0};
    int write_replies_to_lose_ = 0;
    int messages_to_lose_ = 0;
    int messages_to_repeat_ = 0;
    int messages_to_delay_ = 0;
    duration message_delay_{0};
    int results_to_repeat_ = 0;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::pair<std::string, std::string>, timestamp> last_arrival_;
    std::vector<std::unique_ptr<virtual_call>> calls_;
    std::vector<catalogue_entry> defined_;
    std::vector<job_answer> not_run_answers_; // each was retried under a new id
    std::map<std::pair<submission_id, std::uint32_t>, std::uint32_t> starts_;
    std::map<std::string, std::uint32_t> running_of_entry_;
    std::map<std::string, std::uint32_t> peak_running_;
    std::uint64_t starts_total_ = 0;
    std::uint64_t next_task_ = 1;
    std::vector<std::string> violations_;
    std::vector<stored_edit> stored_edits_;
    std::map<caller_token, stored_edit> open_edits_;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> versions_;
    std::map<step, std::vector<std::function<void()>>> step_actions_;
    std::optional<submission_id> tracked_;
    std::string holder_;
    std::string endpoint_;
    std::string log_;
    std::uint64_t next_incarnation_ = 1;
    caller_token next_edit_token_ = 1'000'000;
};

} // namespace figridge::testing

#endif
