#include "membership/member_table.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>

namespace ivypier::membership {

namespace {

member_state stateOf(const member_record &record)
{
    if (record.dead())
        return member_state::dead;
    if (record.leaving)
        return member_state::leaving;
    return record.liveness == liveness::suspect ? member_state::suspect : member_state::alive;
}

/// Suspicions differ between nodes for a short time, and the dead are forgotten at different times: neither
/// counts in a comparison.
std::uint32_t hashOf(const member_record &record)
{
    const std::uint64_t state = (std::uint64_t{record.generation} << 1) | (record.leaving ? 1 : 0);
    const std::uint64_t mixed = hash64(toHex(record.entry.id), state);
    return static_cast<std::uint32_t>(mixed >> 32);
}

} // namespace

member_table::member_table(member self)
    : m_selfId(self.id)
{
    const auto own = m_records.emplace(m_selfId, member_record{std::move(self)}).first;
    toggleHash(own->second);
}

const member_record &member_table::self() const
{
    return m_records.at(m_selfId);
}

news_effect member_table::apply(const member_news &news, time_point now)
{
    const auto found = m_records.find(news.id);
    if (found == m_records.end()) {
        if (!news.details)
            return news_effect::unknown_member;
        if (news.liveness == liveness::dead)
            return news_effect::none;
        member_record record{*news.details, news.generation, news.liveness, news.leaving, now};
        settle(record, now);
        toggleHash(record);
        m_records.emplace(news.id, std::move(record));
        return news_effect::changed;
    }
    member_record &record = found->second;
    const bool newer = news.generation > record.generation;
    const bool worse = news.generation == record.generation && news.liveness > record.liveness;
    const bool leaves = news.leaving && !record.leaving;
    if (!newer && !worse && !leaves)
        return news_effect::none;
    toggleHash(record);
    record.leaving = record.leaving || news.leaving;
    if (newer || worse) {
        record.generation = news.generation;
        record.liveness = news.liveness;
    }
    settle(record, now);
    toggleHash(record);
    return news_effect::changed;
}

const member_record *member_table::find(incarnation id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

const std::map<incarnation, member_record> &member_table::records() const
{
    return m_records;
}

member_news member_table::newsOf(const member_record &record)
{
    return {record.entry.id, record.generation, record.liveness, record.leaving, "", record.entry};
}

std::size_t member_table::liveCount() const
{
    return others().size() + 1;
}

const std::vector<incarnation> &member_table::others() const
{
    rebuild();
    return m_others;
}

std::vector<const member_record *> member_table::pick(random_source &randomness, std::size_t count,
                                                      incarnation excluded) const
{
    std::vector<incarnation> pool = others();
    std::vector<const member_record *> result;
    while (result.size() < count && !pool.empty()) {
        const std::size_t index = randomness.index(pool.size());
        const incarnation id = pool[index];
        pool[index] = pool.back();
        pool.pop_back();
        if (id != excluded)
            result.push_back(&m_records.at(id));
    }
    return result;
}

const member_record *member_table::liveAt(const endpoint &gossipAddress) const
{
    for (const auto &[id, record] : m_records) {
        if (!record.dead() && record.entry.gossipAddress == gossipAddress)
            return &record;
    }
    return nullptr;
}

std::size_t member_table::answeringDomains() const
{
    rebuild();
    return m_answeringDomains;
}

const std::vector<std::uint32_t> &member_table::hashes() const
{
    return m_hashes;
}

std::uint32_t member_table::overallHash() const
{
    return std::accumulate(hashes().begin(), hashes().end(), std::uint32_t{0}, std::bit_xor<>());
}

std::size_t member_table::bucketOf(incarnation id)
{
    return id % bucket_count;
}

void member_table::forgetDead(time_point limit)
{
    std::erase_if(m_records, [&](const auto &each) {
        return each.second.dead() && each.second.changedAt < limit && each.first != m_selfId;
    });
    m_stale = true;
}

void member_table::settle(member_record &record, time_point now)
{
    record.entry.state = stateOf(record);
    record.changedAt = now;
    m_stale = true;
}

void member_table::toggleHash(const member_record &record)
{
    if (!record.dead())
        m_hashes[bucketOf(record.entry.id)] ^= hashOf(record);
}

void member_table::rebuild() const
{
    if (!m_stale)
        return;
    m_stale = false;
    m_others.clear();
    std::set<std::string_view> domains;
    for (const auto &[id, record] : m_records) {
        if (record.dead())
            continue;
        if (id == m_selfId)
            continue;
        m_others.push_back(id);
        if (record.liveness == liveness::alive)
            domains.insert(record.entry.failureDomain);
    }
    m_answeringDomains = domains.size();
}

} // namespace ivypier::membership
