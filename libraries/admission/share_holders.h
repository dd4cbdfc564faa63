#pragma once

#include "base/clock.h"
#include "membership/membership_view.h"

#include <map>
#include <optional>
#include <set>

namespace ivypier::admission {

/// How long changes of membership take to count.
struct share_timeouts
{
    duration joinDelay
        = std::chrono::seconds(3); ///< before a new node uses all of its share: all count it then
    duration leaveDelay = std::chrono::seconds(2); ///< after a node said it leaves
    duration isolationTimeout = std::chrono::seconds(3); ///< a node that sees less than half stops after this
    duration deathTimeout
        = std::chrono::seconds(8); ///< before the share of a node that vanished is shared out

    auto operator<=>(const share_timeouts &) const = default;
};

/// How much of its share a node may usage.
enum class share_usage {
    none,
    starting, ///< no more than an equal part of the fleet as it is expected to be
    whole,
};

/// The nodes among which limits are shared out, as one node knows them. A new one counts at once and uses its
/// share later. One that vanished counts until its term is over, and only nodes that still see more than half
/// of the holders share it out; nodes that see less than half stop by then. So two sides of a cut network
/// never usage a share twice for longer than the timeouts.
class share_holders
{
public:
    explicit share_holders(share_timeouts timeouts);

    /// Takes in the membership as it is seen now.
    void update(const membership::membership_view &members, time_point now);

    /// Every countedHolders holder.
    const std::set<membership::incarnation> &countedHolders() const;

    /// True when a countedHolders holder is there, and can receive a share.
    bool isPresent(membership::incarnation holder) const;

    /// How much of its own share this node may usage.
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
    std::optional<time_point>
        m_joinCompleteAt; ///< when its joinDelay is over; nothing before the first update
    bool m_rejoining = false; ///< it was paused and may count as dead
    std::optional<time_point> m_isolatedSince;
    time_point m_updatedAt{};
    bool m_leaving = false;
};

} // namespace ivypier::admission
