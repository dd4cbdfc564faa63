#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "membership/gossip_message.h"

#include <map>
#include <optional>
#include <vector>

namespace ivypier::membership {

/// State of one member of the region.
struct member_record
{
    member entry; ///< its `state` is derived from the fields below
    membership::generation generation = 0;
    membership::liveness liveness = membership::liveness::alive;
    bool leaving = false;
    time_point changedAt;

    bool dead() const
    {
        return liveness == membership::liveness::dead;
    }
};

/// Effect of an update on the table.
enum class update_effect {
    none, ///< the update contained nothing new
    unknown_member, ///< the member is unknown and the update has no details
    changed,
};

/// Holds the members of one region, this node included, and resolves conflicting updates about them.
class member_table
{
public:
    /// Number of buckets by which two tables are compared.
    static constexpr std::size_t bucket_count = 16;

    explicit member_table(member self);

    const member_record &self() const;

    /// Applies an update: the greater generation wins and, within one generation, the greater liveness.
    /// Leaving is never reset.
    update_effect apply(const member_update &update, time_point now);

    const member_record *find(incarnation id) const;
    const std::map<incarnation, member_record> &records() const;

    /// Returns an update with a member's state and details.
    static member_update makeUpdate(const member_record &record);

    /// Returns the number of members that aren't dead, this node included.
    std::size_t liveCount() const;

    /// Returns the other members that aren't dead, in no particular order.
    const std::vector<incarnation> &others() const;

    /// Returns up to `count` distinct members out of others(), chosen at random, never `excluded`.
    std::vector<const member_record *> pickRandom(random_source &randomness, std::size_t count,
                                                  incarnation excluded = 0) const;

    /// Returns the member that has this datagram address and isn't dead, or null.
    const member_record *findLiveAt(const endpoint &gossipAddress) const;

    /// Returns the number of failure domains with at least one other member that is alive.
    std::size_t respondingDomains() const;

    /// Returns one hash per bucket; equal in tables with the same state. Suspicions and dead members don't
    /// count.
    const std::vector<std::uint32_t> &hashes() const;

    /// Returns one hash over all buckets.
    std::uint32_t overallHash() const;

    static std::size_t bucketOf(incarnation id);

    /// Removes members that died before `limit`.
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
