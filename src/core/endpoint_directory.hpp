// All known endpoints: the platform's list and the leaving marks.
#ifndef FIGRIDGE_CORE_ENDPOINT_DIRECTORY_HPP
#define FIGRIDGE_CORE_ENDPOINT_DIRECTORY_HPP

#include <map>
#include <string>
#include <vector>

#include "figridge/messages.hpp"

namespace figridge {

// Owned by `host_core`. Not thread-safe.
class endpoint_directory {
public:
    // True if `endpoints` equals the current list.
    [[nodiscard]] bool
    matches(const std::vector<endpoint_info>& endpoints) const;

    // Replaces the current list. Returns true if it changed.
    bool set_list(const std::vector<endpoint_info>& endpoints);

    // Applies a mark if it is newer than the stored one: by revision, then by
    // source. Returns true if it was applied.
    bool apply_mark(const leaving_mark& mark);

    // Creates and applies a mark with the endpoint's next revision.
    leaving_mark make_mark(const std::string& endpoint, leaving_source source);

    [[nodiscard]] bool is_leaving(const std::string& endpoint) const;
    [[nodiscard]] leaving_source
    leaving_source_of(const std::string& endpoint) const;
    [[nodiscard]] bool contains(const std::string& endpoint) const;
    [[nodiscard]] bool empty() const { return endpoints_.empty(); }

    // True if the declared capacity of some listed endpoint covers the task's
    // declared size.
    [[nodiscard]] bool any_fits(const task_spec& spec) const;

    [[nodiscard]] std::vector<leaving_mark> marks() const;
    [[nodiscard]] std::vector<endpoint_info> list() const;
    [[nodiscard]] const std::map<std::string, endpoint_info>& all() const {
        return endpoints_;
    }

private:
    std::map<std::string, endpoint_info> endpoints_;
    std::map<std::string, leaving_mark> marks_;
};

} // namespace figridge

#endif
