#include "figridge/host_core.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "host_core_impl.hpp"

namespace figridge {

host_core::host_core(const core_settings& settings, const core_ports& ports)
    : impl_(std::make_unique<impl>(settings, ports)) {}

host_core::~host_core() = default;

void host_core::start(timestamp now) {
    impl_->input(now, [this] { impl_->start(); });
}

void host_core::tick(timestamp now) {
    impl_->input(now, [this] { impl_->tick(); });
}

std::vector<submission_id> host_core::mint_ids(timestamp now,
                                               std::uint32_t count) {
    std::vector<submission_id> ids;
    impl_->input(now, [&] {
        if (is_serving()) {
            ids = impl_->jobs.mint(count);
        }
    });
    return ids;
}

void host_core::submit(timestamp now, caller_token token,
                       const submission_id& id, const job_request& job) {
    impl_->input(now, [&] {
        impl_->router.route({forward_kind::submit, id, job}, token);
    });
}

void host_core::fetch(timestamp now, caller_token token,
                      const submission_id& id) {
    impl_->input(now, [&] {
        impl_->router.route({forward_kind::fetch, id, {}}, token);
    });
}

void host_core::cancel(timestamp now, caller_token token,
                       const submission_id& id) {
    impl_->input(now, [&] {
        impl_->router.route({forward_kind::cancel, id, {}}, token);
    });
}

void host_core::drop_caller(timestamp now, caller_token token) {
    impl_->input(now, [&] { impl_->drop_caller(token); });
}

void host_core::edit_catalogue(timestamp now, caller_token token,
                               const catalogue_edit& edit) {
    impl_->input(now, [&] {
        impl_->keeper.edit(edit, [this, token](const edit_answer& answer) {
            impl_->context.ports.callers.answer_edit(token, answer);
        });
    });
}

bool host_core::set_endpoint_leaving(timestamp now, const std::string& endpoint,
                                     bool leaving) {
    bool known = false;
    impl_->input(now, [&] {
        known = impl_->directory.contains(endpoint);
        if (known) {
            impl_->broadcast_mark(endpoint,
                                  leaving ? leaving_source::operator_request
                                          : leaving_source::none);
        }
    });
    return known;
}

void host_core::drain(timestamp now) {
    impl_->input(now, [this] { impl_->start_draining(); });
}

void host_core::stop_now(timestamp now) {
    impl_->input(now, [this] { impl_->jobs.stop_all(); });
}

bool host_core::is_drained() const {
    return impl_->is_drained();
}

bool host_core::is_serving() const {
    return impl_->keeper.is_ready() && !impl_->draining;
}

const catalogue& host_core::current_catalogue() const {
    return impl_->keeper.current();
}

bool host_core::has_catalogue() const {
    return impl_->keeper.is_ready();
}

void host_core::handle_envelope(timestamp now, const envelope& message) {
    impl_->input(now, [&] {
        if (const auto payload = impl_->members.receive(message)) {
            impl_->handle_payload(message.from, *payload);
        }
    });
}

void host_core::handle_link_refused(timestamp now, const std::string& host,
                                    timestamp begun) {
    impl_->input(now, [&] { impl_->members.link_refused(host, begun); });
}

void host_core::handle_link_restored(timestamp now, const std::string& host) {
    impl_->input(now, [&] { impl_->members.link_restored(host); });
}

void host_core::handle_start_reply(timestamp now, const start_reply& reply) {
    impl_->input(now, [&] {
        if (reply.status == start_status::leaving) {
            impl_->note_endpoint_answer(reply.endpoint, true);
        }
        impl_->holder.handle_start_reply(reply);
    });
}

void host_core::handle_probe_reply(timestamp now, const probe_reply& reply) {
    impl_->input(now, [&] {
        if (reply.reachable) {
            impl_->note_endpoint_answer(reply.endpoint, reply.leaving);
        }
        impl_->holder.pool().record_probe(reply);
        impl_->holder.dispatch();
    });
}

void host_core::handle_table_reply(timestamp now, std::uint64_t request,
                                   const table_reply& reply) {
    impl_->input(now, [&] { impl_->store.handle_reply(request, reply); });
}

void host_core::handle_endpoint_list(
    timestamp now, std::uint64_t request, bool ok,
    const std::vector<endpoint_info>& endpoints) {
    impl_->input(
        now, [&] { impl_->store.handle_endpoints(request, ok, endpoints); });
}

} // namespace figridge
