#include "heap_trimmer.hpp"

#include <malloc.h>

namespace figridge {
namespace {

// Much memory is returned soon, less of it after a while, as returning it costs
// processor time and the process may need it again.
constexpr std::size_t much_bytes = std::size_t{4} * 1024 * 1024;
constexpr duration much_interval = 1s;
constexpr std::size_t little_bytes = std::size_t{1} * 1024 * 1024;
constexpr duration little_interval = 5s;

} // namespace

void heap_trimmer::trim(timestamp now) {
    const auto freed = peak_ - in_use_;
    const auto since = now - trimmed_at_;
    if (!(freed >= much_bytes && since >= much_interval) &&
        !(freed >= little_bytes && since >= little_interval)) {
        return;
    }
    trimmed_at_ = now;
    peak_ = in_use_;
    malloc_trim(0);
}

} // namespace figridge
