// The functions of `host_core` that report its state to operators.
#include "host_core_impl.hpp"

#include <nlohmann/json.hpp>

namespace figridge {
namespace {

constexpr std::size_t max_jobs_listed = 1000;

using json = nlohmann::json;

json advert_json(const host_advert& advert) {
    return {{"free_slots", advert.free_slots},
            {"total_slots", advert.total_slots},
            {"queued_tasks", advert.queued_tasks},
            {"endpoints_held", advert.endpoints_held},
            {"endpoints_ejected", advert.endpoints_ejected},
            {"mean_run_ms", advert.mean_run_ms},
            {"catalogue_version", advert.catalogue_version},
            {"draining", advert.draining}};
}

} // namespace

json host_core::list_hosts() const {
    const auto& members = impl_->members;
    const auto& self = impl_->context.settings.self;
    json hosts = json::array();
    auto own = advert_json(impl_->own_advert());
    own["address"] = self.address;
    own["failure_domain"] = self.failure_domain;
    own["incarnation"] = impl_->context.settings.incarnation;
    own["state"] = "self";
    hosts.push_back(std::move(own));
    for (const auto& host : members.known_hosts()) {
        auto item = advert_json(members.advert_of(host));
        item["address"] = host;
        item["failure_domain"] = members.domain_of(host);
        item["incarnation"] = members.incarnation_of(host);
        const bool known = members.incarnation_of(host) != 0;
        item["state"] = members.is_alive(host) ? "alive"
                        : known                ? "suspect"
                                               : "gone";
        item["unacknowledged"] = members.unacknowledged(host);
        hosts.push_back(std::move(item));
    }
    return hosts;
}

json host_core::list_endpoints() const {
    json endpoints = json::array();
    const auto& held = impl_->holder.pool().all();
    for (const auto& [address, info] : impl_->directory.all()) {
        json item{{"address", address},
                  {"failure_domain", info.failure_domain},
                  {"slots", info.slots},
                  {"leaving", impl_->directory.is_leaving(address)},
                  {"holder", ""}};
        const auto holder = impl_->holder_of.find(address);
        if (holder != impl_->holder_of.end()) {
            item["holder"] = holder->second;
        }
        const auto own = held.find(address);
        if (own != held.end() && own->second.held) {
            item["health"] = to_string(own->second.health);
            item["running"] = own->second.own_running;
            item["foreign_running"] = own->second.foreign_running;
        }
        endpoints.push_back(std::move(item));
    }
    return endpoints;
}

json host_core::list_jobs() const {
    json list = json::array();
    for (const auto& job : impl_->jobs.summaries(max_jobs_listed)) {
        list.push_back({{"id", to_string(job.id)},
                        {"entry", job.entry},
                        {"owner", job.owner},
                        {"state", to_string(job.state)},
                        {"done", job.done},
                        {"sent", job.sent},
                        {"pending", job.pending}});
    }
    return list;
}

json host_core::message_counts() const {
    json counts = json::object();
    for (std::size_t index = 0; index < message_kind_count; ++index) {
        const auto kind = static_cast<message_kind>(index);
        counts[std::string(to_string(kind))] = {
            {"sent", impl_->context.counters.sent_of(kind)},
            {"wasted", impl_->context.counters.wasted_of(kind)}};
    }
    return counts;
}

json host_core::dump_state() const {
    json limits = json::object();
    for (const auto& [name, entry] : impl_->keeper.current().entries) {
        const auto usage = impl_->limits.usage_of(name);
        limits[name] = {{"limited", usage.limited},
                        {"home", usage.home},
                        {"used", usage.used},
                        {"lent", usage.lent},
                        {"borrowed", usage.borrowed},
                        {"queued", usage.queued},
                        {"queued_share", usage.queued_share}};
    }
    return {{"address", impl_->context.settings.self.address},
            {"failure_domain", impl_->context.settings.self.failure_domain},
            {"incarnation", impl_->context.settings.incarnation},
            {"serving", is_serving()},
            {"draining", impl_->draining},
            {"platform_reachable", impl_->store.is_reachable()},
            {"catalogue_version", impl_->keeper.current().version},
            {"running_jobs", impl_->jobs.running_jobs()},
            {"pending_tasks", impl_->jobs.pending_tasks()},
            {"holder",
             {{"queued", impl_->holder.queued()},
              {"running", impl_->holder.running()},
              {"free_slots", impl_->holder.pool().free_slots()},
              {"total_slots", impl_->holder.pool().total_slots()}}},
            {"open_forwards", impl_->router.open_requests()},
            {"hosts", list_hosts()},
            {"endpoints", list_endpoints()},
            {"jobs", list_jobs()},
            {"limits", std::move(limits)},
            {"messages", message_counts()}};
}

} // namespace figridge
