#pragma once

#include "base/endpoint.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier::membership {

/// One run of one node: a random number drawn at its start. A node that restarts is another incarnation.
using incarnation = std::uint64_t;

/// What the others think of a member.
enum class member_state {
    alive,
    suspect, ///< did not answer; still counts as a member
    leaving, ///< said that it leaves: takes nothing new
    dead,
};

std::string_view name(member_state state);

/// A node as the membership knows it.
struct member
{
    incarnation id = 0;
    std::string name;
    endpoint address; ///< for callers and for calls between nodes (TCP)
    endpoint gossipAddress; ///< for membership datagrams (UDP)
    std::string failureDomain;
    std::string region;
    member_state state = member_state::alive;

    auto operator<=>(const member &) const = default;

    /// True when new work may be given to it.
    bool acceptsWork() const
    {
        return state == member_state::alive || state == member_state::suspect;
    }
};

} // namespace ivypier::membership
