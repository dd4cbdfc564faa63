#pragma once

#include "base/clock.h"
#include "membership/membership_view.h"

#include <map>
#include <string>

namespace ivypier::fleet {

/// Counts the nodes that may be serving callers: all live members, and those that vanished without leaving
/// within `silent_node_retention`. Such a node may be dead, or serve on the other side of a cut, where this
/// node has vanished in turn; each side must then use its part of shared limits only.
class fleet_census
{
public:
    fleet_census(const clock &time, const membership::membership_view &members);

    /// Takes over the present members. Must be called a few times per second.
    void update();

    /// Returns the number of nodes, this one included.
    std::size_t count() const;

private:
    const clock &m_time;
    const membership::membership_view &m_members;
    /// By name, because a restarted node has a new incarnation.
    std::map<std::string, time_point> m_lastSeenAt;
};

} // namespace ivypier::fleet
