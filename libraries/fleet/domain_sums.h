#pragma once

#include "base/clock.h"
#include "fleet/metric_sample.h"
#include "fleet/report_lifetime.h"
#include "membership/member.h"
#include "relay/run_counter.h"
#include "relay/work_meter.h"

#include <map>
#include <string>
#include <vector>

namespace ivypier::fleet {

/// Sums that the collectors of one failure domain sent about its nodes.
///
/// Several collectors send sums of the same nodes, so one of them is used at a time. Running totals of all of
/// them are followed; a change of the source continues from the totals that the new source sent before, so
/// that nothing is counted twice.
class domain_sums
{
public:
    using totals = std::map<metric_key, std::uint64_t>;

    explicit domain_sums(const clock &time);

    /// Adds samples of one datagram. Samples of an earlier round than the collector's latest are ignored.
    /// Returns by how much the domain's running totals grew.
    totals add(membership::incarnation collector, std::uint64_t round,
               const std::vector<metric_sample> &samples);

    /// Returns true if a collector sent sums within `report_lifetime`.
    bool isCurrent() const;

    /// Returns the loads by upstream, as last sent by the lead collector.
    std::map<std::string, std::uint64_t> loads() const;

    /// Returns the work by service, as last sent by the lead collector.
    std::map<std::string, relay::service_work> work() const;

    /// Returns the number of nodes that reported to the collector that knows most, 0 if no sums are current.
    std::size_t reportingNodes() const;

    /// Returns the nodes of the domain when its last sums were received.
    std::size_t lastNodes() const
    {
        return m_lastNodes;
    }

    /// Returns the time since the last sums were received.
    duration age() const
    {
        return m_time.now() - m_lastReceivedAt;
    }

    /// Returns the nodes that stopped reporting without leaving: those that the collectors know, or all nodes
    /// of the domain if none of its collectors has sent sums for `silence`.
    std::size_t silentNodes(duration silence) const;

    /// Returns the runs of a window by account: for each account the most that a collector counted, because a
    /// collector may have missed reports and none counts a run twice.
    relay::run_counts runsInWindow(std::int64_t window) const;

    void dropWindowsBefore(std::int64_t window);

private:
    struct source
    {
        std::uint64_t round = 0;
        time_point receivedAt{};
        totals runningTotals;
        std::map<std::string, std::uint64_t> loads;
        std::map<std::string, relay::service_work> work;
        std::size_t nodes = 0;
        std::size_t silentNodes = 0;
    };

    void addSample(source &from, const metric_sample &sample, bool isUsed, totals &grown);
    /// Returns the current source that knows most nodes, or null. Only the lead collector sends loads and
    /// work.
    const source *largestSource(bool withLoads) const;
    bool isCurrent(const source &each) const;

    const clock &m_time;
    std::map<membership::incarnation, source> m_sources;
    membership::incarnation m_usedSource = 0; ///< the collector whose running totals are counted
    std::size_t m_lastNodes = 0; ///< the nodes of the domain when its last sums were received
    time_point m_lastReceivedAt{};
    std::map<std::int64_t, relay::run_counts> m_runs;
};

} // namespace ivypier::fleet
