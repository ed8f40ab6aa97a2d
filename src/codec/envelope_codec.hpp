// The wire form of envelopes: msgpack, with bounds on what is accepted.
#ifndef FIGRIDGE_CODEC_ENVELOPE_CODEC_HPP
#define FIGRIDGE_CODEC_ENVELOPE_CODEC_HPP

#include <msgpack.hpp>

#include "figridge/messages.hpp"

namespace figridge {

// Bounds for a reader, so that a damaged length asks for no memory to speak
// of. Thread-safe.
inline msgpack::unpack_limit envelope_limits() {
    constexpr std::size_t max_elements = 200'000;
    constexpr std::size_t max_string_bytes = 1U << 20;
    constexpr std::size_t max_depth = 32;
    return msgpack::unpack_limit(max_elements, max_elements, max_string_bytes,
                                 max_string_bytes, 0, max_depth);
}

} // namespace figridge

#endif
