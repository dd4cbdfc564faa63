#pragma once

#include "base/clock.h"

namespace ivypier {

/// Wall clock that hides steps of the system's wall clock. It adds a stored offset to the monotonic clock.
/// Drift is applied to the offset at once, but a step only after it has lasted for `step_acceptance_delay`.
class steady_wall_clock
{
public:
    explicit steady_wall_clock(const clock &source);

    /// Returns the wall-clock time in milliseconds since the Unix epoch. Logs a warning when it detects a
    /// step.
    std::int64_t milliseconds();

private:
    std::int64_t offset() const;

    const clock &m_source;
    std::int64_t m_offset; ///< wall-clock time minus monotonic time, in milliseconds
    time_point m_stepDetectedAt{};
    bool m_stepPending = false;
};

/// Offset changes up to this size are drift and applied at once; larger ones are steps.
inline constexpr std::int64_t max_drift_milliseconds = 50;

/// How long a step must last before it is applied.
inline constexpr duration step_acceptance_delay = std::chrono::minutes(5);

} // namespace ivypier
