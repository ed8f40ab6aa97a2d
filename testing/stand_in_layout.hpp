// The endpoints that the stand-ins agree on.
#ifndef FIGRIDGE_TESTING_STAND_IN_LAYOUT_HPP
#define FIGRIDGE_TESTING_STAND_IN_LAYOUT_HPP

#include <string>
#include <vector>

#include "figridge/messages.hpp"

namespace figridge {

// Endpoints on consecutive loopback ports, dealt out over the domains. Every
// fourth has an accelerator.
std::vector<endpoint_info> make_layout(int first_port, int count,
                                       const std::string& domains,
                                       std::uint32_t slots);

} // namespace figridge

#endif
