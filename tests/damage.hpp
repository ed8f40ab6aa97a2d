// Random damage to text and packed messages, for tests of decoders.
#ifndef FIGRIDGE_TESTS_DAMAGE_HPP
#define FIGRIDGE_TESTS_DAMAGE_HPP

#include <random>
#include <string>

namespace figridge {

// Returns `text` after one to six random edits: a byte overwritten, bytes
// erased, a part repeated, or the rest cut off.
inline std::string damage(std::string text, std::mt19937_64& random) {
    const auto edits = 1 + random() % 6;
    for (std::uint64_t edit = 0; edit < edits && !text.empty(); ++edit) {
        const auto place = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[place] = static_cast<char>(random());
            break;
        case 1:
            text.erase(place, 1 + random() % 8);
            break;
        case 2:
            text.insert(place, text.substr(random() % text.size(), 12));
            break;
        default:
            text.resize(place);
        }
    }
    return text;
}

} // namespace figridge

#endif
