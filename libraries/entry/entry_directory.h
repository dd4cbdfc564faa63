#pragma once

#include "base/clock.h"
#include "base/secret.h"
#include "entry/ticket.h"
#include "membership/membership_view.h"

#include <string>
#include <vector>

namespace ivypier::entry {

/// A node address that a caller may use, with the ticket prefix for requests sent to it.
struct entry_address
{
    endpoint address;
    std::string ticketPrefix;

    auto operator<=>(const entry_address &) const = default;
};

/// Response to a caller's look-up.
struct lookup_result
{
    std::vector<entry_address> addresses; ///< in order of preference
    duration cacheDuration{};

    auto operator<=>(const lookup_result &) const = default;
};

/// Returns the key under which rendezvous hashing over the node names selects a conversation's home node.
std::string conversationKey(const std::string &account, const std::string &conversation);

/// Selects the nodes for a caller's requests. Depends only on the membership.
class entry_directory
{
public:
    entry_directory(membership::membership_view &members, secret_key fleetKey);

    /// Returns the addresses for a conversation of an account in rendezvous order, without leaving nodes. All
    /// requests of a conversation get the same first address as long as the membership does not change. With
    /// an empty conversation, `salt` distributes the requests over the nodes.
    lookup_result lookUp(const std::string &account, const std::string &conversation,
                         std::uint64_t salt) const;

    /// Returns the nodes that may take over a request of this node, in order of preference. With a
    /// conversation the order is that of lookUp(), so that later requests of the conversation reach the same
    /// node. Without one, nodes in other failure domains come first, and the request's key distributes the
    /// requests over the nodes.
    std::vector<membership::incarnation> successors(const std::string &account,
                                                    const std::string &conversation,
                                                    const std::string &requestKey) const;

    /// Returns the nodes that may take over this node's role as witness when it leaves, in order of
    /// preference.
    std::vector<membership::incarnation> witnessSuccessors() const;

    /// Sets the epoch of the tickets whose home is this node and publishes it to the other nodes.
    void publishEpoch(std::uint64_t epoch);

    /// Returns a new ticket whose home is this node.
    ticket issueTicket(const std::string &callerPart) const;

private:
    /// Returns the witness for a home node, preferably in another failure domain. Returns 0 when there is no
    /// other node that is alive.
    membership::incarnation chooseWitness(const membership::member &home,
                                          const std::vector<membership::member> &members) const;

    std::uint64_t epochOf(membership::incarnation home) const;
    std::vector<membership::incarnation> rankOtherDomainsFirst(const std::string &key) const;

    membership::membership_view &m_members;
    secret_key m_fleetKey;
};

} // namespace ivypier::entry
