// Rendezvous hashing: hosts with the same member list pick the same member for
// a key, and removing a member reassigns only the keys of that member.
#ifndef FIGRIDGE_CORE_RENDEZVOUS_HPP
#define FIGRIDGE_CORE_RENDEZVOUS_HPP

#include <string>
#include <string_view>
#include <vector>

namespace figridge {

std::uint64_t rendezvous_weight(std::string_view key, std::string_view member);

// Returns the member with the highest weight, or an empty string if there are
// no members. Thread-safe.
std::string rendezvous_pick(std::string_view key,
                            const std::vector<std::string>& members);

// Returns the members in order of descending weight. Thread-safe.
std::vector<std::string> rendezvous_order(std::string_view key,
                                          std::vector<std::string> members);

} // namespace figridge

#endif
