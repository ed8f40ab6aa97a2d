#include "virtual_fleet.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "fleet_host.hpp"

namespace figridge::dispatch::fleet {
namespace {

constexpr duration store_answer_time = 4ms;
constexpr duration store_timeout = 3s;
constexpr duration list_poll_interval = 700ms;
constexpr duration full_read_retry = 300ms;
// A holder retries the write of its row after 500 ms, and once more if it knew
// an outdated version. Less than the 1.5 s after which others take over.
constexpr duration row_rewrite_limit = 1300ms;
constexpr duration settle_time = 8s;
constexpr std::uint32_t endpoint_cpu = 16'000;
constexpr duration heartbeat_interval = 1500ms;
// A deadly task crashes its endpoint within this time.
constexpr duration deadly_age_limit = 60ms;
// How long an endpoint that has crashed is away: this, and up to three times
// as much longer.
constexpr duration min_crash_time = 1s;
// The list drops a former instance after three missed heartbeats of 1.5 s.
constexpr duration unlisted_after = 4500ms;
// The operator's tool retries a write that the store does not accept.
constexpr duration operator_retry = 300ms;
// The platform judges hosts whose store was undisturbed for this time.
constexpr duration undisturbed_time = 4s;
// Shorter than the gap that a host takes for a suspension.
constexpr duration slow_input_limit = 250ms;

} // namespace

virtual_fleet::virtual_fleet(std::uint64_t seed, fleet_size size)
    : random_(seed), has_processors_(size.has_processors) {
    observed.all_connected = [this] {
        return now_ - last_disruption_ > reconnect_time && !any_cut();
    };
    observed.in_touch = [this](std::size_t host) {
        return observed.all_connected() && hosts_connected() &&
               now_ - hosts_[host]->started_at > reconnect_time;
    };
    observed.reads_store = [this](std::size_t host) {
        return reads_store(host);
    };
    observed.deadly_started = [this](const std::string& id,
                                     const task_run& run) {
        const auto age =
            duration(draw(static_cast<std::size_t>(deadly_age_limit.count())));
        at(now_ + age, [this, id, run] {
            if (endpoint_of(id).model->has_run(run)) {
                crash_by_task(index_of(id));
            }
        });
    };
    for (std::size_t i = 0; i < size.domains; ++i) {
        domain_names_.push_back(absl::StrCat("domain-", i));
    }
    for (std::size_t i = 0; i < size.endpoints; ++i) {
        endpoint_record record;
        record.id = absl::StrCat("endpoint-", i);
        record.pool = "pool";
        record.address = absl::StrCat("10.2.0.", i + 1, ":80");
        record.failure_domain = domain_names_[i % size.domains];
        record.rack = absl::StrCat("rack-", i % 4);
        record.capacity = {endpoint_cpu, 32'768, 0};
        const double clock_rate = i % 3 == 0 ? 0.98 : 1.0;
        fleet_endpoint endpoint;
        endpoint.domain = i % size.domains;
        endpoint.model =
            std::make_unique<virtual_endpoint>(record, clock_rate, observed);
        endpoint.model->start_instance(now_ - duration{draw(5'000'000)});
        endpoints_.push_back(std::move(endpoint));
    }
    for (std::size_t i = 0; i < size.hosts; ++i) {
        const auto cpu_share =
            i < size.large_hosts ? size.large_cpu_share : size.cpu_share;
        hosts_.push_back(std::make_unique<fleet_host>(
            *this, i, i % size.domains, cpu_share));
    }
    for (std::size_t i = 0; i < size.hosts; ++i) {
        start_host(i);
    }
}

virtual_fleet::~virtual_fleet() = default;

// --- time -------------------------------------------------------------------

void virtual_fleet::at(timestamp when, std::function<void()> action) {
    events_.emplace(std::pair(std::max(when, now_), next_event_++),
                    std::move(action));
}

void virtual_fleet::run_for(duration time) {
    const auto end = now_ + time;
    while (!events_.empty() && events_.begin()->first.first <= end) {
        auto event = events_.extract(events_.begin());
        now_ = std::max(now_, event.key().first);
        event.mapped()();
    }
    now_ = end;
}

duration virtual_fleet::delay() {
    return duration(500 + static_cast<std::int64_t>(draw(1500)));
}

void virtual_fleet::note(const std::string& line) {
    absl::StrAppend(&log, absl::StrFormat("%7d ", to_ms(now_)), line, "\n");
}

void virtual_fleet::finish() {
    const bool undisturbed = observed.all_connected() && hosts_connected();
    const auto disturbed = std::pair(last_disruption_, links_disturbed_at_);
    heal();
    set_store(store_mode::up);
    late_share_ = 0.0;
    delayed_share_ = 0.0;
    lost_share_ = 0.0;
    set_late_orders(0.0, 0.0);
    set_deadly_share(0.0);
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        set_mode(i, endpoint_mode::normal);
        set_slowness(i, 1.0);
        drain_endpoint(i, false);
        if (capacity_changed_) {
            restore_capacity(i);
        }
    }
    for (std::size_t i = 0; i < domain_names_.size(); ++i) {
        evacuate_domain(i, false);
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        thaw_host(i);
        hosts_[i]->slow = false;
        if (!hosts_[i]->up) {
            start_host(i);
        }
    }
    if (undisturbed) {
        std::tie(last_disruption_, links_disturbed_at_) = disturbed;
    }
    end_load();
    settle_after_deadly_tasks();
    run_for(settle_time);
    faults_ended_ = true;
    begin_load(25);
    run_for(1s);
    end_load();
    run_for(caller_timeout + 2s);
    for (const auto& [id, job] : jobs_) {
        observed.add_violation(now_, "UNANSWERED " + id);
    }
    if (!observed.running.empty()) {
        observed.add_violation(now_, "RUNNING after the end of the load: " +
                                         observed.running.begin()->first.job);
    }
    std::size_t held = 0;
    for (const auto& host : hosts_) {
        const auto gauges = host->core->gauges(now_);
        held += gauges.at("endpoints_held").get<std::size_t>();
    }
    if (keep_log && !observed.violations.empty()) {
        for (const auto& host : hosts_) {
            note(host->core->dump_state(now_).dump());
        }
    }
    if (held != endpoints_.size()) {
        observed.add_violation(now_,
                               absl::StrCat("HELD ", held, " of ",
                                            endpoints_.size(), " endpoints"));
    }
}

// --- paths ------------------------------------------------------------------

bool virtual_fleet::has_path(const fleet_host& a, const fleet_host& b) const {
    const bool partitioned =
        a.domain != b.domain &&
        (cut_domains_.contains(a.domain) || cut_domains_.contains(b.domain));
    const auto closed = closed_until_.find(std::pair(a.index, b.index));
    const bool open = closed == closed_until_.end() || now_ >= closed->second;
    const bool cut = a.cut || b.cut || a.peers_cut || b.peers_cut;
    return !cut && !partitioned && open;
}

bool virtual_fleet::has_path(const fleet_host& host,
                             const fleet_endpoint& endpoint) const {
    const bool partitioned = host.domain != endpoint.domain &&
                             (cut_domains_.contains(host.domain) ||
                              cut_domains_.contains(endpoint.domain));
    return !endpoint.cut && !partitioned;
}

bool virtual_fleet::has_path_to_store(const fleet_host& host) const {
    return !host.cut && !host.store_cut && !cut_domains_.contains(host.domain);
}

fleet_host* virtual_fleet::find_host(const std::string& address) {
    const auto found = std::find_if(
        hosts_.begin(), hosts_.end(),
        [&address](const auto& host) { return host->address == address; });
    return found == hosts_.end() ? nullptr : found->get();
}

virtual_fleet::fleet_endpoint&
virtual_fleet::endpoint_of(const std::string& id) {
    return *std::find_if(endpoints_.begin(), endpoints_.end(),
                         [&id](const fleet_endpoint& endpoint) {
                             return endpoint.model->record().id == id ||
                                    endpoint.former_ids.contains(id);
                         });
}

std::size_t virtual_fleet::index_of(const std::string& id) {
    return static_cast<std::size_t>(&endpoint_of(id) - endpoints_.data());
}

void virtual_fleet::deliver(std::size_t index, std::uint64_t process,
                            host_input input) {
    auto& host = *hosts_[index];
    if (host.process != process || !host.up) {
        return;
    }
    if (host.slow && !host.frozen) {
        host.next_input = std::max(
            host.next_input, now_ + duration(draw(slow_input_limit.count())));
        at(host.next_input, [this, index, process, input] {
            auto& late = *hosts_[index];
            if (late.process == process && late.up) {
                late.take(input);
            }
        });
        return;
    }
    host.take(std::move(input));
}

// --- endpoints --------------------------------------------------------------

// A random number is drawn only during this fault, so that seeded runs without
// it stay the same.
bool virtual_fleet::is_late_order(call_kind kind) {
    const double share = kind == call_kind::start  ? late_starts_
                         : kind == call_kind::stop ? late_stops_
                                                   : 0.0;
    return share > 0.0 && static_cast<double>(draw(1000)) < 1000.0 * share;
}

void virtual_fleet::end_call(const open_call& open,
                             std::function<void(dispatcher&)> input,
                             bool answered) {
    if (*open.ended) {
        return;
    }
    if (!has_processors_) {
        *open.ended = true;
        if (answered) {
            hosts_[open.host]->return_connection(open.endpoint,
                                                 open.instance_started_ms);
        }
        return deliver(open.host, open.process, {cost::reply, input});
    }
    // The time limit is compared when the reply is read.
    deliver(open.host, open.process,
            {cost::reply,
             [this, open, input = std::move(input), answered](auto& core) {
                 *open.ended = true;
                 if (now_ >= open.limit) {
                     return open.failed(core, call_status::unanswered);
                 }
                 if (answered) {
                     hosts_[open.host]->return_connection(
                         open.endpoint, open.instance_started_ms);
                 }
                 input(core);
             },
             open.ended});
}

void virtual_fleet::call_endpoint(std::size_t index, const call_target& target,
                                  endpoint_call call) {
    auto& host = *hosts_[index];
    const auto id = target.endpoint;
    open_call open;
    open.host = index;
    open.process = host.process;
    open.endpoint = id;
    open.instance_started_ms =
        endpoint_of(id).model->record().instance_started_ms;
    open.limit = host.use_processor(duration{0}) + call.timeout;
    open.ended = std::make_shared<bool>(false);
    open.failed = call.failed;
    at(open.limit, [this, open] {
        end_call(
            open,
            [open](dispatcher& core) {
                open.failed(core, call_status::unanswered);
            },
            false);
    });
    host.use_connection(id, open.instance_started_ms);
    const auto sent_at = host.use_processor(cost::call);
    const auto fail = [this, open](call_status status) {
        at(now_ + delay(), [this, open, status] {
            if (has_path(*hosts_[open.host], endpoint_of(open.endpoint))) {
                end_call(
                    open,
                    [open, status](dispatcher& core) {
                        open.failed(core, status);
                    },
                    status == call_status::other_instance);
            }
        });
    };
    const auto reply = [this, open,
                        fail](std::function<void(dispatcher&)> input) {
        const auto& endpoint = endpoint_of(open.endpoint);
        const bool lost =
            endpoint.model->is_mute() ||
            static_cast<double>(draw(1000)) < 1000.0 * lost_share_;
        if (lost) {
            return;
        }
        at(now_ + delay(), [this, open, fail, crashes = endpoint.crashes,
                            input = std::move(input)] {
            if (endpoint_of(open.endpoint).crashes != crashes) {
                return fail(call_status::unanswered);
            }
            if (has_path(*hosts_[open.host], endpoint_of(open.endpoint))) {
                end_call(open, input, true);
            }
        });
    };
    const auto execute = [this, index, id, call, reply, fail](bool heard) {
        auto& endpoint = endpoint_of(id);
        const bool meant_for_former = endpoint.model->record().id != id;
        if (endpoint.down || meant_for_former) {
            if (heard && !endpoint.model->is_mute()) {
                fail(endpoint.down ? call_status::not_sent
                                   : call_status::other_instance);
            }
            return;
        }
        endpoint.model->calling_host = index;
        endpoint.model->is_late_call = !heard;
        auto input = call.execute(*endpoint.model);
        endpoint.model->is_late_call = false;
        if (heard && call.wait > duration{0} &&
            !endpoint.model->has_ended_runs()) {
            // The runs are listed when the wait is over.
            endpoint.holds.push_back(
                {[this, id, call, reply] {
                     reply(call.execute(*endpoint_of(id).model));
                 },
                 [fail] { fail(call_status::unanswered); }, now_ + call.wait});
        } else if (heard) {
            reply(std::move(input));
        }
        advance_endpoint(endpoint);
    };
    at(sent_at + delay(), [this, index, id, execute, fail, kind = call.kind,
                           meant_for = call.instance_started_ms,
                           connected_to = open.instance_started_ms] {
        auto& endpoint = endpoint_of(id);
        if (!has_path(*hosts_[index], endpoint)) {
            if (queue_calls_during_cuts_) {
                endpoint.queued_by_cut.push_back([execute] { execute(false); });
            }
            return;
        }
        const auto& present = endpoint.model->record();
        if (counts_connections() && kind == call_kind::start &&
            !endpoint.down && present.id == id &&
            present.instance_started_ms != meant_for) {
            // Its connection has ended with the instance.
            return fail(connected_to == meant_for ? call_status::unanswered
                                                  : call_status::not_connected);
        }
        if (endpoint.listed_instance_ms) {
            if (kind == call_kind::start) {
                execute_late(id, 2s + std::chrono::milliseconds(draw(4000)),
                             execute);
            }
            return;
        }
        const bool late =
            static_cast<double>(draw(1000)) < 1000.0 * late_share_;
        const bool late_order = is_late_order(kind);
        if (late || late_order) {
            const auto later = 2s + std::chrono::milliseconds(
                                        draw(late_order ? 10'000 : 4000));
            return execute_late(id, later, execute);
        }
        // The random number is drawn only during this fault, so that seeded
        // runs without it stay the same.
        if (delayed_share_ > 0.0 &&
            static_cast<double>(draw(1000)) < 1000.0 * delayed_share_) {
            const auto later = 100ms + std::chrono::milliseconds(draw(300));
            const auto instance_started_ms =
                endpoint.model->record().instance_started_ms;
            at(now_ + later, [this, id, instance_started_ms, execute] {
                if (endpoint_of(id).model->record().instance_started_ms ==
                    instance_started_ms) {
                    execute(true);
                }
            });
            return;
        }
        execute(true);
    });
}

void virtual_fleet::execute_late(const std::string& id, duration later,
                                 std::function<void(bool)> execute) {
    const auto instance_started_ms =
        endpoint_of(id).model->record().instance_started_ms;
    at(now_ + later,
       [this, id, instance_started_ms, execute = std::move(execute)] {
           // The call waits at the endpoint, so a crash discards it.
           if (endpoint_of(id).model->record().instance_started_ms ==
               instance_started_ms) {
               execute(false);
           }
       });
}

void virtual_fleet::advance_endpoint(fleet_endpoint& endpoint) {
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
    const auto id = endpoint.model->record().id;
    at(*next, [this, id] {
        auto& due = endpoint_of(id);
        due.next_advance_at.reset();
        advance_endpoint(due);
    });
}

void virtual_fleet::set_mode(std::size_t index, endpoint_mode mode) {
    endpoints_[index].model->mode = mode;
}

void virtual_fleet::set_slowness(std::size_t index, double slowness) {
    endpoints_[index].model->slowness = slowness;
}

void virtual_fleet::crash_endpoint(std::size_t index) {
    if (endpoints_[index].down) {
        return;
    }
    endpoints_[index].holds.clear();
    endpoints_[index].model->start_instance(now_);
    publish_endpoint(index);
}

void virtual_fleet::begin_late_instance(std::size_t index) {
    auto& endpoint = endpoints_[index];
    if (endpoint.down || endpoint.listed_instance_ms) {
        return;
    }
    if (keep_log) {
        note("late instance of " + endpoint.model->record().id);
    }
    endpoint.listed_instance_ms = endpoint.model->record().instance_started_ms;
    endpoint.holds.clear();
    endpoint.model->start_instance(now_);
}

void virtual_fleet::end_late_instance(std::size_t index) {
    auto& endpoint = endpoints_[index];
    if (std::exchange(endpoint.listed_instance_ms, std::nullopt)) {
        publish_endpoint(index);
    }
}

endpoint_record virtual_fleet::listed_record(const fleet_endpoint& endpoint) {
    auto record = endpoint.model->record();
    record.instance_started_ms =
        endpoint.listed_instance_ms.value_or(record.instance_started_ms);
    return record;
}

void virtual_fleet::shrink_capacity(std::size_t index, bool enforced) {
    capacity_changed_ = true;
    auto& model = *endpoints_[index].model;
    model.enforces_capacity = enforced;
    model.set_capacity(now_, 0.2 + 0.001 * static_cast<double>(draw(601)));
    report_capacity(
        index,
        duration(draw(static_cast<std::size_t>(heartbeat_interval.count()))));
}

void virtual_fleet::restore_capacity(std::size_t index) {
    endpoints_[index].model->set_capacity(now_, 1.0);
    report_capacity(
        index,
        duration(draw(static_cast<std::size_t>(heartbeat_interval.count()))));
}

void virtual_fleet::report_capacity(std::size_t index, duration after) {
    at(now_ + after, [this, index] {
        if (store_ != store_mode::up) {
            return report_capacity(index, full_read_retry);
        }
        endpoints_[index].model->list_capacity();
        publish_endpoint(index);
    });
}

void virtual_fleet::set_deadly_share(double share) {
    deadly_share_ = share;
    had_deadly_tasks_ |= share > 0.0;
}

void virtual_fleet::crash_by_task(std::size_t index) {
    auto& endpoint = endpoints_[index];
    const auto id = endpoint.model->record().id;
    if (keep_log) {
        note("crash " + id);
    }
    endpoint.model->crash(now_);
    endpoint.down = true;
    ++endpoint.crashes;
    for (const auto& held : std::exchange(endpoint.holds, {})) {
        held.reset();
    }
    const bool other_id = draw(2) == 0;
    const auto longer =
        duration(draw(static_cast<std::size_t>(3 * min_crash_time.count())));
    at(now_ + min_crash_time + longer,
       [this, index, other_id] { restart_endpoint(index, other_id); });
    if (other_id) {
        at(now_ + unlisted_after,
           [this, index, id] { unlist_endpoint(index, id); });
    }
}

void virtual_fleet::restart_endpoint(std::size_t index, bool other_id) {
    auto& endpoint = endpoints_[index];
    endpoint.down = false;
    if (other_id) {
        endpoint.former_ids.insert(endpoint.model->record().id);
        endpoint.model->set_id(
            absl::StrCat("endpoint-", index, ".", endpoint.crashes));
    }
    endpoint.model->start_instance(now_);
    if (keep_log) {
        note("restart " + endpoint.model->record().id);
    }
    publish_endpoint(index);
}

void virtual_fleet::unlist_endpoint(std::size_t index, const std::string& id) {
    endpoints_[index].unlisted_ids.insert(id);
    for (const auto& host : hosts_) {
        at(now_ + duration{draw(list_poll_interval.count())},
           [this, id, &host = *host, process = host->process] {
               if (has_path_to_store(host) && store_ == store_mode::up) {
                   deliver(host.index, process,
                           {cost::store_answer, [this, id](auto& core) {
                                core.remove_endpoint(now_, id);
                            }});
               }
           });
    }
}

void virtual_fleet::settle_after_deadly_tasks() {
    if (!had_deadly_tasks_) {
        return;
    }
    run_for(caller_timeout);
    const auto limit = now_ + long_caller_timeout;
    while (!jobs_.empty() && now_ < limit) {
        run_for(100ms);
    }
    run_for(unlisted_after + list_poll_interval);
}

// The endpoint starts to drain once the store accepts its report.
void virtual_fleet::drain_endpoint(std::size_t index, bool draining) {
    if (draining && store_ != store_mode::up) {
        at(now_ + full_read_retry,
           [this, index] { drain_endpoint(index, true); });
        return;
    }
    endpoints_[index].model->set_draining(now_, draining);
    publish_endpoint(index);
}

void virtual_fleet::cut_endpoint(std::size_t index) {
    endpoints_[index].cut = true;
}

void virtual_fleet::publish_endpoint(std::size_t index) {
    for (const auto& host : hosts_) {
        at(now_ + duration{draw(list_poll_interval.count())},
           [this, index, &host = *host, process = host->process] {
               const auto record = listed_record(endpoints_[index]);
               if (has_path_to_store(host) && store_ == store_mode::up) {
                   deliver(host.index, process,
                           {cost::store_answer, [this, record](auto& core) {
                                core.set_endpoint(now_, record);
                            }});
               }
           });
    }
}

// --- store ------------------------------------------------------------------

void virtual_fleet::set_store(store_mode mode) {
    last_disruption_ = now_;
    const auto before = std::exchange(store_, mode);
    if (before == store_mode::silent || before == store_mode::lossy) {
        store_unanswered_until_ = now_;
    }
    if (before == store_mode::busy && mode == store_mode::up &&
        now_ - store_unanswered_until_ > store_timeout) {
        at(now_ + row_rewrite_limit,
           [this, since = now_] { check_rows(since); });
    }
    if (mode == store_mode::up) {
        for (const auto& host : hosts_) {
            send_full_read(host->index);
        }
    }
}

void virtual_fleet::check_rows(timestamp since) {
    const bool slow = std::any_of(hosts_.begin(), hosts_.end(),
                                  [](const auto& host) { return host->slow; });
    if (last_disruption_ != since || any_cut() || slow) {
        return;
    }
    for (const auto& host : hosts_) {
        if (!host->up) {
            continue;
        }
        for (const auto& row : host->core->dump_endpoints(now_)) {
            const auto id = row.at("endpoint").get<std::string>();
            const bool holds =
                row.contains("phase") && row.at("holder") == host->address;
            const auto stored = rows_.find(id);
            const bool written =
                stored != rows_.end() &&
                stored->second.token >= row.value("token", std::uint64_t{0});
            if (holds && !written) {
                observed.add_violation(now_, "UNWRITTEN row of " + id +
                                                 " held by " + host->address);
            }
        }
    }
}

void virtual_fleet::replace_rows(std::size_t index, std::uint64_t request,
                                 const std::vector<holder_record>& rows,
                                 timestamp sent_at) {
    const auto process = hosts_[index]->process;
    const auto tell = [this, index, process, request](store_status status,
                                                      duration after) {
        at(now_ + after, [this, index, process, request, status] {
            deliver(index, process,
                    {cost::store_answer, [this, request, status](auto& core) {
                         core.handle_write_result(now_, request, status);
                     }});
        });
    };
    at(sent_at + store_answer_time, [this, index, process, rows, tell] {
        if (!has_path_to_store(*hosts_[index]) ||
            store_ == store_mode::silent) {
            return tell(store_status::unknown, store_timeout);
        }
        if (store_ == store_mode::busy) {
            return tell(store_status::unavailable, delay());
        }
        const bool holds =
            std::all_of(rows.begin(), rows.end(), [this](const auto& row) {
                const auto found = rows_.find(row.endpoint);
                return row.version ==
                       (found == rows_.end() ? 0 : found->second.version);
            });
        if (!holds) {
            std::vector<holder_record> current;
            for (const auto& row : rows) {
                if (rows_.contains(row.endpoint)) {
                    current.push_back(rows_.at(row.endpoint));
                }
            }
            deliver(index, process,
                    {cost::store_answer, [this, current](auto& core) {
                         for (const auto& row : current) {
                             core.set_holder(now_, row);
                         }
                     }});
            return tell(store_status::conflict, delay());
        }
        ++store_version_;
        for (auto row : rows) {
            row.version = store_version_;
            rows_[row.endpoint] = row;
            publish_row(row);
        }
        const bool lost = store_ == store_mode::lossy && draw(2) == 0;
        tell(lost ? store_status::unknown : store_status::ok,
             lost ? store_timeout : delay());
    });
}

void virtual_fleet::publish_row(const holder_record& row) {
    for (const auto& host : hosts_) {
        at(now_ + store_answer_time + delay(),
           [this, row, &host = *host, process = host->process] {
               if (has_path_to_store(host) && store_ != store_mode::silent) {
                   deliver(host.index, process,
                           {cost::row, [this, row](auto& core) {
                                core.set_holder(now_, row);
                            }});
               }
           });
    }
}

bool virtual_fleet::reads_store(std::size_t index) const {
    const auto& host = *hosts_[index];
    return store_ == store_mode::up && has_path_to_store(host) &&
           !host.frozen && now_ - last_disruption_ > undisturbed_time;
}

void virtual_fleet::evacuate_domain(std::size_t domain, bool evacuated) {
    const auto& name = domain_names_[domain % domain_names_.size()];
    if (evacuated) {
        wanted_evacuated_.insert(name);
    } else if (wanted_evacuated_.erase(name) == 0) {
        return;
    }
    publish_evacuations();
}

void virtual_fleet::publish_evacuations() {
    if (evacuated_ == wanted_evacuated_) {
        return;
    }
    if (store_ != store_mode::up) {
        at(now_ + operator_retry, [this] { publish_evacuations(); });
        return;
    }
    const auto before = std::exchange(evacuated_, wanted_evacuated_);
    ++store_version_;
    for (std::size_t i = 0; i < domain_names_.size(); ++i) {
        const auto& name = domain_names_[i];
        const bool evacuated = evacuated_.contains(name);
        if (evacuated == before.contains(name)) {
            continue;
        }
        note((evacuated ? "evacuate " : "take back ") + name);
        for (auto& endpoint : endpoints_) {
            if (endpoint.domain == i) {
                endpoint.model->set_evacuated(now_, evacuated);
            }
        }
        for (const auto& host : hosts_) {
            at(now_ + store_answer_time + delay(),
               [this, name, evacuated, version = store_version_, &host = *host,
                process = host->process] {
                   if (has_path_to_store(host) && store_ == store_mode::up) {
                       deliver(host.index, process,
                               {cost::row, [=, this](auto& core) {
                                    core.set_evacuation(now_, version, name,
                                                        evacuated);
                                }});
                   }
               });
        }
    }
}

// Sends all rows and endpoints as soon as the store can be reached.
void virtual_fleet::send_full_read(std::size_t index) {
    const auto process = hosts_[index]->process;
    at(now_ + store_answer_time + delay(), [this, index, process] {
        auto& host = *hosts_[index];
        if (!host.up || host.process != process) {
            return;
        }
        if (!has_path_to_store(host) || store_ != store_mode::up) {
            at(now_ + full_read_retry, [this, index, process] {
                if (hosts_[index]->process == process) {
                    send_full_read(index);
                }
            });
            return;
        }
        std::vector<endpoint_record> listed;
        std::vector<std::string> unlisted;
        for (const auto& endpoint : endpoints_) {
            listed.push_back(listed_record(endpoint));
            unlisted.insert(unlisted.end(), endpoint.unlisted_ids.begin(),
                            endpoint.unlisted_ids.end());
        }
        const auto rows = hosts_.size() + rows_.size() + listed.size();
        const auto handle = [this, listed, unlisted, version = store_version_,
                             evacuated = evacuated_](dispatcher& core) {
            for (const auto& other : hosts_) {
                core.add_member(now_, other->address);
            }
            for (const auto& [id, row] : rows_) {
                core.set_holder(now_, row);
            }
            core.note_holders_read(now_);
            core.set_evacuations(now_, version, evacuated);
            core.set_endpoints(now_, listed);
            for (const auto& id : unlisted) {
                core.remove_endpoint(now_, id);
            }
        };
        deliver(index, process,
                {cost::store_answer + cost::row * rows, handle});
    });
}

} // namespace figridge::dispatch::fleet
