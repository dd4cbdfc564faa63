#include "fleet/fleet_size.h"

#include "base/log_event.h"
#include "fleet/report_lifetime.h"
#include "relay/unit_quota.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

fleet_size::fleet_size(const clock &time, const membership::membership_view &members)
    : m_time(time)
    , m_census(time, members)
    , m_startedAt(time.now())
{
}

void fleet_size::update(bool hasRemoteCollector)
{
    m_census.update();
    m_hasRemoteCollector = hasRemoteCollector;
    updatePeak();
    if (!isDiscovered() || std::exchange(m_isDiscoveryLogged, true))
        return;
    log_event(log_level::info, "fleet.discovered")
        .with("nodes", static_cast<std::int64_t>(count()))
        .with("census", static_cast<std::int64_t>(m_census.count()))
        .with("stored", static_cast<std::int64_t>(m_stored.value_or(0)))
        .with("has_collector", m_hasRemoteCollector ? "yes" : "no")
        .write();
}

void fleet_size::updatePeak()
{
    const std::size_t known = std::max(m_census.count(), isDiscovered() ? 0 : m_stored.value_or(0));
    if (known < m_peak && m_time.now() - m_peakSeenAt <= peak_retention)
        return;
    m_peak = known;
    m_peakSeenAt = m_time.now();
}

std::size_t fleet_size::peak() const
{
    return std::max(m_peak, count());
}

void fleet_size::setStored(std::optional<std::size_t> nodes)
{
    m_stored = nodes;
    m_isTableRead = true;
}

bool fleet_size::isDiscovered() const
{
    const duration age = m_time.now() - m_startedAt;
    if (age > silent_node_retention)
        return true;
    if (m_stored)
        return false;
    return (m_isTableRead && age > discovery_timeout) || (m_hasRemoteCollector && age > min_discovery_time);
}

std::size_t fleet_size::count() const
{
    const std::size_t known = m_census.count();
    return isDiscovered() ? known : std::max(known, m_stored.value_or(relay::assumed_node_count));
}

} // namespace ivypier::fleet
