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

#include <csignal>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include "adapters/http_client.hpp"
#include "adapters/log_observer.hpp"
#include "late_gate.hpp"
#include "platform/leased_endpoint.hpp"
#include "platform/table_stand_in.hpp"

DEFINE_int32(ports, 0, "Print the first of this many free ports, and end.");
DEFINE_string(scenario, "kinds", "kinds, crashes, herd or ids.");
DEFINE_bool(trouble, true, "Whether the disruption happens.");
DEFINE_string(store, "127.0.0.1:7000", "Address of the store.");
DEFINE_string(hosts, "", "Addresses of the hosts for clients.");
DEFINE_string(ready, "", "Addresses at which the hosts say if they are ready.");
DEFINE_int32(first_port, 7200, "Port of the first worker.");
DEFINE_string(settings, "",
              "Settings files of the hosts, which this process then starts.");
DEFINE_string(record, "record.txt", "What was sent, answered and run.");

namespace figridge::testing {
namespace {

constexpr int http_ok = 200;
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_played = 2;

// The bounds of the installation (`SYSTEM.md`, certis-ba).
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
    std::string shown; // in its entry, if it is another one
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
          round_timer_(loop, [this] { begin_round(); }),
          boot_timer_(loop, [this] { boot_first(); }),
          job_timer_(loop, [this] { send_job(); }),
          kill_timer_(loop, [this] { kill_hosts(); }),
          revive_timer_(loop, [this] { start_hosts(); }),
          end_timer_(loop, [this] { end(); }) {}

    ~world() { kill_processes(); }
    world(const world&) = delete;
    world& operator=(const world&) = delete;

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
        if (FLAGS_scenario == "herd") {
            for (std::size_t i = 0; i < machines_.size(); ++i) {
                auto& each = machines_[i];
                each.shown = each.address;
                each.address =
                    absl::StrCat("127.0.0.1:", FLAGS_first_port + 12 + i);
                gates_.push_back(std::make_unique<late_gate>(
                    loop_, each.address,
                    [this, i](const std::string& path,
                              const std::string& body) {
                        return lateness_of(i, path, body);
                    }));
                if (!gates_.back()->start(each.shown).ok()) {
                    return false;
                }
            }
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
        auto second = route;
        second["name"] = "r-2";
        second["path-prefix"] = "/log/";
        second["service"] = "pool-2";
        store_.put("op", "config",
                   {{"version", 1},
                    {"routes", json::array({route, second})},
                    {"services",
                     json::array({{{"name", "pool-1"}}, {{"name", "pool-2"}}})},
                    {"limits", json::object()}});
        row_timer_.start_repeating(heartbeat);
        start_hosts();
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
        if (event == "complaint" && FLAGS_scenario == "herd") {
            violation("TWICE: " + values["text"]);
        }
        if (event == "run_ended" && values["how"] == "done") {
            ++done_[is_of_second(values["endpoint"])]
                   [values["task"].substr(0, values["task"].find('.'))];
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
        if (!booted.shown.empty()) {
            booted.worker->set_shown_address(booted.shown);
        }
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
        if (FLAGS_scenario == "ids" && is_of_second(each.id)) {
            row["service"] = "pool-2";
        }
        row["seq"] = ++sequence_;
        store_.put("servers", each.id, row);
    }

    // In "ids", the workers of each zone are of both services by turns.
    [[nodiscard]] bool is_of_second(const std::string& id) const {
        for (std::size_t i = 0; i < machines_.size(); ++i) {
            if (machines_[i].id == id) {
                return i / 3 % 2 == 1;
            }
        }
        return false;
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

    // --- hosts ---
    void start_hosts() {
        if (FLAGS_settings.empty()) {
            return;
        }
        for (const auto& file : absl::StrSplit(FLAGS_settings, ',')) {
            const std::string settings(file);
            const auto pid = fork();
            if (pid == 0) {
                prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this process
                const int target = open("/dev/null", O_WRONLY);
                dup2(target, STDOUT_FILENO);
                dup2(target, STDERR_FILENO);
                execl("target/figridged", "target/figridged", "--config",
                      settings.c_str(), nullptr);
                _exit(127);
            }
            pids_.push_back(pid);
        }
        write("all hosts are started");
    }

    void kill_processes() {
        for (const auto pid : pids_) {
            kill(pid, SIGKILL);
        }
        for (const auto pid : pids_) {
            waitpid(pid, nullptr, 0);
        }
        pids_.clear();
    }

    // --- all hosts end at once, after an order that is carried out late ---
    void begin_round() {
        if (++round_ > rounds) {
            return;
        }
        write(absl::StrCat("round ", round_));
        if (FLAGS_trouble) {
            auto& first = machines_.front();
            write("worker " + first.id + " is killed");
            ++crashes_;
            first.worker->crash();
            first.worker.reset();
            boot_timer_.start_once(300ms);
        } else {
            job_timer_.start_once(320ms);
        }
    }

    void boot_first() {
        if (!boot(machines_.front())) {
            write("the port of the first worker is not free");
            return finish(exit_not_played);
        }
        job_timer_.start_once(20ms);
    }

    void send_job() {
        open_id_ = absl::StrFormat("%016x", random_());
        give_up_at_ = event_loop::now() + 12s;
        late_from_.reset();
        post_open_job(hosts_.front());
        if (FLAGS_trouble) {
            kill_timer_.start_once(250ms);
        }
    }

    // Orders to the first worker from that start on, for 5.5 s, are left
    // unanswered and carried out 4 s later.
    duration lateness_of(std::size_t index, const std::string& path,
                         const std::string& body) {
        const auto now = event_loop::now();
        const bool start = path == "/run-start" && !open_id_.empty() &&
                           body.find(open_id_) != std::string::npos;
        if (FLAGS_trouble && start && index == 0 && !late_from_) {
            late_from_ = now;
        }
        const bool within =
            late_from_ && now - *late_from_ < std::chrono::milliseconds(5500);
        orders_ += within ? 1 : 0;
        if (!within || index != 0) {
            return duration{0};
        }
        ++held_;
        write(absl::StrCat("held for 4 s: ", path, " ", body));
        return 4s;
    }

    void kill_hosts() {
        write("all hosts are killed");
        kill_processes();
        revive_timer_.start_once(500ms);
    }

    void post_open_job(const std::string& host) {
        const auto left = give_up_at_ - event_loop::now();
        if (left <= 100ms) {
            write("the client gives up " + open_id_);
            return;
        }
        const json step{
            {"count", 1}, {"cpu", 6800}, {"mem-mb", 64}, {"estimate-ms", 3600}};
        http_call call;
        call.method = "POST";
        call.url = absl::StrCat("http://", host, "/stamp/", open_id_);
        call.body = dump_json({{"spec", "ms=3600 cpu=6800"},
                               {"steps", json::array({step})},
                               {"best-effort", true}});
        call.timeout = left;
        call.headers = {"Host: stamp.example",
                        absl::StrCat("X-Deadline-Ms: ", to_ms(left))};
        jobs_[open_id_].host = host;
        ++sent_;
        write(absl::StrCat("POST ", open_id_, " to ", host));
        client_.send(call, [this, id = open_id_](const http_result& result) {
            write(absl::StrCat("answer to POST ", id, ": ", result.status, " ",
                               result.body));
            if (result.status == http_ok) {
                ++answered_;
                return;
            }
            if (result.status == 503 || result.status == 429) {
                return; // it was not accepted and never runs
            }
            resend_timers_.push_back(std::make_unique<timer_watcher>(
                loop_, [this] { post_open_job(hosts_[random_() % 6]); }));
            resend_timers_.back()->start_once(1300ms);
        });
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
        if (FLAGS_scenario == "herd") {
            // Clients of the other two zones.
            send_timer_.start_repeating(25ms);
            round_timer_.start_repeating(18s);
            end_timer_.start_once(18s * (rounds + 1));
        } else if (FLAGS_scenario == "kinds") {
            send_timer_.start_repeating(33ms);
            if (FLAGS_trouble) {
                crash_timer_.start_repeating(4500ms);
            }
            end_timer_.start_once(60s);
        } else if (FLAGS_scenario == "ids") {
            send_timer_.start_repeating(100ms);
            end_timer_.start_once(30s);
        } else if (FLAGS_scenario == "crashes") {
            send_timer_.start_repeating(330ms);
            if (FLAGS_trouble) {
                crash_timer_.start_repeating(800ms);
            }
            end_timer_.start_once(65s);
        }
    }

    void send_next() {
        if (FLAGS_scenario == "herd") {
            return send({{"count", 2},
                         {"cpu", 1000},
                         {"mem-mb", 64},
                         {"estimate-ms", 60}},
                        60, "", caller_limit);
        }
        if (FLAGS_scenario == "ids") {
            // The clients of each queue number their jobs from 1 on.
            const auto number = sent_ / 2 + 1;
            const bool second = sent_ % 2 == 1;
            ++sent_;
            return send_numbered(
                second, FLAGS_trouble || !second ? number : number + 1'000'000);
        }
        if (FLAGS_scenario == "crashes") {
            // Four tasks of 0.9 s; the client waits 6 s.
            return send({{"count", 4},
                         {"cpu", 6800},
                         {"mem-mb", 64},
                         {"estimate-ms", 900}},
                        900, "", 6s);
        }
        if (FLAGS_scenario == "kinds") {
            static constexpr std::array<const char*, 5> required{"b", "a", "b",
                                                                 "a", ""};
            send({{"count", 2},
                  {"cpu", 6800},
                  {"mem-mb", 64},
                  {"estimate-ms", 200}},
                 200, required[sent_ % required.size()], caller_limit);
        }
    }

    // Two tasks of 0.06 s. A job is completed if both tasks have ended done on
    // workers of its queue's service.
    void send_numbered(bool second, std::size_t number) {
        const auto id = absl::StrFormat("%016x", number);
        const std::string path = (second ? "/log/" : "/stamp/") + id;
        const auto& host = hosts_[random_() % hosts_.size()];
        const json step{
            {"count", 2}, {"cpu", 6800}, {"mem-mb", 64}, {"estimate-ms", 60}};
        http_call call;
        call.method = "POST";
        call.url = absl::StrCat("http://", host, path);
        call.body = dump_json({{"spec", absl::StrCat("ms=60 cpu=6800 of=",
                                                     second ? "log" : "stamp")},
                               {"steps", json::array({step})},
                               {"best-effort", true}});
        call.timeout = caller_limit + 200ms;
        call.headers = {"Host: stamp.example",
                        absl::StrCat("X-Deadline-Ms: ", to_ms(caller_limit))};
        write(absl::StrCat("POST ", path, " to ", host));
        jobs_[id];
        client_.send(call, [this, second, id, path](const http_result& result) {
            const auto body = parse_json(result.body);
            write(absl::StrCat("answer to POST ", path, ": ", result.status,
                               " ", result.body));
            if (result.status != http_ok || !body.ok() ||
                body->value("state", "") != "completed") {
                return;
            }
            ++answered_;
            if (done_[second][id] < 2) {
                violation(absl::StrCat(
                    "MIXED: ", path, " is shown as completed; ",
                    done_[second][id], " of its 2 tasks have ended done"));
            }
        });
    }

    // A job of one step.
    void send(json step, std::uint32_t work_ms, const std::string& required,
              duration limit) {
        const auto id = absl::StrFormat("%016x", random_());
        ++sent_;
        if (!required.empty()) {
            step["requires"] = required;
        }
        const auto cpu = step["cpu"].get<std::uint32_t>();
        const json body{{"spec", absl::StrCat("ms=", work_ms, " cpu=", cpu)},
                        {"steps", json::array({step})},
                        {"best-effort", true}};
        auto& job = jobs_[id];
        job.required = required;
        job.sent = event_loop::now();
        job.host = hosts_[random_() % hosts_.size()];
        while (FLAGS_scenario == "herd" &&
               (job.host == hosts_[0] || job.host == hosts_[3])) {
            job.host = hosts_[random_() % hosts_.size()];
        }
        http_call call;
        call.method = "POST";
        call.url = absl::StrCat("http://", job.host, "/stamp/", id);
        call.body = dump_json(body);
        call.timeout = limit + 200ms;
        call.headers = {"Host: stamp.example",
                        absl::StrCat("X-Deadline-Ms: ", to_ms(limit))};
        write(absl::StrCat("POST ", id, " to ", job.host,
                           " tasks=", step["count"].get<int>(), " ms=", work_ms,
                           " requires=", required));
        client_.send(call, [this, id](const http_result& result) {
            answered_ += result.status == http_ok ? 1 : 0;
            write(absl::StrCat("answer to POST ", id, ": ", result.status, " ",
                               result.body));
            check_answer(id, result);
        });
    }

    void end() {
        write(absl::StrCat("sent ", sent_, ", answered with success ",
                           answered_, ", starts ", judge_.starts(),
                           ", workers killed ", crashes_, ", rule broken ",
                           violations_, " times"));
        if (orders_ > 0) {
            write(absl::StrCat(held_, " of ", orders_,
                               " orders to workers in those times were late"));
        }
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
    timer_watcher round_timer_;
    timer_watcher boot_timer_;
    timer_watcher job_timer_;
    timer_watcher kill_timer_;
    timer_watcher revive_timer_;
    timer_watcher end_timer_;
    std::vector<machine> machines_;
    machine* crashed_ = nullptr;
    std::map<std::string, sent_job> jobs_;
    std::map<std::string, std::uint32_t> failed_ends_; // by task
    std::array<std::map<std::string, int>, 2> done_;   // by service and job
    std::mt19937_64 random_{std::random_device{}()};
    // One worker of each kind by turns.
    std::vector<std::size_t> crash_order_{3, 0, 7, 1, 11, 2, 0, 3, 1, 7};
    std::size_t crashes_ = 0;
    // All hosts end at once:
    static constexpr int rounds = 3;
    std::vector<std::unique_ptr<late_gate>> gates_;
    std::size_t orders_ = 0; // while those to the first worker are late
    std::size_t held_ = 0;
    std::vector<pid_t> pids_;
    int round_ = 0;
    std::string open_id_;
    timestamp give_up_at_{0};
    std::optional<timestamp> late_from_;
    std::vector<std::unique_ptr<timer_watcher>> resend_timers_;
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
