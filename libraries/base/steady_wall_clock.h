#pragma once

#include "base/clock.h"

namespace ivypier {

/// The time of day of a clock without its jumps: the difference between the time of day and the monotonic
/// clock is kept as it was first seen, and taken anew only after the time of day has stood elsewhere for
/// `step_acceptance_delay`.
class steady_wall_clock
{
public:
    explicit steady_wall_clock(const clock &source);

    /// Milliseconds since the Unix epoch.
    std::int64_t milliseconds();

private:
    std::int64_t offset() const;

    const clock &m_source;
    std::int64_t m_offset; ///< time of day minus monotonic time
    time_point m_stepDetectedAt{};
    bool m_stepPending = false;
};

/// A smaller difference is drift and followed at once.
inline constexpr std::int64_t max_drift_milliseconds = 50;

/// How long a time of day that jumped must last before it is believed.
inline constexpr duration step_acceptance_delay = std::chrono::minutes(5);

} // namespace ivypier
