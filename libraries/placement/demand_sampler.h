#pragma once

#include "base/clock.h"
#include "placement/demand_source.h"

#include <map>
#include <string>

namespace ivypier::placement {

/// The counters of one node, which only grow while the node runs.
struct node_counters
{
    std::string incarnation; ///< changes at each start of the node, which resets the counters
    std::map<std::string, service_demand>
        totals; ///< by service; requests and tokens since the start, not rates

    auto operator<=>(const node_counters &) const = default;
};

/// Computes the demand from the counters of all nodes, or of a sample of them that is extrapolated to the
/// fleet.
///
/// A node contributes rates after two consecutive readings of the same incarnation.
class demand_sampler final : public demand_source
{
public:
    /// Readings older than `freshness` don't count.
    demand_sampler(const clock &time, duration freshness);

    /// Sets the number of nodes that serve callers, to which the rates are extrapolated.
    void setNodeCount(std::size_t count);

    /// Adds a reading of a node's counters, taken now.
    void addCounters(const std::string &node, const node_counters &counters);

    std::optional<service_demand> observed(const std::string &service) const override;

private:
    struct sample
    {
        node_counters last;
        time_point at{};
        std::map<std::string, service_demand> rates;
        bool hasRates = false; ///< the last two readings are of one incarnation
    };

    const clock &m_time;
    duration m_freshness;
    std::size_t m_nodeCount = 0;
    std::map<std::string, sample> m_samples;
};

} // namespace ivypier::placement
