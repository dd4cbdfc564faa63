#pragma once

#include "base/outcome.h"
#include "cloud/change_feed.h"

#include <string>
#include <string_view>

namespace ivypier::edge {

/// Where nodes answer each other's questions for a table: `table`, and for changes `after` and `wait_ms`.
inline constexpr std::string_view peer_rows_path = "/internal/rows";

std::string encodePeerRows(const cloud::versioned_rows &rows);
outcome<cloud::versioned_rows> decodePeerRows(std::string_view text);

} // namespace ivypier::edge
