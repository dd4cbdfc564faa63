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

double medianOf(std::vector<double> samples)
{
    const auto median = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
    std::nth_element(samples.begin(), median, samples.end());
    return *median;
}

void addWork(std::vector<metric_sample> &samples, const std::map<std::string, relay::service_work> &work)
{
    for (const auto &[service, each] : work) {
        samples.push_back({metric_kind::work, service, 0, static_cast<std::uint64_t>(each.tokensPerSecond)});
        samples.push_back(
            {metric_kind::engine_speed, service, 0, static_cast<std::uint64_t>(each.engineTokensPerSecond)});
    }
}

} // namespace

fleet_aggregator::fleet_aggregator(const clock &time)
    : m_time(time)
    , m_ownSpeeds(time)
    , m_domainSpeeds(time)
    , m_evidence(time)
{
}

void fleet_aggregator::addReport(membership::incarnation node, std::uint64_t round,
                                 const std::vector<metric_sample> &metricSamples,
                                 const std::string &failureDomain)
{
    const time_point now = m_time.now();
    if (now - m_lastReportAt > report_lifetime) {
        // No report arrived for a while. Other collectors have counted what the nodes consumed meanwhile, so
        // the next reports serve as new baselines.
        m_startedAt = now;
        m_nodes.clear();
        m_loads.clear();
        m_ownSpeeds.clear();
    }
    m_lastReportAt = now;
    expireNodes();
    node_state &entry = m_nodes.try_emplace(node, node_state{.firstRound = round}).first->second;
    if (round < entry.round)
        return;
    if (round > entry.round) {
        removeLoads(entry);
        m_ownSpeeds.dropSlowdowns(node);
        entry.work.clear();
        entry.round = round;
    }
    entry.failureDomain = failureDomain;
    if (!failureDomain.empty() || !m_domainOfRuns.contains(node))
        m_domainOfRuns[node] = failureDomain;
    entry.reportedAt = now;
    entry.isGone = false;
    const bool wasRunsOnly = std::exchange(entry.isRunsOnly, hasCurrentSums(failureDomain));
    if (wasRunsOnly && !entry.isRunsOnly)
        entry.baselineRound = round; // the sums covered what the node consumed so far
    for (const metric_sample &each : metricSamples)
        addSample(node, entry, each);
}

void fleet_aggregator::addSample(membership::incarnation node, node_state &entry, const metric_sample &sample)
{
    if (sample.kind == metric_kind::runs) {
        addRun(node, sample);
        return;
    }
    if (sample.kind == metric_kind::rollout_evidence) {
        if (entry.failureDomain.empty())
            return; // the membership does not know the node yet; it reports its totals again
        m_evidence.addNode(node, entry.failureDomain, sample.name, sample.value);
        return;
    }
    if (entry.isRunsOnly)
        return;
    switch (sample.kind) {
    case metric_kind::consumed:
    case metric_kind::refused:
        addRunningTotal(entry, sample);
        return;
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
    case metric_kind::upstream_speed:
    case metric_kind::upstream_slowdown:
        m_ownSpeeds.put(node, sample);
        return;
    case metric_kind::runs: // handled above
    case metric_kind::rollout_evidence:
    case metric_kind::nodes: // only collectors send these
    case metric_kind::silent_nodes:
        return;
    }
}

void fleet_aggregator::addRun(membership::incarnation node, const metric_sample &sample)
{
    std::uint64_t &stored = m_runs[sample.window][node][sample.name];
    stored = std::max(stored, sample.value);
}

void fleet_aggregator::addRuns(membership::incarnation node, const std::vector<metric_sample> &runs,
                               const std::string &failureDomain)
{
    m_domainOfRuns.try_emplace(node, failureDomain);
    for (const metric_sample &each : runs) {
        if (each.kind == metric_kind::runs)
            addRun(node, each);
    }
}

std::map<membership::incarnation, std::vector<metric_sample>>
fleet_aggregator::runsByNode(std::int64_t firstWindow,
                             const std::set<membership::incarnation> &excluded) const
{
    std::map<membership::incarnation, std::vector<metric_sample>> result;
    for (auto window = m_runs.lower_bound(firstWindow); window != m_runs.end(); ++window) {
        for (const auto &[node, counts] : window->second) {
            if (excluded.contains(node))
                continue;
            for (const auto &[account, count] : counts)
                result[node].push_back({metric_kind::runs, account, window->first, count});
        }
    }
    return result;
}

void fleet_aggregator::addRunningTotal(node_state &entry, const metric_sample &sample)
{
    // Other collectors have counted what nodes consumed before this aggregator started, so a first report in
    // that time only sets the baseline. A node that appears later has just started: its whole consumption
    // counts.
    const bool isBaseline = entry.round == entry.baselineRound
        || (entry.round == entry.firstRound && m_time.now() - m_startedAt < report_lifetime);
    const metric_key key{sample.kind, sample.name};
    std::uint64_t &last = entry.reported[key];
    const std::uint64_t grown = sample.value > last ? sample.value - last : 0;
    last = std::max(last, sample.value);
    if (isBaseline || grown == 0)
        return;
    m_ownTotals[key] += grown;
    m_totals[key] += grown;
    entry.counted[key] += grown;
}

void fleet_aggregator::addDomainSums(const std::string &failureDomain, membership::incarnation collector,
                                     std::uint64_t round, const std::vector<metric_sample> &samples)
{
    domain_sums &sums = m_domains.try_emplace(failureDomain, m_time).first->second;
    if (!sums.isCurrent()) {
        // The sums replace what nodes of that domain reported to this node directly.
        for (auto &[node, entry] : m_nodes) {
            if (entry.failureDomain != failureDomain)
                continue;
            removeLoads(entry);
            m_ownSpeeds.drop(node);
            entry.work.clear();
        }
    }
    m_domainSpeeds.dropSlowdowns(collector);
    for (const metric_sample &each : samples) {
        if (each.kind == metric_kind::upstream_speed || each.kind == metric_kind::upstream_slowdown)
            m_domainSpeeds.put(collector, each);
    }
    for (const auto &[key, grown] : sums.add(collector, round, samples))
        m_totals[key] += grown;
    for (const metric_sample &each : samples) {
        if (each.kind == metric_kind::rollout_evidence)
            m_evidence.addDomain(failureDomain, each.name, each.value);
    }
}

bool fleet_aggregator::hasCurrentSums() const
{
    return std::any_of(m_domains.begin(), m_domains.end(),
                       [](const auto &each) { return each.second.isCurrent(); });
}

bool fleet_aggregator::hasCurrentSums(const std::string &failureDomain) const
{
    const auto found = m_domains.find(failureDomain);
    return found != m_domains.end() && found->second.isCurrent();
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

bool fleet_aggregator::isCurrent(const node_state &entry) const
{
    return m_time.now() - entry.reportedAt <= report_lifetime;
}

void fleet_aggregator::expireNodes()
{
    const time_point now = m_time.now();
    if (now - m_lastExpiryAt < expiry_interval)
        return;
    m_lastExpiryAt = now;
    for (auto &[node, entry] : m_nodes) {
        if (isCurrent(entry))
            continue;
        removeLoads(entry);
        m_ownSpeeds.drop(node);
        entry.work.clear();
    }
    m_ownSpeeds.expire();
    m_domainSpeeds.expire();
    std::erase_if(m_nodes, [&](const auto &each) { return now - each.second.reportedAt > node_retention; });
}

std::vector<membership::incarnation> fleet_aggregator::silentNodes() const
{
    std::vector<membership::incarnation> result;
    for (const auto &[node, entry] : m_nodes) {
        const duration age = m_time.now() - entry.reportedAt;
        if (!entry.isGone && age > silent_node_age && age <= silent_node_retention
            && !hasCurrentSums(entry.failureDomain))
            result.push_back(node);
    }
    return result;
}

void fleet_aggregator::markGone(membership::incarnation node)
{
    const auto found = m_nodes.find(node);
    if (found != m_nodes.end())
        found->second.isGone = true;
}

std::size_t fleet_aggregator::silentNodeCount() const
{
    std::map<std::string, std::size_t> directNodes;
    for (const auto &[node, entry] : m_nodes)
        directNodes[entry.failureDomain] += isCurrent(entry) ? 1 : 0;
    std::size_t count = silentNodes().size();
    for (const auto &[domain, sums] : m_domains) {
        // When a fleet shrinks to one level, the nodes report directly instead.
        const std::size_t silent = sums.silentNodes(silent_node_age);
        count += silent - std::min(silent, directNodes[domain]);
    }
    return count;
}

std::vector<metric_sample> fleet_aggregator::totalsExcluding(membership::incarnation node,
                                                             std::uint64_t round) const
{
    static const node_state unknownNode;
    const auto found = m_nodes.find(node);
    const node_state &excludedNode = found == m_nodes.end() ? unknownNode : found->second;
    std::vector<metric_sample> result;
    if (const std::size_t silent = silentNodeCount(); silent > 0)
        result.push_back({metric_kind::silent_nodes, "", 0, silent});
    for (const auto &[key, sum] : m_totals) {
        const auto own = excludedNode.counted.find(key);
        const std::uint64_t others = sum - (own == excludedNode.counted.end() ? 0 : own->second);
        if (others > 0)
            result.push_back({key.first, key.second, 0, others});
    }
    values_by_name loads = m_loads;
    for (const auto &[domain, sums] : m_domains) {
        for (const auto &[name, load] : sums.loads())
            loads[name] += load;
    }
    for (const auto &[name, load] : loads) {
        const auto own = excludedNode.loads.find(name);
        const std::uint64_t others
            = load - (own == excludedNode.loads.end() ? 0 : std::min(load, own->second));
        if (others > 0)
            result.push_back({metric_kind::load, name, 0, others});
    }
    const std::vector<metric_sample> speeds
        = speed_table::totalsExcluding(node, round, m_ownSpeeds, m_domainSpeeds);
    result.insert(result.end(), speeds.begin(), speeds.end());
    return result;
}

std::vector<metric_sample> fleet_aggregator::ownSums(std::int64_t firstWindow, bool withLoads,
                                                     std::uint64_t round) const
{
    const auto reporting = std::count_if(m_nodes.begin(), m_nodes.end(),
                                         [&](const auto &each) { return isCurrent(each.second); });
    std::vector<metric_sample> result{{metric_kind::nodes, "", 0, static_cast<std::uint64_t>(reporting)},
                                      {metric_kind::silent_nodes, "", 0, silentNodes().size()}};
    for (const auto &[key, total] : m_ownTotals)
        result.push_back({key.first, key.second, 0, total});
    if (withLoads) {
        for (const auto &[name, load] : m_loads)
            result.push_back({metric_kind::load, name, 0, load});
        addWork(result, ownWork());
        const std::vector<metric_sample> speeds = m_ownSpeeds.totals(round);
        result.insert(result.end(), speeds.begin(), speeds.end());
    }
    const auto reportsHere = [this](const std::string &domain) { return !hasCurrentSums(domain); };
    for (const auto &[name, total] : m_evidence.ofNodes(reportsHere))
        result.push_back({metric_kind::rollout_evidence, name, 0, total});
    for (auto window = m_runs.lower_bound(firstWindow); window != m_runs.end(); ++window) {
        relay::run_counts sum;
        for (const auto &[domain, counts] : runsByDomain(window->first)) {
            if (hasCurrentSums(domain))
                continue;
            for (const auto &[account, count] : counts)
                sum[account] += count;
        }
        for (const auto &[account, count] : sum)
            result.push_back({metric_kind::runs, account, window->first, count});
    }
    return result;
}

std::map<std::string, relay::run_counts> fleet_aggregator::runsByDomain(std::int64_t window) const
{
    std::map<std::string, relay::run_counts> result;
    const auto found = m_runs.find(window);
    if (found == m_runs.end())
        return result;
    for (const auto &[node, counts] : found->second) {
        relay::run_counts &sum = result[m_domainOfRuns.at(node)];
        for (const auto &[account, count] : counts)
            sum[account] += count;
    }
    return result;
}

relay::run_counts fleet_aggregator::runsInWindow(std::int64_t window) const
{
    std::map<std::string, relay::run_counts> byDomain = runsByDomain(window);
    // The nodes of a domain may have reported to its collectors, to this node or to both.
    for (const auto &[domain, sums] : m_domains) {
        for (const auto &[account, count] : sums.runsInWindow(window)) {
            std::uint64_t &stored = byDomain[domain][account];
            stored = std::max(stored, count);
        }
    }
    relay::run_counts sum;
    for (const auto &[domain, counts] : byDomain) {
        for (const auto &[account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

std::map<std::string, relay::service_work> fleet_aggregator::ownWork() const
{
    std::map<std::string, relay::service_work> result;
    std::map<std::string, std::vector<double>> speeds;
    for (const auto &[node, entry] : m_nodes) {
        if (!isCurrent(entry) || hasCurrentSums(entry.failureDomain))
            continue;
        for (const auto &[service, work] : entry.work) {
            result[service].tokensPerSecond += work.tokensPerSecond;
            if (work.engineTokensPerSecond > 0.0)
                speeds[service].push_back(work.engineTokensPerSecond);
        }
    }
    for (auto &[service, samples] : speeds)
        result[service].engineTokensPerSecond = medianOf(std::move(samples));
    return result;
}

std::map<std::string, relay::service_work> fleet_aggregator::work() const
{
    std::map<std::string, relay::service_work> result = ownWork();
    std::map<std::string, std::vector<double>> speeds;
    for (const auto &[service, work] : result) {
        if (work.engineTokensPerSecond > 0.0)
            speeds[service].push_back(work.engineTokensPerSecond);
    }
    for (const auto &[domain, sums] : m_domains) {
        for (const auto &[service, work] : sums.work()) {
            result[service].tokensPerSecond += work.tokensPerSecond;
            if (work.engineTokensPerSecond > 0.0)
                speeds[service].push_back(work.engineTokensPerSecond);
        }
    }
    for (auto &[service, samples] : speeds)
        result[service].engineTokensPerSecond = medianOf(std::move(samples));
    return result;
}

duration fleet_aggregator::medianReportAge() const
{
    const time_point now = m_time.now();
    std::vector<duration> ages;
    for (const auto &[node, entry] : m_nodes) {
        const duration age = now - entry.reportedAt;
        if (!entry.isGone && age <= silent_node_retention && !hasCurrentSums(entry.failureDomain))
            ages.push_back(age);
    }
    for (const auto &[domain, sums] : m_domains)
        ages.insert(ages.end(), sums.lastNodes(), std::min<duration>(sums.age(), silent_node_retention));
    if (ages.empty())
        return duration::zero();
    const auto median = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / 2);
    std::nth_element(ages.begin(), median, ages.end());
    return *median;
}

void fleet_aggregator::dropWindowsBefore(std::int64_t window)
{
    m_runs.erase(m_runs.begin(), m_runs.lower_bound(window));
    std::erase_if(m_domainOfRuns, [&](const auto &each) {
        return !m_nodes.contains(each.first)
            && std::none_of(m_runs.begin(), m_runs.end(),
                            [&](const auto &runs) { return runs.second.contains(each.first); });
    });
    for (auto &[domain, sums] : m_domains)
        sums.dropWindowsBefore(window);
}

} // namespace ivypier::fleet
