// An observer that discards everything.
#ifndef FIGRIDGE_TESTS_DISPATCH_QUIET_OBSERVER_HPP
#define FIGRIDGE_TESTS_DISPATCH_QUIET_OBSERVER_HPP

#include "figridge/ports.hpp"

namespace figridge::dispatch {

class quiet_observer final : public observer_port {
public:
    void log(log_level /*level*/, std::string_view /*event*/,
             const log_fields& /*fields*/) override {}
    void record(latency_metric /*what*/, duration /*value*/) override {}
    void count(std::string_view /*counter*/,
               std::string_view /*label*/) override {}
};

} // namespace figridge::dispatch

#endif
