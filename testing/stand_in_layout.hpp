// Endpoints that the simulated platform and endpoints have in common.
#ifndef FIGRIDGE_TESTING_STAND_IN_LAYOUT_HPP
#define FIGRIDGE_TESTING_STAND_IN_LAYOUT_HPP

#include <string>
#include <vector>

#include "figridge/messages.hpp"

namespace figridge {

// Endpoints on consecutive loopback ports, assigned round-robin to the failure
// domains (separated by commas). Every fourth has an accelerator.
std::vector<endpoint_info> make_layout(int first_port, int count,
                                       const std::string& domains,
                                       std::uint32_t slots);

} // namespace figridge

#endif
