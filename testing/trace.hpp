// Seeded loads, and what an ideal dispatcher would make of them.
#ifndef FIGRIDGE_TESTING_TRACE_HPP
#define FIGRIDGE_TESTING_TRACE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "figridge/job.hpp"
#include "figridge/time.hpp"

namespace figridge {

struct trace_options {
    std::string mix = "certis"; // or consortium
    double load = 0.8;          // of the slots
    double seconds = 10;
    std::uint32_t slots = 384;
    std::uint32_t owners = 8;
    std::uint64_t seed = 1;
    double burst_factor = 1; // of the load, for the burst's time
    double burst_seconds = 5;
    double mean_run_scale = 1; // scales all run times
};

struct trace_job {
    timestamp arrival{0};
    std::uint32_t owner = 0;
    bool urgent = false;
    std::vector<std::uint32_t> run_ms;
    std::vector<std::uint32_t> declared_ms; // often wrong
    duration ideal_response{0};
};

// Poisson arrivals of jobs of 1 to 250 tasks; run times mostly from 50 ms to
// a second, some of several seconds.
std::vector<trace_job> make_trace(const trace_options& options);

// Fills in the response times of one omniscient queue over the same slots,
// without message delay: urgent first, then the oldest.
void add_ideal_responses(std::vector<trace_job>& jobs, std::uint32_t slots);

std::string entry_name(std::uint32_t owner);

} // namespace figridge

#endif
