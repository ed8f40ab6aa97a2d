#include "request_router.hpp"

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr duration lookup_timeout = 1500ms;
constexpr std::uint32_t unreachable_retry_after_ms = 500;
constexpr std::size_t max_adopted_answers = 200'000;

job_answer unknown_outcome(const submission_id& id) {
    job_answer answer;
    answer.id = id;
    answer.state = job_state::failed;
    answer.cause = failure_cause::outcome_unknown;
    answer.may_have_run = true;
    answer.detail = absl::StrCat("the process at ", id.host,
                                 " that coordinated the job has ended");
    return answer;
}

bool is_caller(const waiter& recipient, caller_token token) {
    const auto* held = std::get_if<caller_token>(&recipient);
    return held != nullptr && *held == token;
}

} // namespace

request_router::request_router(core_context& context, membership& members)
    : context_(context), members_(members) {}

void request_router::route(const routed_request& request,
                           const waiter& recipient) {
    const auto& id = request.id;
    const auto& self = context_.settings.self;
    if (id.host == self.address &&
        id.incarnation == context_.settings.incarnation) {
        if (!serve_here(request, recipient)) {
            answer_invalid(recipient, id);
        }
        return;
    }
    const auto known = handed_over_answer(id);
    if (known.state != job_state::unknown) {
        answer(recipient, known);
    } else if (members_.is_gone(id.host, id.incarnation)) {
        look_up(request, recipient);
    } else if (members_.is_alive(id.host)) {
        forward(request, recipient);
    } else {
        answer_unreachable(request, recipient);
    }
}

void request_router::forward(const routed_request& request,
                             const waiter& recipient) {
    const auto number = next_request_++;
    forwards_[number] = {request, recipient, request.id.host};
    members_.outbox(request.id.host)
        .forwards.push_back({number, request.kind, request.id, request.job});
}

void request_router::look_up(const routed_request& request,
                             const waiter& recipient) {
    const auto number = next_request_++;
    open_lookup lookup{request, recipient, context_.now + lookup_timeout, {}};
    for (const auto& host : members_.alive_hosts()) {
        if (host == context_.settings.self.address) {
            continue;
        }
        lookup.asked.insert(host);
        members_.outbox(host).forwards.push_back(
            {number, forward_kind::lookup, request.id, {}});
    }
    if (lookup.asked.empty()) {
        finish_unknown(lookup);
        return;
    }
    lookups_[number] = std::move(lookup);
}

job_answer request_router::handed_over_answer(const submission_id& id) const {
    if (const auto kept = adopted_.find(id); kept != adopted_.end()) {
        return kept->second.answer;
    }
    job_answer answer;
    answer.id = id;
    const auto found = retired_.find({id.host, id.incarnation});
    if (found == retired_.end()) {
        return answer;
    }
    const auto& [host, incarnation, first, used] = found->second.ids;
    const bool was_minted =
        id.counter >= first && id.counter - first < used.size();
    if (was_minted && !used[id.counter - first]) {
        answer.state = job_state::failed;
        answer.cause = failure_cause::not_run_draining;
        answer.detail = "the host has stopped; draw another id";
    }
    return answer;
}

void request_router::finish_unknown(const open_lookup& lookup) {
    // A host that is unreachable now may have the answer.
    for (const auto& host : members_.known_hosts()) {
        if (members_.may_be_partitioned(host)) {
            answer_unreachable(lookup.request, lookup.recipient);
            return;
        }
    }
    answer(lookup.recipient, unknown_outcome(lookup.request.id));
}

void request_router::answer_unreachable(const routed_request& request,
                                        const waiter& recipient) {
    job_answer reply;
    reply.id = request.id;
    reply.state = job_state::unreachable;
    reply.detail = absl::StrCat("host ", request.id.host,
                                " is unreachable now; try again");
    reply.retry_after_ms = unreachable_retry_after_ms;
    answer(recipient, reply);
}

void request_router::handle_forward(const std::string& from,
                                    const forward_request& request) {
    const remote_waiter recipient{from, members_.incarnation_of(from),
                                  request.request};
    const bool is_own_id =
        request.id.host == context_.settings.self.address &&
        request.id.incarnation == context_.settings.incarnation;
    if (request.kind == forward_kind::lookup) {
        reply_to(recipient, handed_over_answer(request.id), false);
        return;
    }
    const routed_request routed{request.kind, request.id, request.job};
    if (!is_own_id) {
        // The id names another incarnation of this address, which has ended.
        look_up(routed, recipient);
    } else if (!serve_here(routed, recipient)) {
        job_answer invalid;
        invalid.id = request.id;
        reply_to(recipient, invalid, true);
    }
}

void request_router::reply_to(const remote_waiter& recipient,
                              const job_answer& answer, bool invalid) {
    if (members_.incarnation_of(recipient.host) == recipient.incarnation) {
        members_.outbox(recipient.host)
            .replies.push_back({recipient.request, invalid, answer});
    }
}

void request_router::handle_reply(const std::string& from,
                                  const forward_reply& reply) {
    if (auto open = forwards_.extract(reply.request); !open.empty()) {
        const auto& [request, recipient, host] = open.mapped();
        if (reply.answer.id != request.id) {
            context_.log(log_level::error, "reply_for_other_id",
                         {{"host", from}});
            return;
        }
        if (reply.invalid) {
            answer_invalid(recipient, request.id);
        } else {
            answer(recipient, reply.answer);
        }
        return;
    }
    const auto found = lookups_.find(reply.request);
    if (found == lookups_.end()) {
        context_.counters.wasted(message_kind::forward);
        return;
    }
    auto& lookup = found->second;
    lookup.asked.erase(from);
    const bool known = reply.answer.state != job_state::unknown &&
                       reply.answer.id == lookup.request.id;
    if (known) {
        const auto recipient = lookup.recipient;
        lookups_.erase(found);
        answer(recipient, reply.answer);
    } else if (lookup.asked.empty()) {
        const auto ended = std::move(lookup);
        lookups_.erase(found);
        finish_unknown(ended);
    }
}

void request_router::host_gone(const host_incarnation& gone) {
    std::vector<open_forward> moved;
    for (auto open = forwards_.begin(); open != forwards_.end();) {
        if (open->second.host != gone.host) {
            ++open;
            continue;
        }
        moved.push_back(std::move(open->second));
        open = forwards_.erase(open);
    }
    for (const auto& open : moved) {
        route(open.request, open.recipient);
    }
}

void request_router::tick() {
    std::vector<std::uint64_t> disconnected;
    for (const auto& [number, open] : forwards_) {
        if (!members_.is_alive(open.host)) {
            disconnected.push_back(number);
        }
    }
    for (const auto number : disconnected) {
        const auto open = forwards_.extract(number);
        answer_unreachable(open.mapped().request, open.mapped().recipient);
    }
    std::vector<std::uint64_t> overdue;
    for (const auto& [number, lookup] : lookups_) {
        if (context_.now >= lookup.give_up_at) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        const auto lookup = lookups_.extract(number);
        answer_unreachable(lookup.mapped().request, lookup.mapped().recipient);
    }
    expire_handovers();
}

void request_router::expire_handovers() {
    std::erase_if(retired_, [this](const auto& item) {
        return context_.now - item.second.since > context_.settings.id_validity;
    });
    while (!adopted_order_.empty()) {
        const auto& oldest = adopted_order_.front();
        const auto found = adopted_.find(oldest);
        const bool old = context_.now - found->second.since >
                         context_.settings.answer_retention;
        if (!old && adopted_order_.size() <= max_adopted_answers) {
            break;
        }
        adopted_.erase(found);
        adopted_order_.pop_front();
    }
}

void request_router::drop_caller(caller_token token) {
    std::erase_if(forwards_, [token](const auto& item) {
        return is_caller(item.second.recipient, token);
    });
    std::erase_if(lookups_, [token](const auto& item) {
        return is_caller(item.second.recipient, token);
    });
}

void request_router::adopt(const answer_handover& handover) {
    for (const auto& ids : handover.retired) {
        retired_.try_emplace({ids.host, ids.incarnation},
                             retired_incarnation{ids, context_.now});
    }
    for (const auto& kept : handover.answers) {
        const auto [position, is_new] =
            adopted_.try_emplace(kept.id, adopted_answer{kept, context_.now});
        if (is_new) {
            adopted_order_.push_back(kept.id);
        }
    }
}

std::vector<retired_ids> request_router::retired() const {
    std::vector<retired_ids> all;
    for (const auto& [key, incarnation] : retired_) {
        all.push_back(incarnation.ids);
    }
    return all;
}

std::vector<job_answer> request_router::adopted() const {
    std::vector<job_answer> answers;
    for (const auto& id : adopted_order_) {
        answers.push_back(adopted_.at(id).answer);
    }
    return answers;
}

} // namespace figridge
