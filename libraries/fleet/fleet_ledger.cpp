#include "fleet/fleet_ledger.h"

#include <algorithm>
#include <utility>

namespace ivypier::fleet {

namespace {

/// Between two looks for nodes that fell silent.
constexpr duration expiry_interval = std::chrono::seconds(1);
/// A node that is gone is remembered for as long as it may come back from a pause.
constexpr duration node_kept = std::chrono::minutes(10);

} // namespace

fleet_ledger::fleet_ledger(const clock &time)
    : m_time(time)
{
}

void fleet_ledger::take(membership::incarnation node, std::uint64_t round,
                        const std::vector<told_number> &numbers)
{
    const time_point now = m_time.now();
    if (now - m_toldAt > told_lifetime) {
        // Nobody told this node anything for a while: what they took meanwhile is known elsewhere.
        m_beganAt = now;
        m_nodes.clear();
        m_loads.clear();
    }
    m_toldAt = now;
    expire();
    told_by_node &entry = m_nodes.try_emplace(node, told_by_node{.firstRound = round}).first->second;
    if (round < entry.round)
        return;
    if (round > entry.round) {
        dropLoads(entry);
        entry.work.clear();
        entry.round = round;
    }
    entry.toldAt = now;
    for (const told_number &each : numbers)
        takeNumber(node, entry, each);
}

void fleet_ledger::takeNumber(membership::incarnation node, told_by_node &entry, const told_number &number)
{
    switch (number.kind) {
    case number_kind::taken:
        takeUnits(entry, number);
        return;
    case number_kind::runs: {
        std::uint64_t &known = m_runs[number.window][node][number.name];
        known = std::max(known, number.value);
        return;
    }
    case number_kind::load:
        entry.loads[number.name] += number.value;
        m_loads[number.name] += number.value;
        return;
    case number_kind::work:
        entry.work[number.name].tokensPerSecond = static_cast<double>(number.value);
        return;
    case number_kind::speed:
        entry.work[number.name].engineTokensPerSecond = static_cast<double>(number.value);
        return;
    }
}

void fleet_ledger::takeUnits(told_by_node &entry, const told_number &number)
{
    // What nodes took before this ledger began is known elsewhere. A node that is met later started just now:
    // all that it took counts.
    const bool meetsOldNode = entry.round == entry.firstRound && m_time.now() - m_beganAt < told_lifetime;
    std::uint64_t &last = entry.taken.try_emplace(number.name, meetsOldNode ? number.value : 0).first->second;
    if (number.value <= last)
        return;
    m_taken[number.name] += number.value - last;
    entry.counted[number.name] += number.value - last;
    last = number.value;
}

void fleet_ledger::dropLoads(told_by_node &entry)
{
    for (const auto &[name, count] : std::exchange(entry.loads, {})) {
        const auto found = m_loads.find(name);
        if (found == m_loads.end())
            continue;
        found->second -= std::min(found->second, count);
        if (found->second == 0)
            m_loads.erase(found);
    }
}

void fleet_ledger::expire()
{
    const time_point now = m_time.now();
    if (now - m_expiredAt < expiry_interval)
        return;
    m_expiredAt = now;
    for (auto &[node, entry] : m_nodes) {
        if (now - entry.toldAt <= told_lifetime)
            continue;
        dropLoads(entry);
        entry.work.clear();
    }
    std::erase_if(m_nodes, [&](const auto &each) { return now - each.second.toldAt > node_kept; });
}

std::vector<told_number> fleet_ledger::totalsWithout(membership::incarnation node) const
{
    static const told_by_node nothing;
    const auto found = m_nodes.find(node);
    const told_by_node &own = found == m_nodes.end() ? nothing : found->second;
    std::vector<told_number> result;
    const auto add = [&](number_kind kind, const numbers_by_name &sums, const numbers_by_name &without) {
        for (const auto &[name, sum] : sums) {
            const auto mine = without.find(name);
            const std::uint64_t others = sum - (mine == without.end() ? 0 : std::min(sum, mine->second));
            if (others > 0)
                result.push_back({kind, name, 0, others});
        }
    };
    add(number_kind::taken, m_taken, own.counted);
    add(number_kind::load, m_loads, own.loads);
    return result;
}

relay::run_counts fleet_ledger::runsIn(std::int64_t window) const
{
    relay::run_counts sum;
    const auto found = m_runs.find(window);
    if (found == m_runs.end())
        return sum;
    for (const auto &[node, counts] : found->second) {
        for (const auto &[account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

std::map<std::string, relay::service_work> fleet_ledger::work() const
{
    std::map<std::string, relay::service_work> result;
    std::map<std::string, std::vector<double>> speeds;
    for (const auto &[node, entry] : m_nodes) {
        if (m_time.now() - entry.toldAt > told_lifetime)
            continue;
        for (const auto &[service, work] : entry.work) {
            result[service].tokensPerSecond += work.tokensPerSecond;
            if (work.engineTokensPerSecond > 0.0)
                speeds[service].push_back(work.engineTokensPerSecond);
        }
    }
    for (auto &[service, samples] : speeds) {
        const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
        std::nth_element(samples.begin(), middle, samples.end());
        result[service].engineTokensPerSecond = *middle;
    }
    return result;
}

void fleet_ledger::forgetBefore(std::int64_t window)
{
    m_runs.erase(m_runs.begin(), m_runs.lower_bound(window));
}

} // namespace ivypier::fleet
