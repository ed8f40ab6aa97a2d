// Tables and messages of the command-line tool.
#ifndef FIGRIDGE_FIGRIDGECTL_OUTPUT_HPP
#define FIGRIDGE_FIGRIDGECTL_OUTPUT_HPP

#include <string>
#include <vector>

#include "host_client.hpp"

namespace figridge {

// Prints one row per object with the given fields. A column whose field no
// object has is omitted.
void print_table(const json& rows, const std::vector<std::string>& columns);

// Prints the error of a call and returns the exit code for it.
int report_failure(const host_reply& reply);

} // namespace figridge

#endif
