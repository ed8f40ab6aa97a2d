// A dispatcher that is fed by rows of a small store and that writes to it, with
// endpoints that have nothing to run. In virtual time.
#ifndef FIGRIDGE_TESTS_PLATFORM_ROW_HOST_HPP
#define FIGRIDGE_TESTS_PLATFORM_ROW_HOST_HPP

#include <algorithm>
#include <map>

#include "dispatch/quiet_dispatcher.hpp"
#include "row_handler.hpp"
#include "rows.hpp"

namespace figridge::platform {

// Not thread-safe.
class row_host final : public row_events {
public:
    row_host() {
        host.store.on_write = [this](std::uint64_t request) {
            writes_due_.push_back(request);
        };
    }

    // Takes over the contents of another host's store and the tokens that the
    // endpoints have seen.
    void copy_store(const row_host& other) {
        stored = other.stored;
        tokens_seen = other.tokens_seen;
        version_ = other.version_;
    }

    // Stores a row as another program would, without telling the host.
    stored_row put(const std::string& table, const std::string& part,
                   const std::string& key, const std::string& value) {
        auto& row = stored[{table, part, key}];
        row = {table, part, key, value, ++version_, false};
        return row;
    }

    // All rows of a table, in the order of parts and keys.
    [[nodiscard]] std::vector<stored_row>
    rows_of(const std::string& table) const {
        std::vector<stored_row> found;
        for (const auto& [key, row] : stored) {
            if (row.table == table) {
                found.push_back(row);
            }
        }
        return found;
    }

    // Reads all tables in full.
    void read_all() {
        host.core.set_store_version(version_);
        rows.apply_operator_snapshot(version_, rows_of(operator_table));
        rows.apply_host_snapshot(rows_of(host_table));
        rows.apply_endpoint_snapshot(host.now, rows_of(endpoint_table));
        rows.apply_holder_rows(rows_of(holder_table));
        host.core.note_holders_read(host.now);
    }

    // Advances the clock; writes are carried out, and calls answered, within a
    // tick.
    void advance(duration time) {
        for (const auto end = host.now + time; host.now < end;) {
            host.now += 25ms;
            host.core.tick(host.now);
            rows.remove_missing_endpoints(host.now);
            carry_out_writes();
            answer_calls();
        }
    }

    // The row that names the endpoint's holder, as any host reads it.
    [[nodiscard]] absl::StatusOr<dispatch::holder_record>
    holder_of(const std::string& failure_domain,
              const std::string& endpoint) const {
        const auto found =
            stored.find({holder_table, failure_domain, endpoint});
        if (found == stored.end()) {
            return absl::NotFoundError("no row");
        }
        return parse_holder(failure_domain, endpoint, found->second.version,
                            found->second.value);
    }

    [[nodiscard]] double gauge(const char* name) const {
        return host.core.gauges(host.now).at(name).get<double>();
    }

    dispatch::quiet_dispatcher host{dispatch::quiet_dispatcher::make_settings(),
                                    false, false};
    row_handler rows{"10.1.0.9:1", *this};
    std::map<std::tuple<std::string, std::string, std::string>, stored_row>
        stored;
    std::vector<dispatch::call_target> targets; // of all calls to endpoints
    std::string unreachable; // an address that refuses connections
    // The highest token that each endpoint has seen.
    std::map<std::string, std::uint64_t> tokens_seen;

private:
    void on_catalogue_row(const std::string& text) override {
        if (const auto catalogue = parse_catalogue(text); catalogue.ok()) {
            host.core.set_catalogue(catalogue->version, text);
        }
    }
    void on_evacuations(std::uint64_t version,
                        const std::set<std::string>& failure_domains) override {
        host.core.set_evacuations(host.now, version, failure_domains);
    }
    void on_evacuation(std::uint64_t version, const std::string& failure_domain,
                       bool evacuated) override {
        host.core.set_evacuation(host.now, version, failure_domain, evacuated);
    }
    void on_endpoints(
        const std::vector<dispatch::endpoint_record>& listed) override {
        host.core.set_endpoints(host.now, listed);
    }
    void on_endpoint_gone(const std::string& id) override {
        host.core.remove_endpoint(host.now, id);
    }
    void on_holder(const dispatch::holder_record& record) override {
        host.core.set_holder(host.now, record);
    }
    void on_holder_removed(const std::string& endpoint) override {
        host.core.remove_holder(host.now, endpoint);
    }
    void on_host(const std::string& address) override {
        host.core.add_member(host.now, address);
    }
    void on_host_removed(const std::string& address) override {
        host.core.remove_member(address);
    }
    void on_own_row_missing() override {}

    void carry_out_writes() {
        for (const auto request : std::exchange(writes_due_, {})) {
            carry_out(request);
        }
    }

    void carry_out(std::uint64_t request) {
        const auto written = std::find_if(
            host.store.writes.begin(), host.store.writes.end(),
            [request](const auto& write) { return write.first == request; });
        const auto batch = written->second;
        std::vector<stored_row> conflicts;
        for (const auto& record : batch) {
            const auto found = stored.find(
                {holder_table, record.failure_domain, record.endpoint});
            const auto present =
                found == stored.end() ? 0 : found->second.version;
            if (present != record.version) {
                conflicts.push_back(
                    found != stored.end()
                        ? found->second
                        : stored_row{holder_table, record.failure_domain,
                                     record.endpoint, "", 0, true});
            }
        }
        if (!conflicts.empty()) {
            rows.apply_holder_rows(conflicts);
            host.core.handle_write_result(host.now, request,
                                          dispatch::store_status::conflict);
            return;
        }
        std::vector<stored_row> changed;
        for (const auto& record : batch) {
            changed.push_back(put(holder_table, record.failure_domain,
                                  record.endpoint, write_holder(record)));
        }
        host.core.handle_write_result(host.now, request,
                                      dispatch::store_status::ok);
        rows.apply_holder_rows(changed);
    }

    void answer_calls() {
        for (const auto& call : std::exchange(host.endpoints.holds, {})) {
            targets.push_back(call.target);
            if (call.target.address == unreachable) {
                dispatch::hold_reply none;
                none.number = call.number;
                none.call.status = dispatch::call_status::not_sent;
                host.core.handle_hold(host.now, call.target, none);
                continue;
            }
            auto& seen = tokens_seen[call.target.endpoint];
            dispatch::hold_reply reply;
            reply.number = call.number;
            reply.call = {call.target.token < seen
                              ? dispatch::call_status::stale_token
                              : dispatch::call_status::ok,
                          to_ms(host.now)};
            seen = std::max(seen, call.target.token);
            host.core.handle_hold(host.now, call.target, reply);
        }
    }

    std::uint64_t version_ = 10;
    std::vector<std::uint64_t> writes_due_;
};

} // namespace figridge::platform

#endif
