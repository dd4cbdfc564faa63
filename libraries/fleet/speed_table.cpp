#include "fleet/speed_table.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>

namespace ivypier::fleet {

std::uint64_t speedRounds(std::size_t upstreams)
{
    return std::max<std::uint64_t>(min_speed_rounds,
                                   (upstreams + max_speeds_per_message - 1) / max_speeds_per_message);
}

bool isSpeedDue(const std::string &name, std::uint64_t round, std::uint64_t rounds)
{
    return hash64(name) % rounds == round % rounds;
}

metric_sample toSample(metric_kind kind, const std::string &name, const relay::speed_sums &sums)
{
    return {kind, name, std::llround(sums.expected), static_cast<std::uint64_t>(std::llround(sums.observed))};
}

relay::speed_sums toSums(const metric_sample &sample)
{
    return {static_cast<double>(std::max<std::int64_t>(sample.window, 0)), static_cast<double>(sample.value)};
}

speed_table::speed_table(const clock &time)
    : m_time(time)
{
}

void speed_table::subtract(totals_by_name &from, const std::string &name, const relay::speed_sums &sums)
{
    const auto found = from.find(name);
    if (found == from.end())
        return;
    // The sums are whole numbers, so that nothing remains of sums that were added and subtracted.
    found->second += sums * -1.0;
    if (found->second.expected <= 0.0 && found->second.observed <= 0.0)
        from.erase(found);
}

void speed_table::put(membership::incarnation sender, const metric_sample &sample)
{
    const bool isSteady = sample.kind == metric_kind::upstream_speed;
    sender_state &state = m_senders[sender];
    totals_by_name &totals = isSteady ? m_steady : m_recent;
    stored_sums &stored = (isSteady ? state.steady : state.recent)[sample.name];
    subtract(totals, sample.name, stored.sums);
    stored = {toSums(sample), m_time.now()};
    totals[sample.name] += stored.sums;
}

void speed_table::dropSlowdowns(membership::incarnation sender)
{
    const auto found = m_senders.find(sender);
    if (found == m_senders.end())
        return;
    for (const auto &[name, each] : found->second.recent)
        subtract(m_recent, name, each.sums);
    found->second.recent.clear();
}

void speed_table::drop(membership::incarnation sender)
{
    dropSlowdowns(sender);
    const auto found = m_senders.find(sender);
    if (found == m_senders.end())
        return;
    for (const auto &[name, each] : found->second.steady)
        subtract(m_steady, name, each.sums);
    m_senders.erase(found);
}

void speed_table::expire()
{
    for (auto &[sender, state] : m_senders) {
        std::erase_if(state.steady, [&](const auto &each) {
            const bool isOld = m_time.now() - each.second.receivedAt > speed_retention;
            if (isOld)
                subtract(m_steady, each.first, each.second.sums);
            return isOld;
        });
    }
}

void speed_table::clear()
{
    m_senders.clear();
    m_steady.clear();
    m_recent.clear();
}

std::vector<metric_sample> speed_table::samplesOf(const totals_by_name &steady, const totals_by_name &recent,
                                                  const sender_state &excluded, std::uint64_t round)
{
    std::vector<metric_sample> result;
    const auto append = [&](metric_kind kind, const std::string &name, relay::speed_sums sums,
                            const sums_by_name &without) {
        if (const auto part = without.find(name); part != without.end())
            sums += part->second.sums * -1.0;
        if (sums.observed >= 1.0)
            result.push_back(toSample(kind, name, sums));
    };
    const std::uint64_t rounds = speedRounds(steady.size());
    for (const auto &[name, sums] : steady) {
        if (isSpeedDue(name, round, rounds))
            append(metric_kind::upstream_speed, name, sums, excluded.steady);
    }
    for (const auto &[name, sums] : recent)
        append(metric_kind::upstream_slowdown, name, sums, excluded.recent);
    return result;
}

std::vector<metric_sample> speed_table::totals(std::uint64_t round) const
{
    return samplesOf(m_steady, m_recent, {}, round);
}

std::vector<metric_sample> speed_table::totalsExcluding(membership::incarnation sender, std::uint64_t round,
                                                        const speed_table &own, const speed_table &domains)
{
    static const sender_state unknown;
    const auto found = own.m_senders.find(sender);
    const sender_state &excluded = found == own.m_senders.end() ? unknown : found->second;
    if (domains.m_senders.empty())
        return samplesOf(own.m_steady, own.m_recent, excluded, round);
    totals_by_name steady = own.m_steady;
    totals_by_name recent = own.m_recent;
    for (const auto &[name, sums] : domains.m_steady)
        steady[name] += sums;
    for (const auto &[name, sums] : domains.m_recent)
        recent[name] += sums;
    return samplesOf(steady, recent, excluded, round);
}

} // namespace ivypier::fleet
