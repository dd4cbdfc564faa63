#include "routing/load_estimate.h"

#include <algorithm>

namespace ivypier::routing {

void load_estimate::reported(const upstream::engine_load &load, duration lag, time_point now)
{
    m_report = load;
    m_reportedAt = now;
    m_takenAt = now - lag;
    m_endedSince = 0;
}

void load_estimate::dispatched(const std::string &attempt, double prefillSeconds, time_point now)
{
    m_own[attempt] = {now, prefillSeconds, false};
}

void load_estimate::firstToken(const std::string &attempt, time_point)
{
    const auto found = m_own.find(attempt);
    if (found != m_own.end())
        found->second.prefilled = true;
}

void load_estimate::finished(const std::string &attempt, time_point)
{
    const auto found = m_own.find(attempt);
    if (found == m_own.end())
        return;
    if (m_report && found->second.sentAt < m_takenAt)
        ++m_endedSince;
    m_own.erase(found);
}

double load_estimate::waitSeconds(const service_speed &typical, time_point now) const
{
    double prefill = 0.0;
    double streams = 0.0;
    if (m_report) {
        prefill = std::max(0.0, m_report->queuedSeconds - seconds(now - m_takenAt));
        streams = std::max(0.0, static_cast<double>(m_report->runningStreams) - m_endedSince);
    }
    for (const auto &[id, own] : m_own) {
        if (m_report && own.sentAt < m_takenAt)
            continue; // the report counts it
        streams += 1.0;
        if (!own.prefilled)
            prefill += own.prefillSeconds;
    }
    const service_speed rate = speed(typical);
    const double limit = std::max(1.0, static_cast<double>(rate.streamLimit));
    const double over = streams + 1.0 - limit;
    const double place = over > 0.0 ? over * rate.streamSeconds / limit : 0.0;
    return prefill + place;
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
