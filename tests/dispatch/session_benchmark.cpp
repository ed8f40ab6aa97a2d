// Prints what an answer of an endpoint costs beside few and many runs. It is
// started by hand.
#include <iostream>

#include "session_fixture.hpp"

namespace figridge::dispatch {
namespace {

constexpr std::uint32_t answers = 100;

// Stops some runs of so many, and answers each stop.
double stop_answer_us(std::uint32_t runs) {
    session_fixture endpoint;
    endpoint.answer_hold({});
    for (std::uint32_t i = 0; i < runs; ++i) {
        endpoint.start(i, 1);
        endpoint.answer_start(i);
    }
    for (std::uint32_t i = 0; i < answers; ++i) {
        endpoint.session->stop(endpoint.now, session_fixture::run_of(i));
    }
    auto& stops = endpoint.port.stops;
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < stops.size(); ++i) {
        endpoint.session->handle_stop(endpoint.now, stops[i].run,
                                      {call_status::ok, endpoint.clock_ms()});
    }
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - begin;
    return time.count() / static_cast<double>(stops.size());
}

// Starts a run beside so many, and answers it.
double start_answer_us(std::uint32_t runs) {
    session_fixture endpoint;
    endpoint.answer_hold({});
    for (std::uint32_t i = 0; i < runs; ++i) {
        endpoint.start(i, 1);
        endpoint.answer_start(i);
    }
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t i = runs; i < runs + answers; ++i) {
        endpoint.start(i, 1);
        endpoint.answer_start(i);
        static_cast<void>(endpoint.session->free_resources());
    }
    const std::chrono::duration<double, std::micro> time =
        std::chrono::steady_clock::now() - begin;
    return time.count() / answers;
}

} // namespace
} // namespace figridge::dispatch

int main() {
    using namespace figridge::dispatch;
    for (const std::uint32_t runs : {100U, 10'000U}) {
        std::cout << runs << " runs: " << start_answer_us(runs)
                  << " us a start and its answer, " << stop_answer_us(runs)
                  << " us an answer to a stop" << std::endl;
    }
    return 0;
}
