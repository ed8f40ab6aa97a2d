#include "core/dispatch/messages.hpp"

#include <cmath>
#include <limits>

#include <absl/strings/str_cat.h>

namespace figridge::dispatch {
namespace {

// Clocks that count from boot are far below this limit, and sums of values
// within it do not overflow.
constexpr std::int64_t max_stamp_us = std::int64_t{1} << 60;
constexpr std::uint64_t max_stream = max_stamp_us;
constexpr double max_cpu_share = 1024.0;

absl::Status out_of_range(std::string_view field) {
    return absl::InvalidArgumentError(
        absl::StrCat(std::string(field), ": out of range"));
}

bool is_valid_stamp(std::int64_t stamp_us) {
    return stamp_us >= 0 && stamp_us <= max_stamp_us;
}

bool is_known(update_kind kind) {
    return kind >= update_kind::started && kind <= update_kind::disowned;
}

bool is_known(crash_evidence evidence) {
    return evidence >= crash_evidence::none &&
           evidence <= crash_evidence::ended;
}

} // namespace

absl::Status check_envelope(const envelope& message) {
    if (message.from.address.empty()) {
        return out_of_range("from.address");
    }
    if (message.from.incarnation == 0) {
        return out_of_range("from.incarnation");
    }
    if (!is_valid_stamp(message.stamp_us)) {
        return out_of_range("stamp_us");
    }
    if (!is_valid_stamp(message.echo_us)) {
        return out_of_range("echo_us");
    }
    if (!is_valid_stamp(message.content_echo_us)) {
        return out_of_range("content_echo_us");
    }
    if (message.sequence != 0 && message.first_sequence > message.sequence) {
        return out_of_range("first_sequence");
    }
    if (message.stream > max_stream) {
        return out_of_range("stream");
    }
    if (message.ack_stream > max_stream) {
        return out_of_range("ack_stream");
    }
    const auto share = message.about.cpu_share;
    if (!std::isfinite(share) || share < 0.0 || share > max_cpu_share) {
        return out_of_range("about.cpu_share");
    }
    for (const auto& update : message.content.updates) {
        if (!is_known(update.kind)) {
            return out_of_range("content.updates.kind");
        }
    }
    for (const auto& adoption : message.content.adoptions) {
        for (const auto& ended : adoption.ended) {
            if (!is_known(ended.kind)) {
                return out_of_range("content.adoptions.ended.kind");
            }
        }
    }
    for (const auto& report : message.content.crashes) {
        if (!is_known(report.evidence)) {
            return out_of_range("content.crashes.evidence");
        }
    }
    return absl::OkStatus();
}

} // namespace figridge::dispatch
