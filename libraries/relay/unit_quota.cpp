#include "relay/unit_quota.h"

#include <algorithm>
#include <cmath>

namespace ivypier::relay {

namespace {

/// Minimum retry delay for a refused caller.
constexpr duration min_retry_after = std::chrono::milliseconds(20);

/// Fill level at which a bucket admits a call of any size, as a fraction of its capacity.
constexpr double max_required_fill = 0.6;

/// The part of one call that a node may save of its share, where its share of the burst is smaller. A call
/// that a node is rarely asked for then has this chance, while a sudden demand for such calls on many nodes
/// that are cut off stays within the tolerance of a limit.
constexpr double max_saved_call_fraction = 1.0 / 3.0;

/// Lower bound of the probability of admission in the estimate of the wait.
constexpr double min_wait_probability = 0.1;

} // namespace

void unit_quota::decaying_rate::add(double units)
{
    perSecond += units / seconds(timeConstant);
}

void unit_quota::decaying_rate::decay(duration elapsed)
{
    perSecond *= std::exp(-seconds(elapsed) / seconds(timeConstant));
}

unit_quota::unit_quota(const clock &time, random_source &randomness)
    : m_time(time)
    , m_random(randomness)
    , m_nodes(assumed_node_count)
    , m_startedAt(time.now())
{
}

bool unit_quota::isCutOff() const
{
    return m_nodes > 1 && !m_receivesReports && m_time.now() - m_startedAt > quota_start_time;
}

bool unit_quota::isStarting() const
{
    if (m_nodes <= 1)
        return false;
    return m_firstReportAt ? m_time.now() - *m_firstReportAt < m_reportAge
                           : m_time.now() - m_startedAt <= quota_start_time;
}

void unit_quota::clampUnits(bucket &limit) const
{
    limit.fleetUnits = std::clamp(limit.fleetUnits, -max_debt_bursts * limit.burst, limit.burst);
    limit.shareUnits = std::clamp(limit.shareUnits, 0.0, limit.burst);
}

void unit_quota::refill(bucket &limit) const
{
    const duration elapsed = m_time.now() - limit.refilledAt;
    const double gained = limit.perSecond * seconds(elapsed);
    const double withheld = m_silentFraction * gained;
    limit.fleetUnits += gained - withheld;
    limit.withheldUnits += withheld;
    limit.shareUnits += gained / static_cast<double>(m_nodes);
    for (decaying_rate *each : {&limit.remoteUsage, &limit.remoteRefusals, &limit.localUsage,
                                &limit.localRefusals, &limit.remoteUsageTrend, &limit.localUsageTrend})
        each->decay(elapsed);
    limit.refilledAt = m_time.now();
    clampUnits(limit);
}

void unit_quota::refillAll()
{
    for (auto &[account, each] : m_buckets)
        refill(each);
}

void unit_quota::setAccounts(const std::vector<client_account> &accounts)
{
    std::map<std::string, bucket> next;
    for (const client_account &each : accounts) {
        // New accounts start with empty buckets: other nodes may have just used the burst, as may the nodes
        // of a fleet that was stopped as a whole before this process started.
        bucket limit;
        limit.refilledAt = m_time.now();
        limit.admissionCredit = m_random.uniform();
        const auto known = m_buckets.find(each.name);
        if (known != m_buckets.end() && known->second.perSecond > 0.0) {
            // Raising a limit adds no units immediately; lowering it discards the units above the new burst.
            refill(known->second);
            limit = known->second;
        }
        limit.perSecond = each.unitsPerSecond;
        limit.burst = std::max(each.burst, 1.0);
        clampUnits(limit);
        next.emplace(each.name, limit);
    }
    m_buckets = std::move(next);
}

void unit_quota::setTolerance(double units)
{
    m_tolerance = units;
}

void unit_quota::setNodes(std::size_t count)
{
    if (count == m_nodes)
        return;
    refillAll();
    m_nodes = std::max<std::size_t>(count, 1);
    for (auto &[account, each] : m_buckets)
        clampUnits(each);
}

void unit_quota::setRemoteReporting(bool receivesReports, duration reportAge)
{
    m_reportAge = reportAge;
    if (receivesReports == m_receivesReports)
        return;
    if (receivesReports && !m_firstReportAt)
        m_firstReportAt = m_time.now();
    refillAll();
    m_receivesReports = receivesReports;
}

void unit_quota::setSilentFraction(double fraction, duration detectionTime)
{
    if (fraction == m_silentFraction)
        return;
    refillAll();
    const double added = std::max(fraction - m_silentFraction, 0.0);
    const double returned = fraction < m_silentFraction ? 1.0 - fraction / m_silentFraction : 0.0;
    for (auto &[account, each] : m_buckets) {
        // Nodes that report again have reported what they used meanwhile, so their withheld part is returned.
        // Until they were noticed, the silent nodes may have used their part of the recent usage.
        const double usage = std::max(each.perSecond, each.remoteUsage.perSecond + each.localUsage.perSecond);
        const double withheld = added * usage * seconds(detectionTime);
        const double released = returned * each.withheldUnits;
        each.fleetUnits += released - withheld;
        each.withheldUnits += withheld - released;
        clampUnits(each);
    }
    m_silentFraction = fraction;
}

duration unit_quota::take(const std::string &account, double units, std::uint32_t priority)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end() || found->second.perSecond <= 0.0)
        return duration::zero();
    bucket &limit = found->second;
    refill(limit);
    // A call of the second priority counts as twice, one of the third as three times its size.
    const double weightedUnits = units * (1.0 + priority);
    limit.threshold.record(units, weightedUnits);
    const duration wait = isCutOff() ? takeShare(limit, units)
        : isStarting()               ? takeAtStart(limit, units)
                                     : takeFromFleet(limit, units, weightedUnits);
    if (wait == duration::zero())
        return admit(limit, units);
    limit.refused += units;
    limit.localRefusals.add(units);
    return std::max(wait, min_retry_after);
}

duration unit_quota::admit(bucket &limit, double units)
{
    limit.fleetUnits -= units;
    limit.shareUnits -= units;
    limit.taken += units;
    limit.localUsage.add(units);
    limit.localUsageTrend.add(units);
    clampUnits(limit);
    return duration::zero();
}

duration unit_quota::takeShare(bucket &limit, double units)
{
    const double nodes = static_cast<double>(m_nodes);
    const double saved
        = std::min(limit.shareUnits, std::max(limit.burst / nodes, max_saved_call_fraction * units));
    if (saved >= units || m_random.uniform() * units < saved) {
        limit.shareUnits = saved; // admit() deducts the call
        return duration::zero();
    }
    // The share is used up also by a refusal: on average, as many units are admitted as the shares hold.
    limit.shareUnits = 0.0;
    return fromSeconds(std::min(units, limit.burst) * nodes / limit.perSecond);
}

duration unit_quota::takeAtStart(bucket &limit, double units)
{
    const auto nodes = static_cast<double>(m_nodes);
    const double allowed = limit.perSecond * seconds(m_time.now() - m_startedAt)
        + start_burst_fraction * limit.burst + used_tolerance_fraction * m_tolerance;
    const bool isFirst = limit.taken == 0.0;
    if (isFirst || m_random.uniform() * nodes * units < allowed - nodes * limit.taken)
        return duration::zero();
    return m_reportAge;
}

double unit_quota::unreportedUnits(const bucket &limit, double units) const
{
    // A sudden rise shows first in this node's own calls. One call of prior usage for each node keeps the
    // ratio meaningful for accounts that rarely reach this node.
    const double prior = units / seconds(limit.localUsageTrend.timeConstant);
    const double remoteToLocal = (limit.remoteUsageTrend.perSecond + static_cast<double>(m_nodes - 1) * prior)
        / (limit.localUsageTrend.perSecond + prior);
    const double ownUnits = limit.localUsage.perSecond * seconds(m_reportAge);
    const double byOwnCalls = remoteToLocal * std::max(ownUnits - expected_unreported_calls * units, 0.0);
    return std::max(limit.remoteUsage.perSecond * seconds(m_reportAge), byOwnCalls);
}

double unit_quota::admittedFraction(const bucket &limit, double available) const
{
    // Demand and refill until the effect of this decision shows in the reports.
    const double horizon = 2.0 * seconds(m_reportAge);
    const double demand = horizon
        * (limit.remoteUsage.perSecond + limit.remoteRefusals.perSecond + limit.localUsage.perSecond
           + limit.localRefusals.perSecond);
    const double supply = available + horizon * limit.perSecond * (1.0 - m_silentFraction);
    return demand > supply ? std::max(supply, 0.0) / demand : 1.0;
}

bool unit_quota::admitsFraction(bucket &limit, double weightedUnits, double fraction)
{
    // The credit spaces the admitted calls evenly; it starts at a random level, so that the nodes differ.
    const double probability = limit.threshold.probabilityOf(weightedUnits, fraction);
    limit.admissionProbability = probability;
    limit.admissionCredit = std::min(limit.admissionCredit + probability, 1.0 + probability);
    if (limit.admissionCredit < 1.0)
        return false;
    limit.admissionCredit -= 1.0;
    return true;
}

duration unit_quota::takeFromFleet(bucket &limit, double units, double weightedUnits)
{
    const double unreported = unreportedUnits(limit, units);
    // A call larger than the required fill level is admitted at that level and leaves a debt. Requiring a
    // full bucket could block it forever, because other calls keep taking units.
    const double held = limit.fleetUnits + used_tolerance_fraction * m_tolerance;
    const double shortfall = std::min(units + unreported, max_required_fill * limit.burst) - held;
    if (shortfall > 0.0) {
        if (m_nodes > 1 && admitsFraction(limit, weightedUnits, short_call_fraction))
            return duration::zero();
        return fromSeconds(shortfall / limit.perSecond);
    }
    const double fraction = admittedFraction(limit, held - unreported);
    if (fraction >= 1.0 || admitsFraction(limit, weightedUnits, fraction))
        return duration::zero();
    return fromSeconds(seconds(m_reportAge) / std::max(limit.admissionProbability, min_wait_probability));
}

void unit_quota::refund(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    bucket &limit = found->second;
    limit.fleetUnits += units;
    limit.shareUnits += units;
    limit.taken = std::max(limit.taken - units, 0.0);
    for (decaying_rate *each : {&limit.localUsage, &limit.localUsageTrend})
        each->perSecond = std::max(each->perSecond - units / seconds(each->timeConstant), 0.0);
    clampUnits(limit);
}

void unit_quota::recordRemoteUsage(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    refill(found->second);
    found->second.fleetUnits -= units;
    found->second.remoteUsage.add(units);
    found->second.remoteUsageTrend.add(units);
    clampUnits(found->second);
}

void unit_quota::recordRemoteRefusals(const std::string &account, double units)
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    refill(found->second);
    found->second.remoteRefusals.add(units);
}

quota_state unit_quota::stateOf(const std::string &account) const
{
    const auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return {};
    bucket now = found->second;
    refill(now);
    return {now.fleetUnits, now.remoteUsage.perSecond, m_silentFraction,
            m_reportAge,    now.admissionProbability,  isCutOff()};
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

std::map<std::string, std::uint64_t> unit_quota::localRefusals() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[account, each] : m_buckets) {
        if (each.refused >= 1.0)
            result[account] = static_cast<std::uint64_t>(each.refused);
    }
    return result;
}

} // namespace ivypier::relay
