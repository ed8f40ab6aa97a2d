#include "core/dispatch/holder_views.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace figridge::dispatch {
namespace {

// Time until adverts reflect an assignment: a round trip between failure
// domains and a wake-up at both ends.
constexpr duration advert_delay = 8ms;
// Added latency of a round trip to another failure domain.
constexpr double remote_penalty_ms = 4.0;

} // namespace

void holder_views::update(timestamp now, const process_id& holder,
                          const std::string& failure_domain,
                          const advert& advertised) {
    if (advertised.capacity_cpu == 0) {
        views_.erase(holder);
        return;
    }
    auto& view = views_[holder];
    view.failure_domain = failure_domain;
    view.advertised = advertised;
    while (!view.sent.empty() && now - view.sent.front().at > advert_delay) {
        view.sent.pop_front();
    }
    for (const auto& assigned : view.sent) {
        deduct(view.advertised, assigned);
    }
}

void holder_views::remove(const process_id& holder) {
    views_.erase(holder);
}

bool holder_views::can_start_now(const advert& advertised,
                                 const task_need& need) {
    return advertised.queued_tasks == 0 &&
           std::any_of(advertised.free_cpu.begin(), advertised.free_cpu.end(),
                       [&need](std::uint32_t free) {
                           return free >= need.room.cpu_millis;
                       });
}

void holder_views::deduct(advert& advertised, const assigned_task& assigned) {
    const auto cpu = assigned.cpu_millis;
    if (advertised.task_room > 0) {
        --advertised.task_room;
    }
    auto* best = static_cast<std::uint32_t*>(nullptr);
    for (auto& free : advertised.free_cpu) {
        if (free >= cpu && (best == nullptr || free < *best)) {
            best = &free;
        }
    }
    if (best != nullptr) {
        *best -= cpu;
    } else {
        ++advertised.queued_tasks;
        advertised.queued_cpu_ms +=
            std::uint64_t{cpu} * assigned.estimate_ms / 1000;
    }
}

double holder_views::wait_ms(const advert& advertised) {
    return 1000.0 * static_cast<double>(advertised.queued_cpu_ms) /
               std::max(1U, advertised.capacity_cpu) +
           advertised.late_ms;
}

std::optional<process_id> holder_views::place(timestamp now,
                                              const task_need& need,
                                              const process_id& returned_by) {
    const bool room_elsewhere =
        !returned_by.address.empty() &&
        std::any_of(views_.begin(), views_.end(), [&](const auto& item) {
            return item.first != returned_by &&
                   item.second.advertised.largest_memory_mb >=
                       need.room.memory_mb &&
                   can_start_now(item.second.advertised, need);
        });
    std::pair<const process_id, view>* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (auto& item : views_) {
        const auto& advertised = item.second.advertised;
        if (advertised.task_room == 0 ||
            advertised.largest_cpu < need.room.cpu_millis ||
            advertised.largest_memory_mb < need.room.memory_mb ||
            (room_elsewhere && item.first == returned_by)) {
            continue;
        }
        const bool remote = item.second.failure_domain != failure_domain_;
        double cost = remote ? remote_penalty_ms : 0.0;
        if (!can_start_now(advertised, need)) {
            // The task waits at least until a running task ends.
            cost += need.estimate_ms / 4.0 + wait_ms(advertised);
        } else {
            cost += advertised.late_ms;
        }
        if (cost < best_cost) {
            best = &item;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    best->second.sent.push_back({now, need.room.cpu_millis, need.estimate_ms});
    deduct(best->second.advertised, best->second.sent.back());
    return best->first;
}

std::uint64_t holder_views::task_room() const {
    return std::accumulate(views_.begin(), views_.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& item) {
                               return sum + item.second.advertised.task_room;
                           });
}

bool holder_views::fits_any_endpoint(const task_need& need) const {
    return std::any_of(views_.begin(), views_.end(), [&need](const auto& item) {
        return item.second.advertised.largest_cpu >= need.room.cpu_millis &&
               item.second.advertised.largest_memory_mb >= need.room.memory_mb;
    });
}

std::vector<std::uint32_t>
holder_views::free_cpu_elsewhere(const process_id& self) const {
    std::vector<std::uint32_t> free_shares;
    for (const auto& [holder, view] : views_) {
        if (holder != self && view.advertised.queued_tasks == 0) {
            free_shares.insert(free_shares.end(),
                               view.advertised.free_cpu.begin(),
                               view.advertised.free_cpu.end());
        }
    }
    return free_shares;
}

duration holder_views::min_queue_wait(std::uint32_t priority) const {
    double least = std::numeric_limits<double>::max();
    for (const auto& [holder, view] : views_) {
        auto ahead = view.advertised;
        const auto& by_priority = ahead.queued_cpu_ms_by_priority;
        if (!by_priority.empty()) {
            const auto levels =
                std::min(by_priority.size(), std::size_t{priority} + 1);
            ahead.queued_cpu_ms = std::accumulate(
                by_priority.begin(),
                by_priority.begin() + static_cast<std::ptrdiff_t>(levels),
                std::uint64_t{0});
        }
        least = std::min(least, wait_ms(ahead));
    }
    return views_.empty() ? duration{0} : scale_wait(1ms, least);
}

} // namespace figridge::dispatch
