#include "base/utf8.h"

namespace ivypier {

namespace {

/// Returns the length of the UTF-8 sequence at the start of `text`, or 0 if it is malformed (RFC 3629,
/// section 4).
std::size_t sequenceLength(std::string_view text)
{
    const auto byte = [&](std::size_t index) {
        return index < text.size() ? static_cast<unsigned char>(text[index]) : 0u;
    };
    const auto between = [&](std::size_t index, unsigned minimum, unsigned maximum) {
        return byte(index) >= minimum && byte(index) <= maximum;
    };
    const unsigned first = byte(0);
    if (first < 0x80)
        return 1;
    if (first >= 0xc2 && first <= 0xdf)
        return between(1, 0x80, 0xbf) ? 2 : 0;
    if (first >= 0xe0 && first <= 0xef) {
        const unsigned minimum = first == 0xe0 ? 0xa0 : 0x80; // no overlong forms
        const unsigned maximum = first == 0xed ? 0x9f : 0xbf; // no surrogates
        return between(1, minimum, maximum) && between(2, 0x80, 0xbf) ? 3 : 0;
    }
    if (first >= 0xf0 && first <= 0xf4) {
        const unsigned minimum = first == 0xf0 ? 0x90 : 0x80;
        const unsigned maximum = first == 0xf4 ? 0x8f : 0xbf;
        return between(1, minimum, maximum) && between(2, 0x80, 0xbf) && between(3, 0x80, 0xbf) ? 4 : 0;
    }
    return 0;
}

} // namespace

std::optional<std::size_t> findInvalidUtf8(std::string_view text)
{
    std::size_t offset = 0;
    while (offset < text.size()) {
        const std::size_t length = sequenceLength(text.substr(offset));
        if (length == 0)
            return offset;
        offset += length;
    }
    return std::nullopt;
}

} // namespace ivypier
