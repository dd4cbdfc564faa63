#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace ivypier {

/// Returns the offset of the first byte that is not part of a well-formed UTF-8 sequence (RFC 3629), if any.
std::optional<std::size_t> findInvalidUtf8(std::string_view text);

} // namespace ivypier
