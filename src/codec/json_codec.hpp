// Converts jobs, answers, endpoints and catalogue entries to and from JSON.
//
// Parsers reject unknown fields and return an error that names the invalid
// field. All functions are thread-safe.
#ifndef FIGRIDGE_CODEC_JSON_CODEC_HPP
#define FIGRIDGE_CODEC_JSON_CODEC_HPP

#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "figridge/catalogue.hpp"
#include "figridge/job.hpp"
#include "figridge/messages.hpp"
#include "figridge/outcome.hpp"

namespace figridge {

using json = nlohmann::json;

// The error contains the position of the syntax error.
absl::StatusOr<json> parse_json(std::string_view text);

absl::StatusOr<job_request> job_from_json(const json& value);
json to_json(const job_request& job);

absl::StatusOr<catalogue_entry> entry_from_json(const json& value);
json to_json(const catalogue_entry& entry);

absl::StatusOr<catalogue_edit> edit_from_json(const json& value);
json to_json(const catalogue_edit& edit);
json to_json(const catalogue& content);

json to_json(const job_answer& answer);

absl::StatusOr<endpoint_info> endpoint_from_json(const json& value);
json to_json(const endpoint_info& endpoint);

// Never fails: bytes that are not valid UTF-8 are replaced by U+FFFD.
std::string dump_json(const json& value, int indent = -1);

} // namespace figridge

#endif
