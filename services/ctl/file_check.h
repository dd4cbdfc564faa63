#pragma once

#include "check_result.h"

#include <string>

namespace ivypier::ctl {

/// Largest file that is checked. The platform's configuration may have 4 MB.
inline constexpr std::size_t max_checked_bytes = std::size_t{16} * 1024 * 1024;

/// Returns whether a text is the platform's configuration, a JSON object. A TOML document can't begin with a
/// brace.
bool isPlatformConfiguration(std::string_view text);

/// Checks the platform's configuration, and compares it with `options.against`, which must be a file.
check_result checkPlatformConfiguration(const command_options &options, const std::string &text);

/// Checks a document, and compares it with a file or with what is in force.
check_result checkDocument(const command_options &options, const std::string &text);

} // namespace ivypier::ctl
