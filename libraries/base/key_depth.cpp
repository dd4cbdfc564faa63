#include "base/key_depth.h"

#include <algorithm>

namespace ivypier {

namespace {

/// Counts the dots in a line, except those in single-line strings (TOML 1.0, "String") and in a comment.
std::size_t countDots(std::string_view line)
{
    // Multi-line strings are not tracked: on a line that opens or closes one, all dots count.
    const bool multiLine
        = line.find(R"(""")") != std::string_view::npos || line.find("'''") != std::string_view::npos;
    if (multiLine)
        return static_cast<std::size_t>(std::count(line.begin(), line.end(), '.'));
    std::size_t dots = 0;
    char quote = 0;
    for (std::size_t index = 0; index < line.size(); ++index) {
        const char character = line[index];
        if (quote != 0) {
            if (character == '\\' && quote == '"')
                ++index;
            else if (character == quote)
                quote = 0;
            continue;
        }
        if (character == '#')
            break;
        if (character == '"' || character == '\'')
            quote = character;
        if (character == '.')
            ++dots;
    }
    return dots;
}

} // namespace

std::optional<std::uint32_t> findTooDeepKey(std::string_view text)
{
    std::uint32_t lineNumber = 0;
    while (!text.empty()) {
        ++lineNumber;
        const std::size_t end = std::min(text.find('\n'), text.size());
        if (countDots(text.substr(0, end)) > max_key_depth)
            return lineNumber;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::nullopt;
}

} // namespace ivypier
