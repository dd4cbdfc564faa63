#include "fleet/fleet_census.h"

#include "fleet/report_lifetime.h"

#include <algorithm>
#include <vector>

namespace ivypier::fleet {

fleet_census::fleet_census(const clock &time, const membership::membership_view &members)
    : m_time(time)
    , m_members(members)
{
}

void fleet_census::update()
{
    const time_point now = m_time.now();
    const std::vector<membership::member> members = m_members.members();
    for (const membership::member &each : members) {
        if (!each.acceptsWork())
            m_lastSeenAt.erase(each.name);
    }
    for (const membership::member &each : members) {
        if (each.acceptsWork())
            m_lastSeenAt[each.name] = now;
    }
    std::erase_if(m_lastSeenAt, [&](const auto &each) { return now - each.second > silent_node_retention; });
}

std::size_t fleet_census::count() const
{
    return std::max<std::size_t>(m_lastSeenAt.size(), 1);
}

} // namespace ivypier::fleet
