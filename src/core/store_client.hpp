// Sends requests to the platform's table service and matches the replies.
#ifndef FIGRIDGE_CORE_STORE_CLIENT_HPP
#define FIGRIDGE_CORE_STORE_CLIENT_HPP

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core_context.hpp"

namespace figridge {

// Calls each request's handler exactly once: with the reply, or with
// `unavailable` after the timeout. Owned by `host_core`. Not thread-safe.
class store_client {
public:
    using handler = std::function<void(const table_reply&)>;
    using list_handler =
        std::function<void(bool ok, const std::vector<endpoint_info>&)>;

    explicit store_client(core_context& context) : context_(context) {}

    void transact(const table_transaction& transaction, handler done);
    void read_keys(const std::vector<std::string>& keys, handler done);
    void read_prefix(const std::string& prefix, handler done);
    void read_endpoints(list_handler done);

    void handle_reply(std::uint64_t request, const table_reply& reply);
    void handle_endpoints(std::uint64_t request, bool ok,
                          const std::vector<endpoint_info>& endpoints);
    void tick();

    // True if the most recently completed request was answered.
    [[nodiscard]] bool is_reachable() const { return reachable_; }
    [[nodiscard]] bool is_busy() const { return !open_.empty(); }

private:
    struct open_request {
        timestamp timeout_at{0};
        handler done;
        list_handler list_done;
    };
    std::uint64_t open(handler done, list_handler list_done);

    core_context& context_;
    std::map<std::uint64_t, open_request> open_;
    std::uint64_t next_request_ = 1;
    bool reachable_ = false;
};

} // namespace figridge

#endif
