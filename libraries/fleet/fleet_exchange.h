#pragma once

#include "base/scheduler.h"
#include "fleet/fleet_aggregator.h"
#include "fleet/fleet_message.h"
#include "fleet/local_metrics.h"
#include "membership/datagram_channel.h"
#include "membership/membership_view.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace ivypier::fleet {

/// Nodes that add up what all nodes do: as many as watch the lease of a duty, so that a new holder knows what
/// was told before.
inline constexpr std::size_t collector_count = 3;

/// The way of the news and the spread of its age.
inline constexpr duration aggregate_delivery_delay = std::chrono::milliseconds(300);

/// Between two reports of a node: short enough for limits to be shared, in a large fleet long enough for a
/// collector to take 250 reports a second at most.
inline constexpr duration min_report_interval = std::chrono::milliseconds(400);
/// FIXME: above some 500 nodes limits are shared too seldom; collectors of each failure domain are missing.
inline constexpr duration report_interval_per_node = std::chrono::milliseconds(4);

/// Tells what this node does to a few nodes that add it up, and learns the sums from them.
///
/// Each node reports to the first `collector_count` members by the rendezvous hash of a duty, and to the
/// duty's holder; whoever gets a report adds it up and answers with the sums over all others. The sums of the
/// first collector that answers count. Docs: docs/design/fleet-metricSamples.md.
class fleet_exchange
{
public:
    using window_reader = std::function<std::int64_t()>;

    /// `port` is that of the exchange on every node; `window` gives the current window of usage.
    fleet_exchange(scheduler &tasks, membership::datagram_channel &channel, const secret_key &fleetKey,
                   membership::membership_view &members, std::uint16_t port, std::string duty,
                   const local_metrics &localMetrics, relay::unit_quota &quota, window_reader window);

    /// Begins to runReportRound and to listen.
    void start();

    /// This node holds the duty under a fencing number: the others report to it from now on.
    void announceHolder(std::uint64_t fencing);

    /// True while another node answers as a collector.
    bool hasRemoteCollector() const
    {
        return m_hasRemoteCollector;
    }

    /// Load of other nodes at an upstream, in calls.
    double remoteLoad(const std::string &upstream) const;

    /// What was told to this node.
    const fleet_aggregator &aggregator() const
    {
        return m_aggregator;
    }

    /// Between two reports of this node.
    duration interval() const;

    /// The age of what the others told last, on average: they report, and the sendTotals to the next report
    /// brings it.
    duration aggregateAge() const
    {
        return m_interval + aggregate_delivery_delay;
    }

    /// Bytes sent so far, without the headers of UDP and IP.
    std::uint64_t bytesSent() const
    {
        return m_bytesSent;
    }

private:
    struct collector
    {
        std::uint64_t round = 0;
        time_point lastTotalsAt{};
        std::map<std::string, std::uint64_t> consumed;
        std::unordered_map<std::string, std::uint64_t> loads; ///< looked up for each upstream of each call
    };

    void runReportRound();
    void receive(const endpoint &from, std::string_view datagram);
    void sendTotals(const fleet_message &report, const endpoint &to);
    void applyTotals(membership::incarnation from, std::uint64_t round,
                     const std::vector<metric_sample> &metricSamples);
    void applyConsumption(collector &from, const metric_sample &number, bool counts) const;
    void sendTo(const endpoint &to, const fleet_message &content);
    std::vector<membership::member> selectReportTargets() const;
    void selectActiveCollector();

    scheduler &m_tasks;
    membership::datagram_channel &m_channel;
    fleet_message_codec m_codec;
    membership::membership_view &m_members;
    std::uint16_t m_port;
    std::string m_duty;
    const local_metrics &m_localMetrics;
    relay::unit_quota &m_quota;
    window_reader m_window;
    fleet_aggregator m_aggregator;
    std::uint64_t m_round = 0;
    std::uint64_t m_bytesSent = 0;
    std::vector<membership::incarnation> m_rankedCollectors;
    std::map<membership::incarnation, collector> m_collectors;
    const collector *m_activeCollector = nullptr; ///< the collector whose sums count
    bool m_hasRemoteCollector = false;
    duration m_interval = min_report_interval;
};

} // namespace ivypier::fleet
