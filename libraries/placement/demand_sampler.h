#pragma once

#include "base/clock.h"
#include "placement/demand_source.h"

#include <map>
#include <string>

namespace ivypier::placement {

/// One node's counters, which only grow while it runs.
struct node_counters
{
    std::string incarnation; ///< counters of another incarnation start anew
    std::map<std::string, service_demand> totals; ///< by service; requests and tokens so far

    auto operator<=>(const node_counters &) const = default;
};

/// Rates from the counters of nodes, all of them or a sample that stands for the rest.
class demand_sampler final : public demand_source
{
public:
    /// A node not heard of for longer than `freshness` does not count.
    demand_sampler(const clock &time, duration freshness);

    /// The number of nodes that serve callers.
    void setNodeCount(std::size_t count);

    void addCounters(const std::string &node, const node_counters &counters);

    std::optional<service_demand> observed(const std::string &service) const override;

private:
    struct sample
    {
        node_counters last;
        time_point at{};
        std::map<std::string, service_demand> rates;
        bool hasRates = false; ///< two samples of one incarnation were taken
    };

    const clock &m_time;
    duration m_freshness;
    std::size_t m_nodeCount = 0;
    std::map<std::string, sample> m_samples;
};

} // namespace ivypier::placement
