#include "relay/expected_time_selector.h"

#include "base/hash.h"
#include "relay/shared_prefix.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// Reading that a call in progress delays a new call by, in prompt tokens: its prefill is mostly done, but
/// its decoding shares the batch.
constexpr double delay_tokens_per_call = 1000.0;
/// Part of the time for reading a prompt by which each call in progress there is delayed.
constexpr double delayed_part = 0.5;
/// An upstream is skipped in favour of the next one in the ranking when the expected time exceeds that at a
/// mean upstream times `time_bound`, plus the delay of `slack_calls`. The loads of other nodes are up to 1.2
/// s old: choosing the least of several expected times instead made all nodes choose the same upstreams, and
/// read shared parts again 1,447 instead of 720 times in 24 s.
constexpr double time_bound = 1.7;
constexpr double slack_calls = 3.0;
/// Upstreams of a prefix's ranking that are assumed to keep the shared parts.
constexpr std::ptrdiff_t kept_ranks = 2;
/// How often, and from how many upstreams, the mean upstream of a service is computed.
constexpr duration sample_interval = std::chrono::milliseconds(100);
constexpr std::size_t sample_size = 32;
/// An upstream of another failure domain is selected for a call without shared parts if the expected time
/// there is below this part of the local one and at least `remote_gain_ms` shorter.
constexpr double remote_ratio = 0.7;
constexpr double remote_gain_ms = 30.0;
/// Between equal candidates the one in the own failure domain is selected.
constexpr double remote_tie_ratio = 1.03;
/// Share of the target for the gap between events that the expected gap may take.
constexpr double gap_target_share = 0.8;
/// Cost of an upstream that misses the gap target, relative to the target.
constexpr double missed_gap_cost = 4.0;
/// Share of the candidates that are tried as if they had their usual speed although they became slow.
constexpr double trial_share = 0.03;
/// Increase of the cost with the part of the slots in use, which decides between equal candidates.
constexpr double utilization_weight = 0.1;
constexpr int max_draws = 8;
/// Plain services with at most this many upstreams are compared whole.
constexpr std::size_t small_service = 12;
constexpr std::size_t max_rankings = 4096;

} // namespace

expected_time_selector::expected_time_selector(const clock &time, random_source &randomness,
                                               const upstream_directory &upstreams, upstream_speed &speeds,
                                               std::string failureDomain, remote_load remoteLoad)
    : m_time(time)
    , m_random(randomness)
    , m_upstreams(upstreams)
    , m_speeds(speeds)
    , m_failureDomain(std::move(failureDomain))
    , m_remoteLoad(std::move(remoteLoad))
{
}

double expected_time_selector::loadOf(const upstream &each) const
{
    return each.load() + (m_remoteLoad ? m_remoteLoad(each.record.id) : 0.0);
}

expected_time_selector::service_upstreams &expected_time_selector::upstreamsOf(const std::string &service)
{
    service_upstreams &result = m_services[service];
    if (result.revision == m_upstreams.revision())
        return result;
    result.revision = m_upstreams.revision();
    result.all = m_upstreams.ready(service);
    result.local.clear();
    std::copy_if(result.all.begin(), result.all.end(), std::back_inserter(result.local),
                 [&](const upstream *each) { return each->record.failureDomain == m_failureDomain; });
    result.rankings.clear();
    return result;
}

const expected_time_selector::ranking &expected_time_selector::rankingOf(service_upstreams &of,
                                                                         std::uint64_t prefix) const
{
    if (of.rankings.size() >= max_rankings)
        of.rankings.clear();
    const auto [found, isNew] = of.rankings.try_emplace(prefix);
    if (!isNew)
        return found->second;
    const std::string key = std::to_string(prefix);
    std::vector<std::pair<std::uint64_t, const upstream *>> weighted;
    weighted.reserve(of.all.size());
    for (const upstream *each : of.all)
        weighted.emplace_back(rendezvousWeight(key, each->record.id), each);
    const auto end
        = weighted.begin() + static_cast<std::ptrdiff_t>(std::min(ranking_length, weighted.size()));
    std::partial_sort(weighted.begin(), end, weighted.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    for (auto each = weighted.begin(); each != end; ++each)
        found->second.push_back(each->second);
    return found->second;
}

bool expected_time_selector::isUsable(const upstream &each, const selection_request &selection) const
{
    return !each.isEjected(m_time.now()) && !selection.excluded.contains(each.record.id)
        && !selection.avoided.contains(each.record.id);
}

const upstream *expected_time_selector::draw(const std::vector<const upstream *> &from,
                                             const selection_request &selection, bool needsFreeSlot)
{
    for (int drawn = 0; drawn < max_draws && !from.empty(); ++drawn) {
        const upstream *each = from[m_random.index(from.size())];
        if (isUsable(*each, selection) && (!needsFreeSlot || loadOf(*each) < each->record.slots))
            return each;
    }
    return nullptr;
}

double expected_time_selector::expectedTime(const upstream &at, const selection_request &selection,
                                            double tokens)
{
    return expectedTime(selection, tokens, static_cast<double>(at.pendingPrefillTokens), loadOf(at),
                        std::max<double>(at.record.slots, 1.0),
                        m_speeds.slowness(at.record.id, m_random.uniform() < trial_share));
}

double expected_time_selector::expectedTime(const selection_request &selection, double tokens,
                                            double pendingTokens, double load, double slots, double slowness)
{
    const service_timing &timing = m_speeds.timingOf(selection.service);
    double time = selection.request->size
        ? timing.firstEvent.at(tokens + pendingTokens + delay_tokens_per_call * load)
        : timing.response.at(load);
    if (load + 1.0 > slots)
        time += timing.call * (load + 1.0 - slots) / slots;
    time += delayed_part * timing.firstEvent.slope() * tokens * std::min(load, slots);
    time *= 1.0 + utilization_weight * load / slots;
    const double targetGap = seconds(selection.matchedRoute->targetGap) * 1000.0;
    const bool missesGap
        = targetGap > 0.0 && timing.eventGap.at(load) * slowness > gap_target_share * targetGap;
    return time * slowness + (missesGap ? missed_gap_cost * targetGap : 0.0);
}

void expected_time_selector::sampleUpstreams(service_upstreams &of)
{
    const time_point now = m_time.now();
    if (of.all.empty() || (of.sampledAt != time_point{} && now - of.sampledAt < sample_interval))
        return;
    of.sampledAt = now;
    double load = 0.0;
    double slowness = 0.0;
    double slots = 0.0;
    const std::size_t count = std::min(of.all.size(), sample_size);
    const std::size_t first = m_random.index(of.all.size());
    for (std::size_t index = 0; index < count; ++index) {
        const upstream &each = *of.all[(first + index * of.all.size() / count) % of.all.size()];
        load += loadOf(each);
        slots += each.record.slots;
        slowness += m_speeds.slowness(each.record.id);
    }
    of.meanSlots = std::max(slots / static_cast<double>(count), 1.0);
    of.meanLoad = load / static_cast<double>(count);
    of.meanSlowness = slowness / static_cast<double>(count);
}

double expected_time_selector::acceptedTime(service_upstreams &of, const selection_request &selection,
                                            double tokens)
{
    sampleUpstreams(of);
    const double slope = selection.request->size
        ? delay_tokens_per_call * m_speeds.timingOf(selection.service).firstEvent.slope()
        : m_speeds.timingOf(selection.service).response.slope();
    return time_bound * expectedTime(selection, tokens, 0.0, of.meanLoad, of.meanSlots, of.meanSlowness)
        + slack_calls * slope;
}

void expected_time_selector::keepBetter(scored &best, const upstream *candidate, double cost) const
{
    if (candidate->record.failureDomain != m_failureDomain)
        cost *= remote_tie_ratio;
    if (!best.candidate || cost < best.cost)
        best = {candidate, cost};
}

std::optional<std::string> expected_time_selector::select(const selection_request &selection)
{
    service_upstreams &from = upstreamsOf(selection.service);
    const auto &size = selection.request->size;
    const upstream *chosen = size && !size->parts.empty() ? selectByPrefix(from, selection)
                                                          : selectByExpectedTime(from, selection);
    if (!chosen)
        chosen = selectFromAll(from, selection);
    return chosen ? std::optional(chosen->record.id) : std::nullopt;
}

const upstream *expected_time_selector::selectByPrefix(service_upstreams &from,
                                                       const selection_request &selection)
{
    const prompt_size &size = *selection.request->size;
    const auto own = static_cast<double>(ownTokens(size));
    const double bound = acceptedTime(from, selection, own);
    scored best;
    for (const upstream *each : rankingOf(from, sharedPrefix(size))) {
        if (!isUsable(*each, selection))
            continue;
        const double cost = expectedTime(*each, selection, own);
        if (cost <= bound)
            return each;
        if (!best.candidate || cost < best.cost)
            best = {each, cost};
    }
    return best.candidate;
}

const upstream *expected_time_selector::selectByExpectedTime(service_upstreams &from,
                                                             const selection_request &selection)
{
    const auto &size = selection.request->size;
    const double tokens = size ? static_cast<double>(ownTokens(*size)) : 0.0;
    scored local;
    scored remote;
    const auto consider = [&](const upstream *each) {
        if (!each)
            return;
        const bool isLocal = each->record.failureDomain == m_failureDomain;
        scored &best = isLocal ? local : remote;
        const double cost = expectedTime(*each, selection, tokens);
        if (!best.candidate || cost < best.cost)
            best = {each, cost};
    };
    if (!size && from.all.size() <= small_service) {
        for (const upstream *each : from.all) {
            if (isUsable(*each, selection))
                consider(each);
        }
    } else {
        consider(draw(from.local, selection, true));
        consider(draw(from.local, selection, true));
        const bool isAcceptable = local.candidate && local.cost <= acceptedTime(from, selection, tokens);
        for (int drawn = 0; drawn < 2 && !isAcceptable; ++drawn)
            consider(draw(from.all, selection));
    }
    if (!local.candidate)
        return remote.candidate;
    const bool paysToLeave = remote.candidate && remote.cost < remote_ratio * local.cost
        && remote.cost + remote_gain_ms < local.cost;
    return paysToLeave ? remote.candidate : local.candidate;
}

const upstream *expected_time_selector::selectFromAll(const service_upstreams &from,
                                                      const selection_request &selection)
{
    std::vector<const upstream *> usable;
    std::vector<const upstream *> avoided;
    std::vector<const upstream *> ejected;
    for (const upstream *each : from.all) {
        if (selection.excluded.contains(each->record.id))
            continue;
        if (each->isEjected(m_time.now()))
            ejected.push_back(each);
        else
            (selection.avoided.contains(each->record.id) ? avoided : usable).push_back(each);
    }
    if (usable.empty())
        usable = std::move(avoided);
    // If all upstreams are ejected, sending to one of them may still succeed; sending to none cannot.
    if (usable.empty())
        usable = std::move(ejected);
    if (usable.empty())
        return nullptr;
    const auto &size = selection.request->size;
    const double tokens = size ? static_cast<double>(ownTokens(*size)) : 0.0;
    scored best;
    for (int drawn = 0; drawn < 2; ++drawn) {
        const upstream *each = usable[m_random.index(usable.size())];
        keepBetter(best, each, expectedTime(*each, selection, tokens));
    }
    return best.candidate;
}

std::uint64_t expected_time_selector::tokensToRead(const call &request, const upstream_record &at)
{
    if (!request.size)
        return 0;
    const std::uint64_t own = ownTokens(*request.size);
    if (request.size->parts.size() < 2)
        return own;
    const ranking &homes = rankingOf(upstreamsOf(at.service), sharedPrefix(*request.size));
    const auto second
        = homes.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(homes.size(), kept_ranks));
    const bool isKept
        = std::any_of(homes.begin(), second, [&](const upstream *each) { return each->record.id == at.id; });
    return isKept ? own : own + sharedTokens(*request.size);
}

} // namespace ivypier::relay
