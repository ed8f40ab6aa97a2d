#include "daemon.hpp"

#include <csignal>
#include <fstream>
#include <random>
#include <set>

#include <sys/resource.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>

#include "adapters/caller_api.hpp"
#include "adapters/endpoint_http.hpp"
#include "adapters/event_loop.hpp"
#include "adapters/http_client.hpp"
#include "adapters/log_observer.hpp"
#include "adapters/peer_transport.hpp"
#include "adapters/platform_http.hpp"
#include "codec/json_codec.hpp"
#include "envelope_link.hpp"

namespace figridge {
namespace {

constexpr duration tick_interval = 20ms;
constexpr duration abort_grace = 5s;
constexpr int exit_listen_failed = 1;
constexpr int exit_drain_aborted = 3;

std::uint64_t random_incarnation() {
    std::random_device source;
    return (std::uint64_t{source()} << 32) | source();
}

core_settings with_incarnation(core_settings settings) {
    settings.incarnation = random_incarnation();
    if (settings.seed == 0) {
        settings.seed = settings.incarnation;
    }
    return settings;
}

json read_process_usage() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) +
               static_cast<double>(time.tv_usec) * 1e-6;
    };
    std::ifstream statm("/proc/self/statm");
    double total_pages = 0;
    double resident_pages = 0;
    statm >> total_pages >> resident_pages;
    return {{"cpu_seconds", seconds(usage.ru_utime) + seconds(usage.ru_stime)},
            {"resident_bytes",
             resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE))}};
}

// Owns all objects of the process; lives as long as the loop runs.
class figridge_daemon final : envelope_events,
                              endpoint_events,
                              platform_events {
public:
    explicit figridge_daemon(const daemon_settings& settings)
        : settings_(settings), core_settings_(with_incarnation(settings.core)),
          client_(loop_), endpoints_(client_, *this),
          platform_(client_, settings.platform_address,
                    core_settings_.platform_timeout, *this),
          peers_(loop_, core_settings_.self.address, core_settings_.seed,
                 *this),
          api_(loop_, settings.max_body_bytes, observer_),
          core_(core_settings_,
                {peers_, endpoints_, platform_, api_, observer_}),
          ticker_(loop_, [this] { tick(); }),
          drain_timer_(loop_, [this] { abort_drain(); }),
          on_term_(loop_, SIGTERM, [this] { stop_requested(); }),
          on_int_(loop_, SIGINT, [this] { stop_requested(); }),
          on_usr1_(loop_, SIGUSR1, [this] { log_state(); }) {}

    int run() {
        api_.attach(core_);
        api_.on_drain_request = [this] { begin_drain(); };
        api_.on_cut_request = [this](const std::string& body) {
            return cut_peers(body);
        };
        api_.process_gauges = [this] { return gauges(); };
        for (const auto& status :
             {peers_.transport().listen(core_settings_.self.address),
              api_.start(settings_.callers_address)}) {
            if (!status.ok()) {
                log_event(log_level::error, "start_failed",
                          {{"error", std::string(status.message())}});
                return exit_listen_failed;
            }
        }
        for (const auto& host : core_settings_.hosts) {
            if (const auto status = peers_.transport().add_peer(host.address);
                !status.ok()) {
                log_event(log_level::error, "peer_address_unusable",
                          {{"peer", host.address},
                           {"error", std::string(status.message())}});
            }
        }
        log_event(
            log_level::info, "started",
            {{"address", core_settings_.self.address},
             {"callers", settings_.callers_address},
             {"failure_domain", core_settings_.self.failure_domain},
             {"incarnation", std::to_string(core_settings_.incarnation)}});
        core_.start(event_loop::now());
        ticker_.start_repeating(tick_interval);
        loop_.run();
        log_event(log_level::info, "stopped",
                  {{"cut", drain_aborted_ ? "yes" : "no"}});
        return drain_aborted_ ? exit_drain_aborted : 0;
    }

private:
    void on_envelope(const envelope& message) override {
        core_.handle_envelope(event_loop::now(), message);
    }
    void on_link_refused(const std::string& host, timestamp begun) override {
        core_.handle_link_refused(event_loop::now(), host, begun);
    }
    void on_link_restored(const std::string& host) override {
        core_.handle_link_restored(event_loop::now(), host);
    }
    void on_start_reply(const start_reply& reply) override {
        core_.handle_start_reply(event_loop::now(), reply);
    }
    void on_probe_reply(const probe_reply& reply) override {
        core_.handle_probe_reply(event_loop::now(), reply);
    }
    void on_table_reply(std::uint64_t request,
                        const table_reply& reply) override {
        core_.handle_table_reply(event_loop::now(), request, reply);
    }
    void on_endpoint_list(std::uint64_t request, bool ok,
                          const std::vector<endpoint_info>& list) override {
        core_.handle_endpoint_list(event_loop::now(), request, ok, list);
    }

    void tick() {
        core_.tick(event_loop::now());
        if (core_.is_drained() && api_.held_requests() == 0) {
            loop_.stop();
        }
    }

    void begin_drain() {
        if (!draining_) {
            draining_ = true;
            drain_timer_.start_once(core_settings_.drain_limit);
            core_.drain(event_loop::now());
        }
    }

    void stop_requested() {
        if (draining_) {
            abort_drain();
        } else {
            begin_drain();
        }
    }

    // Fails the work that is still running; a second call ends the process.
    void abort_drain() {
        if (drain_aborted_) {
            loop_.stop();
            return;
        }
        drain_aborted_ = true;
        core_.stop_now(event_loop::now());
        drain_timer_.start_once(abort_grace);
    }

    absl::Status cut_peers(const std::string& body) {
        if (!settings_.allow_cut) {
            return absl::PermissionDeniedError(
                "debug.allow_cut is not set for this host");
        }
        const auto value = parse_json(body);
        if (!value.ok()) {
            return value.status();
        }
        std::set<std::string> hosts;
        if (!value->is_object() || !value->contains("hosts") ||
            !(*value)["hosts"].is_array()) {
            return absl::InvalidArgumentError("hosts: expected an array");
        }
        for (const auto& host : (*value)["hosts"]) {
            if (!host.is_string()) {
                return absl::InvalidArgumentError(
                    "hosts: expected an array of addresses");
            }
            hosts.insert(host.get<std::string>());
        }
        peers_.transport().set_cut(std::move(hosts));
        return absl::OkStatus();
    }

    json gauges() const {
        auto values = read_process_usage();
        values["peer_bytes_sent"] =
            static_cast<double>(peers_.transport().bytes_sent());
        return values;
    }

    void log_state() {
        log_event(log_level::info, "state",
                  {{"dump", dump_json(core_.dump_state())}});
    }

    event_loop loop_;
    daemon_settings settings_;
    core_settings core_settings_;
    log_observer observer_;
    http_client client_;
    endpoint_http endpoints_;
    platform_http platform_;
    envelope_link peers_;
    caller_api api_;
    host_core core_;
    timer_watcher ticker_;
    timer_watcher drain_timer_;
    signal_watcher on_term_;
    signal_watcher on_int_;
    signal_watcher on_usr1_;
    bool draining_ = false;
    bool drain_aborted_ = false;
};

} // namespace

int run_daemon(const daemon_settings& settings) {
    signal(SIGPIPE, SIG_IGN);
    start_log(settings.log_level);
    figridge_daemon daemon(settings);
    return daemon.run();
}

} // namespace figridge
