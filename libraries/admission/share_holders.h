#pragma once

#include "base/clock.h"
#include "membership/membership_view.h"

#include <map>
#include <optional>
#include <set>

namespace ivypier::admission {

/// How long changes of membership take to count.
struct share_terms
{
    duration join = std::chrono::seconds(3); ///< before a new node uses all of its share: all count it then
    duration leave = std::chrono::seconds(2); ///< after a node said it leaves
    duration isolation = std::chrono::seconds(3); ///< a node that sees less than half stops after this
    duration death = std::chrono::seconds(8); ///< before the share of a node that vanished is shared out

    auto operator<=>(const share_terms &) const = default;
};

/// How much of its share a node may use.
enum class share_use {
    none,
    starting, ///< no more than an equal part of the fleet as it is expected to be
    whole,
};

/// The nodes among which limits are shared out, as one node knows them. A new one counts at once and uses its
/// share later. One that vanished counts until its term is over, and only nodes that still see more than half
/// of the holders share it out; nodes that see less than half stop by then. So two sides of a cut network
/// never use a share twice for longer than the terms.
class share_holders
{
public:
    explicit share_holders(share_terms terms);

    /// Takes in the membership as it is seen now.
    void update(const membership::membership_view &members, time_point now);

    /// Every counted holder.
    const std::set<membership::incarnation> &counted() const;

    /// True when a counted holder is there, and can receive a share.
    bool isPresent(membership::incarnation holder) const;

    /// How much of its own share this node may use.
    share_use use(time_point now) const;

private:
    enum class absence { none, left, vanished };

    struct holder_state
    {
        absence kind = absence::none;
        time_point since{};
    };

    void note(membership::incarnation holder, absence kind, time_point now);
    void forgetAbsent(time_point now);
    std::size_t presentCount() const;

    share_terms m_terms;
    std::map<membership::incarnation, holder_state> m_holders;
    std::set<membership::incarnation> m_counted;
    std::optional<time_point> m_joinedAt; ///< when its join is over; nothing before the first update
    bool m_rejoining = false; ///< it was paused and may count as dead
    std::optional<time_point> m_isolatedSince;
    time_point m_updatedAt{};
    bool m_leaving = false;
};

} // namespace ivypier::admission
