#include "figridge/catalogue.hpp"

#include <algorithm>
#include <set>

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

constexpr std::size_t max_name_bytes = 100;
constexpr std::uint32_t max_share = 1'000'000;
constexpr std::uint32_t max_task_deadline_ms = 30'000;

bool is_name(const std::string& text) {
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

absl::Status field_error(const catalogue_entry& entry, absl::string_view field,
                         absl::string_view what) {
    return absl::InvalidArgumentError(
        absl::StrCat("entry ", entry.name, ": ", field, ": ", what));
}

absl::Status check_shares(const catalogue_entry& entry, absl::string_view field,
                          const domain_shares& shares) {
    std::uint64_t total = 0;
    for (const auto& [domain, share] : shares) {
        if (!is_name(domain)) {
            return field_error(entry, field, "malformed failure domain name");
        }
        if (share > max_share) {
            return field_error(entry, field,
                               absl::StrCat("at most ", max_share));
        }
        total += share;
    }
    if (!shares.empty() && total == 0) {
        return field_error(entry, field, "the shares sum to 0");
    }
    return absl::OkStatus();
}

} // namespace

absl::Status check_entry(const catalogue_entry& entry) {
    if (!is_name(entry.name)) {
        return field_error(entry, "name",
                           "1 to 100 letters, digits, '-', '_' or '.'");
    }
    if (!is_name(entry.owner)) {
        return field_error(entry, "owner",
                           "1 to 100 letters, digits, '-', '_' or '.'");
    }
    if (!is_name(entry.work_class)) {
        return field_error(entry, "work_class",
                           "1 to 100 letters, digits, '-', '_' or '.'");
    }
    if (entry.task_deadline_ms == 0 ||
        entry.task_deadline_ms > max_task_deadline_ms) {
        return field_error(entry, "task_deadline_ms",
                           absl::StrCat("1 to ", max_task_deadline_ms));
    }
    const std::pair<absl::string_view, const domain_shares*> limits[] = {
        {"running_tasks", &entry.running_tasks},
        {"starts_per_second", &entry.starts_per_second},
        {"queued_tasks", &entry.queued_tasks},
    };
    for (const auto& [field, shares] : limits) {
        if (auto status = check_shares(entry, field, *shares); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status check_edit(const catalogue_edit& edit) {
    if (edit.edit_id.empty() || edit.edit_id.size() > max_name_bytes) {
        return absl::InvalidArgumentError("edit_id: 1 to 100 characters");
    }
    if (edit.set.empty() && edit.remove.empty()) {
        return absl::InvalidArgumentError("set: the edit changes nothing");
    }
    std::set<std::string> names;
    for (const auto& entry : edit.set) {
        if (auto status = check_entry(entry); !status.ok()) {
            return status;
        }
        if (!names.insert(entry.name).second) {
            return field_error(entry, "name", "given twice");
        }
    }
    for (const auto& name : edit.remove) {
        if (!names.insert(name).second) {
            return absl::InvalidArgumentError(
                absl::StrCat("remove: ", name, " is given twice"));
        }
    }
    return absl::OkStatus();
}

catalogue apply_edit(const catalogue& base, const catalogue_edit& edit) {
    catalogue next = base;
    next.version = base.version + 1;
    next.edit_id = edit.edit_id;
    for (const auto& entry : edit.set) {
        next.entries[entry.name] = entry;
    }
    for (const auto& name : edit.remove) {
        next.entries.erase(name);
    }
    return next;
}

} // namespace figridge
