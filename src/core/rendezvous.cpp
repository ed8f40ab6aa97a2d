#include "rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include <xxhash.h>

namespace figridge {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member) {
    const auto seed = XXH3_64bits(member.data(), member.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

std::string rendezvous_pick(std::string_view key,
                            const std::vector<std::string>& members) {
    const auto best = std::max_element(
        members.begin(), members.end(),
        [key](const std::string& left, const std::string& right) {
            return rendezvous_weight(key, left) < rendezvous_weight(key, right);
        });
    return best == members.end() ? std::string{} : *best;
}

std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::vector<std::string> members) {
    std::sort(members.begin(), members.end(),
              [key](const std::string& left, const std::string& right) {
                  const auto left_weight = rendezvous_weight(key, left);
                  const auto right_weight = rendezvous_weight(key, right);
                  return std::tie(left_weight, left) >
                         std::tie(right_weight, right);
              });
    return members;
}

} // namespace figridge
