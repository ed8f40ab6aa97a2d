#include "stand_in_layout.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace figridge {
namespace {

constexpr std::uint32_t cpu_millis = 16'000;
constexpr std::uint32_t memory_mb = 32'768;
constexpr int accelerator_stride = 4;

} // namespace

std::vector<endpoint_info> make_layout(int first_port, int count,
                                       const std::string& domains,
                                       std::uint32_t slots) {
    const std::vector<std::string> names = absl::StrSplit(domains, ',');
    std::vector<endpoint_info> endpoints;
    for (int index = 0; index < count; ++index) {
        endpoint_info endpoint;
        endpoint.address = absl::StrCat("127.0.0.1:", first_port + index);
        endpoint.failure_domain =
            names[static_cast<std::size_t>(index) % names.size()];
        endpoint.slots = slots;
        endpoint.cpu_millis = cpu_millis;
        endpoint.memory_mb = memory_mb;
        endpoint.accelerators = index % accelerator_stride == 0 ? 1 : 0;
        endpoints.push_back(std::move(endpoint));
    }
    return endpoints;
}

} // namespace figridge
