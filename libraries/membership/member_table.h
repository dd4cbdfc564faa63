#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "membership/gossip_message.h"

#include <map>
#include <optional>
#include <vector>

namespace ivypier::membership {

/// What is known about one member of the region.
struct member_record
{
    member entry; ///< its `state` follows from the fields below
    membership::generation generation = 0;
    membership::liveness liveness = membership::liveness::alive;
    bool leaving = false;
    time_point changedAt;

    bool dead() const
    {
        return liveness == membership::liveness::dead;
    }
};

/// What a statement did to the table.
enum class update_effect {
    none, ///< nothing that was not known
    unknown_member, ///< about a member whose details are not known here
    changed,
};

/// The members of one region, this node included, with the rules by which statements about them win.
class member_table
{
public:
    /// Buckets that two tables are compared by.
    static constexpr std::size_t bucket_count = 16;

    explicit member_table(member self);

    const member_record &self() const;

    /// The greater generation wins; at the same one, the greater liveness. Leaving is never taken back.
    update_effect apply(const member_update &update, time_point now);

    const member_record *find(incarnation id) const;
    const std::map<incarnation, member_record> &records() const;

    /// A statement of what is known about a member, with its details.
    static member_update makeUpdate(const member_record &record);

    /// Members that are not dead, this node included.
    std::size_t liveCount() const;

    /// Other members that are not dead, in no particular order.
    const std::vector<incarnation> &others() const;

    /// Up to `count` different members out of others(), drawn at random; without `excluded`.
    std::vector<const member_record *> pickRandom(random_source &randomness, std::size_t count,
                                                  incarnation excluded = 0) const;

    /// The live member at this datagram address, or null.
    const member_record *findLiveAt(const endpoint &gossipAddress) const;

    /// Failure domains with at least one other member that answers, as far as known.
    std::size_t respondingDomains() const;

    /// One hash for each bucket, equal in tables that know the same.
    const std::vector<std::uint32_t> &hashes() const;

    /// One hash over everything.
    std::uint32_t overallHash() const;

    static std::size_t bucketOf(incarnation id);

    /// Forgets members that died before `limit`.
    void removeDead(time_point limit);

private:
    void updateState(member_record &record, time_point now);
    void toggleHash(const member_record &record);
    void refreshCache() const;

    incarnation m_selfId;
    std::map<incarnation, member_record> m_records;
    mutable bool m_cacheStale = true;
    mutable std::vector<incarnation> m_others;
    std::vector<std::uint32_t> m_hashes = std::vector<std::uint32_t>(bucket_count, 0);
    mutable std::size_t m_respondingDomains = 0;
};

} // namespace ivypier::membership
