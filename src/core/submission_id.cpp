#include "figridge/submission_id.hpp"

#include <array>
#include <charconv>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

namespace figridge {
namespace {

constexpr std::size_t max_text_bytes = 200;

absl::StatusOr<std::uint64_t> parse_hex(std::string_view text,
                                        absl::string_view part) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    auto [position, error] = std::from_chars(text.data(), end, value, 16);
    if (error != std::errc{} || position != end) {
        return absl::InvalidArgumentError(
            absl::StrCat("id: ", part, " is not a hexadecimal number"));
    }
    return value;
}

} // namespace

std::string to_string(const submission_id& id) {
    return absl::StrFormat("%s~%s~%x~%x", id.failure_domain, id.host,
                           id.incarnation, id.counter);
}

absl::StatusOr<submission_id> parse_submission_id(std::string_view text) {
    if (text.size() > max_text_bytes) {
        return absl::InvalidArgumentError("id: too long");
    }
    const std::vector<std::string> parts =
        absl::StrSplit(absl::string_view(text.data(), text.size()), '~');
    if (parts.size() != 4) {
        return absl::InvalidArgumentError(
            "id: expected domain~ip:port~incarnation~counter");
    }
    if (parts[0].empty() || parts[1].empty()) {
        return absl::InvalidArgumentError("id: empty failure domain or host");
    }
    const auto incarnation = parse_hex(parts[2], "incarnation");
    if (!incarnation.ok()) {
        return incarnation.status();
    }
    const auto counter = parse_hex(parts[3], "counter");
    if (!counter.ok()) {
        return counter.status();
    }
    return submission_id{parts[0], parts[1], *incarnation, *counter};
}

std::size_t submission_id_hash::operator()(const submission_id& id) const {
    const std::array<std::uint64_t, 2> numbers{id.incarnation, id.counter};
    return XXH3_64bits(numbers.data(), sizeof(numbers));
}

std::size_t task_ref_hash::operator()(const task_ref& ref) const {
    const std::array<std::uint64_t, 3> numbers{
        ref.id.incarnation, ref.id.counter,
        (std::uint64_t{ref.task} << 32) | ref.attempt};
    return XXH3_64bits(numbers.data(), sizeof(numbers));
}

} // namespace figridge
