#pragma once

#include <chrono>
#include <cstdint>

namespace ivypier {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of time. Decisions read time only through this interface, so that tests run in virtual time.
class clock
{
public:
    virtual ~clock() = default;

    /// Monotonic time; meaningful only inside this process.
    virtual time_point now() const = 0;

    /// Wall-clock time in milliseconds since the Unix epoch, for logs and documents only.
    virtual std::int64_t wallMilliseconds() const = 0;
};

/// A duration in seconds, as a floating-point number.
constexpr double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// A duration from seconds, rounded down to nanoseconds.
constexpr duration fromSeconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// A duration in whole milliseconds, rounded down.
constexpr std::int64_t milliseconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

} // namespace ivypier
