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

/// The answer to a caller's look-up.
struct entry_answer
{
    std::vector<entry_address> addresses; ///< in order of preference
    duration keepFor{};

    auto operator<=>(const entry_answer &) const = default;
};

/// Tells callers which node to use, from the membership alone.
class entry_directory
{
public:
    entry_directory(const membership::membership_view &members, secret_key fleetKey);

    /// The addresses for a key, in rendezvous order; nodes that leave are left out. Requests with the same
    /// key get the same first address as long as the members do not change.
    entry_answer look(const std::string &key) const;

    /// A new ticket whose home is this node.
    ticket ownTicket(const std::string &callerPart) const;

private:
    /// The witness for a home: in another failure domain where there is one; 0 when there is no other node.
    membership::incarnation witnessFor(const membership::member &home,
                                       const std::vector<membership::member> &members) const;

    const membership::membership_view &m_members;
    secret_key m_fleetKey;
};

} // namespace ivypier::entry
