#include "fleet/fleet_exchange.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

namespace {

/// A collector that has not replied for this many report intervals is not used.
constexpr int max_missed_intervals = 2;
/// How long the state of a collector that no longer replies is kept.
constexpr duration collector_retention = std::chrono::seconds(30);
/// How long the speed of an upstream is used that no collector states any more.
constexpr duration speed_knowledge_retention = std::chrono::seconds(60);
/// Number of past usage windows whose runs are kept: two minutes with windows of five seconds.
constexpr std::int64_t retained_windows = 24;

bool isOfUpstream(metric_kind kind)
{
    return kind == metric_kind::load || kind == metric_kind::upstream_speed
        || kind == metric_kind::upstream_slowdown;
}

} // namespace

fleet_exchange::fleet_exchange(scheduler &tasks, membership::datagram_channel &channel,
                               const secret_key &fleetKey, membership::membership_view &members,
                               std::uint16_t port, std::string duty, const local_metrics &localMetrics,
                               relay::unit_quota &quota, window_reader currentWindow,
                               std::size_t maxSingleLevelNodes)
    : m_tasks(tasks)
    , m_channel(channel)
    , m_codec(fleetKey)
    , m_members(members)
    , m_port(port)
    , m_duty(std::move(duty))
    , m_localMetrics(localMetrics)
    , m_quota(quota)
    , m_currentWindow(std::move(currentWindow))
    , m_maxSingleLevelNodes(maxSingleLevelNodes)
    , m_aggregator(tasks)
{
}

void fleet_exchange::start()
{
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
    runReportRound();
}

void fleet_exchange::announceHolder(std::uint64_t fencingToken)
{
    const std::string key = "holder/" + m_duty;
    const auto published = m_members.findFact(key);
    if (!published || published->version < fencingToken)
        m_members.publish({key, fencingToken, toHex(m_members.self().id)});
}

void fleet_exchange::updateTopology()
{
    const auto holder = m_members.findFact("holder/" + m_duty);
    m_topology
        = computeTopology(m_members, m_duty, holder ? fromHex(holder->value) : 0, m_maxSingleLevelNodes);
    m_interval = std::max<duration>(
        min_report_interval, static_cast<std::int64_t>(m_topology.groupSize) * report_interval_per_node);
}

void fleet_exchange::runReportRound()
{
    updateTopology();
    m_tasks.after(m_interval, [this] { runReportRound(); });
    const std::int64_t window = m_currentWindow();
    m_aggregator.dropWindowsBefore(window - retained_windows);
    markGoneNodes();
    std::erase_if(m_collectors, [&](const auto &each) {
        return m_tasks.now() - each.second.lastTotalsAt > collector_retention;
    });
    std::erase_if(m_speeds, [&](const auto &each) {
        return m_tasks.now() - each.second.receivedAt > speed_knowledge_retention;
    });
    selectActiveCollector();
    sendReports(window);
    sendDomainSums(window);
    sendRunsOfEndedNodes(window);
    selectActiveCollector();
}

void fleet_exchange::reportFinally()
{
    sendReports(m_currentWindow());
}

void fleet_exchange::sendReports(std::int64_t window)
{
    const membership::member self = m_members.self();
    fleet_message report{
        fleet_message_kind::report, self.id, ++m_round, true, true, m_localMetrics.collect(m_round, window)};
    m_aggregator.addReport(self.id, m_round, report.metricSamples, self.failureDomain);
    for (const membership::member &each : m_topology.collectors) {
        const auto known = m_collectors.find(each.id);
        // Loads are the larger part of the totals, and only those of the collector in use are read.
        report.needsLoads
            = !m_activeCollector || (known != m_collectors.end() && &known->second == m_activeCollector);
        if (each.id == self.id)
            applyTotals(self.id, m_round, m_aggregator.totalsExcluding(self.id, m_round));
        else
            sendTo(each, report);
    }
}

void fleet_exchange::sendRunsOfEndedNodes(std::int64_t window)
{
    const membership::incarnation self = m_members.self().id;
    std::set<membership::incarnation> collectors;
    for (const membership::member &each : m_topology.collectors)
        collectors.insert(each.id);
    const bool isChanged = std::exchange(m_lastCollectors, collectors) != collectors;
    // A new collector has not received the reports of nodes that ended before.
    const bool isDue = isChanged || m_round % local_metrics::rounds_per_resend == 0;
    if (!isDue || !collectors.contains(self))
        return;
    std::set<membership::incarnation> liveNodes;
    for (const membership::member &each : m_members.members())
        liveNodes.insert(each.id);
    const std::int64_t firstWindow = window + 1 - local_metrics::reported_windows;
    for (auto &[node, runs] : m_aggregator.runsByNode(firstWindow, liveNodes)) {
        const fleet_message message{
            fleet_message_kind::ended_node, node, m_round, true, false, std::move(runs)};
        for (const membership::member &each : m_topology.collectors) {
            if (each.id != self)
                sendTo(each, message);
        }
    }
}

void fleet_exchange::sendDomainSums(std::int64_t window)
{
    if (m_topology.sumsTargets.empty())
        return;
    const fleet_message message{fleet_message_kind::domain_sums,
                                m_members.self().id,
                                m_round,
                                true,
                                false,
                                m_aggregator.ownSums(local_metrics::firstReportedWindow(m_round, window),
                                                     m_topology.isLeadCollector, m_round)};
    for (const membership::member &each : m_topology.sumsTargets)
        sendTo(each, message);
}

void fleet_exchange::markGoneNodes()
{
    const std::vector<membership::incarnation> silentNodes = m_aggregator.silentNodes();
    if (silentNodes.empty())
        return;
    std::set<std::string> liveNames;
    for (const membership::member &each : m_members.members()) {
        const bool isSilent = std::find(silentNodes.begin(), silentNodes.end(), each.id) != silentNodes.end();
        if (each.acceptsWork() && !isSilent)
            liveNames.insert(each.name);
    }
    for (const membership::incarnation each : silentNodes) {
        const auto known = m_members.find(each);
        const bool hasLeft = !known || known->state == membership::member_state::leaving;
        // A restarted node is a new incarnation under the same name.
        if (hasLeft || liveNames.contains(known->name))
            m_aggregator.markGone(each);
    }
}

double fleet_exchange::silentFraction(std::size_t nodeCount) const
{
    if (!m_activeCollector || nodeCount == 0)
        return 0.0;
    return std::min(static_cast<double>(m_activeCollector->silentNodes) / static_cast<double>(nodeCount),
                    1.0);
}

void fleet_exchange::sendTo(const membership::member &to, const fleet_message &message)
{
    sendTo(endpoint{to.address.host, m_port}, message);
}

void fleet_exchange::sendTo(const endpoint &to, const fleet_message &message)
{
    for (const std::string &datagram : m_codec.encode(message)) {
        m_bytesSent += datagram.size();
        m_channel.send(to, datagram);
    }
}

void fleet_exchange::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<fleet_message> decoded = m_codec.decode(datagram);
    if (!decoded) {
        log_event(log_level::warning, "fleet.datagram_dropped")
            .with("from", from.text())
            .with("reason", decoded.error().message)
            .write();
        return;
    }
    const fleet_message &message = decoded.value();
    switch (message.kind) {
    case fleet_message_kind::report:
        receiveReport(message, from);
        return;
    case fleet_message_kind::totals:
        applyTotals(message.sender, message.round, message.metricSamples);
        return;
    case fleet_message_kind::ended_node:
        receiveRunsOfEndedNode(message);
        return;
    case fleet_message_kind::domain_sums:
        receiveDomainSums(message);
        return;
    }
}

void fleet_exchange::receiveReport(const fleet_message &report, const endpoint &from)
{
    const auto sender = m_members.find(report.sender);
    m_aggregator.addReport(report.sender, report.round, report.metricSamples,
                           sender ? sender->failureDomain : std::string());
    if (!report.isLast)
        return;
    std::vector<metric_sample> totals = m_aggregator.totalsExcluding(report.sender, report.round);
    if (!report.needsLoads)
        std::erase_if(totals, [](const metric_sample &each) { return isOfUpstream(each.kind); });
    sendTo(from,
           {fleet_message_kind::totals, m_members.self().id, report.round, true, report.needsLoads,
            std::move(totals)});
}

void fleet_exchange::receiveRunsOfEndedNode(const fleet_message &message)
{
    // In a fleet with two levels only collectors of the same domain send these.
    const auto ended = m_members.find(message.sender);
    const std::string domain = m_topology.isTwoLevel ? m_members.self().failureDomain : std::string();
    m_aggregator.addRuns(message.sender, message.metricSamples, ended ? ended->failureDomain : domain);
}

void fleet_exchange::receiveDomainSums(const fleet_message &message)
{
    const auto sender = m_members.find(message.sender);
    if (!sender)
        return; // its domain is unknown until the membership knows it
    m_aggregator.addDomainSums(sender->failureDomain, message.sender, message.round, message.metricSamples);
}

void fleet_exchange::selectActiveCollector()
{
    m_activeCollector = nullptr;
    m_hasRemoteCollector = false;
    for (const membership::member &each : m_topology.collectors) {
        const auto found = m_collectors.find(each.id);
        if (found == m_collectors.end()
            || m_tasks.now() - found->second.lastTotalsAt > max_missed_intervals * m_interval)
            continue;
        if (!m_activeCollector)
            m_activeCollector = &found->second;
        // A collector that is alone in its domain hears the others by their domains' sums.
        m_hasRemoteCollector = m_hasRemoteCollector || each.id != m_members.self().id
            || (m_topology.isTwoLevel && m_aggregator.hasCurrentSums());
    }
}

void fleet_exchange::applyTotals(membership::incarnation from, std::uint64_t round,
                                 const std::vector<metric_sample> &metricSamples)
{
    collector &source = m_collectors[from];
    if (round < source.round)
        return;
    const time_point now = m_tasks.now();
    // After a gap the totals only set a new baseline, because another collector has already delivered the
    // consumption of that time.
    const bool continues = source.round > 0 && now - source.lastTotalsAt <= report_lifetime;
    if (round > source.round) {
        source.loads.clear();
        source.slowdowns.clear();
        source.silentNodes = 0;
    }
    source.round = round;
    source.lastTotalsAt = now;
    selectActiveCollector();
    const bool isActive = continues && m_activeCollector == &source;
    for (const metric_sample &each : metricSamples) {
        if (each.kind == metric_kind::load)
            source.loads[each.name] = each.value;
        else if (each.kind == metric_kind::silent_nodes)
            source.silentNodes = each.value;
        else if (each.kind == metric_kind::upstream_slowdown)
            source.slowdowns[each.name] = toSums(each);
        else if (each.kind == metric_kind::upstream_speed)
            applySpeed(each);
        else if (each.kind == metric_kind::consumed || each.kind == metric_kind::refused)
            applyRunningTotal(source, each, isActive);
    }
}

void fleet_exchange::applyRunningTotal(collector &source, const metric_sample &sample, bool isActive) const
{
    std::uint64_t &last = source.runningTotals[{sample.kind, sample.name}];
    if (isActive && sample.value > last) {
        const auto grown = static_cast<double>(sample.value - last);
        if (sample.kind == metric_kind::consumed)
            m_quota.recordRemoteUsage(sample.name, grown);
        else
            m_quota.recordRemoteRefusals(sample.name, grown);
    }
    last = sample.value;
}

void fleet_exchange::applySpeed(const metric_sample &sample)
{
    m_speeds[sample.name] = {toSums(sample), m_tasks.now()};
}

relay::remote_speed fleet_exchange::remoteSpeed(const std::string &upstream) const
{
    const std::string digest = upstreamDigest(upstream);
    relay::remote_speed result;
    if (const auto found = m_speeds.find(digest); found != m_speeds.end())
        result.steady = found->second.sums;
    if (!m_activeCollector)
        return result;
    const auto found = m_activeCollector->slowdowns.find(digest);
    if (found != m_activeCollector->slowdowns.end())
        result.recent = found->second;
    return result;
}

double fleet_exchange::remoteLoad(const std::string &upstream) const
{
    if (!m_activeCollector)
        return 0.0;
    const auto found = m_activeCollector->loads.find(upstreamDigest(upstream));
    return found == m_activeCollector->loads.end() ? 0.0
                                                   : static_cast<double>(found->second) / load_units_per_call;
}

} // namespace ivypier::fleet
