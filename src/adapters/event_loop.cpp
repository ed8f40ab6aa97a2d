#include "event_loop.hpp"

#include <utility>

namespace figridge {

timestamp event_loop::now() {
    return std::chrono::duration_cast<timestamp>(
        std::chrono::steady_clock::now().time_since_epoch());
}

void event_loop::run_for(duration time) {
    timer_watcher end(*this, [this] { stop(); });
    end.start_once(time);
    run();
}

io_watcher::io_watcher(event_loop& loop, int descriptor, int events,
                       callback ready)
    : loop_(loop), ready_(std::move(ready)) {
    const auto call = [](struct ev_loop*, ev_io* watcher, int revents) {
        static_cast<io_watcher*>(watcher->data)->ready_(revents);
    };
    ev_io_init(&watcher_, call, descriptor, events);
    watcher_.data = this;
    ev_io_start(loop_.raw(), &watcher_);
}

io_watcher::~io_watcher() {
    ev_io_stop(loop_.raw(), &watcher_);
}

void io_watcher::set_events(int events) {
    if (watcher_.events == events) {
        return;
    }
    ev_io_stop(loop_.raw(), &watcher_);
    ev_io_set(&watcher_, watcher_.fd, events);
    if (events != 0) {
        ev_io_start(loop_.raw(), &watcher_);
    }
}

void io_watcher::trigger() {
    ev_feed_event(loop_.raw(), &watcher_, EV_READ);
}

timer_watcher::timer_watcher(event_loop& loop, callback due)
    : loop_(loop), due_(std::move(due)) {
    const auto call = [](struct ev_loop*, ev_timer* watcher, int) {
        static_cast<timer_watcher*>(watcher->data)->due_();
    };
    ev_init(&watcher_, call);
    watcher_.data = this;
}

timer_watcher::~timer_watcher() {
    stop();
}

void timer_watcher::start_once(duration after) {
    stop();
    ev_now_update(loop_.raw());
    ev_timer_set(&watcher_, to_seconds(after), 0.0);
    ev_timer_start(loop_.raw(), &watcher_);
}

void timer_watcher::start_repeating(duration interval) {
    stop();
    ev_timer_set(&watcher_, to_seconds(interval), to_seconds(interval));
    ev_timer_start(loop_.raw(), &watcher_);
}

void timer_watcher::stop() {
    ev_timer_stop(loop_.raw(), &watcher_);
}

prepare_watcher::prepare_watcher(event_loop& loop, callback handled)
    : loop_(loop), handled_(std::move(handled)) {
    const auto call = [](struct ev_loop*, ev_prepare* watcher, int) {
        static_cast<prepare_watcher*>(watcher->data)->handled_();
    };
    ev_prepare_init(&watcher_, call);
    watcher_.data = this;
    ev_prepare_start(loop_.raw(), &watcher_);
    ev_unref(loop_.raw());
}

prepare_watcher::~prepare_watcher() {
    ev_ref(loop_.raw());
    ev_prepare_stop(loop_.raw(), &watcher_);
}

signal_watcher::signal_watcher(event_loop& loop, int number, callback received)
    : loop_(loop), received_(std::move(received)) {
    const auto call = [](struct ev_loop*, ev_signal* watcher, int) {
        static_cast<signal_watcher*>(watcher->data)->received_();
    };
    ev_signal_init(&watcher_, call, number);
    watcher_.data = this;
    ev_signal_start(loop_.raw(), &watcher_);
    // A signal watcher alone does not keep the loop running.
    ev_unref(loop_.raw());
}

signal_watcher::~signal_watcher() {
    ev_ref(loop_.raw());
    ev_signal_stop(loop_.raw(), &watcher_);
}

} // namespace figridge
