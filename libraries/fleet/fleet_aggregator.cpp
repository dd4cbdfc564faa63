#include "fleet/fleet_aggregator.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

namespace {

/// Time between two checks for nodes that no longer report.
constexpr duration expiry_interval = std::chrono::seconds(1);
/// How long the state of a silent node is kept. A paused node that resumes within this time continues from
/// its last report.
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
        // No report arrived for a while. Other collectors have counted what the nodes consumed meanwhile, so
        // the next reports serve as new baselines.
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

void fleet_aggregator::addSample(membership::incarnation node, node_state &entry, const metric_sample &sample)
{
    switch (sample.kind) {
    case metric_kind::consumed:
        addConsumption(entry, sample);
        return;
    case metric_kind::runs: {
        std::uint64_t &stored = m_runs[sample.window][node][sample.name];
        stored = std::max(stored, sample.value);
        return;
    }
    case metric_kind::load:
        entry.loads[sample.name] += sample.value;
        m_loads[sample.name] += sample.value;
        return;
    case metric_kind::work:
        entry.work[sample.name].tokensPerSecond = static_cast<double>(sample.value);
        return;
    case metric_kind::engine_speed:
        entry.work[sample.name].engineTokensPerSecond = static_cast<double>(sample.value);
        return;
    }
}

void fleet_aggregator::addConsumption(node_state &entry, const metric_sample &sample)
{
    // Other collectors have counted what nodes consumed before this aggregator started, so a first report in
    // that time only sets the baseline. A node that appears later has just started: its whole consumption
    // counts.
    const bool isBaseline = entry.round == entry.firstRound && m_time.now() - m_startedAt < report_lifetime;
    std::uint64_t &last
        = entry.consumed.try_emplace(sample.name, isBaseline ? sample.value : 0).first->second;
    if (sample.value <= last)
        return;
    m_consumed[sample.name] += sample.value - last;
    entry.countedConsumption[sample.name] += sample.value - last;
    last = sample.value;
}

void fleet_aggregator::removeLoads(node_state &entry)
{
    for (const auto &[name, load] : std::exchange(entry.loads, {})) {
        const auto found = m_loads.find(name);
        if (found == m_loads.end())
            continue;
        found->second -= std::min(found->second, load);
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
    static const node_state unknownNode;
    const auto found = m_nodes.find(node);
    const node_state &excludedNode = found == m_nodes.end() ? unknownNode : found->second;
    std::vector<metric_sample> result;
    const auto add = [&](metric_kind kind, const values_by_name &sums, const values_by_name &excluded) {
        for (const auto &[name, sum] : sums) {
            const auto ownValue = excluded.find(name);
            const std::uint64_t others
                = sum - (ownValue == excluded.end() ? 0 : std::min(sum, ownValue->second));
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
