#pragma once

#include "base/outcome.h"

#include <cstddef>
#include <string>

namespace ivypier::program {

/// Maximum size of a file that readFile() accepts.
inline constexpr std::size_t max_file_bytes = std::size_t{2} * 1024 * 1024;

/// Returns the content of a file, or of standard input if `path` is `-`. Errors: `not_found` if it can't be
/// opened or is a directory, `unavailable` if reading fails, `too_large` above `maxBytes`.
outcome<std::string> readFile(const std::string &path, std::size_t maxBytes = max_file_bytes);

/// Returns the first line of a key file without the line break. Returns `invalid_argument` if the line is
/// empty, and the errors of readFile().
outcome<std::string> readKeyFile(const std::string &path);

} // namespace ivypier::program
