#pragma once

#include "base/outcome.h"
#include "cloud/change_feed.h"

#include <string>
#include <string_view>

namespace ivypier::edge {

/// Path on the control listener where nodes serve table rows to each other. Parameters: `table`, and for
/// changes `after` and `wait_ms`.
inline constexpr std::string_view peer_feed_path = "/internal/rows";

std::string encodeVersionedRows(const cloud::versioned_rows &rows);
outcome<cloud::versioned_rows> decodeVersionedRows(std::string_view text);

} // namespace ivypier::edge
