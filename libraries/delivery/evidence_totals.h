#pragma once

#include "base/clock.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace ivypier::delivery {

/// Number of buckets of the time to the first event. Bucket n ends at 16 ms * 2^(n/2); the last has no end.
inline constexpr std::size_t time_bucket_count = 18;

/// Returns the bucket of a time to the first event, or to the response of a plain call.
std::size_t timeBucketOf(duration time);

/// Returns the end of a bucket; the last one has none, and a time longer than its begin is returned.
duration timeBucketEnd(std::size_t bucket);

/// Running totals of the calls of one version class on one route.
struct evidence_totals
{
    std::uint64_t started = 0; ///< calls sent
    std::uint64_t failed = 0; ///< calls that failed before their first event
    std::uint64_t broken = 0; ///< streams that failed after their first event
    std::uint64_t gaps = 0; ///< streams with a gap over the route's target
    std::array<std::uint64_t, time_bucket_count> byTime{}; ///< first events, by bucket of time

    auto operator<=>(const evidence_totals &) const = default;

    /// Calls with a first event.
    std::uint64_t served() const;
    /// Calls with a first event or a failure before it.
    std::uint64_t answered() const
    {
        return served() + failed;
    }
    /// Calls with a failure, before or after their first event.
    std::uint64_t failures() const
    {
        return failed + broken;
    }
    /// Calls with a first event in a bucket after `bucket`.
    std::uint64_t slowerThan(std::size_t bucket) const;

    evidence_totals &operator+=(const evidence_totals &other);
    /// Subtracts earlier totals. Totals that went down, because a node left, count as unchanged.
    evidence_totals &operator-=(const evidence_totals &earlier);
};

} // namespace ivypier::delivery
