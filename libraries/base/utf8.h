#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace ivypier {

/// The offset of the first byte that is no part of well-formed UTF-8 (RFC 3629); nothing when there is none.
std::optional<std::size_t> findInvalidUtf8(std::string_view text);

} // namespace ivypier
