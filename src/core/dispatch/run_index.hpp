// The runs on all endpoints of a holder, by task and by coordinator.
//
// Each `run_ledger` that was given an index keeps it up to date, so that a
// holder finds the runs of a job or coordinator without a walk over all of
// its endpoints.
#ifndef FIGRIDGE_CORE_DISPATCH_RUN_INDEX_HPP
#define FIGRIDGE_CORE_DISPATCH_RUN_INDEX_HPP

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/dispatch/messages.hpp"

namespace figridge::dispatch {

// A run and the endpoint that it is on.
struct run_place {
    std::string endpoint;
    task_run run;

    auto operator<=>(const run_place&) const = default;
};

// Owned by an `endpoint_holder`, and outlives its ledgers. Not thread-safe.
class run_index {
public:
    // Precondition: the run is not entered for this endpoint. Not thread-safe.
    void add(const std::string& endpoint, const task_run& run,
             const process_id& coordinator) {
        by_task_.emplace(run, endpoint);
        by_coordinator_.insert({coordinator, {endpoint, run}});
    }
    // Precondition: the run is entered with these values. Not thread-safe.
    void remove(const std::string& endpoint, const task_run& run,
                const process_id& coordinator) {
        by_task_.erase({run, endpoint});
        by_coordinator_.erase({coordinator, {endpoint, run}});
    }

    [[nodiscard]] std::size_t size() const { return by_task_.size(); }
    // Whether any run of the task is entered. Not thread-safe.
    [[nodiscard]] bool contains(const task_key& task) const;
    // The runs of the job or coordinator, by endpoint. Not thread-safe.
    [[nodiscard]] std::vector<run_place> of_job(const std::string& job) const;
    [[nodiscard]] std::vector<run_place>
    of_coordinator(const process_id& coordinator) const;
    // Adds the coordinators of the runs. Not thread-safe.
    void add_coordinators(std::set<process_id>& found) const;

private:
    struct owned_run {
        process_id coordinator;
        run_place place;

        auto operator<=>(const owned_run&) const = default;
    };
    struct owner_order {
        using is_transparent = void;
        bool operator()(const owned_run& a, const owned_run& b) const {
            return a < b;
        }
        bool operator()(const owned_run& a, const process_id& b) const {
            return a.coordinator < b;
        }
        bool operator()(const process_id& a, const owned_run& b) const {
            return a < b.coordinator;
        }
    };
    std::set<std::pair<task_run, std::string>> by_task_;
    std::set<owned_run, owner_order> by_coordinator_;
};

} // namespace figridge::dispatch

#endif
