#pragma once

#include "base/scheduler.h"
#include "membership/membership_view.h"

#include <cstdint>
#include <vector>

namespace ivypier::fleet {

/// Ranks the members that accept work for a key by rendezvous hashing, so that all nodes with the same view
/// choose the same members. Hashes of the members' names are kept, because there may be thousands.
class keeper_ranking
{
public:
    /// A member that accepts work.
    struct candidate
    {
        membership::incarnation id = 0;
        std::uint64_t nameHash = 0;
        std::uint64_t domainHash = 0; ///< of its failure domain
        endpoint address; ///< host of the node; the port is that of its callers

        auto operator<=>(const candidate &) const = default;
    };

    /// Time after which the members are read again, besides at each change of the membership.
    static constexpr duration refresh_interval = std::chrono::seconds(1);

    keeper_ranking(const clock &time, membership::membership_view &members);

    /// Returns the two members besides `recorder` that keep the records of a key, in different failure
    /// domains if there are several.
    std::vector<candidate> keepersOf(std::uint64_t key, membership::incarnation recorder);

    /// Returns the two members that keep what concerns a key, whichever node asks. The first is the same for
    /// all nodes with the same view.
    std::vector<candidate> keepersOf(std::uint64_t key);

    /// Returns the number of members that accept work.
    std::size_t memberCount();

    /// Returns the members that may keep records of a key: its keepers, and those that were or become keepers
    /// when one of them joins or leaves.
    std::vector<candidate> possibleKeepersOf(std::uint64_t key);

private:
    static constexpr std::size_t possible_keepers_by_rank = 4;

    void refresh();
    /// Returns the members with the highest weights.
    std::vector<const candidate *> ranked(std::uint64_t key) const;
    /// Returns the keepers of a key besides `recorder`.
    std::vector<const candidate *> choose(std::uint64_t key, membership::incarnation recorder) const;

    const clock &m_time;
    membership::membership_view &m_members;
    std::vector<candidate> m_candidates;
    time_point m_refreshedAt{};
    bool m_isStale = true;
};

} // namespace ivypier::fleet
