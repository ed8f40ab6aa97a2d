// The fault matrix: every fault at every step.
#ifndef FIGRIDGE_TESTS_FAULT_MATRIX_HPP
#define FIGRIDGE_TESTS_FAULT_MATRIX_HPP

#include <functional>
#include <string>
#include <vector>

#include "virtual_cluster.hpp"

namespace figridge::testing {

// A fault and how to inject it. With `must_complete`, the tracked job must end
// complete despite the fault.
struct fault_case {
    std::string name;
    bool must_complete = false;
    std::function<void(virtual_cluster&)> inject;
    duration heal_after = 6s;
    // The tracked job must be answered this soon after submission; 0: no limit.
    duration answer_within{0};
};

struct planned_fault {
    const fault_case* fault = nullptr;
    step at_step = step::submitted;
};

struct cell_result {
    std::vector<std::string> violations;
    std::string log;
};

const std::vector<fault_case>& all_faults();
const std::vector<step>& all_steps();

// Runs one scenario of jobs, edits and callers and injects the faults at their
// steps; returns after the faults are healed and the calls answered, or after a
// time limit.
cell_result run_cell(const std::vector<planned_fault>& plan,
                     std::uint64_t seed);

std::string describe(const std::vector<planned_fault>& plan,
                     std::uint64_t seed);

} // namespace figridge::testing

#endif
