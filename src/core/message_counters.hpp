// Counts messages by kind, in total and those that were wasted.
#ifndef FIGRIDGE_CORE_MESSAGE_COUNTERS_HPP
#define FIGRIDGE_CORE_MESSAGE_COUNTERS_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace figridge {

enum class message_kind {
    heartbeat,
    task_batch,
    task_return,
    task_result,
    job_cancel,
    pull,
    forward,
    loan,
    catalogue,
    mark,
    handover,
    start,
    stop,
    probe,
    platform,
    resend,
};

inline constexpr std::size_t message_kind_count = 16;

std::string_view to_string(message_kind kind);

// Counts every message that this host sends and, separately, wasted ones:
// refused starts, duplicates, retries, pulls that returned no task, cancels of
// jobs without tasks here, and answers without a recipient. Not thread-safe, as
// all of the core. The functions have no preconditions.
class message_counters {
public:
    void sent(message_kind kind, std::uint64_t count = 1) {
        sent_[static_cast<std::size_t>(kind)] += count;
    }
    void wasted(message_kind kind, std::uint64_t count = 1) {
        wasted_[static_cast<std::size_t>(kind)] += count;
    }
    [[nodiscard]] std::uint64_t sent_of(message_kind kind) const {
        return sent_[static_cast<std::size_t>(kind)];
    }
    [[nodiscard]] std::uint64_t wasted_of(message_kind kind) const {
        return wasted_[static_cast<std::size_t>(kind)];
    }

private:
    std::array<std::uint64_t, message_kind_count> sent_{};
    std::array<std::uint64_t, message_kind_count> wasted_{};
};

} // namespace figridge

#endif
