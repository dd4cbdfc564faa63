#include "fleet/domain_sums.h"

#include <algorithm>

namespace ivypier::fleet {

namespace {

/// A collector that sent no sums for this long is replaced as the source of running totals. It covers three
/// reports.
constexpr duration source_timeout = std::chrono::milliseconds(1200);
/// How long the state of a collector that no longer sends is kept.
constexpr duration source_retention = std::chrono::seconds(30);

} // namespace

domain_sums::domain_sums(const clock &time)
    : m_time(time)
{
}

bool domain_sums::isCurrent(const source &each) const
{
    return m_time.now() - each.receivedAt <= report_lifetime;
}

bool domain_sums::isCurrent() const
{
    return largestSource(false) != nullptr;
}

domain_sums::totals domain_sums::add(membership::incarnation collector, std::uint64_t round,
                                     const std::vector<metric_sample> &samples)
{
    const time_point now = m_time.now();
    std::erase_if(m_sources,
                  [&](const auto &each) { return now - each.second.receivedAt > source_retention; });
    const auto [found, isNew] = m_sources.try_emplace(collector);
    source &from = found->second;
    if (round < from.round)
        return {};
    const auto used = m_sources.find(m_usedSource);
    if (used == m_sources.end() || now - used->second.receivedAt > source_timeout)
        m_usedSource = collector;
    if (round > from.round) {
        from.loads.clear();
        from.work.clear();
        from.nodes = 0;
        from.silentNodes = 0;
        from.round = round;
    }
    // After a gap the totals only set a new baseline: another collector's totals covered that time.
    const bool continues = !isNew && now - from.receivedAt <= report_lifetime;
    from.receivedAt = now;
    m_lastReceivedAt = now;
    totals grown;
    for (const metric_sample &each : samples)
        addSample(from, each, continues && m_usedSource == collector, grown);
    if (from.nodes > 0)
        m_lastNodes = from.nodes;
    return grown;
}

void domain_sums::addSample(source &from, const metric_sample &sample, bool isUsed, totals &grown)
{
    switch (sample.kind) {
    case metric_kind::consumed:
    case metric_kind::refused: {
        const metric_key key{sample.kind, sample.name};
        std::uint64_t &last = from.runningTotals[key];
        if (isUsed && sample.value > last)
            grown[key] += sample.value - last;
        last = std::max(last, sample.value);
        return;
    }
    case metric_kind::runs: {
        std::uint64_t &stored = m_runs[sample.window][sample.name];
        stored = std::max(stored, sample.value);
        return;
    }
    case metric_kind::load:
        from.loads[sample.name] = sample.value;
        return;
    case metric_kind::work:
        from.work[sample.name].tokensPerSecond = static_cast<double>(sample.value);
        return;
    case metric_kind::engine_speed:
        from.work[sample.name].engineTokensPerSecond = static_cast<double>(sample.value);
        return;
    case metric_kind::nodes:
        from.nodes = sample.value;
        return;
    case metric_kind::silent_nodes:
        from.silentNodes = sample.value;
        return;
    case metric_kind::upstream_speed: // kept by fleet_aggregator
    case metric_kind::upstream_slowdown:
    case metric_kind::rollout_evidence: // summed by the aggregator
        return;
    }
}

const domain_sums::source *domain_sums::largestSource(bool withLoads) const
{
    const source *largest = nullptr;
    for (const auto &[collector, each] : m_sources) {
        if (!isCurrent(each) || (withLoads && each.loads.empty() && each.work.empty()))
            continue;
        if (!largest || each.nodes > largest->nodes)
            largest = &each;
    }
    return largest;
}

std::map<std::string, std::uint64_t> domain_sums::loads() const
{
    const source *from = largestSource(true);
    return from ? from->loads : std::map<std::string, std::uint64_t>();
}

std::map<std::string, relay::service_work> domain_sums::work() const
{
    const source *from = largestSource(true);
    return from ? from->work : std::map<std::string, relay::service_work>();
}

std::size_t domain_sums::reportingNodes() const
{
    const source *from = largestSource(false);
    return from ? from->nodes : 0;
}

std::size_t domain_sums::silentNodes(duration silence) const
{
    const duration age = m_time.now() - m_lastReceivedAt;
    if (age > silent_node_retention)
        return 0;
    const source *from = largestSource(false);
    return age > silence || !from ? m_lastNodes : from->silentNodes;
}

relay::run_counts domain_sums::runsInWindow(std::int64_t window) const
{
    const auto found = m_runs.find(window);
    return found == m_runs.end() ? relay::run_counts() : found->second;
}

void domain_sums::dropWindowsBefore(std::int64_t window)
{
    m_runs.erase(m_runs.begin(), m_runs.lower_bound(window));
}

} // namespace ivypier::fleet
