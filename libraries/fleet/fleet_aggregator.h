#pragma once

#include "base/clock.h"
#include "fleet/metric_sample.h"
#include "membership/member.h"
#include "relay/run_counter.h"
#include "relay/work_meter.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// Aggregates the reports that this node received.
///
/// The samples of a node replace those of its earlier rounds. The units that a node consumed, and the totals
/// over all nodes, never decrease, even after the node is gone. Loads and work of a node that has sent no
/// report for `report_lifetime` are excluded; its runs are kept until their window is dropped.
class fleet_aggregator
{
public:
    explicit fleet_aggregator(const clock &time);

    /// Adds samples of one datagram of a node's report. Samples of an earlier round than the node's latest
    /// are ignored.
    void addReport(membership::incarnation node, std::uint64_t round,
                   const std::vector<metric_sample> &metricSamples);

    /// Returns the units consumed and the loads, summed over all nodes except `node`.
    std::vector<metric_sample> totalsExcluding(membership::incarnation node) const;

    /// Returns the number of runs in a window, by account, summed over all nodes.
    relay::run_counts runsInWindow(std::int64_t window) const;

    /// Returns the work of all nodes, by service. The engine speed is the median of the values that the nodes
    /// measured.
    std::map<std::string, relay::service_work> work() const;

    /// Drops the runs of all windows before `window`.
    void dropWindowsBefore(std::int64_t window);

private:
    using values_by_name = std::map<std::string, std::uint64_t>;

    struct node_state
    {
        std::uint64_t firstRound = 0;
        std::uint64_t round = 0;
        time_point reportedAt{};
        values_by_name consumed;
        values_by_name countedConsumption; ///< the part of `consumed` that is included in the totals
        values_by_name loads;
        std::map<std::string, relay::service_work> work;
    };

    void addSample(membership::incarnation node, node_state &entry, const metric_sample &sample);
    void addConsumption(node_state &entry, const metric_sample &sample);
    void removeLoads(node_state &entry);
    void expireNodes();

    const clock &m_time;
    time_point m_startedAt{}; ///< time of the first report, or of the first after a gap in all reports
    time_point m_lastReportAt{};
    time_point m_lastExpiryAt{};
    std::map<membership::incarnation, node_state> m_nodes;
    values_by_name m_consumed;
    values_by_name m_loads;
    std::map<std::int64_t, std::map<membership::incarnation, relay::run_counts>> m_runs;
};

/// Loads and work of a node are excluded once its last report is older than this.
inline constexpr duration report_lifetime = std::chrono::seconds(3);

} // namespace ivypier::fleet
