#pragma once

#include "base/outcome.h"
#include "relay/version_slots.h"

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace ivypier::relay {

/// The content of the row that lists the software versions of a service at which streams may have begun. A
/// node adds a version before a stream begins at it.
struct version_row
{
    std::set<std::string> versions; ///< an empty text stands for upstreams that state no version
    std::uint64_t era = 0; ///< of the platform's table when the row was written
    std::int64_t completeFrom = 0; ///< wall-clock time in milliseconds from which no version is missing
    std::int64_t writtenAt = 0; ///< wall-clock time in milliseconds
    version_slots slots; ///< of listed versions; empty: streams may begin at any of them

    auto operator<=>(const version_row &) const = default;

    /// Returns the text of the row, a JSON object.
    std::string encode() const;

    /// Fails with `invalid_argument` if the text is not that of a row.
    static outcome<version_row> decode(std::string_view text);
};

} // namespace ivypier::relay
