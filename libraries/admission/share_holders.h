#pragma once

#include "base/clock.h"
#include "membership/membership_view.h"

#include <map>
#include <optional>
#include <set>

namespace ivypier::admission {

/// Delays before changes of membership affect the shares.
struct share_timeouts
{
    /// Until a new node uses its whole share; by then all other nodes count it.
    duration joinDelay = std::chrono::seconds(3);

    /// From a node's announcement that it is leaving until its share is redistributed.
    duration leaveDelay = std::chrono::seconds(2);

    /// After this a node that sees less than half of the holders stops using its share.
    duration isolationTimeout = std::chrono::seconds(3);

    /// From a node's disappearance until its share is redistributed.
    duration deathTimeout = std::chrono::seconds(8);

    auto operator<=>(const share_timeouts &) const = default;
};

/// How much of its share a node may use.
enum class share_usage {
    none,
    starting, ///< at most an equal part of the limit, given the expected number of holders
    whole,
};

/// Tracks the nodes among which limits are divided, as seen by one node. A new node is counted immediately
/// and uses its share later. A node that disappeared is counted until its timeout expires, and only nodes
/// that see more than half of the holders redistribute its share. Nodes that see less than half have stopped
/// using theirs by then. Therefore the two sides of a network partition never both use a share for longer
/// than the timeouts.
class share_holders
{
public:
    explicit share_holders(share_timeouts timeouts);

    /// Updates the holders from the current membership.
    void update(const membership::membership_view &members, time_point now);

    /// Returns every holder that limits are divided among.
    const std::set<membership::incarnation> &countedHolders() const;

    /// Returns true if a holder has neither left nor vanished, so that it can receive units.
    bool isPresent(membership::incarnation holder) const;

    /// Returns how much of its own share this node may use.
    share_usage usage(time_point now) const;

private:
    enum class absence { none, left, vanished };

    struct holder_state
    {
        absence kind = absence::none;
        time_point since{};
    };

    void updateHolder(membership::incarnation holder, absence kind, time_point now);
    void removeExpired(time_point now);
    std::size_t presentCount() const;

    share_timeouts m_timeouts;
    std::map<membership::incarnation, holder_state> m_holders;
    std::set<membership::incarnation> m_countedHolders;
    std::optional<time_point> m_joinCompleteAt; ///< end of the join delay; empty before the first update
    bool m_rejoining = false; ///< this node was paused; the others may have declared it dead
    std::optional<time_point> m_isolatedSince;
    time_point m_updatedAt{};
    bool m_leaving = false;
};

} // namespace ivypier::admission
