#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace ivypier {

/// Most dots that the keys of one line may have. The TOML library bounds the nesting of values but not that
/// of dotted keys, and frees nested tables recursively: a deep key would exhaust the stack.
inline constexpr std::size_t max_key_depth = 32;

/// The first line (1-based) whose keys have more dots than the limit; nothing when there is none. Dots inside
/// strings and comments don't count.
std::optional<std::uint32_t> findTooDeepKey(std::string_view text);

} // namespace ivypier
