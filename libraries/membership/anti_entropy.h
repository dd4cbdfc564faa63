#pragma once

#include "membership/fact_store.h"
#include "membership/gossip_sender.h"
#include "membership/member_table.h"

namespace ivypier::membership {

/// Compares what two nodes know and evens it out, so that a node that missed update learns everything: a
/// digest of hashes by bucket, a listing of the buckets that differ, then update both ways.
class anti_entropy
{
public:
    anti_entropy(const clock &time, const member_table &members, const fact_store &facts,
                 gossip_sender &sender);

    /// Starts a comparison; between regions it covers facts only.
    void compare(const endpoint &with, bool includeMembers);

    /// Each returns true when the two nodes did not know the same.
    bool onDigest(const gossip_message &message, const endpoint &from);
    bool onListing(const gossip_message &message, const endpoint &from);
    void onPull(const gossip_message &message, const endpoint &from);

private:
    struct batch;

    void listMembers(const gossip_message &digest, batch &answers) const;
    void listFacts(const gossip_message &digest, batch &answers) const;
    void compareMembers(const gossip_message &listing, batch &pulls, batch &update) const;
    void compareFacts(const gossip_message &listing, batch &pulls, batch &update) const;
    void sendAll(batch &messages, const endpoint &to);

    const clock &m_time;
    const member_table &m_members;
    const fact_store &m_facts;
    gossip_sender &m_sender;
};

} // namespace ivypier::membership
