// Maintains the catalogue in force on this host and edits the stored one.
//
// The stored catalogue is a set of rows with one head row, whose row version
// is the catalogue's version. An edit is one transaction conditional on the
// head row. It also writes a row named by the edit id, which shows after a
// lost reply whether the edit was stored. Hosts also fetch newer versions from
// their peers; only a higher version is ever applied.
#ifndef FIGRIDGE_CORE_CATALOGUE_KEEPER_HPP
#define FIGRIDGE_CORE_CATALOGUE_KEEPER_HPP

#include <deque>
#include <functional>
#include <string>

#include "core_context.hpp"
#include "membership.hpp"
#include "store_client.hpp"

namespace figridge {

// Owned by `host_core`. Not thread-safe.
class catalogue_keeper {
public:
    using edit_handler = std::function<void(const edit_answer&)>;

    catalogue_keeper(core_context& context, membership& members,
                     store_client& store);

    [[nodiscard]] const catalogue& current() const { return current_; }

    // False until a catalogue has been received from the platform or a peer.
    [[nodiscard]] bool is_ready() const { return ready_; }

    void edit(const catalogue_edit& change, edit_handler done);

    // Applies the catalogue if it is valid and its version is higher than the
    // current one. Returns true if it was applied.
    bool apply_if_newer(const catalogue& content);

    void tick();

    // Called when a new version is in force, and once when the first valid
    // catalogue is received.
    std::function<void()> on_change;

private:
    struct open_edit {
        catalogue_edit change;
        edit_handler done;
        timestamp expires_at{0};
        timestamp retry_at{0};
        bool busy = false;
    };

    void poll();
    void fetch_all(const std::function<void(bool)>& done);
    void request_catalogue_from_peer();
    void run_edits();
    void read_edit_state();
    void check_edit_conditions(const table_reply& edit_row);
    void write_edit();
    void end_edit(const edit_answer& answer);
    void retry_edit_later();

    core_context& context_;
    membership& members_;
    store_client& store_;
    catalogue current_;
    bool ready_ = false;
    bool platform_answered_ = false;
    timestamp started_at_{-1};
    timestamp polled_at_{-1};
    timestamp peer_requested_at_{-1};
    bool polling_ = false;
    std::deque<open_edit> edits_;
};

} // namespace figridge

#endif
