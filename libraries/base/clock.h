#pragma once

#include <chrono>
#include <cstdint>

namespace ivypier {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of time. All time-dependent logic uses this interface, so that tests can run in virtual time.
class clock
{
public:
    virtual ~clock() = default;

    /// Returns the monotonic time. Values can't be compared between processes.
    virtual time_point now() const = 0;

    /// Returns the wall-clock time in milliseconds since the Unix epoch, for logs and documents only.
    virtual std::int64_t wallMilliseconds() const = 0;
};

/// Converts a duration to seconds.
constexpr double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Converts seconds to a duration, truncated to nanoseconds.
constexpr duration fromSeconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// Converts a duration to whole milliseconds, truncated.
constexpr std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace ivypier
