#pragma once

#include "base/clock.h"
#include "membership/member.h"
#include "membership/membership_view.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::membership {

/// Counts a member's refutations. Of two statements about one member the greater generation wins.
using generation = std::uint32_t;

/// Whether a member answers. At the same generation the greater one wins.
enum class liveness : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

/// What is said about a member.
struct member_update
{
    incarnation id = 0;
    membership::generation generation = 0;
    membership::liveness liveness = membership::liveness::alive;
    bool leaving = false; ///< sticky: a member that leaves doesn't come back under its incarnation
    std::string reporterDomain; ///< of a suspicion: the failure domain of the node that had no answer
    std::optional<member>
        details; ///< always there for update of a member that may be unknown to the receiver

    auto operator<=>(const member_update &) const = default;
};

/// A fact on its way, with the time since it was published.
struct fact_update
{
    fact content;
    std::uint32_t ageSeconds = 0;

    auto operator<=>(const fact_update &) const = default;
};

/// A line of a listing: what a node knows about a member, without the details.
struct listed_member
{
    incarnation id = 0;
    membership::generation generation = 0;
    membership::liveness liveness = membership::liveness::alive;
    bool leaving = false;

    auto operator<=>(const listed_member &) const = default;
};

/// A line of a listing: which version of a fact a node knows.
struct listed_fact
{
    std::uint64_t keyHash = 0;
    std::uint64_t version = 0;

    auto operator<=>(const listed_fact &) const = default;
};

enum class message_kind : std::uint8_t {
    ping = 0, ///< asks `target` (0: whoever is there) to answer
    acknowledge = 1, ///< `target` is the member that answered, which another member may pass on
    ping_request = 2, ///< asks the receiver to ping `target` at `targetAddress`
    nack = 3, ///< answer to a ping request: the target did not answer in time
    update = 4, ///< carries update only
    digest = 5, ///< hashes of what the sender knows
    listing = 6, ///< answer to a digest: what the receiver has in buckets that differ
    pull = 7, ///< asks for update by id or key hash
};

/// One datagram's content. Which fields count depends on the kind; update and facts ride on any of them.
struct gossip_message
{
    message_kind kind = message_kind::ping;
    incarnation sender = 0;
    std::uint32_t sequence = 0; ///< of the ping that is asked, answered or passed on
    incarnation target = 0;
    endpoint targetAddress;
    std::vector<member_update> members;
    std::vector<fact_update> facts;
    /// Of a digest: one a bucket; empty: members are not compared. Of a ping: one over everything.
    std::vector<std::uint32_t> memberHashes;
    std::vector<std::uint32_t> factHashes;
    std::uint64_t memberBuckets = 0; ///< bit set of the buckets that a listing has whole
    std::uint64_t factBuckets = 0;
    std::vector<listed_member> listedMembers;
    std::vector<listed_fact> listedFacts;
    std::vector<incarnation> requestedMembers;
    std::vector<std::uint64_t> requestedFacts; ///< key hashes

    auto operator<=>(const gossip_message &) const = default;
};

} // namespace ivypier::membership
