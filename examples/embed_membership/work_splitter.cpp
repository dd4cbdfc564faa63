#include "work_splitter.h"

#include "base/hash.h"

namespace embed_membership {

using namespace ivypier;

work_splitter::work_splitter(const membership::membership_view &members)
    : m_members(members)
{
}

std::optional<membership::member> work_splitter::ownerOf(const std::string &job) const
{
    std::optional<membership::member> owner;
    std::uint64_t highestWeight = 0;
    for (const membership::member &each : m_members.members()) {
        if (!each.acceptsWork())
            continue;
        const std::uint64_t weight = rendezvousWeight(job, each.name);
        if (owner && weight <= highestWeight)
            continue;
        owner = each;
        highestWeight = weight;
    }
    return owner;
}

} // namespace embed_membership
