#include "table_readers.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace ivypier::edge {

namespace {

constexpr std::string_view rank_key = "table readers";

} // namespace

table_readers::table_readers(const clock &time, random_source &randomness,
                             const membership::membership_view &members)
    : m_time(time)
    , m_random(randomness)
    , m_members(members)
{
}

std::vector<membership::member> table_readers::readersIn(const std::string &failureDomain) const
{
    std::vector<membership::member> nodes;
    for (const membership::member &each : m_members.members()) {
        if (each.acceptsWork() && each.failureDomain == failureDomain)
            nodes.push_back(each);
    }
    if (nodes.size() <= max_nodes_reading_directly)
        return nodes;
    const std::size_t count = std::max(min_readers, (nodes.size() + nodes_per_reader - 1) / nodes_per_reader);
    const auto hasHigherRank = [](const membership::member &left, const membership::member &right) {
        return rendezvousWeight(rank_key, left.name) > rendezvousWeight(rank_key, right.name);
    };
    std::sort(nodes.begin(), nodes.end(), hasHigherRank);
    nodes.resize(std::min(count, nodes.size()));
    return nodes;
}

bool table_readers::readsDirectly() const
{
    const membership::member self = m_members.self();
    const auto readers = readersIn(self.failureDomain);
    return readers.empty()
        || std::any_of(readers.begin(), readers.end(),
                       [&](const membership::member &each) { return each.id == self.id; });
}

std::optional<membership::member>
table_readers::pickUsable(const std::vector<membership::member> &readers) const
{
    std::vector<const membership::member *> usable;
    for (const membership::member &each : readers) {
        const auto failedAt = m_failedAt.find(each.id);
        const bool inCooldown
            = failedAt != m_failedAt.end() && m_time.now() - failedAt->second < failed_reader_cooldown;
        if (each.id != m_members.self().id && !inCooldown)
            usable.push_back(&each);
    }
    if (usable.empty())
        return std::nullopt;
    return *usable[m_random.index(usable.size())];
}

std::optional<membership::member> table_readers::pick() const
{
    return pickUsable(readersIn(m_members.self().failureDomain));
}

std::optional<membership::member> table_readers::pickFromAnyDomain() const
{
    std::set<std::string> domains;
    for (const membership::member &each : m_members.members())
        domains.insert(each.failureDomain);
    std::vector<membership::member> all;
    for (const std::string &domain : domains) {
        for (membership::member &each : readersIn(domain))
            all.push_back(std::move(each));
    }
    return pickUsable(all);
}

void table_readers::reportFailure(membership::incarnation reader)
{
    m_failedAt[reader] = m_time.now();
}

} // namespace ivypier::edge
