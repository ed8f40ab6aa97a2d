// State shared by the modules of the core: settings, ports, clock, random
// numbers and counters.
#ifndef FIGRIDGE_CORE_CORE_CONTEXT_HPP
#define FIGRIDGE_CORE_CORE_CONTEXT_HPP

#include <random>

#include "figridge/ports.hpp"
#include "figridge/settings.hpp"
#include "message_counters.hpp"

namespace figridge {

// Owned by `host_core`, which sets `now` before it handles an input.
struct core_context {
    const core_settings settings;
    core_ports ports;
    timestamp now{0};
    std::mt19937_64 random;
    message_counters counters;

    void log(log_level level, std::string_view event,
             const log_fields& fields) const {
        ports.observer.log(level, event, fields);
    }
};

} // namespace figridge

#endif
