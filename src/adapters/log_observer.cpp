#include "log_observer.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace figridge {
namespace {

constexpr unsigned bucket_count = 24;
constexpr double min_bucket_s = 0.0005;
constexpr double max_bucket_s = 64.0;
constexpr std::array<const char*, 4> series_names{
    "figridge_response_seconds", "figridge_queue_seconds",
    "figridge_task_seconds", "figridge_tick_interval_seconds"};

spdlog::level::level_enum to_spdlog(log_level level) {
    switch (level) {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

// Limits the lines written per second for each event.
struct log_rate_limiter {
    struct usage {
        std::chrono::steady_clock::time_point second;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
        std::uint64_t total = 0; // including suppressed lines
    };

    // Returns how many lines were suppressed since the last written one, or
    // nothing if this line has to be suppressed too.
    std::optional<std::uint64_t> acquire(usage& use) const {
        if (lines_per_second == 0) {
            return 0;
        }
        const auto now = std::chrono::steady_clock::now();
        if (now - use.second >= std::chrono::seconds(1)) {
            use.second = now;
            use.written = 0;
        }
        if (use.written >= lines_per_second) {
            ++use.suppressed;
            return std::nullopt;
        }
        ++use.written;
        return std::exchange(use.suppressed, 0);
    }

    std::uint32_t lines_per_second = 0; // 0: no limit
    std::map<std::string, usage, std::less<>> events;
};

log_rate_limiter rate_limiter; // of the process's log

// Quotes a value that contains separators, so that log lines can be parsed.
std::string quote(const std::string& value) {
    const bool plain =
        !value.empty() && std::none_of(value.begin(), value.end(), [](char c) {
            return absl::ascii_iscntrl(static_cast<unsigned char>(c)) ||
                   c == ' ' || c == '"' || c == '=';
        });
    return plain
               ? value
               : nlohmann::json(value).dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void start_log(const std::string& level, log_stream stream) {
    auto logger = stream == log_stream::standard_output
                      ? spdlog::stdout_logger_st("figridge")
                      : spdlog::stderr_logger_st("figridge");
    logger->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
    set_log_level(level);
}

void set_log_level(const std::string& level) {
    spdlog::default_logger_raw()->set_level(spdlog::level::from_str(level));
}

void set_log_rate_limit(std::uint32_t lines_per_second) {
    rate_limiter.lines_per_second = lines_per_second;
}

void log_event(log_level level, std::string_view event,
               const log_fields& fields) {
    auto found = rate_limiter.events.find(event);
    if (found == rate_limiter.events.end()) {
        found = rate_limiter.events
                    .emplace(std::string(event), log_rate_limiter::usage{})
                    .first;
    }
    auto& use = found->second;
    ++use.total;
    if (!spdlog::default_logger_raw()->should_log(to_spdlog(level))) {
        return;
    }
    const auto suppressed = rate_limiter.acquire(use);
    if (!suppressed) {
        return;
    }
    std::string line("event=");
    line.append(event);
    if (*suppressed > 0) {
        absl::StrAppend(&line, " left_out=", *suppressed);
    }
    for (const auto& [key, value] : fields) {
        line.push_back(' ');
        line.append(key);
        line.push_back('=');
        line.append(quote(value));
    }
    spdlog::default_logger_raw()->log(to_spdlog(level), "{}", line);
}

log_observer::log_observer() {
    for (auto& item : series_) {
        item.values =
            time_histogram(axis(bucket_count, min_bucket_s, max_bucket_s));
    }
}

void log_observer::log(log_level level, std::string_view event,
                       const log_fields& fields) {
    log_event(level, event, fields);
}

void log_observer::record(latency_metric what, duration value) {
    auto& item = series_[static_cast<std::size_t>(what)];
    const auto seconds = to_seconds(value);
    item.values(seconds);
    item.sum_s += seconds;
    ++item.count;
}

void log_observer::count(std::string_view counter, std::string_view label) {
    ++counts_[{counter, label}];
}

std::string log_observer::metrics_text(const nlohmann::json& message_counts,
                                       const nlohmann::json& gauges) const {
    std::string text;
    for (std::size_t index = 0; index < series_.size(); ++index) {
        const auto& item = series_[index];
        const auto* name = series_names[index];
        absl::StrAppend(&text, "# TYPE ", name, " histogram\n");
        double cumulative = item.values.at(-1);
        for (int bucket = 0; bucket < item.values.axis().size(); ++bucket) {
            cumulative += item.values.at(bucket);
            absl::StrAppend(&text, name, "_bucket{le=\"",
                            item.values.axis().bin(bucket).upper(), "\"} ",
                            cumulative, "\n");
        }
        absl::StrAppend(&text, name, "_bucket{le=\"+Inf\"} ", item.count, "\n",
                        name, "_sum ", item.sum_s, "\n", name, "_count ",
                        item.count, "\n");
    }
    std::string_view current_counter;
    for (const auto& [key, value] : counts_) {
        const std::string name(key.first);
        if (key.first != current_counter) {
            current_counter = key.first;
            absl::StrAppend(&text, "# TYPE figridge_", name,
                            "_total counter\n");
        }
        absl::StrAppend(&text, "figridge_", name, "_total{kind=\"",
                        std::string(key.second), "\"} ", value, "\n");
    }
    text += "# TYPE figridge_events_total counter\n";
    for (const auto& [event, use] : rate_limiter.events) {
        absl::StrAppend(&text, "figridge_events_total{event=\"", event, "\"} ",
                        use.total, "\n");
    }
    text += "# TYPE figridge_messages_total counter\n";
    for (const auto& [kind, counts] : message_counts.items()) {
        for (const auto* use : {"sent", "wasted"}) {
            absl::StrAppend(&text, "figridge_messages_total{kind=\"", kind,
                            "\",use=\"", use, "\"} ",
                            counts.at(use).get<std::uint64_t>(), "\n");
        }
    }
    for (const auto& [name, value] : gauges.items()) {
        absl::StrAppend(&text, "# TYPE figridge_", name, " gauge\nfigridge_",
                        name, " ", value.get<double>(), "\n");
    }
    return text;
}

} // namespace figridge
