#include "relay/prefix_choice.h"

#include "base/hash.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// The parts that other prompts may share: all but the last, which belongs to this call or its session.
std::uint64_t sharedPrefix(const prompt_size &size)
{
    if (size.parts.empty())
        return 0;
    std::string ids;
    const std::size_t shared = std::max<std::size_t>(size.parts.size() - 1, 1);
    for (std::size_t index = 0; index < shared; ++index)
        ids += std::to_string(size.parts[index].id) + ',';
    return hash64(ids);
}

} // namespace

std::uint64_t choice_question::work() const
{
    return message->size ? message->size->promptTokens + message->size->answerTokens : 1;
}

prefix_choice::prefix_choice(const clock &time, random_source &randomness,
                             const upstream_directory &upstreams, std::string failureDomain,
                             foreign_load othersLoad, prefix_choice_options options)
    : m_time(time)
    , m_random(randomness)
    , m_upstreams(upstreams)
    , m_failureDomain(std::move(failureDomain))
    , m_othersLoad(std::move(othersLoad))
    , m_options(options)
{
}

double prefix_choice::loadOf(const upstream &each) const
{
    return each.load() + (m_othersLoad ? m_othersLoad(each.record.id) : 0.0);
}

std::vector<const upstream *> prefix_choice::candidates(const choice_question &question) const
{
    std::vector<const upstream *> usable;
    std::vector<const upstream *> setAside;
    for (const upstream *each : m_upstreams.ready(question.service)) {
        if (question.excluded.contains(each->record.id))
            continue;
        (each->isSetAside(m_time.now()) ? setAside : usable).push_back(each);
    }
    // When every upstream is set aside, one of them is more likely to answer than none.
    return usable.empty() ? setAside : usable;
}

std::optional<std::string> prefix_choice::choose(const choice_question &question)
{
    const std::vector<const upstream *> from = candidates(question);
    if (from.empty())
        return std::nullopt;
    const auto &size = question.message->size;
    const upstream *chosen
        = size && !size->parts.empty() ? chooseHome(from, sharedPrefix(*size)) : chooseLighter(from);
    return chosen->record.id;
}

const upstream *prefix_choice::chooseHome(const std::vector<const upstream *> &from,
                                          std::uint64_t prefix) const
{
    // Looked up once each: there may be thousands.
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
    // The least loaded one is within the bound, which is the mean load at least.
    return best;
}

const upstream *prefix_choice::chooseLighter(const std::vector<const upstream *> &from)
{
    std::vector<const upstream *> near;
    for (const upstream *each : from) {
        if (each->record.failureDomain == m_failureDomain && loadOf(*each) < each->record.slots)
            near.push_back(each);
    }
    const std::vector<const upstream *> &pool = near.empty() ? from : near;
    const upstream *one = pool[m_random.index(pool.size())];
    const upstream *other = pool[m_random.index(pool.size())];
    const auto part
        = [&](const upstream *each) { return loadOf(*each) / std::max<double>(each->record.slots, 1.0); };
    return part(other) < part(one) ? other : one;
}

} // namespace ivypier::relay
