#pragma once

#include "base/scheduler.h"
#include "fleet/fleet_aggregator.h"
#include "fleet/fleet_message.h"
#include "fleet/local_metrics.h"
#include "fleet/report_topology.h"
#include "membership/datagram_channel.h"
#include "membership/membership_view.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace ivypier::fleet {

/// Allowance for network delay and for the variation of the age of totals.
inline constexpr duration aggregate_delivery_delay = std::chrono::milliseconds(300);

/// Time between two reports of a node. It is short enough to enforce shared limits; it grows with the number
/// of nodes that report to the same collectors, so that a collector receives at most 250 reports per second.
inline constexpr duration min_report_interval = std::chrono::milliseconds(400);
inline constexpr duration report_interval_per_node = std::chrono::milliseconds(4);

/// Reports the metrics of this node to a few collectors and receives the totals of the other nodes from them.
///
/// In a fleet of up to `max_single_level_nodes` each node reports to the `collector_count` members that rank
/// first by the rendezvous hash of a duty, and to the holder of that duty. In a larger one it reports to the
/// collectors of its failure domain, which send the sums of their domain to those of the other domains and to
/// the holder. A node that receives a report aggregates it and replies with the totals over all other nodes.
/// The totals of the highest-ranked collector that replies are used. Docs: docs/design/fleet-numbers.md.
class fleet_exchange
{
public:
    using window_reader = std::function<std::int64_t()>;

    /// `port` is the port of the exchange on every node; `currentWindow` returns the current usage window.
    fleet_exchange(scheduler &tasks, membership::datagram_channel &channel, const secret_key &fleetKey,
                   membership::membership_view &members, std::uint16_t port, std::string duty,
                   const local_metrics &localMetrics, relay::unit_quota &quota, window_reader currentWindow,
                   std::size_t maxSingleLevelNodes = max_single_level_nodes);

    /// Starts to listen for messages, sends the first report and schedules the following ones.
    void start();

    /// Sends the present numbers once more, out of turn. To be called last before the process ends.
    void reportFinally();

    /// Publishes that this node holds the duty under a fencing token. The other nodes then report to it.
    void announceHolder(std::uint64_t fencingToken);

    /// Returns true while at least one other node replies as a collector.
    bool hasRemoteCollector() const
    {
        return m_hasRemoteCollector;
    }

    /// Returns the load that the other nodes place on an upstream, in calls; 0 if no totals are available.
    double remoteLoad(const std::string &upstream) const;

    /// Returns the sums of the other nodes for the speed of an upstream, empty if none are known.
    relay::remote_speed remoteSpeed(const std::string &upstream) const;

    /// Returns the aggregate of all reports that this node received, its own included.
    const fleet_aggregator &aggregator() const
    {
        return m_aggregator;
    }

    /// Returns the time between two reports of this node.
    duration interval() const
    {
        return m_interval;
    }

    /// Returns the average age of the reports in the totals: they wait at each collector on the way until it
    /// sends its next message.
    duration reportAge() const
    {
        return (m_topology.isTwoLevel ? 3 : 2) * m_interval / 2 + aggregate_delivery_delay;
    }

    /// Returns the longest time until a report reaches the holder of the duty, if no datagram is lost.
    duration reportDelay() const
    {
        return (m_topology.isTwoLevel ? 2 : 1) * m_interval;
    }

    /// Returns the fraction of the nodes that stopped reporting without leaving, out of `nodeCount`.
    double silentFraction(std::size_t nodeCount) const;

    /// Returns the number of bytes sent since the start, without UDP and IP headers.
    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    struct collector
    {
        std::uint64_t round = 0;
        time_point lastTotalsAt{};
        std::uint64_t silentNodes = 0;
        std::map<metric_key, std::uint64_t> runningTotals;
        /// Hashed, because it is read for each upstream of each call.
        std::unordered_map<std::string, std::uint64_t> loads;
        std::unordered_map<std::string, relay::speed_sums> slowdowns;
    };
    struct known_speed
    {
        relay::speed_sums sums;
        time_point receivedAt{};
    };

    void runReportRound();
    void receive(const endpoint &from, std::string_view datagram);
    void receiveReport(const fleet_message &report, const endpoint &from);
    void receiveRunsOfEndedNode(const fleet_message &message);
    void receiveDomainSums(const fleet_message &message);
    void sendReports(std::int64_t window);
    void sendRunsOfEndedNodes(std::int64_t window);
    void sendDomainSums(std::int64_t window);
    void markGoneNodes();
    void applyTotals(membership::incarnation from, std::uint64_t round,
                     const std::vector<metric_sample> &metricSamples);
    void applySpeed(const metric_sample &sample);
    void applyRunningTotal(collector &source, const metric_sample &sample, bool isActive) const;
    void sendTo(const membership::member &to, const fleet_message &message);
    void sendTo(const endpoint &to, const fleet_message &message);
    void updateTopology();
    void selectActiveCollector();

    scheduler &m_tasks;
    membership::datagram_channel &m_channel;
    fleet_message_codec m_codec;
    membership::membership_view &m_members;
    std::uint16_t m_port;
    std::string m_duty;
    const local_metrics &m_localMetrics;
    relay::unit_quota &m_quota;
    window_reader m_currentWindow;
    std::size_t m_maxSingleLevelNodes;
    report_topology m_topology;
    std::set<membership::incarnation> m_lastCollectors; ///< of the previous report round
    fleet_aggregator m_aggregator;
    std::uint64_t m_round = 0;
    std::uint64_t m_bytesSent = 0;
    std::map<membership::incarnation, collector> m_collectors;
    /// Sent in turn over several rounds, and kept when another collector is used.
    std::unordered_map<std::string, known_speed> m_speeds;
    const collector *m_activeCollector = nullptr; ///< the collector whose totals are used
    bool m_hasRemoteCollector = false;
    duration m_interval = min_report_interval;
};

} // namespace ivypier::fleet
