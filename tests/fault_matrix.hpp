// The fault matrix: every fault at every step.
#ifndef FIGRIDGE_TESTS_FAULT_MATRIX_HPP
#define FIGRIDGE_TESTS_FAULT_MATRIX_HPP

#include <functional>
#include <string>
#include <vector>

#include "virtual_cluster.hpp"

namespace figridge::testing {

// A fault of the brief, and how it is brought about. With `must_complete` the
// tracked job has to end complete although the fault strikes it.
struct fault_case {
    std::string name;
    bool must_complete = false;
    std::function<void(virtual_cluster&)> strike;
    duration heal_after = 6s;
    // How soon after the fault the tracked job must be answered; 0: no bound.
    duration answer_within{0};
};

struct planned_fault {
    const fault_case* fault = nullptr;
    step moment = step::submitted;
};

struct cell_result {
    std::vector<std::string> violations;
    std::string log;
};

const std::vector<fault_case>& all_faults();
const std::vector<step>& all_steps();

// Runs one scenario of jobs, edits and callers, with the faults striking at
// their steps, until everything is healed and answered.
cell_result run_cell(const std::vector<planned_fault>& plan,
                     std::uint64_t seed);

std::string describe(const std::vector<planned_fault>& plan,
                     std::uint64_t seed);

} // namespace figridge::testing

#endif
