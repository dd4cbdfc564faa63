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

std::vector<membership::member> table_readers::rankedNodesIn(const std::string &failureDomain) const
{
    std::vector<membership::member> nodes;
    for (const membership::member &each : m_members.members()) {
        if (each.acceptsWork() && each.failureDomain == failureDomain)
            nodes.push_back(each);
    }
    const auto hasHigherRank = [](const membership::member &left, const membership::member &right) {
        return rendezvousWeight(rank_key, left.name) > rendezvousWeight(rank_key, right.name);
    };
    std::sort(nodes.begin(), nodes.end(), hasHigherRank);
    return nodes;
}

std::size_t table_readers::readerCount(std::size_t nodes)
{
    if (nodes <= max_nodes_reading_directly)
        return nodes;
    return std::max(min_readers, (nodes + nodes_per_reader - 1) / nodes_per_reader);
}

std::vector<membership::member> table_readers::readersIn(const std::string &failureDomain) const
{
    std::vector<membership::member> nodes = rankedNodesIn(failureDomain);
    nodes.resize(readerCount(nodes.size()));
    return nodes;
}

std::size_t table_readers::parentOf(std::size_t rank, std::size_t readers)
{
    // Each level holds `max_children` nodes for each node of the level above, which share its nodes evenly.
    std::size_t levelStart = readers;
    std::size_t parentsStart = 0;
    std::size_t parents = readers;
    while (rank >= levelStart + parents * max_children) {
        parentsStart = levelStart;
        levelStart += parents * max_children;
        parents *= max_children;
    }
    return parentsStart + (rank - levelStart) % parents;
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

std::optional<membership::member> table_readers::pickRelay() const
{
    const membership::member self = m_members.self();
    const std::vector<membership::member> nodes = rankedNodesIn(self.failureDomain);
    const auto own = std::find_if(nodes.begin(), nodes.end(),
                                  [&](const membership::member &each) { return each.id == self.id; });
    const std::size_t readers = readerCount(nodes.size());
    const auto rank = static_cast<std::size_t>(own - nodes.begin());
    if (own == nodes.end() || rank < readers)
        return pick();
    const auto parent = pickUsable({nodes[parentOf(rank, readers)]});
    return parent ? parent : pick();
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
