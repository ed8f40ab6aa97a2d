#include "endpoint_directory.hpp"

#include <algorithm>

#include "endpoint_pool.hpp"

namespace figridge {

bool endpoint_directory::matches(
    const std::vector<endpoint_info>& endpoints) const {
    return endpoints.size() == endpoints_.size() &&
           std::all_of(endpoints.begin(), endpoints.end(),
                       [this](const endpoint_info& endpoint) {
                           const auto held = endpoints_.find(endpoint.address);
                           return held != endpoints_.end() &&
                                  held->second == endpoint;
                       });
}

bool endpoint_directory::set_list(const std::vector<endpoint_info>& endpoints) {
    std::map<std::string, endpoint_info> next;
    for (const auto& endpoint : endpoints) {
        next[endpoint.address] = endpoint;
    }
    if (next == endpoints_) {
        return false;
    }
    endpoints_ = std::move(next);
    return true;
}

bool endpoint_directory::apply_mark(const leaving_mark& mark) {
    auto& held = marks_[mark.endpoint];
    const bool newer =
        mark.revision > held.revision ||
        (mark.revision == held.revision && mark.source > held.source);
    if (newer) {
        held = mark;
    }
    return newer;
}

leaving_mark endpoint_directory::make_mark(const std::string& endpoint,
                                           leaving_source source) {
    auto& held = marks_[endpoint];
    held = {endpoint, held.revision + 1, source};
    return held;
}

bool endpoint_directory::is_leaving(const std::string& endpoint) const {
    const auto found = endpoints_.find(endpoint);
    return leaving_source_of(endpoint) != leaving_source::none ||
           (found != endpoints_.end() && found->second.leaving);
}

leaving_source
endpoint_directory::leaving_source_of(const std::string& endpoint) const {
    const auto found = marks_.find(endpoint);
    return found == marks_.end() ? leaving_source::none : found->second.source;
}

bool endpoint_directory::contains(const std::string& endpoint) const {
    return endpoints_.contains(endpoint);
}

bool endpoint_directory::any_fits(const task_spec& spec) const {
    return std::any_of(
        endpoints_.begin(), endpoints_.end(),
        [&spec](const auto& item) { return endpoint_fits(item.second, spec); });
}

std::vector<leaving_mark> endpoint_directory::marks() const {
    std::vector<leaving_mark> marks;
    for (const auto& [endpoint, mark] : marks_) {
        marks.push_back(mark);
    }
    return marks;
}

std::vector<endpoint_info> endpoint_directory::list() const {
    std::vector<endpoint_info> list;
    for (const auto& [address, endpoint] : endpoints_) {
        list.push_back(endpoint);
    }
    return list;
}

} // namespace figridge
