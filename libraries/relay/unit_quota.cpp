#include "relay/unit_quota.h"

#include <algorithm>
#include <cmath>

namespace ivypier::relay {

namespace {

/// Minimum retry delay for a refused caller.
constexpr duration min_retry_after = std::chrono::milliseconds(20);

/// Fill level at which a bucket admits a call of any size, as a fraction of its capacity.
constexpr double max_required_fill = 0.6;

/// Time constant of the exponentially decaying usage rates.
constexpr double rate_time_constant_seconds = 1.0;

} // namespace

unit_quota::unit_quota(const clock &time)
    : m_time(time)
    , m_nodes(assumed_node_count)
{
}

double unit_quota::nodeShare() const
{
    return std::min(node_share_factor / static_cast<double>(m_nodes), 1.0);
}

double unit_quota::nodeBurst(const bucket &limit) const
{
    const double shareOfBurst = nodeShare() * limit.burst;
    const double burstFloor = std::min(node_burst_floor_units, node_burst_floor_max_fraction * limit.burst);
    return m_reportsSince ? std::max(shareOfBurst, burstFloor) : shareOfBurst;
}

double unit_quota::unreportedRemoteUnits(const bucket &limit) const
{
    return limit.remoteUnitsPerSecond * seconds(m_reportAge);
}

bool unit_quota::hasLowUse(const bucket &limit) const
{
    return m_reportsSince && m_time.now() - *m_reportsSince >= min_reporting_time
        && limit.fleetUnits - unreportedRemoteUnits(limit) > low_use_fill_fraction * limit.burst
        && limit.remoteUnitsPerSecond + limit.nodeUnitsPerSecond < low_use_rate_fraction * limit.perSecond;
}

void unit_quota::clampUnits(bucket &limit) const
{
    limit.fleetUnits = std::clamp(limit.fleetUnits, -max_debt_bursts * limit.burst, limit.burst);
    limit.nodeUnits = std::min(limit.nodeUnits, nodeBurst(limit));
}

void unit_quota::refill(bucket &limit) const
{
    const time_point now = m_time.now();
    const double gained = limit.perSecond * seconds(now - limit.refilledAt);
    limit.fleetUnits += gained;
    limit.nodeUnits += nodeShare() * gained;
    const double decay = std::exp(-seconds(now - limit.refilledAt) / rate_time_constant_seconds);
    limit.remoteUnitsPerSecond *= decay;
    limit.nodeUnitsPerSecond *= decay;
    limit.refilledAt = now;
    clampUnits(limit);
}

void unit_quota::setAccounts(const std::vector<client_account> &accounts)
{
    std::map<std::string, bucket> next;
    for (const client_account &each : accounts) {
        bucket fresh;
        fresh.perSecond = each.unitsPerSecond;
        fresh.burst = std::max(each.burst, 1.0);
        fresh.refilledAt = m_time.now();
        const auto known = m_buckets.find(each.name);
        if (known != m_buckets.end() && known->second.perSecond > 0.0) {
            // Raising a limit adds no units immediately; lowering it discards the units above the new burst.
            refill(known->second);
            fresh.fleetUnits = known->second.fleetUnits;
            fresh.nodeUnits = known->second.nodeUnits;
            fresh.taken = known->second.taken;
            fresh.remoteUnitsPerSecond = known->second.remoteUnitsPerSecond;
            fresh.nodeUnitsPerSecond = known->second.nodeUnitsPerSecond;
        } else {
            // New accounts start with empty buckets: other nodes may have just used the burst, as may the
            // nodes of a fleet that was stopped as a whole before this process started.
            fresh.fleetUnits = 0.0;
            fresh.nodeUnits = 0.0;
        }
        clampUnits(fresh);
        next.emplace(each.name, fresh);
    }
    m_buckets = std::move(next);
}

void unit_quota::setNodes(std::size_t count)
{
    if (count == m_nodes)
        return;
    for (auto &[account, each] : m_buckets)
        refill(each);
    m_nodes = std::max<std::size_t>(count, 1);
    for (auto &[account, each] : m_buckets)
        clampUnits(each);
}

void unit_quota::setRemoteReporting(bool receivesReports, duration reportAge)
{
    m_reportAge = reportAge;
    if (receivesReports == m_reportsSince.has_value())
        return;
    for (auto &[account, each] : m_buckets)
        refill(each);
    m_reportsSince = receivesReports ? std::optional(m_time.now()) : std::nullopt;
    for (auto &[account, each] : m_buckets)
        clampUnits(each);
}

duration unit_quota::take(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.perSecond <= 0.0)
        return duration::zero();
    bucket &limit = found->second;
    refill(limit);
    // A call larger than the required fill level is admitted at that level and leaves a debt. Requiring a
    // full bucket could block it forever, because other calls keep taking units.
    const double fleetShortfall
        = std::min(units + unreportedRemoteUnits(limit), max_required_fill * limit.burst) - limit.fleetUnits;
    const double nodeShortfall
        = hasLowUse(limit) ? 0.0 : std::min(units, max_required_fill * nodeBurst(limit)) - limit.nodeUnits;
    if (fleetShortfall <= 0.0 && nodeShortfall <= 0.0) {
        limit.fleetUnits -= units;
        limit.nodeUnits -= units;
        limit.taken += units;
        limit.nodeUnitsPerSecond += units / rate_time_constant_seconds;
        return duration::zero();
    }
    const double wait = std::max(fleetShortfall, nodeShortfall / nodeShare()) / limit.perSecond;
    return std::max(fromSeconds(wait), min_retry_after);
}

void unit_quota::refund(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    bucket &limit = found->second;
    limit.fleetUnits += units;
    limit.nodeUnits += units;
    limit.taken = std::max(limit.taken - units, 0.0);
    clampUnits(limit);
}

void unit_quota::recordRemoteUsage(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    refill(found->second);
    found->second.fleetUnits -= units;
    found->second.remoteUnitsPerSecond += units / rate_time_constant_seconds;
    clampUnits(found->second);
}

std::map<std::string, std::uint64_t> unit_quota::localUsage() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[account, each] : m_buckets) {
        if (each.perSecond > 0.0)
            result[account] = static_cast<std::uint64_t>(each.taken);
    }
    return result;
}

bool unit_quota::isBelowHalf() const
{
    constexpr double lowFillFraction = 0.5;
    for (const auto &[account, each] : m_buckets) {
        bucket now = each;
        refill(now);
        if (now.perSecond > 0.0 && now.fleetUnits < lowFillFraction * now.burst)
            return true;
    }
    return false;
}

} // namespace ivypier::relay
