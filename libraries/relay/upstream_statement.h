#pragma once

#include "base/clock.h"

#include <compare>
#include <optional>
#include <string>

namespace ivypier::relay {

/// What an upstream states about itself in an answer, beside the answer itself.
struct upstream_statement
{
    bool isLeaving = false; ///< it shuts down and wants no new calls
    std::optional<duration> wait; ///< it wants no calls from this node for this long
    std::optional<double> callsPerSecond; ///< it takes this many calls from all nodes together; above 0
    std::string unreadable; ///< the fields that could not be read, with their values; ignored otherwise

    auto operator<=>(const upstream_statement &) const = default;
};

} // namespace ivypier::relay
