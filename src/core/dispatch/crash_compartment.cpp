#include "core/dispatch/crash_compartment.hpp"

#include <algorithm>
#include <cmath>

#include "core/name_table.hpp"
#include "core/rendezvous.hpp"

namespace figridge::dispatch {
namespace {

constexpr duration suspicion_window = 5s;
// Time constant of the averages of the load.
constexpr duration load_average_time = 2s;
// Odds of 20 to 1 against a coincidence.
constexpr double min_odds = 20.0;
// Share of the crashes that have another cause while a queue causes most.
constexpr double other_cause_share = 0.1;
constexpr double min_presence = 0.05;
// Above this, a crash without the queue would speak against a coincidence.
constexpr double max_presence = 1.0 - other_cause_share;
// Room in the compartment as a multiple of the queue's share of the load: the
// tasks of a job start together, so they need more than the average.
constexpr double compartment_headroom = 2.0;
constexpr double max_compartment_share = 0.5;
// Highest probability that a run of another queue is lost with its endpoint.
constexpr double max_loss_probability = 0.1;
constexpr double negligible_presence = 0.001;
constexpr std::string_view hash_key = "crash-compartment";

constexpr name_table<confinement_event, 2> confinement_event_names{{
    {confinement_event::confined, "confined"},
    {confinement_event::released, "released"},
}};

} // namespace

std::string_view to_string(confinement_event event) {
    return find_name(confinement_event_names, event);
}

// --- inputs -----------------------------------------------------------------

void crash_compartment::record_load(timestamp now,
                                    const std::vector<endpoint_load>& held) {
    struct sample {
        std::string pool;
        double cpu_millis = 0.0;
        double endpoints = 0.0;
    };
    std::map<std::string, sample> samples;
    std::map<std::string, double> occupied; // endpoints by pool
    for (const auto& load : held) {
        // The runs of a lost endpoint stay on its ledger for a while.
        if (load.is_lost || load.cpu_millis.empty()) {
            continue;
        }
        occupied[load.pool] += 1.0;
        for (const auto& [queue, cpu_millis] : load.cpu_millis) {
            auto& sample = samples[queue];
            sample.pool = load.pool;
            sample.cpu_millis += cpu_millis;
            sample.endpoints += 1.0;
        }
    }
    const double weight =
        load_recorded_at_
            ? 1.0 - std::exp(-to_seconds(now - *load_recorded_at_) /
                             to_seconds(load_average_time))
            : 1.0;
    load_recorded_at_ = now;
    for (const auto& [queue, sample] : samples) {
        loads_[queue].pool = sample.pool;
    }
    for (auto& [queue, load] : loads_) {
        const auto found = samples.find(queue);
        const bool is_present = found != samples.end();
        const double presence =
            is_present ? found->second.endpoints / occupied[load.pool] : 0.0;
        const double cpu_millis = is_present ? found->second.cpu_millis : 0.0;
        // Without an occupied endpoint there is nothing to compare with.
        if (occupied[load.pool] > 0.0) {
            load.presence += weight * (presence - load.presence);
        }
        load.cpu_millis += weight * (cpu_millis - load.cpu_millis);
    }
    std::erase_if(loads_, [](const auto& item) {
        return item.second.presence < negligible_presence;
    });
    held_ = held;
    if (confined_) {
        choose_members(held);
    }
}

void crash_compartment::record_crash(timestamp now, const crash_report& report,
                                     bool is_held) {
    const instance key{report.endpoint, report.instance_started_ms};
    if (report.evidence == crash_evidence::none) {
        crashes_.erase(key);
        return;
    }
    auto found = crashes_.find(key);
    if (found == crashes_.end()) {
        // What ended without refusing connections on its own first was lost
        // together with others, or not by a crash.
        if (report.evidence != crash_evidence::refusing) {
            return;
        }
        found = crashes_.emplace(key, crash{now, is_held, false, {}}).first;
    }
    if (report.queue.empty()) {
        found->second.has_unknown_queue = true;
    } else {
        found->second.queues.insert(report.queue);
    }
}

std::optional<confinement_change> crash_compartment::tick(timestamp now) {
    std::erase_if(crashes_, [now](const auto& item) {
        return now - item.second.at > suspicion_window;
    });
    if (!confined_) {
        return confine_most_suspected(now);
    }
    // Below 0, the crashes are more likely to be independent of the queue.
    if (crashes_with(*confined_) > 0 && likelihood(*confined_) >= 0.0) {
        return std::nullopt;
    }
    auto change = describe(confinement_event::released, *confined_);
    change.confined_for = now - confined_at_;
    confined_.reset();
    members_.clear();
    pool_.clear();
    return change;
}

// --- likelihood -------------------------------------------------------------

bool crash_compartment::is_of_pool(const crash& crash,
                                   const std::string& pool) const {
    return std::any_of(crash.queues.begin(), crash.queues.end(),
                       [&](const std::string& queue) {
                           const auto found = loads_.find(queue);
                           return found != loads_.end() &&
                                  found->second.pool == pool;
                       });
}

std::size_t crash_compartment::crashes_with(const std::string& queue) const {
    return static_cast<std::size_t>(std::count_if(
        crashes_.begin(), crashes_.end(), [&queue](const auto& item) {
            return item.second.queues.contains(queue);
        }));
}

double crash_compartment::likelihood(const std::string& queue) const {
    const auto found = loads_.find(queue);
    if (found == loads_.end()) {
        return 0.0;
    }
    const auto& load = found->second;
    const double presence =
        std::clamp(load.presence, min_presence, max_presence);
    const double if_present = std::log((1.0 - other_cause_share) / presence);
    const double if_absent = std::log(other_cause_share / (1.0 - presence));
    double sum = 0.0;
    for (const auto& [key, crash] : crashes_) {
        if (crash.queues.contains(queue)) {
            sum += if_present;
        } else if (!crash.has_unknown_queue && is_of_pool(crash, load.pool)) {
            sum += if_absent;
        }
    }
    return sum;
}

double crash_compartment::load_share(const std::string& queue) const {
    const auto found = loads_.find(queue);
    if (found == loads_.end()) {
        return 0.0;
    }
    double sum = 0.0;
    for (const auto& [name, load] : loads_) {
        if (load.pool == found->second.pool) {
            sum += load.cpu_millis;
        }
    }
    return sum > 0.0 ? found->second.cpu_millis / sum : 0.0;
}

std::optional<confinement_change>
crash_compartment::confine_most_suspected(timestamp now) {
    if (crashes_.empty()) {
        return std::nullopt;
    }
    std::optional<std::string> suspected;
    double highest = std::log(min_odds);
    for (const auto& [queue, load] : loads_) {
        const double sum = likelihood(queue);
        if (sum >= highest) {
            highest = sum;
            suspected = queue;
        }
    }
    if (!suspected) {
        return std::nullopt;
    }
    confined_ = suspected;
    confined_at_ = now;
    pool_ = loads_.at(*suspected).pool;
    // The queue's load falls while it is confined, since some of its endpoints
    // are lost.
    confined_share_ = load_share(*suspected);
    choose_members(held_);
    return describe(confinement_event::confined, *suspected);
}

confinement_change crash_compartment::describe(confinement_event event,
                                               const std::string& queue) const {
    confinement_change change;
    change.event = event;
    change.queue = queue;
    change.likelihood = likelihood(queue);
    change.crashes = crashes_.size();
    change.with_queue = crashes_with(queue);
    if (const auto found = loads_.find(queue); found != loads_.end()) {
        change.presence = found->second.presence;
    }
    change.load_share = load_share(queue);
    change.endpoints = members_.size();
    return change;
}

// --- compartment ------------------------------------------------------------

void crash_compartment::choose_members(const std::vector<endpoint_load>& held) {
    std::vector<std::string> endpoints;
    std::size_t lost = 0;
    for (const auto& load : held) {
        if (load.pool == pool_) {
            endpoints.push_back(load.endpoint);
            lost += load.is_lost ? 1 : 0;
        }
    }
    const auto count = static_cast<double>(endpoints.size());
    const auto wanted = static_cast<std::size_t>(std::ceil(
                            count * confined_share_ * compartment_headroom)) +
                        lost;
    const auto limit = static_cast<std::size_t>(count * max_compartment_share);
    const auto size = std::min(std::max<std::size_t>(wanted, 1), limit);
    auto ordered = rendezvous_order(hash_key, std::move(endpoints));
    ordered.resize(size);
    members_ = {ordered.begin(), ordered.end()};
}

const std::string& crash_compartment::queue() const {
    static const std::string none;
    return confined_ && !members_.empty() ? *confined_ : none;
}

bool crash_compartment::tolerates(duration run_time) const {
    if (queue().empty()) {
        return true;
    }
    const auto crashes = std::count_if(
        crashes_.begin(), crashes_.end(), [this](const auto& item) {
            return item.second.is_held &&
                   item.second.queues.contains(*confined_);
        });
    const double crash_rate = static_cast<double>(crashes) /
                              to_seconds(suspicion_window) /
                              static_cast<double>(members_.size());
    return crash_rate * to_seconds(run_time) < max_loss_probability;
}

} // namespace figridge::dispatch
