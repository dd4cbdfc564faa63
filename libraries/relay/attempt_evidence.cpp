#include "relay/attempt_evidence.h"

namespace ivypier::relay {

attempt_evidence::attempt_evidence(call_environment &environment, const std::string &service,
                                   const std::string &softwareVersion, const route &matched)
    : m_rollouts(environment.rollouts)
    , m_metrics(environment.metrics)
    , m_time(environment.tasks)
    , m_version(softwareVersion)
    , m_targetLatency(matched.targetLatency)
    , m_targetGap(matched.targetGap)
    , m_sentAt(environment.tasks.now())
{
    const std::uint64_t order = m_rollouts ? m_rollouts->gate().orderInProgress(service) : 0;
    if (order == 0)
        return;
    const bool isTarget = m_rollouts->gate().withoutTarget(service).targetVersion == softwareVersion;
    m_key = {service, order, isTarget ? delivery::version_class::target : delivery::version_class::other,
             matched.name};
    m_rollouts->evidence().recordStart(*m_key);
    count("ivypier_rollout_calls_total");
}

void attempt_evidence::count(const char *metric) const
{
    m_metrics.add(metric, {{"service", m_key->service}, {"version", m_version}});
}

void attempt_evidence::recordEvents()
{
    if (!m_key)
        return;
    const time_point now = m_time.now();
    if (!m_hasEvents) {
        m_rollouts->evidence().recordFirstEvent(*m_key, now - m_sentAt);
        m_rollouts->gate().recordAnswer(m_key->service, m_version, false);
    } else if (m_targetGap > duration::zero() && now - m_lastEventsAt > m_targetGap && !m_hasGap) {
        m_hasGap = true;
        m_rollouts->evidence().recordGap(*m_key);
    }
    m_hasEvents = true;
    m_lastEventsAt = now;
}

void attempt_evidence::recordFailure()
{
    if (!m_key)
        return;
    m_rollouts->evidence().recordFailure(*m_key, m_hasEvents);
    count("ivypier_rollout_failures_total");
    m_rollouts->gate().recordAnswer(m_key->service, m_version, true);
    m_key.reset();
}

void attempt_evidence::recordAbandoned()
{
    const bool isLate = m_targetLatency > duration::zero() && m_time.now() - m_sentAt > m_targetLatency;
    if (!m_hasEvents && isLate)
        recordFailure();
    m_key.reset();
}

} // namespace ivypier::relay
