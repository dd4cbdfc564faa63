#pragma once

#include "base/clock.h"
#include "fleet/domain_sums.h"
#include "fleet/evidence_sums.h"
#include "fleet/metric_sample.h"
#include "fleet/report_lifetime.h"
#include "fleet/speed_table.h"
#include "membership/member.h"
#include "relay/run_counter.h"
#include "relay/work_meter.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// Aggregates the reports that this node received from other nodes, and the sums that collectors of other
/// failure domains sent about theirs.
///
/// The samples of a node replace those of its earlier rounds. The units that a node consumed, and the totals
/// over all nodes, never decrease, even after the node is gone. Loads and work of a node that has sent no
/// report for `report_lifetime` are excluded; its runs are kept until their window is dropped.
class fleet_aggregator
{
public:
    explicit fleet_aggregator(const clock &time);

    /// Adds samples of one datagram of a node's report. Samples of an earlier round than the node's latest
    /// are ignored. Of a node whose domain has current sums only the runs are used.
    void addReport(membership::incarnation node, std::uint64_t round,
                   const std::vector<metric_sample> &metricSamples, const std::string &failureDomain = {});

    /// Adds samples of one datagram of the sums that a collector of another failure domain sent.
    void addDomainSums(const std::string &failureDomain, membership::incarnation collector,
                       std::uint64_t round, const std::vector<metric_sample> &samples);

    /// Returns the units consumed and refused, the loads and the speeds due in the round, summed over all
    /// nodes except `node`, and the number of silent nodes.
    std::vector<metric_sample> totalsExcluding(membership::incarnation node, std::uint64_t round = 0) const;

    /// Returns true if a collector of another failure domain sent sums within `report_lifetime`.
    bool hasCurrentSums() const;

    /// Returns the sums over the nodes that report to this node, for the collectors of other domains. Windows
    /// before `firstWindow` are left out, and loads, speeds and work unless `withLoads` is set. Only the
    /// speeds due in the round are sent.
    std::vector<metric_sample> ownSums(std::int64_t firstWindow, bool withLoads,
                                       std::uint64_t round = 0) const;

    /// Adds runs of a node that another collector told after that node ended. The node itself does not count
    /// as reporting.
    void addRuns(membership::incarnation node, const std::vector<metric_sample> &runs,
                 const std::string &failureDomain);

    /// Returns the runs since `firstWindow` of all known nodes but `excluded`, by node.
    std::map<membership::incarnation, std::vector<metric_sample>>
    runsByNode(std::int64_t firstWindow, const std::set<membership::incarnation> &excluded) const;

    /// Returns the nodes that reported to this node and have been silent since, between `silent_node_age` and
    /// `silent_node_retention`.
    std::vector<membership::incarnation> silentNodes() const;

    /// Excludes a node from the silent nodes until it reports again: it left, or was restarted.
    void markGone(membership::incarnation node);

    /// Returns the number of runs in a window, by account, summed over all nodes.
    relay::run_counts runsInWindow(std::int64_t window) const;

    /// Returns the work of all nodes, by service. The engine speed is the median of the values that the nodes
    /// measured.
    std::map<std::string, relay::service_work> work() const;

    /// Returns the sums over all nodes of the evidence on rollouts, by sample name.
    evidence_sums::totals rolloutEvidence() const
    {
        return m_evidence.all();
    }

    /// Returns the median age of the newest reports or sums, each node counted once; nodes that are gone or
    /// were silent for long do not count. Zero without reports.
    duration medianReportAge() const;

    /// Drops the runs of all windows before `window`.
    void dropWindowsBefore(std::int64_t window);

private:
    using values_by_name = std::map<std::string, std::uint64_t>;
    using running_totals = std::map<metric_key, std::uint64_t>;

    struct node_state
    {
        std::string failureDomain;
        std::uint64_t firstRound = 0;
        std::uint64_t baselineRound = 0; ///< round after which the node's running totals count again
        std::uint64_t round = 0;
        time_point reportedAt{};
        running_totals reported;
        running_totals counted; ///< the part of `reported` that is included in the totals
        values_by_name loads;
        std::map<std::string, relay::service_work> work;
        bool isRunsOnly = false; ///< the latest round came while the domain's sums were current
        bool isGone = false;
    };

    void addRun(membership::incarnation node, const metric_sample &sample);
    std::map<std::string, relay::run_counts> runsByDomain(std::int64_t window) const;
    void addSample(membership::incarnation node, node_state &entry, const metric_sample &sample);
    void addRunningTotal(node_state &entry, const metric_sample &sample);
    void removeLoads(node_state &entry);
    void expireNodes();
    bool hasCurrentSums(const std::string &failureDomain) const;
    bool isCurrent(const node_state &entry) const;
    std::size_t silentNodeCount() const;
    std::map<std::string, relay::service_work> ownWork() const;

    const clock &m_time;
    time_point m_startedAt{}; ///< time of the first report, or of the first after a gap in all reports
    time_point m_lastReportAt{};
    time_point m_lastExpiryAt{};
    std::map<membership::incarnation, node_state> m_nodes;
    running_totals m_ownTotals; ///< over the nodes that report to this node
    running_totals m_totals; ///< as above, with the other domains
    values_by_name m_loads;
    speed_table m_ownSpeeds; ///< of the nodes that report to this node
    speed_table m_domainSpeeds; ///< of collectors of other domains; two of one domain may both count
    evidence_sums m_evidence;
    std::map<std::string, domain_sums> m_domains; ///< domains whose collectors sent sums
    /// Runs that nodes reported to this node, by window and node.
    std::map<std::int64_t, std::map<membership::incarnation, relay::run_counts>> m_runs;
    std::map<membership::incarnation, std::string> m_domainOfRuns; ///< failure domain of each node in m_runs
};

} // namespace ivypier::fleet
