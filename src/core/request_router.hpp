// Routes callers' requests to the one host that can answer them.
//
// A request goes to the incarnation named by its id. If that incarnation is
// gone, a peer may keep its answers after a planned stop, so all peers are
// asked. If none knows the id, the answer is `outcome_unknown`; if a host that
// may know it can't be reached now, the answer is `unreachable` and the caller
// should retry.
#ifndef FIGRIDGE_CORE_REQUEST_ROUTER_HPP
#define FIGRIDGE_CORE_REQUEST_ROUTER_HPP

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "coordinator.hpp"
#include "core_context.hpp"
#include "membership.hpp"

namespace figridge {

struct routed_request {
    forward_kind kind = forward_kind::fetch;
    submission_id id;
    job_request job;
};

// Owned by `host_core`. Not thread-safe.
class request_router {
public:
    request_router(core_context& context, membership& members);

    // Handles a request whose id names this incarnation; set by `host_core`.
    // Returns false if the id was never minted.
    std::function<bool(const routed_request&, const waiter&)> serve_here;
    std::function<void(const waiter&, const job_answer&)> answer;
    std::function<void(const waiter&, const submission_id&)> answer_invalid;

    void route(const routed_request& request, const waiter& recipient);

    void handle_forward(const std::string& from,
                        const forward_request& request);
    void handle_reply(const std::string& from, const forward_reply& reply);
    void host_gone(const host_incarnation& gone);
    void tick();
    void drop_caller(caller_token token);

    // Stores the answers and retired ids that a stopping host hands over.
    void adopt(const answer_handover& handover);
    [[nodiscard]] std::vector<job_answer> adopted() const;
    [[nodiscard]] std::vector<retired_ids> retired() const;

    [[nodiscard]] std::size_t open_requests() const {
        return forwards_.size() + lookups_.size();
    }

private:
    struct open_forward {
        routed_request request;
        waiter recipient;
        std::string host;
    };
    struct open_lookup {
        routed_request request;
        waiter recipient;
        timestamp give_up_at{0};
        std::set<std::string> asked;
    };
    struct adopted_answer {
        job_answer answer;
        timestamp since{0};
    };

    struct retired_incarnation {
        retired_ids ids;
        timestamp since{0};
    };

    // The answer for an id from the data of stopped hosts; its state is
    // `unknown` if there is none.
    [[nodiscard]] job_answer handed_over_answer(const submission_id& id) const;
    void expire_handovers();
    void look_up(const routed_request& request, const waiter& recipient);
    void forward(const routed_request& request, const waiter& recipient);
    void finish_unknown(const open_lookup& lookup);
    void answer_unreachable(const routed_request& request,
                            const waiter& recipient);
    void reply_to(const remote_waiter& recipient, const job_answer& answer,
                  bool invalid);

    core_context& context_;
    membership& members_;
    std::map<std::uint64_t, open_forward> forwards_;
    std::map<std::uint64_t, open_lookup> lookups_;
    std::unordered_map<submission_id, adopted_answer, submission_id_hash>
        adopted_;
    std::deque<submission_id> adopted_order_;
    std::map<std::pair<std::string, std::uint64_t>, retired_incarnation>
        retired_;
    std::uint64_t next_request_ = 1;
};

} // namespace figridge

#endif
