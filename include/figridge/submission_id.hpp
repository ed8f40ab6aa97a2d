// Identity of a submission.
//
// A `submission_id` names the only process that may start its tasks: the
// incarnation of the host that minted it. Callers request ids, keep them, and
// may resubmit under the same id to any host. The text form is
// `domain~ip:port~incarnation~counter` with hexadecimal numbers; it needs no
// escaping inside a URL path.
#ifndef FIGRIDGE_SUBMISSION_ID_HPP
#define FIGRIDGE_SUBMISSION_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>
#include <msgpack.hpp>

namespace figridge {

struct submission_id {
    std::string failure_domain;
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;

    auto operator<=>(const submission_id&) const = default;
    MSGPACK_DEFINE(failure_domain, host, incarnation, counter);
};

// Returns the text form. Thread-safe.
std::string to_string(const submission_id& id);

// Parses the text form; an error names the invalid part. Thread-safe.
absl::StatusOr<submission_id> parse_submission_id(std::string_view text);

// Identifies one attempt of one task. Answers must match in every field.
struct task_ref {
    submission_id id;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const task_ref&) const = default;
    MSGPACK_DEFINE(id, task, attempt);
};

struct submission_id_hash {
    std::size_t operator()(const submission_id& id) const;
};

struct task_ref_hash {
    std::size_t operator()(const task_ref& ref) const;
};

} // namespace figridge

#endif
