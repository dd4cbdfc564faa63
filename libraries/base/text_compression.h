#pragma once

#include "base/outcome.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace ivypier {

/// Compresses a text (Zstandard, RFC 8878). Parts that also occur in `base` take almost no space; `base` may
/// be empty. Fails with `invalid_argument` if the library refuses the input.
outcome<std::string> compressText(std::string_view text, std::string_view base);

/// Reverses compressText(), given the same `base`. Fails with `invalid_argument` for data that is damaged or
/// made with another base, and with `too_large` if the text has more than `maxBytes` bytes.
outcome<std::string> decompressText(std::string_view compressed, std::string_view base, std::size_t maxBytes);

} // namespace ivypier
