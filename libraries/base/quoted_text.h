#pragma once

#include <string>
#include <string_view>

namespace ivypier {

/// Escape style of control characters in a quoted text.
enum class control_escape {
    hexadecimal, ///< `\x0a`, as in log lines
    unicode, ///< `\u000a`, as in TOML
};

/// Returns a text in double quotes. Quotes and backslashes are escaped with a backslash, control characters
/// in the given style.
std::string quotedText(std::string_view text, control_escape style);

} // namespace ivypier
