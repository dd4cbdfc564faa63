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

/// Number of times a member has refuted a suspicion. Of two updates about one member, the one with the
/// greater generation wins.
using generation = std::uint32_t;

/// Whether a member answers. Within one generation the greater value wins.
enum class liveness : std::uint8_t { alive = 0, suspect = 1, dead = 2 };

/// State of a member as one node sends it to another.
struct member_update
{
    incarnation id = 0;
    membership::generation generation = 0;
    membership::liveness liveness = membership::liveness::alive;
    bool leaving = false; ///< never reset: a leaving member can only come back as a new incarnation
    std::string reporterDomain; ///< of a suspicion: failure domain of the node whose probe failed
    std::optional<member> details; ///< always set when the receiver may not know the member

    auto operator<=>(const member_update &) const = default;
};

/// A fact as sent to another node, with its age since publication.
struct fact_update
{
    fact content;
    std::uint32_t ageSeconds = 0;

    auto operator<=>(const fact_update &) const = default;
};

/// Entry of a listing: the state of a member without its details.
struct listed_member
{
    incarnation id = 0;
    membership::generation generation = 0;
    membership::liveness liveness = membership::liveness::alive;
    bool leaving = false;

    auto operator<=>(const listed_member &) const = default;
};

/// Entry of a listing: the stored version of a fact.
struct listed_fact
{
    std::uint64_t keyHash = 0;
    std::uint64_t version = 0;

    auto operator<=>(const listed_fact &) const = default;
};

enum class message_kind : std::uint8_t {
    ping = 0, ///< asks `target` (0: whichever node has the address) to answer
    acknowledge = 1, ///< answers a ping; `target` is the member that answered, also when a helper forwards it
    ping_request = 2, ///< asks the receiver to ping `target` at `targetAddress`
    nack = 3, ///< answers a ping request: the target didn't answer in time
    update = 4, ///< carries updates only
    digest = 5, ///< hashes of the sender's members and facts, per bucket
    listing = 6, ///< answers a digest: the sender's entries in the buckets that differ
    pull = 7, ///< requests updates by member id or key hash
};

/// Content of one datagram. The kind determines which fields are used; every kind may carry updates in
/// `members` and `facts`.
struct gossip_message
{
    message_kind kind = message_kind::ping;
    incarnation sender = 0;
    std::uint32_t sequence = 0; ///< of the ping that this message sends, answers or forwards
    incarnation target = 0;
    endpoint targetAddress;
    std::vector<member_update> members;
    std::vector<fact_update> facts;
    /// In a digest one hash per bucket; no member hashes mean that members aren't compared. In a ping one
    /// hash over everything.
    std::vector<std::uint32_t> memberHashes;
    std::vector<std::uint32_t> factHashes;
    std::uint64_t memberBuckets = 0; ///< bit set of the buckets that a listing contains completely
    std::uint64_t factBuckets = 0;
    std::vector<listed_member> listedMembers;
    std::vector<listed_fact> listedFacts;
    std::vector<incarnation> requestedMembers;
    std::vector<std::uint64_t> requestedFacts; ///< key hashes

    auto operator<=>(const gossip_message &) const = default;
};

} // namespace ivypier::membership
