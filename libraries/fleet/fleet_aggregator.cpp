#include "fleet/fleet_aggregator.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

namespace {

/// Between two looks for nodes that fell silent.
constexpr duration expiry_interval = std::chrono::seconds(1);
/// A node that is gone is remembered for as long as it may come back from a pause.
constexpr duration node_retention = std::chrono::minutes(10);

} // namespace

fleet_aggregator::fleet_aggregator(const clock &time)
    : m_time(time)
{
}

void fleet_aggregator::addReport(membership::incarnation node, std::uint64_t round,
                                 const std::vector<metric_sample> &metricSamples)
{
    const time_point now = m_time.now();
    if (now - m_lastReportAt > report_lifetime) {
        // Nobody told this node anything for a while: what they took meanwhile is known elsewhere.
        m_startedAt = now;
        m_nodes.clear();
        m_loads.clear();
    }
    m_lastReportAt = now;
    expireNodes();
    node_state &entry = m_nodes.try_emplace(node, node_state{.firstRound = round}).first->second;
    if (round < entry.round)
        return;
    if (round > entry.round) {
        removeLoads(entry);
        entry.work.clear();
        entry.round = round;
    }
    entry.reportedAt = now;
    for (const metric_sample &each : metricSamples)
        addSample(node, entry, each);
}

void fleet_aggregator::addSample(membership::incarnation node, node_state &entry, const metric_sample &number)
{
    switch (number.kind) {
    case metric_kind::consumed:
        addConsumption(entry, number);
        return;
    case metric_kind::runs: {
        std::uint64_t &known = m_runs[number.window][node][number.name];
        known = std::max(known, number.value);
        return;
    }
    case metric_kind::load:
        entry.loads[number.name] += number.value;
        m_loads[number.name] += number.value;
        return;
    case metric_kind::work:
        entry.work[number.name].tokensPerSecond = static_cast<double>(number.value);
        return;
    case metric_kind::engine_speed:
        entry.work[number.name].engineTokensPerSecond = static_cast<double>(number.value);
        return;
    }
}

void fleet_aggregator::addConsumption(node_state &entry, const metric_sample &number)
{
    // What nodes took before this aggregator began is known elsewhere. A node that is met later started just
    // now: all that it took counts.
    const bool isBaseline = entry.round == entry.firstRound && m_time.now() - m_startedAt < report_lifetime;
    std::uint64_t &last
        = entry.consumed.try_emplace(number.name, isBaseline ? number.value : 0).first->second;
    if (number.value <= last)
        return;
    m_consumed[number.name] += number.value - last;
    entry.countedConsumption[number.name] += number.value - last;
    last = number.value;
}

void fleet_aggregator::removeLoads(node_state &entry)
{
    for (const auto &[name, count] : std::exchange(entry.loads, {})) {
        const auto found = m_loads.find(name);
        if (found == m_loads.end())
            continue;
        found->second -= std::min(found->second, count);
        if (found->second == 0)
            m_loads.erase(found);
    }
}

void fleet_aggregator::expireNodes()
{
    const time_point now = m_time.now();
    if (now - m_lastExpiryAt < expiry_interval)
        return;
    m_lastExpiryAt = now;
    for (auto &[node, entry] : m_nodes) {
        if (now - entry.reportedAt <= report_lifetime)
            continue;
        removeLoads(entry);
        entry.work.clear();
    }
    std::erase_if(m_nodes, [&](const auto &each) { return now - each.second.reportedAt > node_retention; });
}

std::vector<metric_sample> fleet_aggregator::totalsExcluding(membership::incarnation node) const
{
    static const node_state nothing;
    const auto found = m_nodes.find(node);
    const node_state &excludedNode = found == m_nodes.end() ? nothing : found->second;
    std::vector<metric_sample> result;
    const auto add = [&](metric_kind kind, const values_by_name &sums, const values_by_name &without) {
        for (const auto &[name, sum] : sums) {
            const auto ownValue = without.find(name);
            const std::uint64_t others
                = sum - (ownValue == without.end() ? 0 : std::min(sum, ownValue->second));
            if (others > 0)
                result.push_back({kind, name, 0, others});
        }
    };
    add(metric_kind::consumed, m_consumed, excludedNode.countedConsumption);
    add(metric_kind::load, m_loads, excludedNode.loads);
    return result;
}

relay::run_counts fleet_aggregator::runsInWindow(std::int64_t window) const
{
    relay::run_counts sum;
    const auto found = m_runs.find(window);
    if (found == m_runs.end())
        return sum;
    for (const auto &[node, counts] : found->second) {
        for (const auto &[account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

std::map<std::string, relay::service_work> fleet_aggregator::work() const
{
    std::map<std::string, relay::service_work> result;
    std::map<std::string, std::vector<double>> speeds;
    for (const auto &[node, entry] : m_nodes) {
        if (m_time.now() - entry.reportedAt > report_lifetime)
            continue;
        for (const auto &[service, work] : entry.work) {
            result[service].tokensPerSecond += work.tokensPerSecond;
            if (work.engineTokensPerSecond > 0.0)
                speeds[service].push_back(work.engineTokensPerSecond);
        }
    }
    for (auto &[service, samples] : speeds) {
        const auto median = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
        std::nth_element(samples.begin(), median, samples.end());
        result[service].engineTokensPerSecond = *median;
    }
    return result;
}

void fleet_aggregator::dropWindowsBefore(std::int64_t window)
{
    m_runs.erase(m_runs.begin(), m_runs.lower_bound(window));
}

} // namespace ivypier::fleet
