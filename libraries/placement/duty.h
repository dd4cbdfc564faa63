#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace ivypier::placement {

/// The right to perform a duty, held until `expiresAt` on this process's monotonic clock.
struct lease
{
    std::uint64_t fencingToken
        = 0; ///< the version of the lease's table row; grows also over restores of the table
    std::uint64_t tenure = 0; ///< the fencing token with which this holder acquired the lease
    time_point expiresAt{};

    auto operator<=>(const lease &) const = default;
};

/// A task that only one process of the fleet performs at a time.
class duty
{
public:
    virtual ~duty() = default;

    /// Returns the lease while this process may act under it; nothing from a safety margin before its expiry
    /// on.
    virtual std::optional<lease> held() const = 0;
};

} // namespace ivypier::placement
