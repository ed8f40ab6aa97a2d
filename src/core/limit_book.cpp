#include "limit_book.hpp"

#include <algorithm>
#include <limits>

#include "rendezvous.hpp"

namespace figridge {
namespace {

constexpr duration request_timeout = 500ms;
constexpr duration retry_interval = 20ms;
constexpr duration demand_window = 300ms;
constexpr duration starts_window = 1s;
constexpr duration borrowed_start_validity = 300ms;

} // namespace

limit_book::limit_book(core_context& context, membership& members)
    : context_(context), members_(members) {}

void limit_book::begin(bool clean) {
    share_usable_from_ = clean ? context_.now : context_.now + reclaim_delay();
}

duration limit_book::reclaim_delay() const {
    const auto& settings = context_.settings;
    return std::max(settings.loan_term, settings.start_freshness) +
           settings.max_task_run + settings.clock_margin;
}

std::uint32_t limit_book::own_share(const domain_shares& shares,
                                    const std::string& entry) const {
    const auto& self = context_.settings.self;
    const auto share = shares.find(self.failure_domain);
    if (share == shares.end()) {
        return 0;
    }
    std::vector<std::string> hosts;
    for (const auto& host : context_.settings.hosts) {
        if (host.failure_domain == self.failure_domain) {
            hosts.push_back(host.address);
        }
    }
    const auto count = static_cast<std::uint32_t>(hosts.size());
    const auto order = rendezvous_order(entry, std::move(hosts));
    const auto position = static_cast<std::uint32_t>(
        std::find(order.begin(), order.end(), self.address) - order.begin());
    if (position == count) {
        return 0;
    }
    const auto remainder = share->second % count;
    return share->second / count + (position < remainder ? 1 : 0);
}

void limit_book::set_catalogue(const catalogue& current) {
    for (const auto& [name, entry] : current.entries) {
        auto& book = books_[name];
        book.running_limited = !entry.running_tasks.empty();
        book.starts_limited = !entry.starts_per_second.empty();
        book.queue_limited = !entry.queued_tasks.empty();
        book.running_share = own_share(entry.running_tasks, name);
        book.starts_share = own_share(entry.starts_per_second, name);
        book.queue_share = own_share(entry.queued_tasks, name);
    }
}

std::uint32_t limit_book::lent_of(const entry_book& book) const {
    std::uint32_t sum = 0;
    for (const auto& [key, loan] : book.lent) {
        sum += loan.amount;
    }
    return sum;
}

std::uint32_t limit_book::borrowed_of(const entry_book& book) const {
    std::uint32_t sum = 0;
    for (const auto& [key, loan] : book.borrowed) {
        sum += context_.now < loan.expires ? loan.amount : 0;
    }
    return sum;
}

std::uint32_t limit_book::usable_share(const entry_book& book) const {
    return context_.now >= share_usable_from_ ? book.running_share : 0;
}

std::int64_t limit_book::spare_running(const entry_book& book) const {
    return std::int64_t{usable_share(book)} + borrowed_of(book) -
           lent_of(book) - book.running_used;
}

std::uint32_t limit_book::free_running(const entry_book& book) const {
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(spare_running(book), 0));
}

std::uint32_t limit_book::free_starts(entry_book& book) const {
    const auto now = context_.now;
    book.starts.erase(book.starts.begin(),
                      book.starts.upper_bound(now - starts_window));
    book.borrowed_starts.erase(book.borrowed_starts.begin(),
                               book.borrowed_starts.upper_bound(now));
    const auto usable = now >= share_usable_from_ ? book.starts_share : 0;
    const auto spent = static_cast<std::uint32_t>(book.starts.size());
    const auto own = usable > spent ? usable - spent : 0;
    return own + static_cast<std::uint32_t>(book.borrowed_starts.size());
}

void limit_book::spend_starts(entry_book& book, std::uint32_t count) {
    for (std::uint32_t index = 0; index < count; ++index) {
        if (!book.borrowed_starts.empty()) {
            book.borrowed_starts.erase(book.borrowed_starts.begin());
        } else {
            book.starts.insert(context_.now);
        }
    }
}

start_permit limit_book::take(const std::string& entry, std::uint32_t wanted) {
    start_permit permit{wanted, timestamp::max()};
    const auto found = books_.find(entry);
    if (found == books_.end()) {
        return permit;
    }
    auto& book = found->second;
    if (book.running_limited) {
        const auto free = free_running(book);
        if (free < wanted) {
            ask_for_loan(entry, book, loan_kind::running, wanted - free);
        }
        permit.count = std::min(permit.count, free);
    }
    if (book.starts_limited) {
        const auto free = free_starts(book);
        if (free < permit.count) {
            ask_for_loan(entry, book, loan_kind::starts, permit.count - free);
        }
        permit.count = std::min(permit.count, free);
    }
    if (permit.count == 0) {
        return permit;
    }
    if (book.starts_limited) {
        spend_starts(book, permit.count);
    }
    book.running_used += permit.count;
    if (book.running_limited &&
        book.running_used + lent_of(book) > usable_share(book)) {
        for (const auto& [loan, borrowed] : book.borrowed) {
            if (context_.now < borrowed.expires) {
                permit.valid_until =
                    std::min(permit.valid_until, borrowed.expires);
            }
        }
    }
    return permit;
}

void limit_book::release(const std::string& entry, std::uint32_t count) {
    if (const auto found = books_.find(entry); found != books_.end()) {
        auto& used = found->second.running_used;
        used -= std::min(used, count);
    }
}

void limit_book::add_running(const std::string& entry) {
    ++books_[entry].running_used;
}

bool limit_book::has_queue_room(const std::string& entry,
                                std::uint32_t count) const {
    const auto found = books_.find(entry);
    return found == books_.end() || !found->second.queue_limited ||
           found->second.queue_used + count <= found->second.queue_share;
}

void limit_book::take_queue_room(const std::string& entry,
                                 std::uint32_t count) {
    books_[entry].queue_used += count;
}

void limit_book::release_queue_room(const std::string& entry,
                                    std::uint32_t count) {
    auto& used = books_[entry].queue_used;
    used -= std::min(used, count);
}

void limit_book::ask_for_loan(const std::string& entry, entry_book& book,
                              loan_kind kind, std::uint32_t amount) {
    book.last_demand_at = context_.now;
    const auto age = context_.now - book.request.sent_at;
    const bool open = book.request.loan != 0;
    if (book.request.sent_at >= timestamp{0} &&
        age < (open ? request_timeout : retry_interval)) {
        return;
    }
    std::vector<std::string> lenders;
    for (const auto& host : members_.alive_hosts()) {
        if (host != context_.settings.self.address) {
            lenders.push_back(host);
        }
    }
    if (lenders.empty()) {
        return;
    }
    const auto& lender = lenders[book.next_lender++ % lenders.size()];
    book.request = {next_loan_++, kind, context_.now};
    members_.outbox(lender).loan_requests.push_back(
        {book.request.loan, entry, kind, amount});
}

std::uint32_t limit_book::lend_running(const std::string& from,
                                       entry_book& book,
                                       const loan_request& request) {
    const loan_key key{from, members_.incarnation_of(from), request.loan};
    if (const auto renewed = book.lent.find(key); renewed != book.lent.end()) {
        renewed->second.reclaim_at = context_.now + reclaim_delay();
        return renewed->second.amount;
    }
    const auto usable = usable_share(book);
    const auto spent = lent_of(book) + book.running_used;
    const auto spare = usable > spent ? usable - spent : 0;
    const auto amount = std::min(spare, request.amount);
    if (amount > 0) {
        book.lent[key] = {amount, context_.now + reclaim_delay()};
    }
    return amount;
}

std::uint32_t limit_book::lend_starts(entry_book& book,
                                      const loan_request& request) {
    const auto borrowed =
        static_cast<std::uint32_t>(book.borrowed_starts.size());
    const auto free = free_starts(book);
    const auto spare = free > borrowed ? free - borrowed : 0;
    const auto amount = std::min(spare, request.amount);
    for (std::uint32_t index = 0; index < amount; ++index) {
        book.starts.insert(context_.now + borrowed_start_validity);
    }
    return amount;
}

void limit_book::handle_request(const std::string& from,
                                const loan_request& request) {
    auto& book = books_[request.entry];
    loan_grant grant{request.loan, request.entry, request.kind, 0};
    // A host that lacked permits recently neither lends nor renews.
    const bool has_own_demand =
        context_.now - book.last_demand_at < demand_window;
    if (!has_own_demand) {
        grant.amount = request.kind == loan_kind::running
                           ? lend_running(from, book, request)
                           : lend_starts(book, request);
    }
    members_.outbox(from).loan_grants.push_back(grant);
}

void limit_book::handle_grant(const std::string& from,
                              const loan_grant& grant) {
    auto& book = books_[grant.entry];
    if (const auto loan = book.borrowed.find(grant.loan);
        loan != book.borrowed.end()) {
        loan->second.renewing = false;
        if (grant.amount > 0) {
            loan->second.expires =
                loan->second.asked_at + context_.settings.loan_term;
        }
        return;
    }
    if (book.request.loan != grant.loan) {
        context_.counters.wasted(message_kind::loan);
        if (grant.kind == loan_kind::running && grant.amount > 0) {
            members_.outbox(from).loan_returns.push_back(
                {grant.loan, grant.entry});
        }
        return;
    }
    const auto asked_at = book.request.sent_at;
    book.request.loan = 0;
    if (grant.amount == 0) {
        return;
    }
    if (grant.kind == loan_kind::running) {
        book.borrowed[grant.loan] = {from, grant.amount,
                                     asked_at + context_.settings.loan_term,
                                     asked_at, false};
    } else {
        for (std::uint32_t index = 0; index < grant.amount; ++index) {
            book.borrowed_starts.insert(asked_at + borrowed_start_validity);
        }
    }
    book.request.sent_at = timestamp{-1};
}

void limit_book::handle_return(const std::string& from,
                               const loan_return& returned) {
    if (const auto found = books_.find(returned.entry); found != books_.end()) {
        found->second.lent.erase(
            {from, members_.incarnation_of(from), returned.loan});
    }
}

void limit_book::return_unused(const std::string& entry, entry_book& book) {
    const bool wanted = context_.now - book.last_demand_at < demand_window;
    for (auto loan = book.borrowed.begin(); loan != book.borrowed.end();) {
        const auto& lender = loan->second.lender;
        const auto amount = loan->second.amount;
        const bool expired = context_.now >= loan->second.expires;
        const auto spare = spare_running(book);
        const bool unused =
            expired ? spare >= 0 : !wanted && spare >= std::int64_t{amount};
        if (!unused || !members_.can_send(lender)) {
            ++loan;
            continue;
        }
        members_.outbox(lender).loan_returns.push_back({loan->first, entry});
        loan = book.borrowed.erase(loan);
    }
}

void limit_book::renew_loans(const std::string& entry, entry_book& book) {
    for (auto& [number, loan] : book.borrowed) {
        const bool due =
            context_.now - loan.asked_at >= context_.settings.loan_term / 3;
        if (due && !loan.renewing && context_.now < loan.expires &&
            members_.is_alive(loan.lender)) {
            loan.renewing = true;
            loan.asked_at = context_.now;
            members_.outbox(loan.lender)
                .loan_requests.push_back(
                    {number, entry, loan_kind::running, loan.amount});
        }
    }
}

void limit_book::tick() {
    for (auto& [entry, book] : books_) {
        std::erase_if(book.lent, [this](const auto& item) {
            return context_.now >= item.second.reclaim_at;
        });
        return_unused(entry, book);
        renew_loans(entry, book);
    }
}

limit_usage limit_book::usage_of(const std::string& entry) const {
    const auto found = books_.find(entry);
    if (found == books_.end()) {
        return {};
    }
    const auto& book = found->second;
    return {book.running_limited, book.running_share, book.running_used,
            lent_of(book),        borrowed_of(book),  book.queue_used,
            book.queue_share};
}

bool limit_book::is_idle() const {
    return std::all_of(books_.begin(), books_.end(), [](const auto& item) {
        return item.second.lent.empty() && item.second.running_used == 0;
    });
}

} // namespace figridge
