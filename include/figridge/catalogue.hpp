// The catalogue: the only configuration that operators edit at run time.
//
// Each entry names an owner, a class of work and limits, split by failure
// domain. A `catalogue` is one consistent version of all entries. Hosts apply
// a catalogue only if its version is higher than the one in force.
#ifndef FIGRIDGE_CATALOGUE_HPP
#define FIGRIDGE_CATALOGUE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <msgpack.hpp>

namespace figridge {

// A limit as one share per failure domain. An empty map means no limit.
using domain_shares = std::map<std::string, std::uint32_t>;

struct catalogue_entry {
    std::string name;
    std::string owner;
    std::string work_class;
    domain_shares running_tasks;
    domain_shares starts_per_second;
    domain_shares queued_tasks;
    std::uint32_t task_deadline_ms = 0;

    bool operator==(const catalogue_entry&) const = default;
    MSGPACK_DEFINE(name, owner, work_class, running_tasks, starts_per_second,
                   queued_tasks, task_deadline_ms);
};

struct catalogue {
    std::uint64_t version = 0;
    std::string edit_id;
    std::map<std::string, catalogue_entry> entries;

    bool operator==(const catalogue&) const = default;
    MSGPACK_DEFINE(version, edit_id, entries);
};

// A change to some entries. `based_on` is the version that the operator read;
// the edit is refused if the stored version differs.
struct catalogue_edit {
    std::uint64_t based_on = 0;
    std::string edit_id;
    std::vector<catalogue_entry> set;
    std::vector<std::string> remove;

    MSGPACK_DEFINE(based_on, edit_id, set, remove);
};

// Returns an error that names the entry and field of the first invalid value.
// Thread-safe.
absl::Status check_entry(const catalogue_entry& entry);

// Validates every entry and rejects an edit that names an entry twice.
// Thread-safe.
absl::Status check_edit(const catalogue_edit& edit);

// Returns `base` with the edit applied and the version incremented.
// Precondition: `check_edit(edit)` is ok.
catalogue apply_edit(const catalogue& base, const catalogue_edit& edit);

} // namespace figridge

#endif
