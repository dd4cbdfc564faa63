#pragma once

#include "base/outcome.h"
#include "cloud/change_feed.h"

#include <string>
#include <string_view>

namespace ivypier::edge {

/// Where nodes handleRequest each other's questions for a table: `table`, and for changes `after` and
/// `wait_ms`.
inline constexpr std::string_view peer_feed_path = "/internal/rows";

std::string encodeFeedRows(const cloud::versioned_rows &rows);
outcome<cloud::versioned_rows> decodeFeedRows(std::string_view text);

} // namespace ivypier::edge
