#include "fleet/report_topology.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace ivypier::fleet {

namespace {

/// Members are compared and grouped by pointer: copies of all members cost more than everything else here.
using member_group = std::vector<const membership::member *>;

/// Returns the members of a group with the highest weights, in this order.
std::vector<membership::member> selectCollectors(const member_group &group, const std::string &duty)
{
    std::vector<std::pair<std::uint64_t, const membership::member *>> ranked;
    ranked.reserve(group.size());
    for (const membership::member *each : group)
        ranked.emplace_back(rendezvousWeight(duty, each->name), each);
    const auto count = static_cast<std::ptrdiff_t>(std::min(collector_count, ranked.size()));
    std::partial_sort(
        ranked.begin(), ranked.begin() + count, ranked.end(), [](const auto &left, const auto &right) {
            return std::pair(right.first, left.second->id) < std::pair(left.first, right.second->id);
        });
    std::vector<membership::member> result;
    for (auto each = ranked.begin(); each != ranked.begin() + count; ++each)
        result.push_back(*each->second);
    return result;
}

bool contains(const std::vector<membership::member> &nodes, membership::incarnation id)
{
    return std::any_of(nodes.begin(), nodes.end(),
                       [&](const membership::member &each) { return each.id == id; });
}

} // namespace

report_topology computeTopology(const membership::membership_view &members, const std::string &duty,
                                membership::incarnation holder, std::size_t maxSingleLevelNodes)
{
    member_group all;
    std::map<std::string, member_group> domains;
    const membership::member *holderMember = nullptr;
    const std::vector<membership::member> known = members.members();
    for (const membership::member &each : known) {
        if (!each.acceptsWork())
            continue;
        all.push_back(&each);
        domains[each.failureDomain].push_back(&each);
        if (each.id == holder)
            holderMember = &each;
    }
    const membership::member self = members.self();
    report_topology result;
    result.isTwoLevel = all.size() > maxSingleLevelNodes && domains.size() > 1;
    if (!result.isTwoLevel) {
        result.groupSize = std::max<std::size_t>(all.size(), 1);
        result.collectors = selectCollectors(all, duty);
        if (holderMember && !contains(result.collectors, holder))
            result.collectors.push_back(*holderMember);
        return result;
    }
    const member_group &ownDomain = domains[self.failureDomain];
    result.groupSize = std::max<std::size_t>(ownDomain.size(), 1);
    result.collectors = selectCollectors(ownDomain, duty);
    result.isLeadCollector = !result.collectors.empty() && result.collectors.front().id == self.id;
    if (!contains(result.collectors, self.id))
        return result;
    for (const auto &[domain, nodes] : domains) {
        if (domain == self.failureDomain)
            continue;
        for (membership::member &each : selectCollectors(nodes, duty))
            result.sumsTargets.push_back(std::move(each));
    }
    if (holderMember && holder != self.id && !contains(result.sumsTargets, holder)
        && !contains(result.collectors, holder))
        result.sumsTargets.push_back(*holderMember);
    return result;
}

} // namespace ivypier::fleet
