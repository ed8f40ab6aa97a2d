#include "core/dispatch/route_table.hpp"

#include <algorithm>

namespace figridge::dispatch {

bool route_table::apply(route_catalogue catalogue) {
    if (catalogue.version <= catalogue_.version) {
        return false;
    }
    catalogue_ = std::move(catalogue);
    // Longest prefix first, so that find() can return the first match.
    std::stable_sort(catalogue_.routes.begin(), catalogue_.routes.end(),
                     [](const route& a, const route& b) {
                         return a.path_prefix.size() > b.path_prefix.size();
                     });
    return true;
}

route_table::match route_table::find(std::string_view host,
                                     std::string_view path) const {
    const auto name = host.substr(0, host.find(':'));
    for (const auto& candidate : catalogue_.routes) {
        if (candidate.host == name && path.starts_with(candidate.path_prefix)) {
            return {&candidate, path.substr(candidate.path_prefix.size())};
        }
    }
    return {};
}

} // namespace figridge::dispatch
