#include "fleet/permit_ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ivypier::fleet {

namespace {

/// Time over which refusals are averaged.
constexpr duration refusal_memory = std::chrono::seconds(1);

} // namespace

permit_ledger::permit_ledger(const clock &time, random_source &randomness)
    : m_time(time)
    , m_random(randomness)
{
}

double permit_ledger::rateOf(const bucket &of) const
{
    const bool isTakingOver = m_time.now() - of.keptSince < handover_time;
    return of.callsPerSecond * (isTakingOver ? handover_share : 1.0);
}

void permit_ledger::refill(bucket &of) const
{
    const double elapsed = seconds(m_time.now() - std::exchange(of.refilledAt, m_time.now()));
    const double capacity = 1.0 + saved_seconds * of.callsPerSecond;
    of.permits = std::min(capacity, of.permits + elapsed * rateOf(of));
    of.recentRefusals *= std::exp(-elapsed / seconds(refusal_memory));
}

relay::permit_decision permit_ledger::request(const std::string &upstream, double callsPerSecond,
                                              duration statedAgo)
{
    forgetIdle();
    const time_point now = m_time.now();
    auto [found, isNew] = m_buckets.try_emplace(upstream);
    bucket &of = found->second;
    if (isNew || now - of.expectedAt > handover_time)
        startHandover(of);
    of.expectedAt = now;
    if (isNew || now - statedAgo > of.statedAt) {
        of.callsPerSecond = callsPerSecond;
        of.statedAt = now - statedAgo;
        of.answersWithout = 0;
    }
    if (of.callsPerSecond == 0.0)
        return {true, {}, {}};
    refill(of);
    if (of.permits < 1.0)
        return refuse(of);
    of.permits -= 1.0;
    return {true, {}, {}};
}

void permit_ledger::startHandover(bucket &of) const
{
    of.keptSince = m_time.now();
    of.refilledAt = m_time.now();
    of.permits = 0.0;
}

relay::permit_decision permit_ledger::refuse(bucket &of) const
{
    of.recentRefusals += 1.0;
    const double held = of.recentRefusals / max_refusals_per_second;
    const double next = (1.0 - of.permits) / rateOf(of) + (held > 0.1 ? held * m_random.uniform() : 0.0);
    // Spread over the time that the upstream takes for as many calls as were refused lately.
    const double spread = of.recentRefusals / of.callsPerSecond * m_random.uniform();
    const duration returnAfter = std::min<duration>(fromSeconds(next + spread), max_return_after);
    of.expectedAt = m_time.now() + fromSeconds(next);
    return {false, fromSeconds(next), returnAfter};
}

void permit_ledger::recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond)
{
    const auto found = m_buckets.find(upstream);
    if (found == m_buckets.end())
        return;
    bucket &of = found->second;
    if (callsPerSecond) {
        refill(of);
        of.callsPerSecond = *callsPerSecond;
        of.statedAt = m_time.now();
        of.answersWithout = 0;
        return;
    }
    ++of.answersWithout;
    const bool isStated
        = of.answersWithout < answers_to_end || m_time.now() - of.statedAt < statement_lifetime;
    if (of.callsPerSecond == 0.0 || isStated)
        return;
    of.callsPerSecond = 0.0;
    of.statedAt = m_time.now();
}

std::optional<double> permit_ledger::limit(const std::string &upstream) const
{
    const auto found = m_buckets.find(upstream);
    if (found == m_buckets.end() || found->second.callsPerSecond == 0.0)
        return std::nullopt;
    return found->second.callsPerSecond;
}

void permit_ledger::forgetIdle()
{
    std::erase_if(m_buckets,
                  [&](const auto &each) { return m_time.now() - each.second.expectedAt > idle_retention; });
}

} // namespace ivypier::fleet
