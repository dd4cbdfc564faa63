#include "fleet/fleet_exchange.h"

#include "base/hash.h"
#include "base/log_event.h"

#include <algorithm>

namespace ivypier::fleet {

namespace {

/// A collector that did not answer for so many intervals is not believed.
constexpr int silent_intervals = 3;
/// Collectors of long ago are forgotten.
constexpr duration collector_kept = std::chrono::seconds(30);
/// Windows of which runs are kept: two minutes of windows of five seconds.
constexpr std::int64_t kept_windows = 24;

} // namespace

fleet_exchange::fleet_exchange(scheduler &tasks, membership::datagram_channel &channel,
                               const secret_key &fleetKey, membership::membership_view &members,
                               std::uint16_t port, std::string duty, const own_numbers &own,
                               relay::unit_quota &quota, window_reader window)
    : m_tasks(tasks)
    , m_channel(channel)
    , m_codec(fleetKey)
    , m_members(members)
    , m_port(port)
    , m_duty(std::move(duty))
    , m_own(own)
    , m_quota(quota)
    , m_window(std::move(window))
    , m_ledger(tasks)
{
}

void fleet_exchange::start()
{
    m_channel.onReceive([this](const endpoint &from, std::string_view datagram) { receive(from, datagram); });
    tell();
}

void fleet_exchange::announceHolder(std::uint64_t fencing)
{
    const std::string key = "holder/" + m_duty;
    const auto known = m_members.findFact(key);
    if (!known || known->version < fencing)
        m_members.publish({key, fencing, toHex(m_members.self().id)});
}

duration fleet_exchange::interval() const
{
    const auto nodes = static_cast<std::int64_t>(m_members.members().size());
    return std::max<duration>(least_report_interval, nodes * report_interval_per_node);
}

std::vector<membership::member> fleet_exchange::ranked() const
{
    std::vector<membership::member> all;
    for (const membership::member &each : m_members.members()) {
        if (each.acceptsWork())
            all.push_back(each);
    }
    const auto weight
        = [this](const membership::member &each) { return rendezvousWeight(m_duty, each.name); };
    std::sort(all.begin(), all.end(), [&](const membership::member &left, const membership::member &right) {
        return std::pair(weight(right), left.id) < std::pair(weight(left), right.id);
    });
    const auto holder = m_members.findFact("holder/" + m_duty);
    const membership::incarnation holding = holder ? fromHex(holder->value) : 0;
    std::vector<membership::member> chosen;
    for (std::size_t rank = 0; rank < all.size(); ++rank) {
        if (rank < collector_count || all[rank].id == holding)
            chosen.push_back(all[rank]);
    }
    return chosen;
}

void fleet_exchange::tell()
{
    m_interval = interval();
    m_tasks.after(m_interval, [this] { tell(); });
    const std::int64_t window = m_window();
    const membership::incarnation self = m_members.self().id;
    const telling report{telling_kind::report, self, ++m_round, true, m_own.collect(m_round, window)};
    m_ledger.forgetBefore(window - kept_windows);
    m_ledger.take(self, m_round, report.numbers);
    m_rankedCollectors.clear();
    for (const membership::member &each : ranked()) {
        m_rankedCollectors.push_back(each.id);
        if (each.id == self)
            takeTotals(self, m_round, m_ledger.totalsWithout(self));
        else
            sendTo({each.address.host, m_port}, report);
    }
    std::erase_if(m_collectors,
                  [&](const auto &each) { return m_tasks.now() - each.second.heardAt > collector_kept; });
    chooseBelieved();
}

void fleet_exchange::sendTo(const endpoint &to, const telling &content)
{
    for (const std::string &datagram : m_codec.encode(content)) {
        m_bytesSent += datagram.size();
        m_channel.send(to, datagram);
    }
}

void fleet_exchange::receive(const endpoint &from, std::string_view datagram)
{
    const outcome<telling> decoded = m_codec.decode(datagram);
    if (!decoded) {
        log_event(log_level::warning, "fleet.datagram_dropped")
            .with("from", from.text())
            .with("reason", decoded.error().message)
            .write();
        return;
    }
    const telling &content = decoded.value();
    if (content.kind == telling_kind::totals) {
        takeTotals(content.sender, content.round, content.numbers);
        return;
    }
    m_ledger.take(content.sender, content.round, content.numbers);
    if (content.isLast)
        answer(content, from);
}

void fleet_exchange::answer(const telling &report, const endpoint &to)
{
    sendTo(to,
           {telling_kind::totals, m_members.self().id, report.round, true,
            m_ledger.totalsWithout(report.sender)});
}

void fleet_exchange::chooseBelieved()
{
    m_believed = nullptr;
    m_hearsOthers = false;
    for (const membership::incarnation each : m_rankedCollectors) {
        const auto found = m_collectors.find(each);
        if (found == m_collectors.end()
            || m_tasks.now() - found->second.heardAt > silent_intervals * m_interval)
            continue;
        if (!m_believed)
            m_believed = &found->second;
        m_hearsOthers = m_hearsOthers || each != m_members.self().id;
    }
}

void fleet_exchange::takeTotals(membership::incarnation from, std::uint64_t round,
                                const std::vector<told_number> &numbers)
{
    collector &known = m_collectors[from];
    if (round < known.round)
        return;
    const time_point now = m_tasks.now();
    // After a pause only the sums are noted: what was taken meanwhile was heard from another collector.
    const bool continues = known.round > 0 && now - known.heardAt <= told_lifetime;
    if (round > known.round)
        known.loads.clear();
    known.round = round;
    known.heardAt = now;
    chooseBelieved();
    const bool counts = continues && m_believed == &known;
    for (const told_number &each : numbers) {
        if (each.kind == number_kind::load)
            known.loads[each.name] = each.value;
        else if (each.kind == number_kind::taken)
            takeTaken(known, each, counts);
    }
}

void fleet_exchange::takeTaken(collector &from, const told_number &number, bool counts) const
{
    std::uint64_t &last = from.taken[number.name];
    if (counts && number.value > last)
        m_quota.recordRemoteUsage(number.name, static_cast<double>(number.value - last));
    last = number.value;
}

double fleet_exchange::othersLoad(const std::string &upstream) const
{
    if (!m_believed)
        return 0.0;
    const auto found = m_believed->loads.find(shortName(upstream));
    return found == m_believed->loads.end() ? 0.0 : static_cast<double>(found->second) / load_units_per_call;
}

} // namespace ivypier::fleet
