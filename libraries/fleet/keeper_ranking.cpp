#include "fleet/keeper_ranking.h"

#include "base/hash.h"

#include <algorithm>

namespace ivypier::fleet {

namespace {

/// Returns the weight of a candidate for a key (finalizer of MurmurHash3, over both hashes combined by XOR).
std::uint64_t weightOf(std::uint64_t key, std::uint64_t nameHash)
{
    std::uint64_t value = key ^ nameHash;
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ value >> 33;
}

} // namespace

keeper_ranking::keeper_ranking(const clock &time, membership::membership_view &members)
    : m_time(time)
    , m_members(members)
{
    members.onMembersChanged([this] { m_isStale = true; });
}

void keeper_ranking::refresh()
{
    if (!m_isStale && m_time.now() - m_refreshedAt < refresh_interval)
        return;
    m_isStale = false;
    m_refreshedAt = m_time.now();
    m_candidates.clear();
    for (const membership::member &each : m_members.members()) {
        if (each.acceptsWork())
            m_candidates.push_back({each.id, hash64(each.name), hash64(each.failureDomain), each.address});
    }
}

std::vector<const keeper_ranking::candidate *> keeper_ranking::ranked(std::uint64_t key) const
{
    const std::size_t count = std::min(possible_keepers_by_rank, m_candidates.size());
    std::vector<const candidate *> all;
    all.reserve(m_candidates.size());
    for (const candidate &each : m_candidates)
        all.push_back(&each);
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count), all.end(),
                      [key](const candidate *left, const candidate *right) {
                          return weightOf(key, left->nameHash) > weightOf(key, right->nameHash);
                      });
    all.resize(count);
    return all;
}

std::vector<const keeper_ranking::candidate *> keeper_ranking::choose(std::uint64_t key,
                                                                      membership::incarnation recorder) const
{
    const auto isBetter = [key](const candidate *left, const candidate *right) {
        return !right || weightOf(key, left->nameHash) > weightOf(key, right->nameHash);
    };
    const candidate *best = nullptr;
    for (const candidate &each : m_candidates) {
        if (each.id != recorder && isBetter(&each, best))
            best = &each;
    }
    if (!best)
        return {};
    const candidate *second = nullptr;
    const candidate *other = nullptr; // the best of another failure domain
    for (const candidate &each : m_candidates) {
        if (each.id == recorder || &each == best)
            continue;
        if (isBetter(&each, second))
            second = &each;
        if (each.domainHash != best->domainHash && isBetter(&each, other))
            other = &each;
    }
    if (other || second)
        return {best, other ? other : second};
    return {best};
}

std::vector<keeper_ranking::candidate> keeper_ranking::keepersOf(std::uint64_t key,
                                                                 membership::incarnation recorder)
{
    refresh();
    std::vector<candidate> result;
    for (const candidate *each : choose(key, recorder))
        result.push_back(*each);
    return result;
}

std::vector<keeper_ranking::candidate> keeper_ranking::keepersOf(std::uint64_t key)
{
    constexpr membership::incarnation nobody = 0;
    return keepersOf(key, nobody);
}

std::size_t keeper_ranking::memberCount()
{
    refresh();
    return m_candidates.size();
}

std::vector<keeper_ranking::candidate> keeper_ranking::possibleKeepersOf(std::uint64_t key)
{
    refresh();
    // Which node recorded is unknown: it may be one of the keepers that are chosen from all.
    constexpr membership::incarnation nobody = 0;
    std::vector<const candidate *> possible = ranked(key);
    for (const candidate *each : choose(key, nobody)) {
        const std::vector<const candidate *> others = choose(key, each->id);
        possible.push_back(each);
        possible.insert(possible.end(), others.begin(), others.end());
    }
    std::sort(possible.begin(), possible.end());
    possible.erase(std::unique(possible.begin(), possible.end()), possible.end());
    std::vector<candidate> result;
    for (const candidate *each : possible)
        result.push_back(*each);
    return result;
}

} // namespace ivypier::fleet
