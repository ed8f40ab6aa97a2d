#include "id_ledger.hpp"

namespace figridge {

std::uint64_t id_ledger::mint(std::uint32_t count, timestamp now) {
    const auto first = next_;
    next_ += count;
    used_.insert(used_.end(), count, false);
    batches_.push_back({next_, now});
    if (next_ - base_ > settings_.id_window) {
        advance_base(next_ - settings_.id_window);
    }
    return first;
}

id_state id_ledger::state_of(std::uint64_t counter) const {
    if (counter == 0 || counter >= next_) {
        return id_state::not_minted;
    }
    if (counter < base_) {
        return id_state::expired;
    }
    return used_[counter - base_] ? id_state::used : id_state::unused;
}

void id_ledger::mark_used(std::uint64_t counter) {
    used_[counter - base_] = true;
}

void id_ledger::advance_base(std::uint64_t base) {
    while (base_ < base) {
        used_.pop_front();
        ++base_;
    }
}

void id_ledger::expire(timestamp now) {
    while (!batches_.empty() &&
           now - batches_.front().minted_at > settings_.id_validity) {
        const auto end = batches_.front().end;
        batches_.pop_front();
        if (end > base_) {
            advance_base(end);
        }
    }
}

} // namespace figridge
