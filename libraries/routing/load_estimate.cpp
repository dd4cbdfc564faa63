#include "routing/load_estimate.h"

#include <algorithm>

namespace ivypier::routing {

void load_estimate::reported(const upstream::engine_load &load, duration lag, time_point now)
{
    m_report = load;
    m_reportedAt = now;
    m_takenAt = now - lag;
    m_endedSince = 0;
    countUnreported();
}

void load_estimate::dispatched(const std::string &attempt, double prefillSeconds, time_point now)
{
    m_own[attempt] = {now, prefillSeconds, false};
    ++m_unreportedStreams;
    m_unreportedPrefill += prefillSeconds;
}

void load_estimate::firstToken(const std::string &attempt, time_point)
{
    const auto found = m_own.find(attempt);
    if (found == m_own.end() || found->second.prefilled)
        return;
    found->second.prefilled = true;
    if (!isReported(found->second))
        m_unreportedPrefill -= found->second.prefillSeconds;
}

void load_estimate::finished(const std::string &attempt, time_point)
{
    const auto found = m_own.find(attempt);
    if (found == m_own.end())
        return;
    if (isReported(found->second)) {
        ++m_endedSince;
    } else {
        --m_unreportedStreams;
        m_unreportedPrefill -= found->second.prefilled ? 0.0 : found->second.prefillSeconds;
    }
    m_own.erase(found);
}

double load_estimate::waitSeconds(const service_speed &typical, time_point now) const
{
    double prefill = std::max(0.0, m_unreportedPrefill);
    auto streams = static_cast<double>(m_unreportedStreams);
    if (m_report) {
        prefill += std::max(0.0, m_report->queuedSeconds - seconds(now - m_takenAt));
        streams += std::max(0.0, static_cast<double>(m_report->runningStreams) - m_endedSince);
    }
    const service_speed rate = speed(typical);
    const double limit = std::max(1.0, static_cast<double>(rate.streamLimit));
    const double over = streams + 1.0 - limit;
    const double place = over > 0.0 ? over * rate.streamSeconds / limit : 0.0;
    return prefill + place;
}

bool load_estimate::isReported(const own_attempt &own) const
{
    return m_report && own.sentAt < m_takenAt;
}

void load_estimate::countUnreported()
{
    m_unreportedStreams = 0;
    m_unreportedPrefill = 0.0;
    for (const auto &[id, own] : m_own) {
        if (isReported(own))
            continue;
        ++m_unreportedStreams;
        m_unreportedPrefill += own.prefilled ? 0.0 : own.prefillSeconds;
    }
}

service_speed load_estimate::speed(const service_speed &typical) const
{
    service_speed result = typical;
    if (!m_report)
        return result;
    if (m_report->prefillTokensPerSecond > 0.0)
        result.prefillTokensPerSecond = m_report->prefillTokensPerSecond;
    if (m_report->decodeSecondsPerToken > 0.0)
        result.decodeSecondsPerToken = m_report->decodeSecondsPerToken;
    if (m_report->streamLimit > 0)
        result.streamLimit = m_report->streamLimit;
    return result;
}

std::size_t load_estimate::inFlight() const
{
    return m_own.size();
}

const std::optional<upstream::engine_load> &load_estimate::lastReport() const
{
    return m_report;
}

time_point load_estimate::reportedAt() const
{
    return m_reportedAt;
}

} // namespace ivypier::routing
