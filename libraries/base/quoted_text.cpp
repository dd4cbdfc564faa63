#include "base/quoted_text.h"

#include <array>
#include <cstdio>

namespace ivypier {

std::string quotedText(std::string_view text, control_escape style)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr char deleteCharacter = 0x7f;
    const char *const format = style == control_escape::unicode ? "\\u%04x" : "\\x%02x";
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
            continue;
        }
        if (static_cast<unsigned char>(character) >= firstPrintable && character != deleteCharacter) {
            result += character;
            continue;
        }
        std::array<char, 8> escape{};
        std::snprintf(escape.data(), escape.size(), format, static_cast<unsigned char>(character));
        result += escape.data();
    }
    return result + '"';
}

} // namespace ivypier
