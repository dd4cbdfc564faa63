#pragma once

#include "base/outcome.h"
#include "cloud/change_feed.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ivypier::edge {

/// Path on the control listener where nodes serve table rows to each other. Parameters: `table`; for changes
/// `after` and `wait_ms`; `held` for the digests of the large values that the asking node has.
inline constexpr std::string_view peer_feed_path = "/internal/rows";

/// The value of a large row as it travels between nodes: compressed, and as the changes of a value that the
/// receiver has, if there is one.
struct packed_value
{
    std::uint64_t base = 0; ///< digest of the value that the first part applies to; 0 for none
    std::uint64_t digest = 0; ///< of the resulting value
    std::vector<std::pair<std::uint64_t, std::string>> parts; ///< digest after each part, and the part

    auto operator<=>(const packed_value &) const = default;
};

/// Rows as they travel between nodes. Rows that are listed in `packed` have no value of their own.
struct transferred_rows
{
    cloud::versioned_rows rows;
    std::map<std::string, packed_value> packed; ///< by key

    auto operator<=>(const transferred_rows &) const = default;
};

std::string encodeRows(const transferred_rows &rows);
outcome<transferred_rows> decodeRows(std::string_view text);

} // namespace ivypier::edge
