// C++ wrappers of the libev loop and its watchers.
//
// A process has one `event_loop`. Watchers call back from `run()`; they stop
// when destroyed. Nothing here is thread-safe.
#ifndef FIGRIDGE_ADAPTERS_EVENT_LOOP_HPP
#define FIGRIDGE_ADAPTERS_EVENT_LOOP_HPP

#include <functional>

#include <ev.h>

#include "figridge/time.hpp"

namespace figridge {

class event_loop {
public:
    event_loop() : loop_(ev_default_loop(EVFLAG_AUTO)) {}
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void run() { ev_run(loop_, 0); }
    void run_for(duration time);
    void stop() { ev_break(loop_, EVBREAK_ALL); }

    // Monotonic time.
    [[nodiscard]] static timestamp now();
    [[nodiscard]] struct ev_loop* raw() const { return loop_; }

private:
    struct ev_loop* loop_;
};

// Calls back when a descriptor is ready. The owner of the descriptor owns the
// watcher too.
class io_watcher {
public:
    using callback = std::function<void(int events)>;

    io_watcher(event_loop& loop, int descriptor, int events, callback ready);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;

    void set_events(int events);
    // Calls back in this or the next iteration, ready or not.
    void trigger();

private:
    event_loop& loop_;
    ev_io watcher_{};
    callback ready_;
};

// Calls back after a delay, once or repeatedly.
class timer_watcher {
public:
    using callback = std::function<void()>;

    timer_watcher(event_loop& loop, callback due);
    ~timer_watcher();
    timer_watcher(const timer_watcher&) = delete;
    timer_watcher& operator=(const timer_watcher&) = delete;

    void start_once(duration after);
    void start_repeating(duration interval);
    void stop();

private:
    event_loop& loop_;
    ev_timer watcher_{};
    callback due_;
};

// Calls back before the loop waits for events, after those that were ready have
// been handled. Does not keep the loop running.
class prepare_watcher {
public:
    using callback = std::function<void()>;

    // Not thread-safe.
    prepare_watcher(event_loop& loop, callback handled);
    ~prepare_watcher();
    prepare_watcher(const prepare_watcher&) = delete;
    prepare_watcher& operator=(const prepare_watcher&) = delete;

private:
    event_loop& loop_;
    ev_prepare watcher_{};
    callback handled_;
};

// Calls back on a signal.
class signal_watcher {
public:
    using callback = std::function<void()>;

    signal_watcher(event_loop& loop, int number, callback received);
    ~signal_watcher();
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;

private:
    event_loop& loop_;
    ev_signal watcher_{};
    callback received_;
};

} // namespace figridge

#endif
