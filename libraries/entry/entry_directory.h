#pragma once

#include "base/clock.h"
#include "base/secret.h"
#include "entry/ticket.h"
#include "membership/membership_view.h"

#include <string>
#include <vector>

namespace ivypier::entry {

/// One address a caller may use, with the ticket prefix that goes with it.
struct entry_address
{
    endpoint address;
    std::string ticketPrefix;

    auto operator<=>(const entry_address &) const = default;
};

/// The answer to a caller's lookUp-up.
struct lookup_result
{
    std::vector<entry_address> addresses; ///< in order of preference
    duration cacheDuration{};

    auto operator<=>(const lookup_result &) const = default;
};

/// The key by which rendezvous hashing over the nodes' names gives a conversation its home.
std::string conversationKey(const std::string &account, const std::string &conversation);

/// Tells callers which node to use, from the membership alone.
class entry_directory
{
public:
    entry_directory(membership::membership_view &members, secret_key fleetKey);

    /// The addresses for a conversation of an account, in rendezvous order; nodes that leave are left out.
    /// Requests of one conversation get the same first address as long as the members do not change; with an
    /// empty conversation they are spread by `salt`.
    lookup_result lookUp(const std::string &account, const std::string &conversation,
                         std::uint64_t salt) const;

    /// The nodes that may take over a request of this node, the best first: for a conversation those that
    /// lookUp() names for it, so that later requests of it meet it there; else other failure domains first,
    /// spread by the request's key.
    std::vector<membership::incarnation> successors(const std::string &account,
                                                    const std::string &conversation,
                                                    const std::string &requestKey) const;

    /// The nodes that may speak for this node as a witness when it leaves, the best first.
    std::vector<membership::incarnation> witnessSuccessors() const;

    /// Sets the epoch of the tickets that name this node as home, and tells the other nodes.
    void publishEpoch(std::uint64_t epoch);

    /// A new ticket whose home is this node.
    ticket issueTicket(const std::string &callerPart) const;

private:
    /// The witness for a home: in another failure domain where there is one; 0 when there is no other node.
    membership::incarnation chooseWitness(const membership::member &home,
                                          const std::vector<membership::member> &members) const;

    std::uint64_t epochOf(membership::incarnation home) const;
    std::vector<membership::incarnation> rankOtherDomainsFirst(const std::string &key) const;

    membership::membership_view &m_members;
    secret_key m_fleetKey;
};

} // namespace ivypier::entry
