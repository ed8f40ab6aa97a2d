#include "core/dispatch/holder_views.hpp"

#include <algorithm>
#include <limits>

namespace figridge::dispatch {
namespace {

// An assignment shows in an advert sent this much later: a round trip between
// failure domains and a wake-up at both ends.
constexpr duration advert_delay = 8ms;
// What a task loses by a hop to another failure domain and back.
constexpr double remote_penalty_ms = 4.0;

} // namespace

void holder_views::update(timestamp now, const process_id& holder,
                          const std::string& failure_domain,
                          const advert& about) {
    if (about.capacity_cpu == 0) {
        views_.erase(holder);
        return;
    }
    auto& view = views_[holder];
    view.failure_domain = failure_domain;
    view.about = about;
    while (!view.sent.empty() && now - view.sent.front().first > advert_delay) {
        view.sent.pop_front();
    }
    for (const auto& [at, need] : view.sent) {
        deduct(view.about, need);
    }
}

void holder_views::remove(const process_id& holder) {
    views_.erase(holder);
}

bool holder_views::has_room(const advert& about, const task_need& need) {
    return about.queued_tasks == 0 &&
           std::any_of(about.free_cpu.begin(), about.free_cpu.end(),
                       [&need](std::uint32_t free) {
                           return free >= need.room.cpu_millis;
                       });
}

void holder_views::deduct(advert& about, const task_need& need) {
    const auto cpu = need.room.cpu_millis;
    auto* best = static_cast<std::uint32_t*>(nullptr);
    for (auto& free : about.free_cpu) {
        if (free >= cpu && (best == nullptr || free < *best)) {
            best = &free;
        }
    }
    if (best != nullptr) {
        *best -= cpu;
    } else {
        ++about.queued_tasks;
        about.queued_cpu_ms += std::uint64_t{cpu} * need.estimate_ms / 1000;
    }
}

double holder_views::wait_ms(const advert& about) {
    return 1000.0 * static_cast<double>(about.queued_cpu_ms) /
           std::max(1U, about.capacity_cpu);
}

std::optional<process_id> holder_views::place(timestamp now,
                                              const task_need& need) {
    std::pair<const process_id, view>* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    for (auto& item : views_) {
        const auto& about = item.second.about;
        if (about.largest_cpu < need.room.cpu_millis ||
            about.largest_memory_mb < need.room.memory_mb) {
            continue;
        }
        const bool remote = item.second.failure_domain != failure_domain_;
        double cost = remote ? remote_penalty_ms : 0.0;
        if (!has_room(about, need)) {
            // Waits at least for the end of a running task.
            cost += need.estimate_ms / 4.0 + wait_ms(about);
        }
        if (cost < best_cost) {
            best = &item;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    deduct(best->second.about, need);
    best->second.sent.emplace_back(now, need);
    return best->first;
}

bool holder_views::fits_any_endpoint(const task_need& need) const {
    return std::any_of(views_.begin(), views_.end(), [&need](const auto& item) {
        return item.second.about.largest_cpu >= need.room.cpu_millis &&
               item.second.about.largest_memory_mb >= need.room.memory_mb;
    });
}

std::vector<std::uint32_t>
holder_views::free_cpu_elsewhere(const process_id& self) const {
    std::vector<std::uint32_t> rooms;
    for (const auto& [holder, view] : views_) {
        if (holder != self && view.about.queued_tasks == 0) {
            rooms.insert(rooms.end(), view.about.free_cpu.begin(),
                         view.about.free_cpu.end());
        }
    }
    return rooms;
}

duration holder_views::min_wait() const {
    double least = std::numeric_limits<double>::max();
    for (const auto& [holder, view] : views_) {
        least = std::min(least, wait_ms(view.about));
    }
    return views_.empty() ? duration{0}
                          : duration(static_cast<std::int64_t>(least * 1000));
}

} // namespace figridge::dispatch
