// Generates seeded workloads with the response times of an ideal scheduler.
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
    double burst_factor = 1; // multiplies the load during the burst
    double burst_seconds = 5;
    double mean_run_scale = 1; // multiplies all run times
};

struct trace_job {
    timestamp arrival{0};
    std::uint32_t owner = 0;
    bool urgent = false;
    std::vector<std::uint32_t> run_ms;
    std::vector<std::uint32_t> declared_ms; // hints, 40 % wrong
    duration ideal_response{0};
};

// Poisson arrivals of jobs with 1 to 250 tasks. 98 % of the run times are
// between 50 ms and 1 s, the others between 2 s and 5 s.
std::vector<trace_job> make_trace(const trace_options& options);

// Sets `ideal_response` to the response time under one central queue for all
// slots, without message delay: urgent jobs first, then in order of arrival.
void add_ideal_responses(std::vector<trace_job>& jobs, std::uint32_t slots);

std::string entry_name(std::uint32_t owner);

} // namespace figridge

#endif
