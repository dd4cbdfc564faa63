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
    if (count == 0)
        return {};
    // The best candidate of another failure domain is added unless it is among the best of all.
    const candidate *other = nullptr;
    for (const candidate *each : all) {
        const bool isOther = each->domainHash != all.front()->domainHash;
        if (isOther && (!other || weightOf(key, each->nameHash) > weightOf(key, other->nameHash)))
            other = each;
    }
    all.resize(count);
    if (other && std::find(all.begin(), all.end(), other) == all.end())
        all.push_back(other);
    return all;
}

std::vector<keeper_ranking::candidate> keeper_ranking::keepersOf(std::uint64_t key)
{
    refresh();
    const std::vector<const candidate *> best = ranked(key);
    std::vector<candidate> result;
    if (best.empty())
        return result;
    result.push_back(*best.front());
    for (const candidate *each : best) {
        if (each->domainHash != best.front()->domainHash) {
            result.push_back(*each);
            return result;
        }
    }
    if (best.size() > 1)
        result.push_back(*best[1]);
    return result;
}

std::vector<keeper_ranking::candidate> keeper_ranking::possibleKeepersOf(std::uint64_t key)
{
    refresh();
    std::vector<candidate> result;
    for (const candidate *each : ranked(key))
        result.push_back(*each);
    return result;
}

} // namespace ivypier::fleet
