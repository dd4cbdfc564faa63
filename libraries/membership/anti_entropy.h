#pragma once

#include "membership/fact_store.h"
#include "membership/gossip_sender.h"
#include "membership/member_table.h"

namespace ivypier::membership {

/// Reconciles the state of two nodes, so that a node that missed updates receives them: one node sends a
/// digest (one hash per bucket), the other answers with a listing of the buckets that differ, then both
/// exchange the missing updates.
class anti_entropy
{
public:
    anti_entropy(const clock &time, const member_table &members, const fact_store &facts,
                 gossip_sender &sender);

    /// Sends a digest to `with`, which starts a comparison. Between regions only facts are compared, not
    /// members.
    void compare(const endpoint &with, bool includeMembers);

    /// Handle the steps of a comparison. onDigest() and onListing() return true when the two nodes differ.
    bool onDigest(const gossip_message &message, const endpoint &from);
    bool onListing(const gossip_message &message, const endpoint &from);
    void onPull(const gossip_message &message, const endpoint &from);

private:
    struct batch;

    void listMembers(const gossip_message &digest, batch &responses) const;
    void listFacts(const gossip_message &digest, batch &responses) const;
    void compareMembers(const gossip_message &listing, batch &pulls, batch &updates) const;
    void compareFacts(const gossip_message &listing, batch &pulls, batch &updates) const;
    void sendAll(batch &messages, const endpoint &to);

    const clock &m_time;
    const member_table &m_members;
    const fact_store &m_facts;
    gossip_sender &m_sender;
};

} // namespace ivypier::membership
