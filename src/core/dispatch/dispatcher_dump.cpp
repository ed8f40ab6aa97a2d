// State of the dispatcher for operators, as JSON.
#include <nlohmann/json.hpp>

#include "core/dispatch/dispatcher.hpp"

namespace figridge::dispatch {
namespace {

using nlohmann::json;

const char* describe_health(timestamp now, const endpoint_session& session) {
    if (session.is_gone()) {
        return "gone";
    }
    if (session.is_unresponsive()) {
        return "silent";
    }
    if (!session.health().accepts_tasks(now)) {
        return "ejected";
    }
    if (session.health().is_on_probation()) {
        return "on_trial";
    }
    return session.health().is_slow(now) ? "slow" : "good";
}

void add_session(timestamp now, const endpoint_session& session, json& row) {
    row["phase"] = std::string(to_string(session.phase()));
    row["health"] = describe_health(now, session);
    row["runs"] = session.ledger().size();
    row["free_cpu_millis"] = session.free_resources().cpu_millis;
    row["free_memory_mb"] = session.free_resources().memory_mb;
    row["slowness"] = session.health().slowness(now);
    row["faults"] = session.health().consecutive_faults();
}

json host_row(const process_id& id, const std::string& failure_domain,
              std::string_view state, const advert& about) {
    std::uint64_t free_cpu = 0;
    for (const auto free : about.free_cpu) {
        free_cpu += free;
    }
    return {{"address", id.address},
            {"incarnation", id.incarnation},
            {"failure_domain", failure_domain},
            {"state", std::string(state)},
            {"catalogue_version", about.catalogue_version},
            {"endpoints_held", about.endpoints_held},
            {"cpu_millis", about.capacity_cpu},
            {"free_cpu_millis", free_cpu},
            {"queued_tasks", about.queued_tasks},
            {"task_room", about.task_room},
            {"draining", about.draining}};
}

} // namespace

json dispatcher::dump_hosts(timestamp now) const {
    auto rows = json::array();
    rows.push_back(host_row(settings_.self, settings_.failure_domain, "self",
                            describe_self()));
    rows.back()["heard_ms_ago"] = 0;
    for (const auto& [address, peer] : sessions_.peers()) {
        const process_id id{address, peer.id.incarnation};
        rows.push_back(host_row(id, peer.failure_domain,
                                peer.lost ? "suspect" : "live", peer.about));
        rows.back()["heard_ms_ago"] = to_ms(now - peer.heard_at);
        const auto request = relay_.requests().find(id);
        rows.back()["unheard"] = is_unheard(peer);
        rows.back()["asks_about"] =
            request == relay_.requests().end() ? 0 : request->second.size();
    }
    return rows;
}

json dispatcher::dump_endpoints(timestamp now) const {
    auto rows = json::array();
    for (const auto& [id, endpoint] : directory_.endpoints()) {
        json row{{"endpoint", id},
                 {"address", endpoint.address},
                 {"failure_domain", endpoint.failure_domain},
                 {"rack", endpoint.rack},
                 {"leaving", endpoint.state == endpoint_state::draining},
                 {"cpu_millis", endpoint.capacity.cpu_millis}};
        if (const auto* holder = directory_.holder_of(id)) {
            row["holder"] = holder->holder.address;
            row["token"] = holder->token;
        }
        const auto session = holder_.sessions().find(id);
        if (session != holder_.sessions().end()) {
            add_session(now, *session->second, row);
        }
        row["evacuated"] =
            evacuation_.domains().contains(endpoint.failure_domain);
        if (const auto share = evacuation_.usable_share(id); share < 1.0) {
            row["usable_share"] = share;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

json dispatcher::dump_jobs(timestamp now) const {
    auto rows = json::array();
    for (const auto& job : coordinator_.summaries(now)) {
        rows.push_back({{"id", job.id},
                        {"queue", job.queue},
                        {"request", job.request_id},
                        {"state", job.started ? "running" : "queued"},
                        {"tasks", job.tasks},
                        {"open_tasks", job.open_tasks},
                        {"age_ms", to_ms(job.age)}});
    }
    return rows;
}

json dispatcher::gauges(timestamp now) const {
    std::size_t ejected = 0;
    for (const auto& [id, session] : holder_.sessions()) {
        ejected += session->health().accepts_tasks(now) ? 0 : 1;
    }
    return {{"jobs_open", coordinator_.job_count()},
            {"tasks_queued", holder_.queue().size()},
            {"tasks_running", holder_.running_tasks()},
            {"endpoints_known", directory_.endpoints().size()},
            {"endpoints_held", holder_.sessions().size()},
            {"endpoints_ejected", ejected},
            {"hosts_live", sessions_.live_count() + 1},
            {"peer_links_stalled", sessions_.stalled_count(now)},
            {"tasks_with_crashes", crashes_.size()},
            {"start_doubts_open", doubts_.size()},
            {"evacuated_failure_domains", evacuated_domains().size()},
            {"admitted_share", admission_.share()},
            {"catalogue_version", catalogue_version_}};
}

json dispatcher::dump_state(timestamp now) const {
    return {{"host", settings_.self.address},
            {"incarnation", settings_.self.incarnation},
            {"failure_domain", settings_.failure_domain},
            {"catalogue_version", catalogue_version_},
            {"draining", draining_},
            {"evacuations",
             {{"read", evacuation_.was_read()},
              {"version", evacuation_.version()},
              {"failure_domains", evacuation_.domains()}}},
            {"gauges", gauges(now)},
            {"jobs", dump_jobs(now)},
            {"endpoints", dump_endpoints(now)},
            {"hosts", dump_hosts(now)}};
}

} // namespace figridge::dispatch
