#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ivypier {

/// Maximum number of dots in the keys of one line. The TOML library limits the nesting of values but not of
/// dotted keys, and frees nested tables recursively, so a very deep key would exhaust the stack.
inline constexpr std::size_t max_key_depth = 32;

/// Returns the first line (1-based) whose keys have more than `max_key_depth` dots, if any. Dots in
/// single-line strings and in comments don't count.
std::optional<std::uint32_t> findTooDeepKey(std::string_view text);

} // namespace ivypier
