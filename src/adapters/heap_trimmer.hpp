// Returns freed memory to the system after a peak.
//
// The allocator keeps freed memory between blocks in use until it is told to
// return it. Whoever counts what comes and goes in bulk records it here.
#ifndef FIGRIDGE_ADAPTERS_HEAP_TRIMMER_HPP
#define FIGRIDGE_ADAPTERS_HEAP_TRIMMER_HPP

#include <algorithm>
#include <cstddef>

#include "figridge/time.hpp"

namespace figridge {

// Not thread-safe.
class heap_trimmer {
public:
    // The bytes that are in use from now on. Not thread-safe.
    void record(std::size_t bytes) {
        in_use_ = bytes;
        peak_ = std::max(peak_, bytes);
    }
    // Returns memory if much less is in use than at the peak since the last
    // time; a call costs nothing otherwise. Precondition: `now` does not go
    // back. Not thread-safe.
    void trim(timestamp now);

private:
    std::size_t in_use_ = 0;
    std::size_t peak_ = 0;
    timestamp trimmed_at_{0};
};

} // namespace figridge

#endif
