#include "routing/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace ivypier::routing {

bool upstream_health::isEligible() const
{
    return m_ejectionCount == 0;
}

bool upstream_health::isDueForProbe(time_point now) const
{
    return !isEligible() && !m_probing && now >= m_nextProbeAt;
}

bool upstream_health::isProbing() const
{
    return m_probing;
}

bool upstream_health::dispatched()
{
    const bool probe = !isEligible() && !m_probing;
    m_probing = m_probing || probe;
    return probe;
}

void upstream_health::succeeded()
{
    m_consecutiveFailures = 0;
    m_ejectionCount = 0;
    m_probing = false;
}

void upstream_health::failed(bool wasProbe, time_point now, random_source &randomness)
{
    ++m_consecutiveFailures;
    // A failed attempt that was sent before the ejection doesn't extend it.
    const bool staleFailure = !isEligible() && !wasProbe;
    if (staleFailure || m_consecutiveFailures < ejection_failure_threshold)
        return;
    m_probing = false;
    ++m_ejectionCount;
    const double bound
        = std::min(seconds(min_ejection_time) * std::exp2(m_ejectionCount - 1.0), seconds(max_ejection_time));
    m_nextProbeAt = now + fromSeconds(bound * (0.5 + 0.5 * randomness.uniform()));
}

void upstream_health::probeCancelled()
{
    m_probing = false;
}

} // namespace ivypier::routing
