#include "json_codec.hpp"

#include <limits>
#include <set>

#include <absl/strings/str_cat.h>

namespace figridge {
namespace {

// Reads the fields of one object and keeps the first error. Tracks the fields
// that were read, so that finish() can reject unknown ones.
class object_reader {
public:
    object_reader(const json& value, std::string path)
        : value_(value), path_(std::move(path)) {
        if (!value.is_object()) {
            fail("", "expected an object");
        }
    }

    void read(const char* field, std::string& target, bool required = false) {
        const auto* found = find(field, required);
        if (found == nullptr) {
            return;
        }
        if (!found->is_string()) {
            return fail(field, "expected a string");
        }
        target = found->get<std::string>();
    }

    void read(const char* field, bool& target) {
        const auto* found = find(field, false);
        if (found == nullptr) {
            return;
        }
        if (!found->is_boolean()) {
            return fail(field, "expected true or false");
        }
        target = found->get<bool>();
    }

    template <typename Number>
    void read_number(const char* field, Number& target, bool required = false) {
        const auto* found = find(field, required);
        if (found != nullptr) {
            target = to_number<Number>(field, *found);
        }
    }

    void read_shares(const char* field, domain_shares& target) {
        const auto* found = find(field, false);
        if (found == nullptr) {
            return;
        }
        if (!found->is_object()) {
            return fail(field, "expected an object of failure domains");
        }
        for (const auto& [domain, share] : found->items()) {
            target[domain] = to_number<std::uint32_t>(
                absl::StrCat(field, ".", domain), share);
        }
    }

    // Returns the array, or null if it is missing or not an array.
    const json* read_array(const char* field, bool required) {
        const auto* found = find(field, required);
        if (found != nullptr && !found->is_array()) {
            fail(field, "expected an array");
            return nullptr;
        }
        return found;
    }

    void fail(absl::string_view field, absl::string_view message) {
        if (status_.ok()) {
            const auto* dot = path_.empty() || field.empty() ? "" : ".";
            status_ = absl::InvalidArgumentError(
                absl::StrCat(path_, dot, field, ": ", message));
        }
    }

    void merge_status(const absl::Status& status) { status_.Update(status); }

    absl::Status finish() {
        if (!status_.ok() || !value_.is_object()) {
            return status_;
        }
        for (const auto& [name, ignored] : value_.items()) {
            if (!known_fields_.contains(name)) {
                fail(name, "unknown field");
            }
        }
        return status_;
    }

private:
    const json* find(const char* field, bool required) {
        known_fields_.insert(field);
        if (!value_.is_object()) {
            return nullptr;
        }
        const auto found = value_.find(field);
        if (found == value_.end()) {
            if (required) {
                fail(field, "missing");
            }
            return nullptr;
        }
        return &*found;
    }

    template <typename Number>
    Number to_number(absl::string_view field, const json& value) {
        const bool in_range =
            value.is_number_unsigned() &&
            value.get<std::uint64_t>() <= std::numeric_limits<Number>::max();
        if (!in_range) {
            fail(field, absl::StrCat("expected a whole number from 0 to ",
                                     std::numeric_limits<Number>::max()));
            return 0;
        }
        return value.get<Number>();
    }

    const json& value_;
    std::string path_;
    std::set<std::string> known_fields_;
    absl::Status status_;
};

absl::StatusOr<task_spec> task_from_json(const json& value, std::size_t index) {
    object_reader reader(value, absl::StrCat("tasks[", index, "]"));
    task_spec task;
    reader.read("payload", task.payload);
    reader.read_number("cpu_millis", task.cpu_millis);
    reader.read_number("memory_mb", task.memory_mb);
    reader.read_number("accelerators", task.accelerators);
    reader.read_number("run_ms_hint", task.run_ms_hint);
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    return task;
}

} // namespace

absl::StatusOr<json> parse_json(std::string_view text) {
    try {
        return json::parse(text);
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(
            absl::StrCat("body: not JSON: ", error.what()));
    }
}

std::string dump_json(const json& value, int indent) {
    return value.dump(indent, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<job_request> job_from_json(const json& value) {
    object_reader reader(value, "");
    job_request job;
    std::string priority = "normal";
    reader.read("entry", job.entry, true);
    reader.read("priority", priority);
    reader.read_number("deadline_ms", job.deadline_ms);
    reader.read("idempotent", job.idempotent);
    reader.read("idempotency_key", job.idempotency_key);
    if (const auto parsed = parse_priority(priority)) {
        job.priority = *parsed;
    } else {
        reader.fail("priority", "expected normal or urgent");
    }
    if (const auto* tasks = reader.read_array("tasks", true)) {
        if (tasks->size() > max_tasks_per_job) {
            reader.fail("tasks", absl::StrCat(tasks->size(), " given, at most ",
                                              max_tasks_per_job));
        }
        for (std::size_t index = 0;
             index < std::min(tasks->size(), max_tasks_per_job); ++index) {
            auto task = task_from_json((*tasks)[index], index);
            reader.merge_status(task.status());
            if (task.ok()) {
                job.tasks.push_back(std::move(*task));
            }
        }
    }
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    if (auto status = check_job(job); !status.ok()) {
        return status;
    }
    return job;
}

json to_json(const job_request& job) {
    json tasks = json::array();
    for (const auto& task : job.tasks) {
        tasks.push_back({{"payload", task.payload},
                         {"cpu_millis", task.cpu_millis},
                         {"memory_mb", task.memory_mb},
                         {"accelerators", task.accelerators},
                         {"run_ms_hint", task.run_ms_hint}});
    }
    json value{{"entry", job.entry},
               {"priority", to_string(job.priority)},
               {"deadline_ms", job.deadline_ms},
               {"idempotent", job.idempotent},
               {"tasks", std::move(tasks)}};
    if (!job.idempotency_key.empty()) {
        value["idempotency_key"] = job.idempotency_key;
    }
    return value;
}

absl::StatusOr<catalogue_entry> entry_from_json(const json& value) {
    const auto name =
        value.is_object() && value.contains("name") && value["name"].is_string()
            ? value["name"].get<std::string>()
            : std::string("?");
    object_reader reader(value, absl::StrCat("entry ", name));
    catalogue_entry entry;
    reader.read("name", entry.name, true);
    reader.read("owner", entry.owner, true);
    reader.read("work_class", entry.work_class, true);
    reader.read_number("task_deadline_ms", entry.task_deadline_ms, true);
    reader.read_shares("running_tasks", entry.running_tasks);
    reader.read_shares("starts_per_second", entry.starts_per_second);
    reader.read_shares("queued_tasks", entry.queued_tasks);
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    if (auto status = check_entry(entry); !status.ok()) {
        return status;
    }
    return entry;
}

json to_json(const catalogue_entry& entry) {
    json value{{"name", entry.name},
               {"owner", entry.owner},
               {"work_class", entry.work_class},
               {"task_deadline_ms", entry.task_deadline_ms}};
    const std::pair<const char*, const domain_shares*> limits[] = {
        {"running_tasks", &entry.running_tasks},
        {"starts_per_second", &entry.starts_per_second},
        {"queued_tasks", &entry.queued_tasks},
    };
    for (const auto& [field, shares] : limits) {
        if (!shares->empty()) {
            value[field] = *shares;
        }
    }
    return value;
}

absl::StatusOr<catalogue_edit> edit_from_json(const json& value) {
    object_reader reader(value, "");
    catalogue_edit edit;
    reader.read_number("based_on", edit.based_on, true);
    reader.read("edit_id", edit.edit_id, true);
    if (const auto* entries = reader.read_array("set", false)) {
        for (const auto& item : *entries) {
            auto entry = entry_from_json(item);
            reader.merge_status(entry.status());
            if (entry.ok()) {
                edit.set.push_back(std::move(*entry));
            }
        }
    }
    if (const auto* names = reader.read_array("remove", false)) {
        for (const auto& name : *names) {
            if (!name.is_string()) {
                reader.fail("remove", "expected an array of names");
                break;
            }
            edit.remove.push_back(name.get<std::string>());
        }
    }
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    if (auto status = check_edit(edit); !status.ok()) {
        return status;
    }
    return edit;
}

json to_json(const catalogue_edit& edit) {
    json entries = json::array();
    for (const auto& entry : edit.set) {
        entries.push_back(to_json(entry));
    }
    return {{"based_on", edit.based_on},
            {"edit_id", edit.edit_id},
            {"set", std::move(entries)},
            {"remove", edit.remove}};
}

json to_json(const catalogue& content) {
    json entries = json::array();
    for (const auto& [name, entry] : content.entries) {
        entries.push_back(to_json(entry));
    }
    return {{"version", content.version},
            {"edit_id", content.edit_id},
            {"entries", std::move(entries)}};
}

json to_json(const job_answer& answer) {
    json value{{"id", to_string(answer.id)},
               {"state", to_string(answer.state)},
               {"tasks_done", answer.tasks_done},
               {"tasks_total", answer.tasks_total}};
    if (answer.state == job_state::complete) {
        value["outputs"] = answer.outputs;
    }
    if (answer.state == job_state::failed) {
        value["cause"] = to_string(answer.cause);
        value["may_have_run"] = answer.may_have_run;
    }
    if (!answer.detail.empty()) {
        value["detail"] = answer.detail;
    }
    if (answer.retry_after_ms > 0) {
        value["retry_after_ms"] = answer.retry_after_ms;
    }
    return value;
}

absl::StatusOr<endpoint_info> endpoint_from_json(const json& value) {
    object_reader reader(value, "endpoint");
    endpoint_info endpoint;
    reader.read("address", endpoint.address, true);
    reader.read("failure_domain", endpoint.failure_domain, true);
    reader.read_number("slots", endpoint.slots, true);
    reader.read_number("cpu_millis", endpoint.cpu_millis, true);
    reader.read_number("memory_mb", endpoint.memory_mb, true);
    reader.read_number("accelerators", endpoint.accelerators);
    reader.read("leaving", endpoint.leaving);
    if (auto status = reader.finish(); !status.ok()) {
        return status;
    }
    return endpoint;
}

json to_json(const endpoint_info& endpoint) {
    return {{"address", endpoint.address},
            {"failure_domain", endpoint.failure_domain},
            {"slots", endpoint.slots},
            {"cpu_millis", endpoint.cpu_millis},
            {"memory_mb", endpoint.memory_mb},
            {"accelerators", endpoint.accelerators},
            {"leaving", endpoint.leaving}};
}

} // namespace figridge
