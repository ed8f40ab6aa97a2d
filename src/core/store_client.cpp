#include "store_client.hpp"

namespace figridge {

std::uint64_t store_client::open(handler done, list_handler list_done) {
    const auto request = next_request_++;
    context_.counters.sent(message_kind::platform);
    open_[request] = {context_.now + context_.settings.platform_timeout,
                      std::move(done), std::move(list_done)};
    return request;
}

void store_client::transact(const table_transaction& transaction,
                            handler done) {
    const auto request = open(std::move(done), {});
    context_.ports.platform.transact(request, transaction);
}

void store_client::read_keys(const std::vector<std::string>& keys,
                             handler done) {
    const auto request = open(std::move(done), {});
    context_.ports.platform.read_keys(request, keys);
}

void store_client::read_prefix(const std::string& prefix, handler done) {
    const auto request = open(std::move(done), {});
    context_.ports.platform.read_prefix(request, prefix);
}

void store_client::read_endpoints(list_handler done) {
    const auto request = open({}, std::move(done));
    context_.ports.platform.read_endpoints(request);
}

void store_client::handle_reply(std::uint64_t request,
                                const table_reply& reply) {
    auto found = open_.extract(request);
    if (found.empty() || !found.mapped().done) {
        return;
    }
    reachable_ = reply.status != table_status::unavailable;
    found.mapped().done(reply);
}

void store_client::handle_endpoints(
    std::uint64_t request, bool ok,
    const std::vector<endpoint_info>& endpoints) {
    auto found = open_.extract(request);
    if (found.empty() || !found.mapped().list_done) {
        return;
    }
    reachable_ = ok;
    found.mapped().list_done(ok, endpoints);
}

void store_client::tick() {
    std::vector<std::uint64_t> expired;
    for (const auto& [request, open] : open_) {
        if (context_.now >= open.timeout_at) {
            expired.push_back(request);
        }
    }
    for (const auto request : expired) {
        auto found = open_.extract(request);
        if (found.empty()) {
            continue;
        }
        reachable_ = false;
        if (found.mapped().done) {
            found.mapped().done({});
        } else {
            found.mapped().list_done(false, {});
        }
    }
}

} // namespace figridge
