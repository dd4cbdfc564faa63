#include "relay/prefix_affinity_selector.h"

#include "base/hash.h"
#include "relay/shared_prefix.h"

#include <algorithm>

namespace ivypier::relay {

prefix_affinity_selector::prefix_affinity_selector(const clock &time, random_source &randomness,
                                                   const upstream_directory &upstreams,
                                                   std::string failureDomain, remote_load remoteLoad,
                                                   prefix_affinity_options options)
    : m_time(time)
    , m_random(randomness)
    , m_upstreams(upstreams)
    , m_failureDomain(std::move(failureDomain))
    , m_remoteLoad(std::move(remoteLoad))
    , m_options(options)
{
}

double prefix_affinity_selector::loadOf(const upstream &each) const
{
    return each.load() + (m_remoteLoad ? m_remoteLoad(each.record.id) : 0.0);
}

std::vector<const upstream *> prefix_affinity_selector::candidates(const selection_request &selection) const
{
    std::vector<const upstream *> usable;
    std::vector<const upstream *> avoided;
    std::vector<const upstream *> ejected;
    for (const upstream *each : m_upstreams.ready(selection.service)) {
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
    return usable.empty() ? ejected : usable;
}

std::optional<std::string> prefix_affinity_selector::select(const selection_request &selection)
{
    const std::vector<const upstream *> from = candidates(selection);
    if (from.empty())
        return std::nullopt;
    const auto &size = selection.request->size;
    const upstream *chosen
        = size && !size->parts.empty() ? selectByPrefix(from, sharedPrefix(*size)) : selectByTwoChoices(from);
    return chosen->record.id;
}

const upstream *prefix_affinity_selector::selectByPrefix(const std::vector<const upstream *> &from,
                                                         std::uint64_t prefix) const
{
    // Computed once for each upstream, because there may be thousands.
    std::vector<double> loads;
    loads.reserve(from.size());
    double total = 0.0;
    for (const upstream *each : from) {
        loads.push_back(loadOf(*each));
        total += loads.back();
    }
    const double bound
        = m_options.loadBound * total / static_cast<double>(from.size()) + m_options.slackCalls;
    const std::string key = std::to_string(prefix);
    const upstream *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < from.size(); ++index) {
        if (loads[index] > bound)
            continue;
        const std::uint64_t weight = rendezvousWeight(key, from[index]->record.id);
        if (best && weight <= bestWeight)
            continue;
        best = from[index];
        bestWeight = weight;
    }
    // Never null: the bound is at least the mean load, so the least loaded upstream is within it.
    return best;
}

const upstream *prefix_affinity_selector::selectByTwoChoices(const std::vector<const upstream *> &from)
{
    std::vector<const upstream *> localUpstreams;
    for (const upstream *each : from) {
        if (each->record.failureDomain == m_failureDomain && loadOf(*each) < each->record.slots)
            localUpstreams.push_back(each);
    }
    const std::vector<const upstream *> &pool = localUpstreams.empty() ? from : localUpstreams;
    const upstream *first = pool[m_random.index(pool.size())];
    const upstream *second = pool[m_random.index(pool.size())];
    const auto utilization
        = [&](const upstream *each) { return loadOf(*each) / std::max<double>(each->record.slots, 1.0); };
    return utilization(second) < utilization(first) ? second : first;
}

} // namespace ivypier::relay
