#pragma once

#include "relay/service_map.h"

#include <compare>
#include <string>
#include <vector>

namespace ivypier::configuration {

enum class difference_kind { added, gone, changed };

/// An entry that differs between two versions of a configuration, in words.
struct service_map_change
{
    difference_kind kind = difference_kind::changed;
    std::string entry; ///< e.g. `route chat`
    std::string text; ///< for a changed entry what changed, with both values

    auto operator<=>(const service_map_change &) const = default;
};

/// Returns the entries that differ. Entries are matched by name, so their order is irrelevant; of several
/// with the same name the first counts. Takes time in proportion to the size of both.
std::vector<service_map_change> difference(const relay::service_map &before, const relay::service_map &after);

/// Formats a change as one line.
std::string describe(const service_map_change &change);

} // namespace ivypier::configuration
