// Tables that map enumerators to their names.
#ifndef FIGRIDGE_CORE_NAME_TABLE_HPP
#define FIGRIDGE_CORE_NAME_TABLE_HPP

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace figridge {

template <typename Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, std::string_view>, Size>;

template <typename Enum, std::size_t Size>
constexpr std::string_view find_name(const name_table<Enum, Size>& table,
                                     Enum value) {
    for (const auto& [candidate, name] : table) {
        if (candidate == value) {
            return name;
        }
    }
    return "invalid";
}

template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> find_value(const name_table<Enum, Size>& table,
                                         std::string_view name) {
    for (const auto& [value, candidate] : table) {
        if (candidate == name) {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace figridge

#endif
