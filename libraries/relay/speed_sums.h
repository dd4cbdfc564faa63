#pragma once

#include <compare>

namespace ivypier::relay {

/// Decayed sums of what calls at an upstream were expected to take, by the mean of their service, and of what
/// they took. Sums of several nodes can be added.
struct speed_sums
{
    double expected = 0.0; ///< in milliseconds
    double observed = 0.0; ///< in milliseconds

    auto operator<=>(const speed_sums &) const = default;

    speed_sums &operator+=(const speed_sums &other)
    {
        expected += other.expected;
        observed += other.observed;
        return *this;
    }
    friend speed_sums operator+(speed_sums left, const speed_sums &right)
    {
        return left += right;
    }
    friend speed_sums operator*(const speed_sums &sums, double factor)
    {
        return {sums.expected * factor, sums.observed * factor};
    }
};

/// The sums of the other nodes for one upstream.
struct remote_speed
{
    speed_sums steady;
    speed_sums recent; ///< of the nodes to which the upstream became slow
};

} // namespace ivypier::relay
