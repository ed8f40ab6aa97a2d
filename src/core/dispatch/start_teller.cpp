#include "core/dispatch/start_teller.hpp"

namespace figridge::dispatch {

bool add_start(std::vector<start_notice>& notices, const task_run& run,
               const std::string& endpoint, std::uint64_t token) {
    const bool is_new = notices.empty() || notices.back().job != run.task.job;
    if (is_new) {
        notices.emplace_back().job = run.task.job;
    }
    notices.back().items.push_back(
        {run.task.step, run.task.index, run.run, endpoint, token});
    return is_new;
}

std::map<process_id, std::vector<start_notice>> start_teller::refresh(
    timestamp now,
    const std::function<bool(const told_start& start)>& is_open) {
    std::map<process_id, std::vector<start_notice>> notices;
    if (told_.empty() || now < next_refresh_) {
        return notices;
    }
    std::erase_if(told_, [&](const told_start& start) {
        const bool is_over = !is_open(start);
        if (is_over) {
            notices.try_emplace(start.witness, 1);
        }
        return is_over;
    });
    if (notices.empty()) {
        return notices;
    }
    next_refresh_ = now + refresh_interval;
    for (const auto& start : told_) {
        const auto found = notices.find(start.witness);
        if (found != notices.end()) {
            add_start(found->second, start.run, start.endpoint, start.token);
        }
    }
    return notices;
}

} // namespace figridge::dispatch
