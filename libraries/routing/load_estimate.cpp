#include "routing/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace ivypier::routing {

namespace {

/// Past work is kept for reports up to this age.
constexpr duration past_kept = std::chrono::seconds(10);
constexpr std::size_t most_past = 4096;

} // namespace

void load_estimate::reported(const upstream::engine_load &load, duration lag, time_point now)
{
    m_report = load;
    m_reportedAt = now;
    m_takenAt = now - lag;
    m_ownThen = ownAt(m_takenAt);
    const double streams = static_cast<double>(load.runningStreams) + load.waitingStreams;
    m_othersThen.streams = std::max(0.0, streams - m_ownThen.streams);
    m_othersThen.prefillSeconds = std::max(0.0, load.queuedSeconds - m_ownThen.prefillSeconds);
}

void load_estimate::dispatched(const std::string &attempt, double prefillSeconds, time_point now)
{
    if (!m_attempts.emplace(attempt, own_attempt{prefillSeconds, false}).second)
        return;
    m_own.streams += 1.0;
    m_own.prefillSeconds += prefillSeconds;
    note(now);
}

void load_estimate::firstToken(const std::string &attempt, time_point now)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end() || found->second.prefilled)
        return;
    found->second.prefilled = true;
    m_own.prefillSeconds = std::max(0.0, m_own.prefillSeconds - found->second.prefillSeconds);
    note(now);
}

void load_estimate::finished(const std::string &attempt, time_point now)
{
    firstToken(attempt, now);
    if (m_attempts.erase(attempt) == 0)
        return;
    m_own.streams -= 1.0;
    note(now);
}

double load_estimate::waitSeconds(const service_speed &typical, const fleet_work &fleet, time_point now) const
{
    const service_speed rate = speed(typical);
    const double limit = std::max(1.0, static_cast<double>(rate.streamLimit));
    const double age = seconds(now - m_takenAt);
    const double weight = m_report ? std::exp(-age / std::max(rate.streamSeconds, 0.01)) : 0.0;
    const double drained = std::max(0.0, m_othersThen.prefillSeconds - age);
    const double othersStreams
        = weight * m_othersThen.streams + (1.0 - weight) * fleet.others.streams * fleet.growth * limit;
    const double othersPrefill
        = weight * drained + (1.0 - weight) * fleet.others.prefillSeconds * fleet.growth * limit;
    const double over = m_own.streams + othersStreams + 1.0 - limit;
    const double place = over > 0.0 ? over * rate.streamSeconds / limit : 0.0;
    return std::max(place, m_own.prefillSeconds + othersPrefill);
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

upstream_work load_estimate::own() const
{
    return m_own;
}

upstream_work load_estimate::ownThen() const
{
    return m_ownThen;
}

upstream_work load_estimate::othersThen() const
{
    return m_othersThen;
}

const std::optional<upstream::engine_load> &load_estimate::lastReport() const
{
    return m_report;
}

time_point load_estimate::reportedAt() const
{
    return m_reportedAt;
}

void load_estimate::note(time_point now)
{
    m_past.push_back({now, m_own});
    while (m_past.size() > most_past || (m_past.size() > 1 && m_past[1].since < now - past_kept))
        m_past.pop_front();
}

upstream_work load_estimate::ownAt(time_point when) const
{
    const auto after = std::partition_point(m_past.begin(), m_past.end(),
                                            [&](const past_work &each) { return each.since < when; });
    return after == m_past.begin() ? upstream_work{} : std::prev(after)->work;
}

} // namespace ivypier::routing
