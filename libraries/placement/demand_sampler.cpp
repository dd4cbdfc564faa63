#include "placement/demand_sampler.h"

#include <algorithm>

namespace ivypier::placement {

demand_sampler::demand_sampler(const clock &time, duration freshness)
    : m_time(time)
    , m_freshness(freshness)
{
}

void demand_sampler::setNodeCount(std::size_t count)
{
    m_nodeCount = count;
}

void demand_sampler::addCounters(const std::string &node, const node_counters &counters)
{
    const time_point now = m_time.now();
    std::erase_if(m_samples, [&](const auto &each) { return now - each.second.at > m_freshness; });
    sample &known = m_samples[node];
    const double elapsedSeconds = seconds(now - known.at);
    const bool isContinuous
        = known.last.incarnation == counters.incarnation && known.at != time_point{} && elapsedSeconds > 0.0;
    known.hasRates = isContinuous;
    known.rates.clear();
    for (const auto &[service, total] : counters.totals) {
        if (!isContinuous)
            break;
        const auto previousTotal = known.last.totals.find(service);
        const service_demand previous
            = previousTotal == known.last.totals.end() ? service_demand() : previousTotal->second;
        known.rates[service]
            = {std::max(0.0, total.requestsPerSecond - previous.requestsPerSecond) / elapsedSeconds,
               std::max(0.0, total.tokensPerSecond - previous.tokensPerSecond) / elapsedSeconds};
    }
    known.last = counters;
    known.at = now;
}

std::optional<service_demand> demand_sampler::observed(const std::string &service) const
{
    service_demand sum;
    std::size_t ratedNodes = 0;
    for (const auto &[node, each] : m_samples) {
        if (!each.hasRates || m_time.now() - each.at > m_freshness)
            continue;
        ++ratedNodes;
        const auto found = each.rates.find(service);
        if (found == each.rates.end())
            continue;
        sum.requestsPerSecond += found->second.requestsPerSecond;
        sum.tokensPerSecond += found->second.tokensPerSecond;
    }
    if (ratedNodes == 0)
        return std::nullopt;
    const double scale = std::max(1.0, static_cast<double>(m_nodeCount) / static_cast<double>(ratedNodes));
    return service_demand{sum.requestsPerSecond * scale, sum.tokensPerSecond * scale};
}

} // namespace ivypier::placement
