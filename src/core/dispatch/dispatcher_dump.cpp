#include <nlohmann/json.hpp>

#include "core/dispatch/dispatcher.hpp"

namespace figridge::dispatch {
namespace {

nlohmann::json dump_session(const endpoint_session& session) {
    const auto room = session.room();
    return {{"endpoint", session.endpoint().id},
            {"address", session.endpoint().address},
            {"failure_domain", session.endpoint().failure_domain},
            {"token", session.token()},
            {"phase", std::string(to_string(session.phase()))},
            {"runs", session.ledger().size()},
            {"cpu_millis", session.ledger().capacity().cpu_millis},
            {"free_cpu_millis", room.cpu_millis},
            {"slowness", session.health().slowness()},
            {"faults", session.health().faults_in_a_row()}};
}

} // namespace

nlohmann::json dispatcher::dump_state(timestamp now) const {
    auto endpoints = nlohmann::json::array();
    for (const auto& [id, session] : holder_.sessions()) {
        endpoints.push_back(dump_session(*session));
    }
    auto hosts = nlohmann::json::array();
    for (const auto& [address, peer] : sessions_.peers()) {
        hosts.push_back({{"address", address},
                         {"failure_domain", peer.failure_domain},
                         {"heard_ms_ago", to_ms(now - peer.heard_at)},
                         {"lost", peer.lost},
                         {"draining", peer.about.draining},
                         {"catalogue_version", peer.about.catalogue_version}});
    }
    return {{"host", settings_.self.address},
            {"incarnation", settings_.self.incarnation},
            {"failure_domain", settings_.failure_domain},
            {"catalogue_version", catalogue_version_},
            {"draining", draining_},
            {"jobs", coordinator_.job_count()},
            {"queued_tasks", holder_.queue().size()},
            {"endpoints_known", directory_.endpoints().size()},
            {"endpoints", std::move(endpoints)},
            {"hosts", std::move(hosts)}};
}

} // namespace figridge::dispatch
