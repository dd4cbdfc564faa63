#pragma once

#include "base/clock.h"

namespace ivypier::fleet {

/// Loads and work of a node are excluded once its last report is older than this.
inline constexpr duration report_lifetime = std::chrono::seconds(3);

/// A node that has not reported for this long counts as silent: it may have ended, or it may be serving on
/// the other side of a cut. It covers three reports.
inline constexpr duration silent_node_age = std::chrono::milliseconds(1300);

/// How long a silent node counts as possibly serving.
inline constexpr duration silent_node_retention = std::chrono::seconds(30);

} // namespace ivypier::fleet
