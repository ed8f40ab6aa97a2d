// Limits of catalogue entries, strict under partitions and take-overs.
//
// The share of each failure domain is split over the hosts of the domain named
// in the settings. A host uses its own share without asking other hosts, and no
// other host uses it except by a loan. It borrows unused permits for running
// tasks and starts from other hosts. A loan expires at the borrower by the
// borrower's clock; the lender counts it as used until the last task started
// under it must have ended, or until the borrower has returned it. A host that
// starts after a crash can't know what its predecessor had running or lent, and
// uses nothing of its share until that must have ended.
#ifndef FIGRIDGE_CORE_LIMIT_BOOK_HPP
#define FIGRIDGE_CORE_LIMIT_BOOK_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core_context.hpp"
#include "membership.hpp"

namespace figridge {

// Permission to start `count` tasks before `valid_until`.
struct start_permit {
    std::uint32_t count = 0;
    timestamp valid_until{0};
};

struct limit_usage {
    bool limited = false;
    std::uint32_t home = 0;
    std::uint32_t used = 0;
    std::uint32_t lent = 0;
    std::uint32_t borrowed = 0;
    std::uint32_t queued = 0;
    std::uint32_t queued_share = 0;
};

// Owned by `host_core`. Not thread-safe.
class limit_book {
public:
    limit_book(core_context& context, membership& members);

    void set_catalogue(const catalogue& current);

    // Makes the own share usable at once (`clean`), or after everything that a
    // crashed predecessor may have started or lent must have ended.
    void begin(bool clean);

    // Takes a permit for up to `wanted` tasks; asks other hosts for a loan of
    // what is missing.
    start_permit take(const std::string& entry, std::uint32_t wanted);
    void release(const std::string& entry, std::uint32_t count);
    // Counts one more running task without a permit: a lost task that may
    // still be running.
    void add_running(const std::string& entry);

    // True if the queue limit of the entry permits `count` more tasks.
    [[nodiscard]] bool has_queue_room(const std::string& entry,
                                      std::uint32_t count) const;
    void take_queue_room(const std::string& entry, std::uint32_t count);
    void release_queue_room(const std::string& entry, std::uint32_t count);

    void handle_request(const std::string& from, const loan_request& request);
    void handle_grant(const std::string& from, const loan_grant& grant);
    void handle_return(const std::string& from, const loan_return& returned);
    void tick();

    [[nodiscard]] limit_usage usage_of(const std::string& entry) const;
    // True if nothing is lent or in use: a planned stop may then tell the next
    // process of this host to use its share at once.
    [[nodiscard]] bool is_idle() const;

private:
    struct outgoing_loan {
        std::uint32_t amount = 0;
        timestamp reclaim_at{0};
    };
    struct incoming_loan {
        std::string lender;
        std::uint32_t amount = 0;
        timestamp expires{0};
        timestamp asked_at{0};
        bool renewing = false;
    };
    struct loan_key {
        std::string host;
        std::uint64_t incarnation = 0;
        std::uint64_t loan = 0;
        auto operator<=>(const loan_key&) const = default;
    };
    struct open_request {
        std::uint64_t loan = 0;
        loan_kind kind = loan_kind::running;
        timestamp sent_at{-1};
    };
    struct entry_book {
        bool running_limited = false;
        bool starts_limited = false;
        bool queue_limited = false;
        std::uint32_t running_share = 0;
        std::uint32_t starts_share = 0;
        std::uint32_t queue_share = 0;
        std::uint32_t running_used = 0;
        std::uint32_t queue_used = 0;
        std::map<loan_key, outgoing_loan> lent;
        std::map<std::uint64_t, incoming_loan> borrowed;
        std::multiset<timestamp> starts;
        std::multiset<timestamp> borrowed_starts; // when each one expires
        open_request request;
        timestamp last_demand_at{-1s};
        std::size_t next_lender = 0;
    };

    [[nodiscard]] std::uint32_t own_share(const domain_shares& shares,
                                          const std::string& entry) const;
    [[nodiscard]] std::uint32_t lent_of(const entry_book& book) const;
    [[nodiscard]] std::uint32_t borrowed_of(const entry_book& book) const;
    [[nodiscard]] std::uint32_t usable_share(const entry_book& book) const;
    // Negative while tasks run that were started under an expired loan.
    [[nodiscard]] std::int64_t spare_running(const entry_book& book) const;
    [[nodiscard]] std::uint32_t free_running(const entry_book& book) const;
    [[nodiscard]] std::uint32_t free_starts(entry_book& book) const;
    void spend_starts(entry_book& book, std::uint32_t count);
    void ask_for_loan(const std::string& entry, entry_book& book,
                      loan_kind kind, std::uint32_t amount);
    std::uint32_t lend_running(const std::string& from, entry_book& book,
                               const loan_request& request);
    std::uint32_t lend_starts(entry_book& book, const loan_request& request);
    void return_unused(const std::string& entry, entry_book& book);
    void renew_loans(const std::string& entry, entry_book& book);
    [[nodiscard]] duration reclaim_delay() const;

    core_context& context_;
    membership& members_;
    std::map<std::string, entry_book> books_;
    std::uint64_t next_loan_ = 1;
    timestamp share_usable_from_ = timestamp::max();
};

} // namespace figridge

#endif
