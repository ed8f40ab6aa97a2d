// Tables and messages of the command-line tool.
#ifndef FIGRIDGE_FIGRIDGECTL_OUTPUT_HPP
#define FIGRIDGE_FIGRIDGECTL_OUTPUT_HPP

#include <string>
#include <vector>

#include "host_client.hpp"

namespace figridge {

// Prints the chosen fields of each object, a row an object. A column that no
// row has is left out.
void print_table(const json& rows, const std::vector<std::string>& columns);

// Prints what went wrong with a call and returns the exit code for it.
int report_failure(const host_reply& reply);

} // namespace figridge

#endif
