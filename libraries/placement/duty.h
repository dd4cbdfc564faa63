#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace ivypier::placement {

/// A duty held until `expiresAt` by this process's own monotonic clock.
struct lease
{
    std::uint64_t fencing = 0; ///< only grows; the row's version in the table
    std::uint64_t tenure = 0; ///< the fencing number with which this holder took the duty over
    time_point expiresAt{};

    auto operator<=>(const lease &) const = default;
};

/// Something that one process of the fleet does at a time.
class duty
{
public:
    virtual ~duty() = default;

    /// The lease while this process may act under it: a margin before its end it counts as lost.
    virtual std::optional<lease> held() const = 0;
};

} // namespace ivypier::placement
