#include "routing/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace ivypier::routing {

bool upstream_health::isFit() const
{
    return m_timesSetAside == 0;
}

bool upstream_health::isDueForProbe(time_point now) const
{
    return !isFit() && !m_probing && now >= m_probeAt;
}

bool upstream_health::isProbing() const
{
    return m_probing;
}

bool upstream_health::dispatched()
{
    const bool probe = !isFit() && !m_probing;
    m_probing = m_probing || probe;
    return probe;
}

void upstream_health::succeeded()
{
    m_failuresInRow = 0;
    m_timesSetAside = 0;
    m_probing = false;
}

void upstream_health::failed(bool wasProbe, time_point now, random_source &randomness)
{
    ++m_failuresInRow;
    // Attempts that were sent before it was set aside tell nothing new.
    const bool late = !isFit() && !wasProbe;
    if (late || m_failuresInRow < failures_to_set_aside)
        return;
    m_probing = false;
    ++m_timesSetAside;
    const double bound
        = std::min(seconds(first_pause) * std::exp2(m_timesSetAside - 1.0), seconds(longest_pause));
    m_probeAt = now + fromSeconds(bound * (0.5 + 0.5 * randomness.uniform()));
}

void upstream_health::probeCancelled()
{
    m_probing = false;
}

} // namespace ivypier::routing
