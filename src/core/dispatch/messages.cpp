#include "core/dispatch/messages.hpp"

#include <algorithm>
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
// Far above `max_lateness`, to which the receiver limits it.
constexpr std::uint32_t max_late_ms = 60'000;

absl::Status out_of_range(std::string_view field) {
    return absl::InvalidArgumentError(
        absl::StrCat(std::string(field), ": out of range"));
}

bool is_valid_stamp(std::int64_t stamp_us) {
    return stamp_us >= 0 && stamp_us <= max_stamp_us;
}

bool is_process(const process_id& id) {
    return !id.address.empty() && id.incarnation != 0;
}

bool is_known(update_kind kind) {
    return kind >= update_kind::started && kind <= update_kind::disowned;
}

bool is_known(crash_evidence evidence) {
    return evidence >= crash_evidence::none &&
           evidence <= crash_evidence::ended;
}

absl::Status check_relays(const payload& content) {
    for (const auto& request : content.relay_requests) {
        if (!std::all_of(request.unheard.begin(), request.unheard.end(),
                         is_process)) {
            return out_of_range("content.relay_requests.unheard");
        }
    }
    for (const auto& report : content.relayed) {
        if (!is_process(report.origin)) {
            return out_of_range("content.relayed.origin");
        }
        for (const auto& doubt : report.doubts) {
            if (!is_process(doubt.holder)) {
                return out_of_range("content.relayed.doubts.holder");
            }
            // Only the holder itself ends all that it has told.
            if (doubt.run.task.job.empty()) {
                return out_of_range("content.relayed.doubts.run");
            }
        }
    }
    return absl::OkStatus();
}

} // namespace

received_envelope read_envelope(const msgpack::object& unpacked) {
    // Of the fields in `MSGPACK_DEFINE` of an envelope.
    constexpr std::size_t content_index = 9;
    if (unpacked.type != msgpack::type::ARRAY ||
        unpacked.via.array.size <= content_index) {
        throw msgpack::type_error();
    }
    received_envelope received;
    const auto* first = unpacked.via.array.ptr;
    std::vector<msgpack::object> fields(first, first + unpacked.via.array.size);
    auto& content = fields[content_index];
    try {
        received.message.content = content.as<payload>();
    } catch (const std::bad_cast&) {
        received.content = absl::InvalidArgumentError("content: unreadable");
    }
    content.type = msgpack::type::ARRAY;
    content.via.array = {0, nullptr};
    msgpack::object header;
    header.type = msgpack::type::ARRAY;
    header.via.array = {unpacked.via.array.size, fields.data()};
    auto content_read = std::move(received.message.content);
    header.convert(received.message);
    received.message.content =
        received.content.ok() ? std::move(content_read) : payload{};
    return received;
}

absl::Status check_header(const envelope& message) {
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
    if (message.about.late_ms > max_late_ms) {
        return out_of_range("about.late_ms");
    }
    return absl::OkStatus();
}

absl::Status check_content(const payload& content) {
    for (const auto& update : content.updates) {
        if (!is_known(update.kind)) {
            return out_of_range("content.updates.kind");
        }
    }
    for (const auto& adoption : content.adoptions) {
        for (const auto& ended : adoption.ended) {
            if (!is_known(ended.kind)) {
                return out_of_range("content.adoptions.ended.kind");
            }
        }
    }
    for (const auto& report : content.crashes) {
        if (!is_known(report.evidence)) {
            return out_of_range("content.crashes.evidence");
        }
    }
    // These may be passed on to hosts that refuse the same.
    for (const auto& doubt : content.doubts) {
        if (!is_process(doubt.holder)) {
            return out_of_range("content.doubts.holder");
        }
        if (doubt.run.task.job.empty() && !doubt.over) {
            return out_of_range("content.doubts.run");
        }
    }
    for (const auto& notice : content.start_notices) {
        if (notice.job.empty() && !notice.items.empty()) {
            return out_of_range("content.start_notices.job");
        }
        for (const auto& item : notice.items) {
            if (item.endpoint.empty()) {
                return out_of_range("content.start_notices.items.endpoint");
            }
        }
    }
    for (const auto& told : content.instance_ages) {
        if (told.endpoint.empty()) {
            return out_of_range("content.instance_ages.endpoint");
        }
        if (told.instance_started_ms <= 0) {
            return out_of_range("content.instance_ages.instance_started_ms");
        }
    }
    return check_relays(content);
}

absl::Status check_envelope(const envelope& message) {
    const auto header = check_header(message);
    return header.ok() ? check_content(message.content) : header;
}

} // namespace figridge::dispatch
