#pragma once

#include "base/clock.h"
#include "fleet/own_fact.h"
#include "relay/unit_quota.h"

#include <map>

namespace ivypier::fleet {

/// Tells the other nodes what this node took of each account's limit since it started, and takes in what they
/// took since they told last.
class quota_board
{
public:
    quota_board(membership::membership_view &members, relay::unit_quota &quota, const clock &time);

    /// Takes in what the others told; tells at once while a limit is short, and every `relaxed_telling`
    /// otherwise.
    void update();

private:
    void takeIn(membership::incarnation node, const std::map<std::string, std::uint64_t> &taken);

    membership::membership_view &m_members;
    relay::unit_quota &m_quota;
    const clock &m_time;
    own_fact m_own;
    time_point m_startedAt;
    time_point m_toldAt{};
    std::map<membership::incarnation, std::map<std::string, std::uint64_t>> m_known;
};

/// How often a node tells what it took while no limit is short.
inline constexpr duration relaxed_telling = std::chrono::milliseconds(1600);

/// What a node took before this one had run for so long is not counted: it was taken before.
inline constexpr duration first_sight_time = std::chrono::seconds(3);

} // namespace ivypier::fleet
