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

/// Ignores suspicions, which differ between nodes for a short time. Callers leave out dead members, which
/// nodes remove at different times.
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

update_effect member_table::apply(const member_update &update, time_point now)
{
    const auto found = m_records.find(update.id);
    if (found == m_records.end()) {
        if (!update.details)
            return update_effect::unknown_member;
        if (update.liveness == liveness::dead)
            return update_effect::none;
        member_record record{*update.details, update.generation, update.liveness, update.leaving, now};
        updateState(record, now);
        toggleHash(record);
        m_records.emplace(update.id, std::move(record));
        return update_effect::changed;
    }
    member_record &record = found->second;
    // A node of an earlier build passes the details on without the features.
    if (update.details)
        record.entry.features = std::max(record.entry.features, update.details->features);
    const bool newer = update.generation > record.generation;
    const bool lessAlive = update.generation == record.generation && update.liveness > record.liveness;
    const bool leaves = update.leaving && !record.leaving;
    if (!newer && !lessAlive && !leaves)
        return update_effect::none;
    toggleHash(record);
    record.leaving = record.leaving || update.leaving;
    if (newer || lessAlive) {
        record.generation = update.generation;
        record.liveness = update.liveness;
    }
    updateState(record, now);
    toggleHash(record);
    return update_effect::changed;
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

member_update member_table::makeUpdate(const member_record &record)
{
    return {record.entry.id, record.generation, record.liveness, record.leaving, "", record.entry};
}

std::size_t member_table::liveCount() const
{
    return others().size() + 1;
}

const std::vector<incarnation> &member_table::others() const
{
    refreshCache();
    return m_others;
}

std::vector<const member_record *> member_table::pickRandom(random_source &randomness, std::size_t count,
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

const member_record *member_table::findLiveAt(const endpoint &gossipAddress) const
{
    for (const auto &[id, record] : m_records) {
        if (!record.dead() && record.entry.gossipAddress == gossipAddress)
            return &record;
    }
    return nullptr;
}

std::size_t member_table::respondingDomains() const
{
    refreshCache();
    return m_respondingDomains;
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

void member_table::removeDead(time_point limit)
{
    std::erase_if(m_records, [&](const auto &each) {
        return each.second.dead() && each.second.changedAt < limit && each.first != m_selfId;
    });
    m_cacheStale = true;
}

void member_table::updateState(member_record &record, time_point now)
{
    record.entry.state = stateOf(record);
    record.changedAt = now;
    m_cacheStale = true;
}

void member_table::toggleHash(const member_record &record)
{
    if (!record.dead())
        m_hashes[bucketOf(record.entry.id)] ^= hashOf(record);
}

void member_table::refreshCache() const
{
    if (!m_cacheStale)
        return;
    m_cacheStale = false;
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
    m_respondingDomains = domains.size();
}

} // namespace ivypier::membership
