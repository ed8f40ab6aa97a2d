// Who does not hear whom, what was asked about it, and what was passed on.
//
// A host that does not hear a process asks a few of the peers in contact, its
// relays, to pass on what that process tells. A request lists all unheard
// processes. A relay collects what it passes on to one requester in digests:
//
//     relay.set_unheard({silent});
//     relay.choose(self, failure_domain, heard_peers);
//     if (relay.is_due(now, peer)) { send(peer, relay.ask(now, peer)); }
//     relay.record_request(peer, request);     // at the relay
//     relay.add(peer, silent, doubt);
//     for (auto& requester : relay.due_digests(now)) {
//         for (auto& report : relay.take_digest(now, requester)) { ... }
//     }
#ifndef FIGRIDGE_CORE_DISPATCH_CONTACT_RELAY_HPP
#define FIGRIDGE_CORE_DISPATCH_CONTACT_RELAY_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/dispatch/messages.hpp"
#include "core/dispatch/settings.hpp"

namespace figridge::dispatch {

// A peer in contact.
struct relay_candidate {
    process_id id;
    std::string failure_domain;
    bool draining = false;
};

// Owned by a `dispatcher`. Not thread-safe.
class contact_relay {
public:
    // --- what this host asks ---
    // Replaces the processes that this host does not hear. Not thread-safe.
    void set_unheard(std::set<process_id> unheard);
    [[nodiscard]] const std::set<process_id>& unheard() const {
        return unheard_;
    }
    // Chooses up to `max_relays` of the peers in contact, `heard`: one of each
    // failure domain, those of others than `own_domain` first, then further
    // ones. Keeps earlier choices and differs from host to host. None if nobody
    // is unheard. Not thread-safe.
    void choose(const process_id& self, const std::string& own_domain,
                const std::vector<relay_candidate>& heard);
    // Whether the peer is asked for too little or too much. Limits the rate of
    // requests to one peer. Precondition: `choose()` was called since
    // `set_unheard()`. Not thread-safe.
    [[nodiscard]] bool is_due(timestamp now, const process_id& peer) const;
    // The requests that the caller sends to the peer now, in this order. Not
    // thread-safe.
    [[nodiscard]] std::vector<relay_request> ask(timestamp now,
                                                 const process_id& peer);
    // The peer may have missed what it was sent. Not thread-safe.
    void handle_missed(const process_id& peer);
    // A report about the process was ignored because it is heard. If it falls
    // silent again, relays are asked again although they list it already. Not
    // thread-safe.
    void handle_ignored(const process_id& origin);

    // --- what this host is asked ---
    // Replaces the requester's earlier request. What it was told before of
    // processes that are new in this one doesn't count: it may have ignored
    // that. Not thread-safe.
    void record_request(const process_id& requester,
                        const relay_request& request);
    // The processes that each requester does not hear. None of the sets is
    // empty.
    [[nodiscard]] const std::map<process_id, std::set<process_id>>&
    requests() const {
        return requests_;
    }

    // Whether the requester does not hear the process. It may know only a
    // former process at the address, so any of that address counts. Not
    // thread-safe.
    [[nodiscard]] bool asks_about(const process_id& requester,
                                  const process_id& process) const;

    // The requesters that do not hear the process, or any at its address. Not
    // thread-safe.
    [[nodiscard]] const std::set<process_id>&
    requesters_of(const process_id& process) const;

    // The number up to which the requester was told the doubts of this holder,
    // of any origin, as given to `set_answered()`; 0 if it was told none, or
    // may have ignored or missed them. Not thread-safe.
    [[nodiscard]] std::uint64_t answered(const process_id& requester,
                                         const process_id& holder) const;
    // All doubts of the holder up to this number were added for the requester.
    // Precondition: `requests()` has the requester. Not thread-safe.
    void set_answered(const process_id& requester, const process_id& holder,
                      std::uint64_t number);

    // Adds what `origin` has told to the requester's next digest, unless the
    // requester has been sent it. Precondition: `requests()` has the requester.
    // Not thread-safe.
    void add(const process_id& requester, const process_id& origin,
             const start_doubt& doubt);
    void add(const process_id& requester, const process_id& origin,
             const endpoint_fence& fence);
    // The requesters that something waits for and that may be sent it now. Not
    // thread-safe.
    [[nodiscard]] std::vector<process_id> due_digests(timestamp now) const;
    // What the caller sends to the requester now, one report an origin; nothing
    // within `digest_interval` of the last one. Not thread-safe.
    [[nodiscard]] std::vector<relayed_report>
    take_digest(timestamp now, const process_id& requester);
    // The requester may have missed what it was sent. Not thread-safe.
    void forget_told(const process_id& requester);

    // Forgets the requests to and from processes that are not known any more.
    // Not thread-safe.
    void retain(const std::function<bool(const process_id& peer)>& is_known);

    static constexpr std::size_t max_relays = 3;
    // A caller sends a job again 1,300 ms after its last answer. Silence is
    // noticed after 550 ms, within 100 ms a peer is asked, and these two, if
    // both are waited for, leave 250 ms for messages.
    static constexpr duration request_interval = 300ms;
    static constexpr duration digest_interval = 100ms;
    // A peer that passes on too much is told so later.
    static constexpr duration release_interval = 1s;

private:
    // Identifies doubts as `doubt_ledger` does.
    struct doubt_order {
        bool operator()(const start_doubt& one, const start_doubt& other) const;
    };
    using doubt_set = std::set<start_doubt, doubt_order>;
    // By process, how many reports about its address had been ignored.
    using silences = std::map<process_id, std::uint64_t>;
    struct sent_request {
        silences unheard;
        timestamp sent_at{0};
        bool may_be_missed = false;
    };
    struct told_entries {
        doubt_set open_doubts;
        std::map<std::string, std::uint64_t> fences;
        // See `answered()`; by incarnation of the holder.
        std::map<std::uint64_t, std::uint64_t> answered;
    };
    struct waiting_entries {
        doubt_set doubts;
        std::map<std::string, std::uint64_t> fences;
    };
    struct digest {
        std::map<std::string, told_entries> told; // by address of the origin
        std::map<process_id, waiting_entries> waiting; // by origin
        timestamp next{0};
        bool is_in_due = false;
    };

    // What waits for the requester from this origin, which has just been added.
    waiting_entries& wait_for(const process_id& requester, digest& of,
                              const process_id& origin);
    void remove_from_due(const process_id& requester, digest& of);
    // Forgets the requester's request and digest.
    void remove_request(const process_id& requester);
    void index_request(const process_id& requester);
    void remove_from_index(const process_id& requester);
    // What the peer should be asked for.
    [[nodiscard]] const silences& wanted_of(const process_id& peer) const;

    std::set<process_id> unheard_;
    silences silences_; // of `unheard_`
    // Number of ignored reports by address. Kept as long as this host runs.
    std::map<std::string, std::uint64_t> ignored_;
    std::set<process_id> chosen_;
    std::map<process_id, sent_request> asked_; // none: nothing was asked
    std::map<process_id, std::set<process_id>> requests_;
    // The keys of `requests_` by address of the unheard processes.
    std::map<std::string, std::set<process_id>> requesters_;
    std::map<process_id, digest> digests_; // of `requests_`
    // The digests that something waits in, by the time of the next one.
    std::set<std::pair<timestamp, process_id>> due_;
};

} // namespace figridge::dispatch

#endif
