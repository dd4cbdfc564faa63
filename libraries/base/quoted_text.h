#pragma once

#include <string>
#include <string_view>

namespace ivypier {

/// How a control character is written inside quotes.
enum class control_escape {
    hexadecimal, ///< `\x0a`, as in log lines
    unicode, ///< `\u000a`, as in TOML
};

/// A text in double quotes; quotes and backslashes are escaped by a backslash.
std::string quotedText(std::string_view text, control_escape style);

} // namespace ivypier
