// An observer that keeps what it is told.
#ifndef FIGRIDGE_TESTS_DISPATCH_RECORDING_OBSERVER_HPP
#define FIGRIDGE_TESTS_DISPATCH_RECORDING_OBSERVER_HPP

#include <map>
#include <string>
#include <vector>

#include "figridge/ports.hpp"

namespace figridge::dispatch {

// Owned by a test. Not thread-safe.
class recording_observer final : public observer_port {
public:
    using line = std::map<std::string, std::string>;

    void log(log_level /*level*/, std::string_view event,
             const log_fields& fields) override {
        auto& added = lines[std::string(event)].emplace_back();
        for (const auto& [key, value] : fields) {
            added.emplace(key, value);
        }
    }
    void record(latency_metric what, duration value) override {
        latencies[what].push_back(value);
    }
    void count(std::string_view counter, std::string_view /*label*/) override {
        ++counts[std::string(counter)];
    }

    // How often this was counted, under any label.
    [[nodiscard]] std::size_t counted(const std::string& counter) const {
        const auto found = counts.find(counter);
        return found == counts.end() ? 0 : found->second;
    }

    std::map<std::string, std::vector<line>> lines; // by event
    std::map<latency_metric, std::vector<duration>> latencies;
    std::map<std::string, std::size_t> counts; // by counter
};

} // namespace figridge::dispatch

#endif
