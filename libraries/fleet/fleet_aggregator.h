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

/// What the nodes told this one, added up.
///
/// Numbers of a node replace those of its earlier rounds. What a node took of limits only grows, and so do
/// the sums of it, also when the node is gone. Loads and work of a node that fell silent are left out after
/// `report_lifetime`; its runs stay until their window is forgotten.
class fleet_aggregator
{
public:
    explicit fleet_aggregator(const clock &time);

    /// Takes in a part of a node's round. Parts of earlier rounds than the last are ignored.
    void addReport(membership::incarnation node, std::uint64_t round,
                   const std::vector<metric_sample> &metricSamples);

    /// Units consumed and calls under way, of all nodes but one.
    std::vector<metric_sample> totalsExcluding(membership::incarnation node) const;

    /// The runs of all nodes in a window.
    relay::run_counts runsInWindow(std::int64_t window) const;

    /// The work of all nodes, by service; an engine's engine_speed is the median of what the nodes measured.
    std::map<std::string, relay::service_work> work() const;

    /// Forgets the runs of windows before this one.
    void dropWindowsBefore(std::int64_t window);

private:
    using values_by_name = std::map<std::string, std::uint64_t>;

    struct node_state
    {
        std::uint64_t firstRound = 0;
        std::uint64_t round = 0;
        time_point reportedAt{};
        values_by_name consumed;
        values_by_name countedConsumption; ///< what of it went into the sums
        values_by_name loads;
        std::map<std::string, relay::service_work> work;
    };

    void addSample(membership::incarnation node, node_state &entry, const metric_sample &number);
    void addConsumption(node_state &entry, const metric_sample &number);
    void removeLoads(node_state &entry);
    void expireNodes();

    const clock &m_time;
    time_point m_startedAt{}; ///< the first report after a pause in which nobody told anything
    time_point m_lastReportAt{};
    time_point m_lastExpiryAt{};
    std::map<membership::incarnation, node_state> m_nodes;
    values_by_name m_consumed;
    values_by_name m_loads;
    std::map<std::int64_t, std::map<membership::incarnation, relay::run_counts>> m_runs;
};

/// A node that told nothing for so long no longer counts with its loads and its work.
inline constexpr duration report_lifetime = std::chrono::seconds(3);

} // namespace ivypier::fleet
