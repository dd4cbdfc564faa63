#include "relay/unit_quota.h"

#include <algorithm>
#include <cmath>

namespace ivypier::relay {

namespace {

/// The shortest time that a refused caller is told to wait.
constexpr duration least_wait = std::chrono::milliseconds(20);

/// The part of a bucket that a call needs at most.
constexpr double full_part = 0.6;

/// Time constant of the rate at which other nodes take units.
constexpr double rate_seconds = 1.0;

} // namespace

unit_quota::unit_quota(const clock &time)
    : m_time(time)
    , m_nodes(assumed_node_count)
{
}

double unit_quota::ownPart() const
{
    return std::min(own_part_factor / static_cast<double>(m_nodes), 1.0);
}

double unit_quota::ownBurst(const bucket &which) const
{
    const double equal = ownPart() * which.burst;
    const double saved = std::min(saved_while_heard, saved_part_while_heard * which.burst);
    return m_hearsSince ? std::max(equal, saved) : equal;
}

double unit_quota::notTold(const bucket &which) const
{
    return which.othersPerSecond * seconds(m_newsAge);
}

bool unit_quota::isCalm(const bucket &which) const
{
    return m_hearsSince && m_time.now() - *m_hearsSince >= calm_hearing_time
        && which.fleetUnits - notTold(which) > calm_level * which.burst
        && which.othersPerSecond + which.ownPerSecond < calm_rate_part * which.perSecond;
}

void unit_quota::trim(bucket &which) const
{
    which.fleetUnits = std::clamp(which.fleetUnits, -deepest_debt * which.burst, which.burst);
    which.ownUnits = std::min(which.ownUnits, ownBurst(which));
}

void unit_quota::fill(bucket &which) const
{
    const time_point now = m_time.now();
    const double gained = which.perSecond * seconds(now - which.filledAt);
    which.fleetUnits += gained;
    which.ownUnits += ownPart() * gained;
    const double kept = std::exp(-seconds(now - which.filledAt) / rate_seconds);
    which.othersPerSecond *= kept;
    which.ownPerSecond *= kept;
    which.filledAt = now;
    trim(which);
}

void unit_quota::setAccounts(const std::vector<client_account> &accounts)
{
    std::map<std::string, bucket> next;
    for (const client_account &each : accounts) {
        bucket fresh;
        fresh.perSecond = each.unitsPerSecond;
        fresh.burst = std::max(each.burst, 1.0);
        fresh.filledAt = m_time.now();
        const auto known = m_buckets.find(each.name);
        if (known != m_buckets.end() && known->second.perSecond > 0.0) {
            // A higher limit adds nothing at once, a lower one takes away what was saved above it.
            fill(known->second);
            fresh.fleetUnits = known->second.fleetUnits;
            fresh.ownUnits = known->second.ownUnits;
            fresh.taken = known->second.taken;
            fresh.othersPerSecond = known->second.othersPerSecond;
            fresh.ownPerSecond = known->second.ownPerSecond;
        } else {
            // Other nodes, or the ones that all ended with this one's predecessor, may have taken the burst
            // just before.
            fresh.fleetUnits = 0.0;
            fresh.ownUnits = 0.0;
        }
        trim(fresh);
        next.emplace(each.name, fresh);
    }
    m_buckets = std::move(next);
}

void unit_quota::setNodes(std::size_t count)
{
    if (count == m_nodes)
        return;
    for (auto &[account, each] : m_buckets)
        fill(each);
    m_nodes = std::max<std::size_t>(count, 1);
    for (auto &[account, each] : m_buckets)
        trim(each);
}

void unit_quota::setHearing(bool hearsOthers, duration age)
{
    m_newsAge = age;
    if (hearsOthers == m_hearsSince.has_value())
        return;
    for (auto &[account, each] : m_buckets)
        fill(each);
    m_hearsSince = hearsOthers ? std::optional(m_time.now()) : std::nullopt;
    for (auto &[account, each] : m_buckets)
        trim(each);
}

duration unit_quota::take(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.perSecond <= 0.0)
        return duration::zero();
    bucket &which = found->second;
    fill(which);
    // A large call is let through when a bucket is mostly full, and leaves a debt: others keep it from being
    // quite full.
    const double fleetNeed = std::min(units + notTold(which), full_part * which.burst) - which.fleetUnits;
    const double ownNeed
        = isCalm(which) ? 0.0 : std::min(units, full_part * ownBurst(which)) - which.ownUnits;
    if (fleetNeed <= 0.0 && ownNeed <= 0.0) {
        which.fleetUnits -= units;
        which.ownUnits -= units;
        which.taken += units;
        which.ownPerSecond += units / rate_seconds;
        return duration::zero();
    }
    const double wait = std::max(fleetNeed, ownNeed / ownPart()) / which.perSecond;
    return std::max(fromSeconds(wait), least_wait);
}

void unit_quota::giveBack(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    bucket &which = found->second;
    which.fleetUnits += units;
    which.ownUnits += units;
    which.taken = std::max(which.taken - units, 0.0);
    trim(which);
}

void unit_quota::takenElsewhere(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    fill(found->second);
    found->second.fleetUnits -= units;
    found->second.othersPerSecond += units / rate_seconds;
    trim(found->second);
}

std::map<std::string, std::uint64_t> unit_quota::takenHere() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[account, each] : m_buckets) {
        if (each.perSecond > 0.0)
            result[account] = static_cast<std::uint64_t>(each.taken);
    }
    return result;
}

bool unit_quota::isShort() const
{
    constexpr double shortPart = 0.5;
    for (const auto &[account, each] : m_buckets) {
        bucket now = each;
        fill(now);
        if (now.perSecond > 0.0 && now.fleetUnits < shortPart * now.burst)
            return true;
    }
    return false;
}

} // namespace ivypier::relay
