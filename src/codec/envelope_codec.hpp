// Size limits for unpacking envelopes, which are sent as msgpack.
#ifndef FIGRIDGE_CODEC_ENVELOPE_CODEC_HPP
#define FIGRIDGE_CODEC_ENVELOPE_CODEC_HPP

#include <msgpack.hpp>

#include "figridge/messages.hpp"

namespace figridge {

// Limits for unpacking, so that a corrupt length field cannot cause a large
// allocation. Thread-safe.
inline msgpack::unpack_limit envelope_limits() {
    constexpr std::size_t max_elements = 200'000;
    constexpr std::size_t max_string_bytes = 1U << 20;
    constexpr std::size_t max_depth = 32;
    return msgpack::unpack_limit(max_elements, max_elements, max_string_bytes,
                                 max_string_bytes, 0, max_depth);
}

} // namespace figridge

#endif
