#include "base/steady_wall_clock.h"

#include "base/log_event.h"

#include <cstdlib>

namespace ivypier {

steady_wall_clock::steady_wall_clock(const clock &source)
    : m_source(source)
    , m_offset(offset())
{
}

std::int64_t steady_wall_clock::offset() const
{
    return m_source.wallMilliseconds() - ivypier::milliseconds(m_source.now().time_since_epoch());
}

std::int64_t steady_wall_clock::milliseconds()
{
    const std::int64_t current = offset();
    const time_point now = m_source.now();
    const bool withinDrift = std::abs(current - m_offset) <= max_drift_milliseconds;
    if (withinDrift || (m_stepPending && now - m_stepDetectedAt > step_acceptance_delay)) {
        m_offset = current;
        m_stepPending = false;
    } else if (!m_stepPending) {
        m_stepPending = true;
        m_stepDetectedAt = now;
        log_event(log_level::warning, "clock.stepped").with("by_ms", current - m_offset).write();
    }
    return ivypier::milliseconds(now.time_since_epoch()) + m_offset;
}

} // namespace ivypier
