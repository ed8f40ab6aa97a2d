// The platform, its workers and its clients for the cases of the second
// review, in one process. Plays one scenario and ends with 1 if the rule was
// broken, 0 if it held, 2 if the scenario could not be played.
//
//     stand_in_2 --ports 40                  prints the first of 40 free ports
//     stand_in_2 --scenario kinds --trouble=false --store 127.0.0.1:7000
//         --hosts 127.0.0.1:7101,127.0.0.1:7105 --ready 127.0.0.1:7102
//         --first_port 7200 --record FILE
#include <fstream>
#include <iostream>
#include <random>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include "adapters/http_client.hpp"
#include "adapters/log_observer.hpp"
#include "platform/leased_endpoint.hpp"
#include "platform/table_stand_in.hpp"

DEFINE_int32(ports, 0, "Print the first of this many free ports, and end.");
DEFINE_string(scenario, "kinds", "kinds, cancels or crashes.");
DEFINE_bool(trouble, true, "Whether the disruption happens.");
DEFINE_string(store, "127.0.0.1:7000", "Address of the store.");
DEFINE_string(hosts, "", "Addresses of the hosts for clients.");
DEFINE_string(ready, "", "Addresses at which the hosts say if they are ready.");
DEFINE_int32(first_port, 7200, "Port of the first worker.");
DEFINE_string(record, "record.txt", "What was sent, answered and run.");

namespace figridge::testing {
namespace {

constexpr int http_ok = 200;
constexpr int http_gone = 410;
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_played = 2;

// The bounds of the installation (`SYSTEM.md`, certis-ba).
constexpr duration cancel_bound = 3000ms;
constexpr duration caller_limit = 1500ms;
constexpr duration heartbeat = 1500ms;
constexpr std::uint32_t attempts = 4;

// Whether nothing listens or is bound at the port.
bool is_free(int port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0;
    close(descriptor);
    return free;
}

int print_free_ports(int count) {
    constexpr int first = 12'000;
    constexpr int last = 30'000;
    std::random_device source;
    for (int tries = 0; tries < 200; ++tries) {
        const int base = first + static_cast<int>(source() % (last - first));
        bool free = true;
        for (int port = base; port < base + count && free; ++port) {
            free = is_free(port);
        }
        if (free) {
            std::cout << base << "\n";
            return exit_held;
        }
    }
    return exit_not_played;
}

// A machine on which one worker lives at a time, under the same id.
struct machine {
    std::string id;
    std::string address;
    std::string zone;
    std::string rack;
    std::string kind;                        // of the present boot
    std::unique_ptr<leased_endpoint> worker; // none: it is down
    timestamp born{0};
    int boots = 0;
};

struct sent_job {
    std::string required;
    timestamp sent{0};
    std::string host;
    std::optional<timestamp> cancel_acked;
};

class world {
public:
    explicit world(event_loop& loop)
        : loop_(loop), store_(loop), client_(loop), record_(FLAGS_record),
          hosts_(absl::StrSplit(FLAGS_hosts, ',')),
          ready_(absl::StrSplit(FLAGS_ready, ',')), begun_(event_loop::now()),
          ready_timer_(loop, [this] { ask(); }),
          row_timer_(loop, [this] { write_rows(); }),
          send_timer_(loop, [this] { send_next(); }),
          crash_timer_(loop, [this] { crash_next(); }),
          restart_timer_(loop, [this] { restart_crashed(); }),
          end_timer_(loop, [this] { end(); }) {}

    bool start() {
        judge_.log_sink = [this](const char* event, const log_fields& fields) {
            note(event, fields);
        };
        judge_.end_due_runs = [this] {
            for (auto& each : machines_) {
                if (each.worker) {
                    each.worker->end_due_runs();
                }
            }
        };
        if (!store_.start(FLAGS_store).ok()) {
            return false;
        }
        constexpr int count = 12;
        for (int i = 0; i < count; ++i) {
            machine added;
            added.id = absl::StrCat("w-", i);
            added.address = absl::StrCat("127.0.0.1:", FLAGS_first_port + i);
            added.zone = absl::StrCat("z", i % 3 + 1);
            added.rack = absl::StrCat("r1-", i % 3 + 1);
            added.kind = i % 4 == 3 ? "b" : "a"; // one of each zone
            machines_.push_back(std::move(added));
        }
        for (auto& each : machines_) {
            if (!boot(each)) {
                return false;
            }
        }
        const json route{{"name", "r-1"},
                         {"host", "stamp.example"},
                         {"path-prefix", "/stamp/"},
                         {"service", "pool-1"},
                         {"priority", 0},
                         {"attempts", attempts},
                         {"stretch", 1.6},
                         {"target-latency-ms", 60},
                         {"timeout-ms", 30'000}};
        store_.put("op", "config",
                   {{"version", 1},
                    {"routes", json::array({route})},
                    {"services", json::array({{{"name", "pool-1"}}})},
                    {"limits", json::object()}});
        row_timer_.start_repeating(heartbeat);
        ready_timer_.start_repeating(200ms);
        return true;
    }

    [[nodiscard]] int result() const { return result_; }

private:
    // --- record ---
    void write(const std::string& line) {
        const auto at = to_ms(event_loop::now() - begun_);
        record_ << absl::StrFormat("%7d ", at) << line << "\n";
    }

    void note(const std::string& event, const log_fields& fields) {
        std::string line = event;
        std::map<std::string, std::string> values;
        for (const auto& [name, value] : fields) {
            absl::StrAppend(&line, " ", std::string(name), "=", value);
            values[std::string(name)] = value;
        }
        write(line);
        if (event == "run_started") {
            check_start(values);
        }
        if (event == "run_ended" && values["how"] == "failed") {
            ++failed_ends_[values["task"]];
        }
    }

    void violation(const std::string& text) {
        ++violations_;
        write("BROKEN " + text);
    }

    // --- rules ---
    void check_start(std::map<std::string, std::string>& run) {
        const auto id = run["task"].substr(0, run["task"].find('.'));
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            return violation("UNASKED: no client sent " + run["task"]);
        }
        const auto& job = found->second;
        const auto now = event_loop::now();
        if (job.cancel_acked && now - *job.cancel_acked > cancel_bound) {
            violation(absl::StrCat("UNASKED: ", run["task"], " started ",
                                   to_ms(now - *job.cancel_acked),
                                   " ms after its cancelling was answered"));
        }
        for (const auto& each : machines_) {
            if (each.id == run["endpoint"] && !job.required.empty() &&
                job.required != each.kind) {
                violation(absl::StrCat(
                    "ROUTE: ", run["task"], " requires ", job.required,
                    " and started on ", each.id, ", which is of kind ",
                    each.kind, " since ", to_ms(now - each.born), " ms"));
            }
        }
    }

    // A job is `failed` if a task of it has ended `failed` `attempts` times.
    void check_answer(const std::string& id, const http_result& result) {
        const auto body = parse_json(result.body);
        if (result.status != http_ok || !body.ok() || !body->is_object() ||
            body->value("state", "") != "failed") {
            return;
        }
        std::uint32_t most = 0;
        for (const auto& [task, ends] : failed_ends_) {
            most = task.starts_with(id) ? std::max(most, ends) : most;
        }
        if (most < attempts) {
            violation(absl::StrCat("LOST: ", id,
                                   " is shown as failed; no task of it has "
                                   "ended failed more than ",
                                   most, " times of ", attempts));
        }
    }

    // --- machines ---
    bool boot(machine& booted) {
        booted.born = event_loop::now();
        ++booted.boots;
        booted.worker = std::make_unique<leased_endpoint>(
            loop_, booted.id, booted.address, booted.zone, judge_);
        // The entry is in the store before the worker takes calls.
        write_row(booted);
        write(absl::StrCat("worker ", booted.id, " boot=", booted.boots,
                           " kind=", booted.kind));
        return booted.worker->start().ok();
    }

    void write_row(const machine& each) {
        auto row = each.worker->describe();
        row["labels"] = {each.kind, each.rack};
        row["machine"] = "m-" + each.id;
        row["seq"] = ++sequence_;
        store_.put("servers", each.id, row);
    }

    void write_rows() {
        for (const auto& each : machines_) {
            if (each.worker) {
                write_row(each);
            }
        }
    }

    void crash_next() {
        const bool any = FLAGS_scenario == "crashes";
        auto& next =
            machines_[any ? random_() % machines_.size()
                          : crash_order_[crashes_ % crash_order_.size()]];
        ++crashes_;
        write("worker " + next.id + " is killed");
        next.worker->crash(); // its runs have ended
        next.worker.reset();  // its port refuses channels
        crashed_ = &next;
        restart_timer_.start_once(any ? 500ms : 2500ms);
    }

    void restart_crashed() {
        if (FLAGS_scenario == "kinds") {
            crashed_->kind = crashed_->kind == "a" ? "b" : "a";
        }
        if (!boot(*crashed_)) {
            write("the port of " + crashed_->id + " is not free");
            finish(exit_not_played);
        }
    }

    // --- clients ---
    void ask() {
        if (playing_) {
            return;
        }
        if (event_loop::now() - begun_ > 20s) {
            write("the hosts are not ready");
            return finish(exit_not_played);
        }
        for (const auto& address : ready_) {
            http_call call;
            call.url = absl::StrCat("http://", address, "/ready");
            call.timeout = 150ms;
            client_.send(call, [this, address](const http_result& result) {
                if (result.outcome == http_outcome::answered &&
                    result.status == http_ok) {
                    ready_hosts_.insert(address);
                }
                if (ready_hosts_.size() == ready_.size() && !playing_) {
                    begin();
                }
            });
        }
    }

    void begin() {
        playing_ = true;
        ready_timer_.stop();
        write("all hosts are ready");
        if (FLAGS_scenario == "kinds") {
            send_timer_.start_repeating(33ms);
            if (FLAGS_trouble) {
                crash_timer_.start_repeating(4500ms);
            }
            end_timer_.start_once(60s);
        } else if (FLAGS_scenario == "crashes") {
            send_timer_.start_repeating(330ms);
            if (FLAGS_trouble) {
                crash_timer_.start_repeating(800ms);
            }
            end_timer_.start_once(65s);
        } else {
            send_timer_.start_repeating(500ms);
            end_timer_.start_once(25s);
        }
    }

    void send_next() {
        if (FLAGS_scenario == "crashes") {
            // Four tasks of 0.9 s; the client waits 6 s.
            return send({{"count", 4},
                         {"cpu", 6800},
                         {"mem-mb", 64},
                         {"estimate-ms", 900}},
                        1, 900, "", 6s);
        }
        if (FLAGS_scenario == "kinds") {
            static constexpr std::array<const char*, 5> required{"b", "a", "b",
                                                                 "a", ""};
            send({{"count", 2},
                  {"cpu", 6800},
                  {"mem-mb", 64},
                  {"estimate-ms", 200}},
                 1, 200, required[sent_ % required.size()], caller_limit);
        } else if (sent_ < 12) {
            // Six steps of 0.9 s, one after the other; the client waits 10 s.
            send({{"count", 1},
                  {"cpu", 1000},
                  {"mem-mb", 64},
                  {"estimate-ms", 900}},
                 6, 900, "", 10s);
        }
    }

    void send(json step, std::uint32_t steps, std::uint32_t work_ms,
              const std::string& required, duration limit) {
        const auto id = absl::StrFormat("%016x", random_());
        ++sent_;
        json list = json::array();
        if (!required.empty()) {
            step["requires"] = required;
        }
        for (std::uint32_t i = 0; i < steps; ++i) {
            if (i > 0) {
                step["after"] = json::array({i - 1});
            }
            list.push_back(step);
        }
        const auto cpu = step["cpu"].get<std::uint32_t>();
        const json body{{"spec", absl::StrCat("ms=", work_ms, " cpu=", cpu)},
                        {"steps", list},
                        {"best-effort", true}};
        auto& job = jobs_[id];
        job.required = required;
        job.sent = event_loop::now();
        job.host = hosts_[random_() % hosts_.size()];
        http_call call;
        call.method = "POST";
        call.url = absl::StrCat("http://", job.host, "/stamp/", id);
        call.body = dump_json(body);
        call.timeout = limit + 200ms;
        call.headers = {"Host: stamp.example",
                        absl::StrCat("X-Deadline-Ms: ", to_ms(limit))};
        write(absl::StrCat("POST ", id, " to ", job.host, " steps=", steps,
                           " tasks=", step["count"].get<int>(), " ms=", work_ms,
                           " requires=", required));
        client_.send(call, [this, id](const http_result& result) {
            answered_ += result.status == http_ok ? 1 : 0;
            write(absl::StrCat("answer to POST ", id, ": ", result.status, " ",
                               result.body));
            check_answer(id, result);
        });
        if (FLAGS_scenario == "cancels" && FLAGS_trouble) {
            cancel_timers_.push_back(std::make_unique<timer_watcher>(
                loop_, [this, id] { cancel(id); }));
            cancel_timers_.back()->start_once(400ms);
        }
    }

    void cancel(const std::string& id) {
        http_call call;
        call.method = "DELETE";
        call.url = absl::StrCat("http://", jobs_[id].host, "/stamp/", id);
        call.timeout = 2s;
        call.headers = {"Host: stamp.example"};
        write("DELETE " + id + " to " + jobs_[id].host);
        client_.send(call, [this, id](const http_result& result) {
            write(absl::StrCat("answer to DELETE ", id, ": ", result.status,
                               " ", result.body));
            if (result.outcome == http_outcome::answered &&
                (result.status / 100 == 2 || result.status == http_gone)) {
                jobs_[id].cancel_acked = event_loop::now();
            }
        });
    }

    void end() {
        write(absl::StrCat("sent ", sent_, ", answered with success ",
                           answered_, ", starts ", judge_.starts(),
                           ", workers killed ", crashes_, ", rule broken ",
                           violations_, " times"));
        if (sent_ == 0 || answered_ == 0) {
            return finish(exit_not_played);
        }
        finish(violations_ > 0 ? exit_broken : exit_held);
    }

    void finish(int result) {
        result_ = result;
        record_.flush();
        loop_.stop();
    }

    event_loop& loop_;
    run_judge judge_;
    table_stand_in store_;
    http_client client_;
    std::ofstream record_;
    std::vector<std::string> hosts_;
    std::vector<std::string> ready_;
    std::set<std::string> ready_hosts_;
    timestamp begun_;
    timer_watcher ready_timer_;
    timer_watcher row_timer_;
    timer_watcher send_timer_;
    timer_watcher crash_timer_;
    timer_watcher restart_timer_;
    timer_watcher end_timer_;
    std::vector<std::unique_ptr<timer_watcher>> cancel_timers_;
    std::vector<machine> machines_;
    machine* crashed_ = nullptr;
    std::map<std::string, sent_job> jobs_;
    std::map<std::string, std::uint32_t> failed_ends_; // by task
    std::mt19937_64 random_{std::random_device{}()};
    // One worker of each kind by turns.
    std::vector<std::size_t> crash_order_{3, 0, 7, 1, 11, 2, 0, 3, 1, 7};
    std::size_t crashes_ = 0;
    std::uint64_t sequence_ = 0;
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t violations_ = 0;
    bool playing_ = false;
    int result_ = exit_not_played;
};

} // namespace
} // namespace figridge::testing

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_ports > 0) {
        return figridge::testing::print_free_ports(FLAGS_ports);
    }
    figridge::start_log("error", figridge::log_stream::standard_output);
    figridge::event_loop loop;
    figridge::testing::world played(loop);
    if (!played.start()) {
        std::cerr << "stand_in_2: an address is taken\n";
        return figridge::testing::exit_not_played;
    }
    loop.run();
    return played.result();
}
