// Claims idempotency keys of callers in the platform's table.
//
// A conditional insert claims a key for one submission id; claims are batched
// into transactions. If a reply is lost, the rows are read back to determine
// the outcome.
#ifndef FIGRIDGE_CORE_KEY_REGISTRY_HPP
#define FIGRIDGE_CORE_KEY_REGISTRY_HPP

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "core_context.hpp"
#include "store_client.hpp"

namespace figridge {

enum class claim_status { claimed, taken, store_down };

struct claim_result {
    claim_status status = claim_status::store_down;
    submission_id holder; // if taken: the id that claimed the key
};

// Owned by `host_core`. Not thread-safe.
class key_registry {
public:
    using handler = std::function<void(const claim_result&)>;

    key_registry(core_context& context, store_client& store)
        : context_(context), store_(store) {}

    void claim(const std::string& entry, const std::string& key,
               const submission_id& id, handler done);
    void tick();

private:
    struct open_claim {
        std::string row;
        submission_id id;
        timestamp expires_at{0};
        handler done;
    };

    void write_next_batch();
    void write(std::vector<open_claim> claims);
    void read_back(std::vector<open_claim> claims);
    void resolve_claims(std::vector<open_claim> claims,
                        const std::vector<table_row>& rows);
    void end_batch();

    core_context& context_;
    store_client& store_;
    std::deque<open_claim> waiting_;
    timestamp next_write_{0};
    bool busy_ = false;
};

} // namespace figridge

#endif
