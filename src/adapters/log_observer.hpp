// Log and metrics of one process.
#ifndef FIGRIDGE_ADAPTERS_LOG_OBSERVER_HPP
#define FIGRIDGE_ADAPTERS_LOG_OBSERVER_HPP

#include <array>
#include <map>
#include <string>

#include <boost/histogram.hpp>
#include <nlohmann/json_fwd.hpp>

#include "figridge/ports.hpp"

namespace figridge {

enum class log_stream { standard_error, standard_output };

// Sets up the process's log: one line of key=value pairs for each event.
// `level` is one of debug, info, warning, error.
void start_log(const std::string& level,
               log_stream stream = log_stream::standard_error);

// Changes the level of the process's log.
void set_log_level(const std::string& level);

// Limits the lines written per second for each event; 0 means no limit. The
// next line of an event gives the number of lines suppressed before it.
void set_log_rate_limit(std::uint32_t lines_per_second);

// Writes one event. Not thread-safe, because it counts the lines per event.
void log_event(log_level level, std::string_view event,
               const log_fields& fields);

// Writes events to the log and records histograms and counters.
// Not thread-safe.
class log_observer final : public observer_port {
public:
    log_observer();

    void log(log_level level, std::string_view event,
             const log_fields& fields) override;
    void record(latency_metric what, duration value) override;
    void count(std::string_view counter, std::string_view label) override;

    // The histograms, counters and message counts as Prometheus text.
    [[nodiscard]] std::string metrics_text(const nlohmann::json& message_counts,
                                           const nlohmann::json& gauges) const;

private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using time_histogram = boost::histogram::histogram<std::tuple<axis>>;
    struct series {
        time_histogram values;
        double sum_s = 0;
        std::uint64_t count = 0;
    };
    std::array<series, 4> series_;
    std::map<std::pair<std::string_view, std::string_view>, std::uint64_t>
        counts_;
};

} // namespace figridge

#endif
