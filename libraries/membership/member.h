#pragma once

#include "base/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier::membership {

/// Identifies one run of a node by a random number drawn at its start. A restarted node is a new incarnation.
using incarnation = std::uint64_t;

/// State of a member as seen by other members.
enum class member_state {
    alive,
    suspect, ///< didn't answer a probe; still counts as a member
    leaving, ///< announced that it leaves and accepts no new work
    dead,
};

std::string_view name(member_state state);

/// What a build of the node does that other nodes have to know. Nodes of several builds run side by side
/// during an upgrade. Each level includes the earlier ones.
enum class feature_level : std::uint8_t {
    none, ///< builds that state no level
    version_selection, ///< streams begin at the software version that their key selects
};

/// A node of the fleet.
struct member
{
    incarnation id = 0;
    std::string name;
    endpoint address; ///< for callers and for calls between nodes (TCP)
    endpoint gossipAddress; ///< for membership datagrams (UDP)
    std::string failureDomain;
    std::string region;
    member_state state = member_state::alive;
    feature_level features = feature_level::none;

    auto operator<=>(const member &) const = default;

    /// Returns true when the member may be given new work.
    bool acceptsWork() const
    {
        return state == member_state::alive || state == member_state::suspect;
    }
};

} // namespace ivypier::membership
