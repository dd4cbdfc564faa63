#include "fleet/fleet_exchange.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>

namespace ivypier::fleet {

namespace {

/// A collector that has not replied for this many report intervals is not used.
constexpr int max_missed_intervals = 3;
/// How long the state of a collector that no longer replies is kept.
constexpr duration collector_retention = std::chrono::seconds(30);
/// Number of past usage windows whose runs are kept: two minutes with windows of five seconds.
constexpr std::int64_t retained_windows = 24;

} // namespace

fleet_exchange::fleet_exchange(scheduler &tasks, membership::datagram_channel &channel,
                               const secret_key &fleetKey, membership::membership_view &members,
                               std::uint16_t port, std::string duty, const local_metrics &localMetrics,
                               relay::unit_quota &quota, window_reader currentWindow)
    : m_tasks(tasks)
    , m_channel(channel)
    , m_codec(fleetKey)
    , m_members(members)
    , m_port(port)
    , m_duty(std::move(duty))
    , m_localMetrics(localMetrics)
    , m_quota(quota)
    , m_currentWindow(std::move(currentWindow))
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

duration fleet_exchange::interval() const
{
    const auto nodes = static_cast<std::int64_t>(m_members.members().size());
    return std::max<duration>(min_report_interval, nodes * report_interval_per_node);
}

std::vector<membership::member> fleet_exchange::selectReportTargets() const
{
    std::vector<membership::member> candidates;
    for (const membership::member &each : m_members.members()) {
        if (each.acceptsWork())
            candidates.push_back(each);
    }
    const auto weight
        = [this](const membership::member &each) { return rendezvousWeight(m_duty, each.name); };
    std::sort(candidates.begin(), candidates.end(),
              [&](const membership::member &left, const membership::member &right) {
                  return std::pair(weight(right), left.id) < std::pair(weight(left), right.id);
              });
    const auto holder = m_members.findFact("holder/" + m_duty);
    const membership::incarnation holderId = holder ? fromHex(holder->value) : 0;
    std::vector<membership::member> targets;
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        if (rank < collector_count || candidates[rank].id == holderId)
            targets.push_back(candidates[rank]);
    }
    return targets;
}

void fleet_exchange::runReportRound()
{
    m_interval = interval();
    m_tasks.after(m_interval, [this] { runReportRound(); });
    const std::int64_t window = m_currentWindow();
    const membership::incarnation self = m_members.self().id;
    const fleet_message report{fleet_message_kind::report, self, ++m_round, true,
                               m_localMetrics.collect(m_round, window)};
    m_aggregator.dropWindowsBefore(window - retained_windows);
    m_aggregator.addReport(self, m_round, report.metricSamples);
    m_rankedCollectors.clear();
    for (const membership::member &each : selectReportTargets()) {
        m_rankedCollectors.push_back(each.id);
        if (each.id == self)
            applyTotals(self, m_round, m_aggregator.totalsExcluding(self));
        else
            sendTo({each.address.host, m_port}, report);
    }
    std::erase_if(m_collectors, [&](const auto &each) {
        return m_tasks.now() - each.second.lastTotalsAt > collector_retention;
    });
    selectActiveCollector();
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
    if (message.kind == fleet_message_kind::totals) {
        applyTotals(message.sender, message.round, message.metricSamples);
        return;
    }
    m_aggregator.addReport(message.sender, message.round, message.metricSamples);
    if (message.isLast)
        sendTotals(message, from);
}

void fleet_exchange::sendTotals(const fleet_message &report, const endpoint &to)
{
    sendTo(to,
           {fleet_message_kind::totals, m_members.self().id, report.round, true,
            m_aggregator.totalsExcluding(report.sender)});
}

void fleet_exchange::selectActiveCollector()
{
    m_activeCollector = nullptr;
    m_hasRemoteCollector = false;
    for (const membership::incarnation each : m_rankedCollectors) {
        const auto found = m_collectors.find(each);
        if (found == m_collectors.end()
            || m_tasks.now() - found->second.lastTotalsAt > max_missed_intervals * m_interval)
            continue;
        if (!m_activeCollector)
            m_activeCollector = &found->second;
        m_hasRemoteCollector = m_hasRemoteCollector || each != m_members.self().id;
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
    if (round > source.round)
        source.loads.clear();
    source.round = round;
    source.lastTotalsAt = now;
    selectActiveCollector();
    const bool isActive = continues && m_activeCollector == &source;
    for (const metric_sample &each : metricSamples) {
        if (each.kind == metric_kind::load)
            source.loads[each.name] = each.value;
        else if (each.kind == metric_kind::consumed)
            applyConsumption(source, each, isActive);
    }
}

void fleet_exchange::applyConsumption(collector &source, const metric_sample &sample, bool isActive) const
{
    std::uint64_t &last = source.consumed[sample.name];
    if (isActive && sample.value > last)
        m_quota.recordRemoteUsage(sample.name, static_cast<double>(sample.value - last));
    last = sample.value;
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
