#include "order_model.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "core/dispatch/dispatcher.hpp"
#include "virtual_endpoint.hpp"

namespace figridge::dispatch::orders {
namespace {

using fleet::observations;
using fleet::virtual_endpoint;

constexpr duration hop_time = 1ms;
constexpr duration store_time = 4ms;
constexpr duration tick_interval = 25ms;
constexpr duration slot_interval = 200ms;
constexpr duration call_timeout = 150ms;
constexpr duration reconnect_pause = 100ms;
constexpr duration connect_timeout = 300ms;
constexpr duration restart_time = 300ms;
constexpr duration stop_check_interval = 25ms;
// From the start of the processes to the start of the scenario.
constexpr duration warm_up = 1200ms;
constexpr duration caller_timeout = 6s;
constexpr std::uint64_t first_token = 1000;

// Options of the kinds of decision points.
constexpr duration link_delays[] = {100ms, 400ms, 900ms, 2500ms};
constexpr duration heal_delays[] = {100ms, 300ms, 700ms};
constexpr duration step_delays[] = {50ms, 150ms, 400ms};
constexpr duration freezes[] = {300ms, 600ms, 1000ms, 1500ms};
constexpr duration cuts[] = {500ms, 1200ms, 2500ms};
// An endpoint is down this long after a crash.
constexpr duration crashes[] = {5ms, 300ms};
constexpr duration listed_after[] = {200ms, 900ms};
// A slow host handles what waits for it this often, its timers first.
constexpr duration slow_cycles[] = {120ms, 250ms};
constexpr duration slow_for = 1500ms;

// What an input of a process comes from.
enum class input_source { timer, link, endpoint, store, caller };

struct waiting_input {
    input_source source;
    std::function<void(dispatcher&)> handle;
};

// In what order a process that was frozen handles what waits for it. By
// default all in the order of arrival, then its timers.
constexpr const char* resume_orders[] = {
    "handles its tick first",
    "handles its tick and the time limits of its calls first",
    "handles its timers first, messages of hosts last",
    "handles its timers first, rows of the store last"};

constexpr std::size_t timers_first = 2;

int rank_of(input_source source, std::size_t order) {
    if (order < 2) {
        return 0;
    }
    const auto last = order == 3   ? input_source::link
                      : order == 4 ? input_source::store
                                   : input_source::timer;
    return source == input_source::timer ? 0 : source == last ? 2 : 1;
}

class order_model;

// One host: its process and ports.
class order_host final : public peer_port,
                         public endpoint_port,
                         public holder_store_port,
                         public caller_port,
                         public observer_port {
public:
    order_host(order_model& model, std::size_t host_index)
        : index(host_index),
          address(absl::StrCat("10.1.0.", host_index + 1, ":1")),
          model_(model) {}

    void connect(const std::string& to) override;
    void disconnect(const std::string& to) override;
    void send(const std::string& to, const envelope& message) override;
    [[nodiscard]] bool
    is_connected(const call_target& target,
                 std::int64_t instance_started_ms) const override;
    void start(const start_call& call) override;
    void stop(const stop_call& call) override;
    void hold(const hold_call& call) override;
    void replace(std::uint64_t request,
                 const std::vector<holder_record>& rows) override;
    void answer(caller_token token, const job_answer& answer) override;
    void log(log_level level, std::string_view event,
             const log_fields& fields) override;
    void record(latency_metric /*what*/, duration /*value*/) override {}
    void count(std::string_view /*counter*/,
               std::string_view /*label*/) override {}

    std::size_t index;
    std::string address;
    bool up = false;
    bool frozen = false;
    bool draining = false;
    bool store_cut = false;
    std::uint64_t process = 0;
    std::unique_ptr<dispatcher> core;
    std::deque<waiting_input> backlog;        // inputs of a frozen process
    std::deque<std::function<void()>> unread; // of the store, while cut off
    // The instance of each endpoint that has answered a hold call last. The
    // process has connections to that one only.
    std::map<std::string, std::int64_t> connected_to;

private:
    order_model& model_;
};

// One direction of a connection.
struct order_link {
    bool wanted = false;
    bool connected = false;
    std::uint64_t epoch = 0;
    std::uint64_t to_process = 0;
    bool cut = false;
    timestamp opens_at{0};
    bool release_planned = false;
    std::deque<envelope> waiting;
};

class order_model {
public:
    order_model(const scenario& plan, const schedule& chosen, bool keep_log);
    order_result run();

private:
    friend class order_host;
    using input = std::function<void(dispatcher&)>;

    struct endpoint_call {
        duration wait{0};
        bool is_hold = false;
        std::string text;
        std::function<input(virtual_endpoint&)> execute;
        input unanswered;
        input not_sent;
        // Of a start: for the instance that it names, if that has ended.
        input not_connected = {};
        std::int64_t instance_started_ms = 0;
    };
    struct waiting_hold {
        std::function<void()> answer;
        std::function<void()> break_connection;
        timestamp until{0};
    };
    struct order_endpoint {
        std::unique_ptr<virtual_endpoint> model;
        endpoint_record listed; // as the platform shows it
        bool down = false;      // refuses connections
        // Counts instances. A call goes to the one it was sent to, since its
        // connection ends with that.
        std::uint64_t instance = 1;
        std::vector<waiting_hold> holds;
        std::optional<timestamp> next_advance_at;
        timestamp mute_until{0};
        timestamp stops_lost_until{0};
    };

    void at(timestamp when, std::function<void()> action) {
        events_.emplace(std::pair(std::max(when, now_), next_event_++),
                        std::move(action));
    }
    // The option chosen at this decision point, 0 for the default. `text` is
    // called for the log only.
    template <typename Text>
    std::size_t choose(std::size_t options, const Text& text) {
        return choose(decision_point{.options = options}, text);
    }
    template <typename Text>
    std::size_t choose(decision_point offered, const Text& text) {
        if (!searching_ || now_ > end_) {
            return 0;
        }
        const auto point = points_.size();
        offered.at = now_;
        points_.push_back(offered);
        if (next_chosen_ >= chosen_.size() ||
            chosen_[next_chosen_].point != point) {
            return 0;
        }
        // A random schedule doesn't know how many options there are here.
        const auto option =
            1 + (chosen_[next_chosen_++].option - 1) % offered.options;
        if (keep_log_) {
            note(absl::StrCat("DEVIATION ", point, ".", option, ": ",
                              std::string(text(option))));
        }
        return option;
    }
    void note(const std::string& line) {
        if (keep_log_) {
            absl::StrAppend(
                &log_,
                absl::StrFormat("%7.1f ", to_seconds(now_ - zero_) * 1e3), line,
                "\n");
        }
    }

    void begin_process(std::size_t index);
    void end_process(std::size_t index);
    void tick(std::size_t index, std::uint64_t process);
    void deliver(std::size_t index, std::uint64_t process, input_source source,
                 input what);
    void freeze(std::size_t index);
    void thaw(std::size_t index);
    // Ends a freeze. `order`: see `resume_orders`.
    void resume(std::size_t index, std::size_t order);
    void slow_down(std::size_t index, std::uint64_t process, duration cycle,
                   timestamp until);
    void begin_stop(std::size_t index);
    void check_stop(std::size_t index, std::uint64_t process);
    void begin_step(const scenario_step& step);
    void slot();
    void disturb_host(std::size_t index, std::size_t option);
    void disturb_host_otherwise(std::size_t index, std::size_t option);
    void remove_row(std::size_t index);
    void publish_row_of(std::size_t index, bool present);

    void connect_later(std::size_t from, std::size_t to, duration pause);
    void try_connect(std::size_t from, std::size_t to, std::uint64_t process);
    void break_link(std::size_t from, std::size_t to);
    void arrive(std::size_t from, std::size_t to, std::uint64_t epoch,
                const envelope& message);
    void release(std::size_t from, std::size_t to);
    void plan_release(std::size_t from, std::size_t to);
    void cut_link(std::size_t from, std::size_t to);
    void heal_link(std::size_t from, std::size_t to);
    [[nodiscard]] bool is_open(std::size_t from, std::size_t to) const;

    void call(std::size_t index, const std::string& endpoint,
              const endpoint_call& what);
    void advance(std::size_t endpoint);
    // The endpoint crashes and starts again under its id. The platform lists
    // the new instance, if at all.
    void crash_endpoint(std::size_t number, duration down_for,
                        bool is_listed = true);
    void start_endpoint(std::size_t number, bool is_listed);
    std::size_t endpoint_index(const std::string& id) const {
        return id == "endpoint-0" ? 0 : 1;
    }
    std::size_t host_index(const std::string& address) const;

    void replace_rows(std::size_t index, std::uint64_t request,
                      const std::vector<holder_record>& rows);
    void publish(const holder_record& row);
    void read_store(std::size_t index);
    // Does this once the host reaches the store again, in order; at once if it
    // does.
    void when_store_reached(std::size_t index, std::function<void()> action);
    void cut_store(std::size_t index);
    void heal_store(std::size_t index);

    void submit(std::size_t index);
    void lose_caller();
    void leave();
    void block(std::size_t index);
    // The job is answered and none of its tasks runs.
    [[nodiscard]] bool is_over() const {
        return answered_ &&
               std::none_of(
                   observed_.running.begin(), observed_.running.end(),
                   [](const auto& item) { return item.first.job == "job"; });
    }
    void handle_answer(std::size_t index, caller_token token,
                       const job_answer& answer);

    const scenario& plan_;
    const schedule& chosen_;
    bool keep_log_;
    bool searching_ = false;
    std::size_t next_chosen_ = 0;
    std::vector<decision_point> points_;
    std::string log_;
    timestamp now_{1000s};
    timestamp zero_{0};
    timestamp end_{0};
    std::uint64_t next_event_ = 0;
    std::map<std::pair<timestamp, std::uint64_t>, std::function<void()>>
        events_;
    std::vector<std::unique_ptr<order_host>> hosts_;
    std::vector<std::vector<order_link>> links_;
    // Calls of a host to an endpoint get lost until then.
    std::vector<std::vector<timestamp>> calls_cut_until_;
    std::vector<order_endpoint> endpoints_;
    std::map<std::string, holder_record> rows_;
    std::uint64_t store_version_ = 1;
    std::uint64_t next_process_ = 1;
    job_submission job_;
    bool answered_ = false;
    caller_token token_ = 0; // of the open request; 0: none
    caller_token next_token_ = 1;
    std::size_t caller_host_ = 0;
    std::uint64_t caller_process_ = 0;
    observations observed_;
};

bool has_content(const envelope& message) {
    return message.sequence != 0;
}

std::string describe(const envelope& message) {
    const auto& content = message.content;
    std::string text = absl::StrCat("#", message.sequence);
    const auto add = [&text](const char* name, std::size_t count) {
        if (count > 0) {
            absl::StrAppend(&text, " ", name);
        }
    };
    add("catalogue",
        content.catalogue_queries.size() + content.catalogues.size());
    for (const auto& assignment : content.assignments) {
        for (const auto& item : assignment.items) {
            absl::StrAppend(&text, " assign run ", item.run.run);
        }
    }
    add("withdrawal", content.withdrawals.size());
    for (const auto& adoption : content.adoptions) {
        absl::StrAppend(&text, " adoption of ", adoption.endpoint, " token ",
                        adoption.token, " running ", adoption.running.size(),
                        " ended ", adoption.ended.size());
    }
    add("claim", content.claims.size());
    for (const auto& update : content.updates) {
        absl::StrAppend(&text, " ", std::string(to_string(update.kind)),
                        " run ", update.run.run);
    }
    for (const auto& grant : content.grants) {
        absl::StrAppend(&text, " grant of ", grant.endpoint, " token ",
                        grant.token);
    }
    return text;
}

// --- setup ------------------------------------------------------------------

order_model::order_model(const scenario& plan, const schedule& chosen,
                         bool keep_log)
    : plan_(plan), chosen_(chosen), keep_log_(keep_log) {
    zero_ = now_ + warm_up;
    end_ = zero_ + plan.length;
    observed_.all_connected = [] { return false; };
    if (keep_log_) {
        observed_.trace = [this](const std::string& line) { note(line); };
    }
    endpoints_.resize(2);
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        endpoint_record record;
        record.id = absl::StrCat("endpoint-", i);
        record.pool = "pool";
        record.address = absl::StrCat("10.2.0.", i + 1, ":80");
        record.failure_domain =
            plan.endpoints_apart && i == 1 ? "domain-2" : "domain-1";
        record.rack = "rack";
        record.capacity = {16'000, 32'768, 0};
        endpoints_[i].model = std::make_unique<virtual_endpoint>(
            record, plan.clock_rate, observed_);
        endpoints_[i].model->stop_takes = 49ms;
        endpoints_[i].model->start_instance(now_ - 100s);
        endpoints_[i].listed = endpoints_[i].model->record();
    }
    links_.assign(plan.hosts, std::vector<order_link>(plan.hosts));
    calls_cut_until_.assign(plan.hosts,
                            std::vector<timestamp>(2, timestamp{0}));
    for (std::size_t i = 0; i < plan.hosts; ++i) {
        hosts_.push_back(std::make_unique<order_host>(*this, i));
    }
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        const auto& record = endpoints_[i].model->record();
        const auto holder = plan.holders[i];
        rows_[record.id] = {record.id,
                            record.failure_domain,
                            {hosts_[holder]->address, holder + 1},
                            first_token,
                            store_version_};
    }
    for (std::size_t i = 0; i < plan.hosts; ++i) {
        begin_process(i);
    }
    auto& work = job_.work;
    work.id = "job";
    work.payload = absl::StrCat("ms=", plan.run_ms, " cpu=4000");
    job_step step;
    step.count = plan.tasks;
    step.need.room = {4'000, 64, 0};
    step.need.estimate_ms = plan.run_ms;
    work.steps = {step};
    job_.queue.name = "queue";
    job_.queue.pool = "pool";
    job_.queue.attempts = 3;
    job_.queue.stretch = 1.6;
    job_.queue.latency_target = 60ms;
    job_.caller_timeout = caller_timeout;
    at(zero_, [this] {
        searching_ = true;
        slot();
    });
    for (const auto& step_plan : plan.steps) {
        at(zero_ + step_plan.at, [this, &step_plan] { begin_step(step_plan); });
    }
}

order_result order_model::run() {
    while (!events_.empty() && events_.begin()->first.first <= end_ &&
           observed_.violations.empty() && !is_over()) {
        auto event = events_.extract(events_.begin());
        now_ = std::max(now_, event.key().first);
        event.mapped()();
    }
    order_result result;
    for (const auto& violation : observed_.violations) {
        note(violation);
        result.violations.push_back(violation);
    }
    result.points = std::move(points_);
    result.starts = observed_.starts;
    result.log = std::move(log_);
    return result;
}

// --- hosts ------------------------------------------------------------------

void order_model::begin_process(std::size_t index) {
    auto& host = *hosts_[index];
    host.process = next_process_++;
    host.up = true;
    host.frozen = false;
    host.draining = false;
    host.connected_to.clear();
    host.backlog.clear();
    for (auto& link : links_[index]) {
        const auto epoch = link.epoch + 1;
        const bool cut = link.cut;
        const auto opens_at = link.opens_at;
        link = {};
        link.epoch = epoch;
        link.cut = cut;
        link.opens_at = opens_at;
    }
    dispatch_settings settings;
    settings.self = {host.address, host.process};
    settings.failure_domain =
        plan_.remote_coordinator && index == 0 ? "domain-0" : "domain-1";
    settings.call_timeout = call_timeout;
    for (const auto& other : hosts_) {
        settings.seeds.push_back(other->address);
    }
    host.core = std::make_unique<dispatcher>(
        settings, dispatch_ports{host, host, host, host, host});
    host.core->start(now_);
    host.core->set_catalogue(1, "catalogue");
    read_store(index);
    publish_row_of(index, true);
    at(now_ + tick_interval + duration(index * 7000),
       [this, index, process = host.process] { tick(index, process); });
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other != index && hosts_[other]->up) {
            break_link(other, index);
        }
    }
}

void order_model::end_process(std::size_t index) {
    auto& host = *hosts_[index];
    if (!host.up) {
        return;
    }
    host.up = false;
    host.frozen = false;
    host.core.reset();
    host.backlog.clear();
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
        if (other != index) {
            links_[index][other].connected = false;
            ++links_[index][other].epoch;
            links_[index][other].waiting.clear();
            if (hosts_[other]->up && is_open(index, other)) {
                break_link(other, index);
            }
        }
    }
    if (token_ != 0 && caller_host_ == index) {
        lose_caller();
    }
}

void order_model::tick(std::size_t index, std::uint64_t process) {
    auto& host = *hosts_[index];
    if (host.process != process || !host.up) {
        return;
    }
    at(now_ + tick_interval, [this, index, process] { tick(index, process); });
    if (!host.frozen) {
        host.core->tick(now_);
    }
}

void order_model::deliver(std::size_t index, std::uint64_t process,
                          input_source source, input what) {
    auto& host = *hosts_[index];
    if (host.process != process || !host.up) {
        return;
    }
    if (host.frozen) {
        host.backlog.push_back({source, std::move(what)});
        return;
    }
    what(*host.core);
}

void order_model::freeze(std::size_t index) {
    auto& host = *hosts_[index];
    host.frozen = host.up;
}

void order_model::thaw(std::size_t index) {
    const auto& host = *hosts_[index];
    if (!host.frozen || !host.up) {
        return;
    }
    resume(index, choose(std::size(resume_orders), [&](std::size_t i) {
               return absl::StrCat("host ", index, " ", resume_orders[i - 1]);
           }));
}

void order_model::resume(std::size_t index, std::size_t order) {
    auto& host = *hosts_[index];
    host.frozen = false;
    if (order > 0) {
        host.core->tick(now_);
    }
    auto waiting = std::exchange(host.backlog, {});
    std::stable_sort(
        waiting.begin(), waiting.end(), [order](const auto& a, const auto& b) {
            return rank_of(a.source, order) < rank_of(b.source, order);
        });
    for (const auto& item : waiting) {
        item.handle(*host.core);
    }
    host.core->tick(now_);
}

void order_model::slow_down(std::size_t index, std::uint64_t process,
                            duration cycle, timestamp until) {
    auto& host = *hosts_[index];
    if (host.process != process || !host.up || host.frozen || now_ >= until) {
        return;
    }
    freeze(index);
    at(now_ + cycle, [this, index, process, cycle, until] {
        if (hosts_[index]->process == process && hosts_[index]->frozen) {
            resume(index, timers_first);
            slow_down(index, process, cycle, until);
        }
    });
}

void order_model::begin_stop(std::size_t index) {
    auto& host = *hosts_[index];
    if (!host.up || host.draining) {
        return;
    }
    host.draining = true;
    if (!plan_.keep_rows) {
        publish_row_of(index, false);
    }
    deliver(index, host.process, input_source::timer,
            [this](dispatcher& core) { core.drain(now_); });
    check_stop(index, host.process);
}

void order_model::check_stop(std::size_t index, std::uint64_t process) {
    const auto& host = *hosts_[index];
    if (host.process != process || !host.up) {
        return;
    }
    if (host.frozen || !host.core->is_drained()) {
        at(now_ + stop_check_interval,
           [this, index, process] { check_stop(index, process); });
        return;
    }
    note(absl::StrCat("host ", index, " is drained and ends"));
    end_process(index);
    at(now_ + restart_time, [this, index] {
        if (!hosts_[index]->up) {
            begin_process(index);
        }
    });
}

void order_model::begin_step(const scenario_step& step) {
    static const char* const names[] = {
        "submit",    "block",        "leave",  "cut",
        "cut link",  "cut endpoint", "heal",   "stop",
        "kill",      "start",        "freeze", "thaw",
        "cut store", "slow",         "crash",  "crash without an entry"};
    const auto name =
        absl::StrCat(names[static_cast<int>(step.kind)], " ", step.target);
    const auto option = choose(std::size(step_delays), [&](std::size_t i) {
        return absl::StrCat(name, " ", to_ms(step_delays[i - 1]), " ms later");
    });
    const auto act = [this, step, name] {
        note(name);
        const auto target = step.target;
        switch (step.kind) {
        case action_kind::submit:
            return submit(target);
        case action_kind::block:
            return block(target);
        case action_kind::leave:
            return leave();
        case action_kind::cut:
            for (std::size_t other = 0; other < hosts_.size(); ++other) {
                if (other != target) {
                    cut_link(target, other);
                    cut_link(other, target);
                }
            }
            return;
        case action_kind::cut_link:
            return cut_link(target, step.other);
        case action_kind::cut_endpoint:
            calls_cut_until_[target][step.other] = timestamp::max();
            return;
        case action_kind::heal:
            for (std::size_t from = 0; from < hosts_.size(); ++from) {
                for (std::size_t to = 0; to < hosts_.size(); ++to) {
                    if (links_[from][to].cut) {
                        heal_link(from, to);
                    }
                }
                for (auto& until : calls_cut_until_[from]) {
                    until = std::min(until, now_);
                }
                heal_store(from);
            }
            return;
        case action_kind::stop:
            return begin_stop(target);
        case action_kind::kill:
            return end_process(target);
        case action_kind::start:
            if (!hosts_[target]->up) {
                begin_process(target);
            }
            return;
        case action_kind::freeze:
            return freeze(target);
        case action_kind::thaw:
            return thaw(target);
        case action_kind::cut_store:
            return cut_store(target);
        case action_kind::slow:
            return slow_down(target, hosts_[target]->process, slow_cycles[1],
                             now_ + slow_for);
        case action_kind::crash:
            return crash_endpoint(target, crashes[0]);
        case action_kind::crash_unlisted:
            return crash_endpoint(target, crashes[0], false);
        }
    };
    if (option == 0) {
        return act();
    }
    at(now_ + step_delays[option - 1], act);
}

// Options of a slot for each host: see `disturb_host`. After those of the hosts
// come those of the endpoints, of lost stops, of removed rows and the others.
constexpr std::size_t host_options =
    3 + std::size(freezes) + 1 + 2 * std::size(cuts);
constexpr std::size_t other_host_options =
    std::size(cuts) + std::size(slow_cycles);

void order_model::slot() {
    at(now_ + slot_interval, [this] { slot(); });
    const auto hosts = hosts_.size();
    const auto pairs = hosts * endpoints_.size();
    const auto others =
        hosts * other_host_options + endpoints_.size() * std::size(crashes);
    const auto options = hosts * host_options + pairs * std::size(cuts) +
                         2 * endpoints_.size() + hosts + others;
    const auto option =
        choose(decision_point{.options = options,
                              .lost_stops = endpoints_.size(),
                              .removals = hosts,
                              .others = others,
                              .disturbance = true},
               [&](std::size_t i) { return absl::StrCat("disturbance ", i); });
    if (option == 0) {
        return;
    }
    auto rest = option - 1;
    if (rest < hosts * host_options) {
        return disturb_host(rest / host_options, rest % host_options);
    }
    rest -= hosts * host_options;
    if (rest < pairs * std::size(cuts)) {
        const auto pair = rest / std::size(cuts);
        const auto host = pair / endpoints_.size();
        const auto endpoint = pair % endpoints_.size();
        const auto lasts = cuts[rest % std::size(cuts)];
        note(absl::StrCat("host ", host, " is cut off from endpoint-", endpoint,
                          " for ", to_ms(lasts), " ms"));
        calls_cut_until_[host][endpoint] = now_ + lasts;
        return;
    }
    rest -= pairs * std::size(cuts);
    if (rest < 2 * endpoints_.size()) {
        const auto number = rest % endpoints_.size();
        auto& endpoint = endpoints_[number];
        if (rest < endpoints_.size()) {
            note(absl::StrCat("endpoint-", number,
                              " answers nothing for 500 ms"));
            endpoint.mute_until = now_ + 500ms;
        } else {
            note(absl::StrCat("endpoint-", number,
                              " carries out no stop for 2500 ms"));
            endpoint.stops_lost_until = now_ + 2500ms;
        }
        return;
    }
    rest -= 2 * endpoints_.size();
    if (rest < hosts) {
        return remove_row(rest);
    }
    rest -= hosts;
    if (rest < hosts * other_host_options) {
        return disturb_host_otherwise(rest / other_host_options,
                                      rest % other_host_options);
    }
    rest -= hosts * other_host_options;
    crash_endpoint(rest / std::size(crashes),
                   crashes[rest % std::size(crashes)]);
}

void order_model::disturb_host_otherwise(std::size_t index,
                                         std::size_t option) {
    if (option < std::size(cuts)) {
        cut_store(index);
        return at(now_ + cuts[option], [this, index] { heal_store(index); });
    }
    const auto cycle = slow_cycles[option - std::size(cuts)];
    note(absl::StrCat("host ", index, " handles its inputs every ",
                      to_ms(cycle), " ms for ", to_ms(slow_for), " ms"));
    slow_down(index, hosts_[index]->process, cycle, now_ + slow_for);
}

void order_model::disturb_host(std::size_t index, std::size_t option) {
    const auto name = absl::StrCat("host ", index);
    const auto process = hosts_[index]->process;
    switch (option) {
    case 0:
        note(name + " is killed and starts again");
        end_process(index);
        at(now_ + restart_time, [this, index] {
            if (!hosts_[index]->up) {
                begin_process(index);
            }
        });
        return;
    case 1:
        note(name + " is killed");
        return end_process(index);
    case 2:
        note(name + " is stopped as planned");
        return begin_stop(index);
    default:
        break;
    }
    option -= 3;
    if (option < std::size(freezes) + 1) {
        const bool leaves = option == std::size(freezes);
        const auto lasts = leaves ? 1500ms : freezes[option];
        note(absl::StrCat(name, " is frozen for ", to_ms(lasts), " ms",
                          leaves ? "; its caller leaves" : ""));
        freeze(index);
        if (leaves && token_ != 0 && caller_host_ == index) {
            leave();
        }
        at(now_ + lasts, [this, index, process] {
            if (hosts_[index]->process == process) {
                thaw(index);
            }
        });
        return;
    }
    option -= std::size(freezes) + 1;
    if (option < 2 * std::size(cuts)) {
        const bool one_way = option >= std::size(cuts);
        const auto lasts = cuts[option % std::size(cuts)];
        note(absl::StrCat(name,
                          one_way ? " is not heard by" : " is cut off from",
                          " other hosts for ", to_ms(lasts), " ms"));
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (other == index) {
                continue;
            }
            cut_link(index, other);
            if (!one_way) {
                cut_link(other, index);
            }
        }
        at(now_ + lasts, [this, index, one_way] {
            for (std::size_t other = 0; other < hosts_.size(); ++other) {
                if (other == index) {
                    continue;
                }
                heal_link(index, other);
                if (!one_way) {
                    heal_link(other, index);
                }
            }
        });
    }
}

void order_model::remove_row(std::size_t index) {
    note(absl::StrCat("the row of host ", index, " is removed for 300 ms"));
    for (const auto& other : hosts_) {
        if (other->index != index && other->up) {
            deliver(other->index, other->process, input_source::store,
                    [address = hosts_[index]->address](dispatcher& core) {
                        core.remove_member(address);
                    });
        }
    }
    at(now_ + 300ms, [this, index] {
        for (const auto& other : hosts_) {
            if (other->index != index && other->up) {
                deliver(
                    other->index, other->process, input_source::store,
                    [this, address = hosts_[index]->address](dispatcher& core) {
                        core.add_member(now_, address);
                    });
            }
        }
    });
}

// --- links ------------------------------------------------------------------

std::size_t order_model::host_index(const std::string& address) const {
    for (const auto& host : hosts_) {
        if (host->address == address) {
            return host->index;
        }
    }
    return 0;
}

bool order_model::is_open(std::size_t from, std::size_t to) const {
    const auto& link = links_[from][to];
    return !link.cut && now_ >= link.opens_at;
}

void order_model::connect_later(std::size_t from, std::size_t to,
                                duration pause) {
    at(now_ + pause, [this, from, to, process = hosts_[from]->process] {
        try_connect(from, to, process);
    });
}

void order_model::try_connect(std::size_t from, std::size_t to,
                              std::uint64_t process) {
    auto& host = *hosts_[from];
    auto& link = links_[from][to];
    if (!host.up || host.process != process || !link.wanted || link.connected) {
        return;
    }
    if (!is_open(from, to) || !is_open(to, from)) {
        return connect_later(from, to, connect_timeout);
    }
    if (!hosts_[to]->up) {
        const auto address = hosts_[to]->address;
        deliver(from, process, input_source::link,
                [this, address, begun = now_ - hop_time](dispatcher& core) {
                    core.handle_link_refused(now_, address, begun);
                });
        return connect_later(from, to, reconnect_pause);
    }
    link.connected = true;
    link.to_process = hosts_[to]->process;
    deliver(from, process, input_source::link,
            [this, address = hosts_[to]->address](dispatcher& core) {
                core.handle_link_restored(now_, address);
            });
}

void order_model::break_link(std::size_t from, std::size_t to) {
    auto& link = links_[from][to];
    if (!link.connected) {
        return;
    }
    link.connected = false;
    ++link.epoch;
    link.waiting.clear();
    connect_later(from, to, hop_time);
}

void order_model::arrive(std::size_t from, std::size_t to, std::uint64_t epoch,
                         const envelope& message) {
    auto& link = links_[from][to];
    if (link.epoch != epoch || !link.connected) {
        return;
    }
    if (!link.waiting.empty() || !is_open(from, to)) {
        link.waiting.push_back(message);
        plan_release(from, to);
        return;
    }
    if (has_content(message)) {
        const auto option =
            choose(std::size(link_delays) + 1, [&](std::size_t i) {
                return absl::StrCat(
                    "message ", from, " -> ", to, " (", describe(message), ") ",
                    i > std::size(link_delays)
                        ? std::string("lost, connection reset")
                        : absl::StrCat("and what follows held for ",
                                       to_ms(link_delays[i - 1]), " ms"));
            });
        if (option > std::size(link_delays)) {
            break_link(from, to);
            return;
        }
        if (option > 0) {
            link.opens_at = now_ + link_delays[option - 1];
            link.waiting.push_back(message);
            plan_release(from, to);
            return;
        }
        if (keep_log_) {
            note(absl::StrCat("  ", from, " -> ", to, " ", describe(message)));
        }
    }
    deliver(to, link.to_process, input_source::link,
            [this, message](dispatcher& core) {
                core.handle_envelope(now_, message);
            });
}

void order_model::plan_release(std::size_t from, std::size_t to) {
    auto& link = links_[from][to];
    if (link.cut || link.release_planned) {
        return;
    }
    link.release_planned = true;
    at(link.opens_at, [this, from, to] { release(from, to); });
}

void order_model::release(std::size_t from, std::size_t to) {
    auto& link = links_[from][to];
    link.release_planned = false;
    if (link.cut || link.waiting.empty()) {
        return;
    }
    if (now_ < link.opens_at) {
        return plan_release(from, to);
    }
    if (!hosts_[to]->up || hosts_[to]->process != link.to_process) {
        return break_link(from, to);
    }
    const auto epoch = link.epoch;
    auto waiting = std::exchange(link.waiting, {});
    while (!waiting.empty()) {
        const auto message = std::move(waiting.front());
        waiting.pop_front();
        if (link.epoch != epoch) {
            return;
        }
        arrive(from, to, epoch, message);
    }
}

void order_model::cut_link(std::size_t from, std::size_t to) {
    links_[from][to].cut = true;
}

void order_model::heal_link(std::size_t from, std::size_t to) {
    auto& link = links_[from][to];
    if (!link.cut) {
        return;
    }
    link.cut = false;
    const auto option = choose(std::size(heal_delays), [&](std::size_t i) {
        return absl::StrCat("link ", from, " -> ", to, " opens ",
                            to_ms(heal_delays[i - 1]), " ms later");
    });
    link.opens_at = option == 0 ? now_ : now_ + heal_delays[option - 1];
    plan_release(from, to);
}

void order_host::connect(const std::string& to) {
    const auto other = model_.host_index(to);
    model_.links_[index][other].wanted = true;
    model_.connect_later(index, other, hop_time);
}

void order_host::disconnect(const std::string& to) {
    auto& link = model_.links_[index][model_.host_index(to)];
    link.wanted = false;
    link.connected = false;
    ++link.epoch;
    link.waiting.clear();
}

void order_host::send(const std::string& to, const envelope& message) {
    const auto other = model_.host_index(to);
    const auto& link = model_.links_[index][other];
    if (!link.connected) {
        return;
    }
    model_.at(model_.now_ + hop_time,
              [this, other, message, epoch = link.epoch] {
                  model_.arrive(index, other, epoch, message);
              });
}

// --- endpoints --------------------------------------------------------------

// Options of a call. Those of a long poll are fewer, and its answer waits for
// an end.
constexpr const char* call_outcomes[] = {
    "is lost",
    "is carried out, the answer lost",
    "is carried out and answered 120 ms later",
    "is carried out 250 ms later, unanswered",
    "is carried out as late as any, unanswered",
    "is carried out, the answer arrives 130 ms later",
    "is carried out, the connection reset",
    "is refused a connection",
    "is carried out 1 s later, unanswered"};
constexpr const char* hold_outcomes[] = {
    "is lost", "is carried out, the answer lost",
    "is carried out, the answer arrives 130 ms later",
    "is carried out, the connection reset"};
constexpr duration answer_delay = 130ms;

// A call has one result: what the process handles first of an answer, a broken
// connection and the time limit.
void order_model::call(std::size_t index, const std::string& id,
                       const endpoint_call& what) {
    const auto process = hosts_[index]->process;
    const auto number = endpoint_index(id);
    const auto settled = std::make_shared<bool>(false);
    const auto end = [this, index, process, settled](input_source source,
                                                     const input& in) {
        deliver(index, process, source, [settled, in](dispatcher& core) {
            if (!std::exchange(*settled, true)) {
                in(core);
            }
        });
    };
    at(now_ + call_timeout + what.wait, [end, unanswered = what.unanswered] {
        end(input_source::timer, unanswered);
    });
    const auto reply = [this, index, end, number](const input& in,
                                                  duration delay) {
        if (now_ < endpoints_[number].mute_until) {
            return;
        }
        at(now_ + hop_time + delay, [this, index, end, number, in] {
            if (now_ >= calls_cut_until_[index][number]) {
                end(input_source::endpoint, in);
            }
        });
    };
    // Without a delay of the answer the process gets none.
    const auto execute = [this, index, number, what, reply, end,
                          instance = endpoints_[number].instance](
                             std::optional<duration> answer_after) {
        auto& endpoint = endpoints_[number];
        const bool outlasts = plan_.starts_outlast_instances &&
                              what.not_connected && !endpoint.down;
        if (endpoint.instance != instance && !outlasts) {
            return at(now_ + hop_time, [end, what] {
                end(input_source::endpoint, what.unanswered);
            });
        }
        endpoint.model->calling_host = index;
        const auto in = what.execute(*endpoint.model);
        if (answer_after && what.wait > duration{0} &&
            !endpoint.model->has_ended_runs()) {
            endpoint.holds.push_back(
                {[this, number, what, reply, delay = *answer_after] {
                     reply(what.execute(*endpoints_[number].model), delay);
                 },
                 [end, what] { end(input_source::endpoint, what.unanswered); },
                 now_ + what.wait});
        } else if (answer_after) {
            reply(in, *answer_after);
        }
        advance(number);
    };
    // Its connection has ended with the instance, and a new one is not used.
    const bool connected =
        !plan_.connections_end || !what.not_connected ||
        endpoints_[number].model->record().instance_started_ms ==
            what.instance_started_ms;
    at(now_ + hop_time, [this, index, number, what, execute, end, connected,
                         down = endpoints_[number].down] {
        const bool is_stop = what.text.compare(0, 4, "stop") == 0;
        if (now_ < calls_cut_until_[index][number] ||
            (is_stop && now_ < endpoints_[number].stops_lost_until)) {
            return;
        }
        if (down) {
            return at(now_ + hop_time, [end, what] {
                end(input_source::endpoint, what.not_sent);
            });
        }
        if (!connected) {
            return at(now_ + hop_time, [end, what] {
                end(input_source::endpoint, what.not_connected);
            });
        }
        const auto* const* outcomes =
            what.is_hold ? hold_outcomes : call_outcomes;
        auto option = choose(
            what.is_hold ? std::size(hold_outcomes) : std::size(call_outcomes),
            [&](std::size_t i) {
                return absl::StrCat("host ", index, " calls endpoint-", number,
                                    ": ", what.text, " ", outcomes[i - 1]);
            });
        if (what.is_hold && option > 2) {
            option += 3; // the same outcomes of other calls
        }
        switch (option) {
        case 1:
            return;
        case 2:
            return execute(std::nullopt);
        case 3:
            return at(now_ + 120ms, [execute] { execute(duration{0}); });
        case 4:
            return at(now_ + 250ms, [execute] { execute(std::nullopt); });
        case 5:
            return at(now_ + plan_.latest_call,
                      [execute] { execute(std::nullopt); });
        case 6:
            return execute(answer_delay);
        case 7:
            execute(std::nullopt);
            return at(now_ + hop_time, [end, what] {
                end(input_source::endpoint, what.unanswered);
            });
        case 8:
            return at(now_ + hop_time, [end, what] {
                end(input_source::endpoint, what.not_sent);
            });
        case 9:
            return at(now_ + 1s, [execute] { execute(std::nullopt); });
        default:
            return execute(duration{0});
        }
    });
}

void order_model::advance(std::size_t number) {
    auto& endpoint = endpoints_[number];
    endpoint.model->advance(now_);
    auto waiting = std::exchange(endpoint.holds, {});
    for (auto& held : waiting) {
        if (endpoint.model->has_ended_runs() || now_ >= held.until) {
            held.answer();
        } else {
            endpoint.holds.push_back(std::move(held));
        }
    }
    auto next = endpoint.model->next_run_end();
    for (const auto& held : endpoint.holds) {
        next = next ? std::min(*next, held.until) : held.until;
    }
    if (!next ||
        (endpoint.next_advance_at && *endpoint.next_advance_at <= *next)) {
        return;
    }
    endpoint.next_advance_at = *next;
    at(*next, [this, number] {
        endpoints_[number].next_advance_at.reset();
        advance(number);
    });
}

void order_model::crash_endpoint(std::size_t number, duration down_for,
                                 bool is_listed) {
    auto& endpoint = endpoints_[number];
    note(absl::StrCat("endpoint-", number, " crashes"));
    for (const auto& held : std::exchange(endpoint.holds, {})) {
        at(now_ + hop_time, held.break_connection);
    }
    endpoint.model->start_instance(now_);
    endpoint.down = true;
    ++endpoint.instance;
    at(now_ + down_for,
       [this, number, is_listed] { start_endpoint(number, is_listed); });
}

void order_model::start_endpoint(std::size_t number, bool is_listed) {
    auto& endpoint = endpoints_[number];
    note(absl::StrCat("endpoint-", number, " is up"));
    endpoint.down = false;
    endpoint.model->start_instance(now_);
    if (!is_listed) {
        return;
    }
    const auto option = choose(std::size(listed_after), [&](std::size_t i) {
        return absl::StrCat("the platform lists the instance ",
                            to_ms(listed_after[i - 1]), " ms later");
    });
    at(now_ + (option == 0 ? store_time : listed_after[option - 1]),
       [this, number, record = endpoint.model->record()] {
           endpoints_[number].listed = record;
           for (const auto& host : hosts_) {
               when_store_reached(host->index, [this, record,
                                                index = host->index,
                                                process = host->process] {
                   deliver(index, process, input_source::store,
                           [this, record](dispatcher& core) {
                               core.set_endpoint(now_, record);
                           });
               });
           }
       });
}

bool order_host::is_connected(const call_target& target,
                              std::int64_t instance_started_ms) const {
    const auto found = connected_to.find(target.endpoint);
    return !model_.plan_.connections_end ||
           (found != connected_to.end() &&
            found->second == instance_started_ms);
}

void order_host::start(const start_call& call) {
    model_.call(index, call.target.endpoint,
                {duration{0}, false,
                 model_.keep_log_ ? absl::StrCat("start run ", call.run.run)
                                  : std::string{},
                 [this, call](virtual_endpoint& endpoint) {
                     const auto reply = endpoint.start(model_.now_, call);
                     return [this, call, reply](dispatcher& core) {
                         core.handle_start(model_.now_, call.target, call.run,
                                           reply);
                     };
                 },
                 [this, call](dispatcher& core) {
                     core.handle_start(model_.now_, call.target, call.run, {});
                 },
                 [this, call](dispatcher& core) {
                     core.handle_start(model_.now_, call.target, call.run,
                                       {call_status::not_sent});
                 },
                 [this, call](dispatcher& core) {
                     core.handle_start(model_.now_, call.target, call.run,
                                       {call_status::not_connected});
                 },
                 call.instance_started_ms});
}

void order_host::stop(const stop_call& call) {
    model_.call(index, call.target.endpoint,
                {duration{0}, false, absl::StrCat("stop run ", call.run.run),
                 [this, call](virtual_endpoint& endpoint) {
                     const auto reply = endpoint.stop(model_.now_, call);
                     return [this, call, reply](dispatcher& core) {
                         core.handle_stop(model_.now_, call.target, call.run,
                                          reply);
                     };
                 },
                 [this, call](dispatcher& core) {
                     core.handle_stop(model_.now_, call.target, call.run, {});
                 },
                 [this, call](dispatcher& core) {
                     core.handle_stop(model_.now_, call.target, call.run,
                                      {call_status::not_sent});
                 }});
}

void order_host::hold(const hold_call& call) {
    const auto wait = std::chrono::milliseconds(call.wait_ms);
    model_.call(
        index, call.target.endpoint,
        {wait, true,
         model_.keep_log_ ? absl::StrCat("hold, token ", call.target.token)
                          : std::string{},
         [this, call,
          read = std::make_shared<bool>(false)](virtual_endpoint& endpoint) {
             // The answer of a long poll renews and acknowledges
             // nothing once more.
             auto present = call;
             if (std::exchange(*read, true)) {
                 present.acknowledged = 0;
                 present.lease_deadline_ms.reset();
             }
             const auto reply = endpoint.hold(model_.now_, present);
             auto lists = endpoint.list_runs(model_.now_, reply);
             if (reply.status != call_status::ok) {
                 lists = {};
                 lists.call = reply;
             }
             lists.number = call.number;
             return [this, call, lists](dispatcher& core) {
                 if (lists.call.status == call_status::ok) {
                     connected_to[call.target.endpoint] =
                         lists.instance_started_ms;
                 }
                 core.handle_hold(model_.now_, call.target, lists);
             };
         },
         [this, call](dispatcher& core) {
             hold_reply none;
             none.number = call.number;
             core.handle_hold(model_.now_, call.target, none);
         },
         [this, call](dispatcher& core) {
             hold_reply none;
             none.call.status = call_status::not_sent;
             none.number = call.number;
             core.handle_hold(model_.now_, call.target, none);
         }});
}

// --- store ------------------------------------------------------------------

void order_host::replace(std::uint64_t request,
                         const std::vector<holder_record>& rows) {
    model_.replace_rows(index, request, rows);
}

// Options of a write.
constexpr const char* write_outcomes[] = {
    "is applied 300 ms later", "gets no answer", "is lost",
    "gets no answer and is applied after its time limit"};

void order_model::replace_rows(std::size_t index, std::uint64_t request,
                               const std::vector<holder_record>& rows) {
    const auto process = hosts_[index]->process;
    const auto option = choose(std::size(write_outcomes), [&](std::size_t i) {
        return absl::StrCat("write of host ", index, " ",
                            write_outcomes[i - 1]);
    });
    const auto settled = std::make_shared<bool>(false);
    const auto tell = [this, index, process, request,
                       settled](store_status status) {
        deliver(index, process, input_source::store,
                [this, request, status, settled](dispatcher& core) {
                    if (!std::exchange(*settled, true)) {
                        core.handle_write_result(now_, request, status);
                    }
                });
    };
    at(now_ + plan_.store_timeout, [tell] { tell(store_status::unknown); });
    if (option == 3 || hosts_[index]->store_cut) {
        return;
    }
    const auto applied_after = option == 1   ? 300ms
                               : option == 4 ? plan_.store_timeout + 50ms
                                             : store_time;
    at(now_ + applied_after, [this, index, process, rows, tell, option] {
        const bool holds =
            std::all_of(rows.begin(), rows.end(), [this](const auto& row) {
                const auto found = rows_.find(row.endpoint);
                return row.version ==
                       (found == rows_.end() ? 0 : found->second.version);
            });
        const bool answered =
            option != 2 && option != 4 && !hosts_[index]->store_cut;
        if (!holds) {
            note(absl::StrCat("write of host ", index, " conflicts"));
            if (!answered) {
                return;
            }
            std::vector<holder_record> current;
            for (const auto& row : rows) {
                if (rows_.contains(row.endpoint)) {
                    current.push_back(rows_.at(row.endpoint));
                }
            }
            deliver(index, process, input_source::store,
                    [this, current](dispatcher& core) {
                        for (const auto& row : current) {
                            core.set_holder(now_, row);
                        }
                    });
            return at(now_ + hop_time,
                      [tell] { tell(store_status::conflict); });
        }
        ++store_version_;
        for (auto row : rows) {
            row.version = store_version_;
            rows_[row.endpoint] = row;
            note(absl::StrCat("row of ", row.endpoint, ": ", row.holder.address,
                              " token ", row.token));
            publish(row);
        }
        if (answered) {
            at(now_ + hop_time, [tell] { tell(store_status::ok); });
        }
    });
}

void order_model::when_store_reached(std::size_t index,
                                     std::function<void()> action) {
    auto& host = *hosts_[index];
    if (host.store_cut) {
        host.unread.push_back(std::move(action));
    } else {
        action();
    }
}

void order_model::cut_store(std::size_t index) {
    note(absl::StrCat("host ", index, " is cut off from the store"));
    hosts_[index]->store_cut = true;
}

void order_model::heal_store(std::size_t index) {
    auto& host = *hosts_[index];
    if (!std::exchange(host.store_cut, false)) {
        return;
    }
    note(absl::StrCat("host ", index, " reaches the store again"));
    for (const auto& action : std::exchange(host.unread, {})) {
        action();
    }
}

void order_model::publish(const holder_record& row) {
    for (const auto& host : hosts_) {
        const auto option = choose(2, [&](std::size_t i) {
            return absl::StrCat("host ", host->index, " reads the row of ",
                                row.endpoint, i == 1 ? " 200" : " 900",
                                " ms later");
        });
        const auto after = option == 0   ? store_time + 2 * hop_time
                           : option == 1 ? 200ms
                                         : 900ms;
        at(now_ + after,
           [this, row, index = host->index, process = host->process] {
               when_store_reached(index, [this, row, index, process] {
                   deliver(index, process, input_source::store,
                           [this, row](dispatcher& core) {
                               core.set_holder(now_, row);
                           });
               });
           });
    }
}

// A process writes its row of the table of hosts when it starts and removes it
// when a planned stop begins.
void order_model::publish_row_of(std::size_t index, bool present) {
    for (const auto& host : hosts_) {
        if (host->index == index) {
            continue;
        }
        const auto option = present ? 0 : choose(2, [&](std::size_t i) {
            return absl::StrCat(
                "host ", host->index, " reads that the row of host ", index,
                " is gone", i == 1 ? " 200" : " 900", " ms later");
        });
        const auto after = option == 0   ? store_time + 2 * hop_time
                           : option == 1 ? 200ms
                                         : 900ms;
        at(now_ + after, [this, present, address = hosts_[index]->address,
                          reader = host->index, process = host->process] {
            when_store_reached(
                reader, [this, present, address, reader, process] {
                    deliver(reader, process, input_source::store,
                            [this, present, address](auto& core) {
                                if (present) {
                                    core.add_member(now_, address);
                                } else {
                                    core.remove_member(address);
                                }
                            });
                });
        });
    }
}

void order_model::read_store(std::size_t index) {
    at(now_ + store_time, [this, index, process = hosts_[index]->process] {
        when_store_reached(index, [this, index, process] {
            std::vector<endpoint_record> listed;
            for (const auto& endpoint : endpoints_) {
                listed.push_back(endpoint.listed);
            }
            deliver(index, process, input_source::store,
                    [this, listed](dispatcher& core) {
                        for (const auto& [id, row] : rows_) {
                            core.set_holder(now_, row);
                        }
                        core.note_holders_read(now_);
                        core.set_evacuations(now_, 1, {});
                        core.set_endpoints(now_, listed);
                    });
        });
    });
}

// --- the caller -------------------------------------------------------------

void order_model::submit(std::size_t index) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto& host = *hosts_[index];
        if (host.up && !host.draining && !host.frozen) {
            break;
        }
        index = (index + 1) % hosts_.size();
    }
    if (!hosts_[index]->up) {
        return;
    }
    token_ = next_token_++;
    caller_host_ = index;
    caller_process_ = hosts_[index]->process;
    note(absl::StrCat("caller sends the job to host ", index));
    deliver(index, caller_process_, input_source::caller,
            [this, token = token_](dispatcher& core) {
                core.submit(now_, token, job_);
            });
}

// Tasks of a job that leave no room for others until they end.
void order_model::block(std::size_t index) {
    auto other = job_;
    other.work.id = "other";
    other.work.payload = absl::StrCat("ms=", plan_.block_ms, " cpu=13000");
    other.work.steps[0].count = 2;
    other.work.steps[0].need.room.cpu_millis = 13'000;
    other.work.steps[0].need.estimate_ms = plan_.block_ms;
    deliver(index, hosts_[index]->process, input_source::caller,
            [this, other, token = next_token_++](dispatcher& core) {
                core.submit(now_, token, other);
            });
}

// The host learns of it; if it is frozen, when it resumes.
void order_model::leave() {
    if (token_ == 0) {
        return;
    }
    deliver(caller_host_, caller_process_, input_source::caller,
            [this, token = token_](dispatcher& core) {
                core.drop_caller(now_, token);
            });
    lose_caller();
}

void order_model::lose_caller() {
    token_ = 0;
    at(now_ + plan_.resend_after, [this, last = caller_host_] {
        const auto option = choose(hosts_.size() - 1, [&](std::size_t i) {
            return absl::StrCat("job sent again to ",
                                i == hosts_.size() - 1
                                    ? std::string("the same host")
                                    : absl::StrCat("host +", i + 1));
        });
        submit((last + 1 + option) % hosts_.size());
    });
}

void order_host::answer(caller_token token, const job_answer& answer) {
    model_.at(model_.now_ + hop_time, [this, token, answer] {
        model_.handle_answer(index, token, answer);
    });
}

void order_model::handle_answer(std::size_t index, caller_token token,
                                const job_answer& answer) {
    if (token != token_) {
        return;
    }
    note(absl::StrCat("host ", index, " answers ",
                      std::string(to_string(answer.outcome)), " ",
                      answer.reason));
    if (answer.outcome == job_outcome::gave_up) {
        return lose_caller();
    }
    token_ = 0;
    answered_ = true;
}

void order_host::log(log_level level, std::string_view event,
                     const log_fields& fields) {
    if (!model_.keep_log_ || level == log_level::debug) {
        return;
    }
    std::string line =
        absl::StrCat("  host ", index, " event=", std::string(event));
    for (const auto& [key, value] : fields) {
        absl::StrAppend(&line, " ", std::string(key), "=", value);
    }
    model_.note(line);
}

} // namespace

order_result execute(const scenario& plan, const schedule& chosen,
                     bool keep_log) {
    return order_model(plan, chosen, keep_log).run();
}

} // namespace figridge::dispatch::orders
