#include "routing/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace ivypier::routing {

namespace {

/// Age up to which a load report can be matched with this node's work at the time it was made.
constexpr duration history_duration = std::chrono::seconds(10);
constexpr std::size_t max_history_size = 4096;

} // namespace

void load_estimate::reported(const upstream::engine_load &load, duration lag, time_point now)
{
    m_report = load;
    m_reportedAt = now;
    m_measuredAt = now - lag;
    m_ownWorkAtReport = ownWorkAt(m_measuredAt);
    const double streams = static_cast<double>(load.runningStreams) + load.waitingStreams;
    m_othersWorkAtReport.streams = std::max(0.0, streams - m_ownWorkAtReport.streams);
    m_othersWorkAtReport.prefillSeconds
        = std::max(0.0, load.queuedSeconds - m_ownWorkAtReport.prefillSeconds);
}

void load_estimate::dispatched(const std::string &attempt, double prefillSeconds, time_point now)
{
    if (!m_attempts.emplace(attempt, own_attempt{prefillSeconds, false}).second)
        return;
    m_ownWork.streams += 1.0;
    m_ownWork.prefillSeconds += prefillSeconds;
    recordOwnWork(now);
}

void load_estimate::firstToken(const std::string &attempt, time_point now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.prefilled)
        return;
    found->second.prefilled = true;
    m_ownWork.prefillSeconds = std::max(0.0, m_ownWork.prefillSeconds - found->second.prefillSeconds);
    recordOwnWork(now);
}

void load_estimate::finished(const std::string &attempt, time_point now)
{
    firstToken(attempt, now);
    if (m_attempts.erase(attempt) == 0)
        return;
    m_ownWork.streams -= 1.0;
    recordOwnWork(now);
}

double load_estimate::waitSeconds(const service_speed &fallback, const fleet_work &fleet,
                                  time_point now) const
{
    const service_speed rate = speed(fallback);
    const double limit = std::max(1.0, static_cast<double>(rate.streamLimit));
    const double age = seconds(now - m_measuredAt);
    const double weight = m_report ? std::exp(-age / std::max(rate.streamSeconds, 0.01)) : 0.0;
    const double remainingPrefill = std::max(0.0, m_othersWorkAtReport.prefillSeconds - age);
    const double othersStreams = weight * m_othersWorkAtReport.streams
        + (1.0 - weight) * fleet.others.streams * fleet.growth * limit;
    const double othersPrefill
        = weight * remainingPrefill + (1.0 - weight) * fleet.others.prefillSeconds * fleet.growth * limit;
    const double excessStreams = m_ownWork.streams + othersStreams + 1.0 - limit;
    const double slotWait = excessStreams > 0.0 ? excessStreams * rate.streamSeconds / limit : 0.0;
    return std::max(slotWait, m_ownWork.prefillSeconds + othersPrefill);
}

service_speed load_estimate::speed(const service_speed &fallback) const
{
    service_speed result = fallback;
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

upstream_work load_estimate::ownWork() const
{
    return m_ownWork;
}

upstream_work load_estimate::ownWorkAtReport() const
{
    return m_ownWorkAtReport;
}

upstream_work load_estimate::othersWorkAtReport() const
{
    return m_othersWorkAtReport;
}

const std::optional<upstream::engine_load> &load_estimate::lastReport() const
{
    return m_report;
}

time_point load_estimate::reportedAt() const
{
    return m_reportedAt;
}

void load_estimate::recordOwnWork(time_point now)
{
    m_ownWorkHistory.push_back({now, m_ownWork});
    while (m_ownWorkHistory.size() > max_history_size
           || (m_ownWorkHistory.size() > 1 && m_ownWorkHistory[1].recordedAt < now - history_duration))
        m_ownWorkHistory.pop_front();
}

upstream_work load_estimate::ownWorkAt(time_point when) const
{
    const auto after = std::partition_point(m_ownWorkHistory.begin(), m_ownWorkHistory.end(),
                                            [&](const work_sample &each) { return each.recordedAt < when; });
    return after == m_ownWorkHistory.begin() ? upstream_work{} : std::prev(after)->work;
}

} // namespace ivypier::routing
