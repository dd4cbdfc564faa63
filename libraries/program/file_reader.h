#pragma once

#include "base/outcome.h"

#include <cstddef>
#include <string>

namespace ivypier::program {

/// Longest file that a program reads whole, in bytes.
inline constexpr std::size_t max_file_bytes = std::size_t{2} * 1024 * 1024;

/// A file's content; `-` reads standard input.
outcome<std::string> readFile(const std::string &path);

/// The first line of a file that holds a key, without the line break.
outcome<std::string> readKeyFile(const std::string &path);

} // namespace ivypier::program
