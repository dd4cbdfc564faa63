#pragma once

#include "base/clock.h"
#include "membership/broadcast_queue.h"
#include "membership/datagram_channel.h"
#include "membership/fact_store.h"
#include "membership/gossip_codec.h"
#include "membership/member_table.h"

namespace ivypier::membership {

/// Traffic that this node has sent.
struct gossip_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< datagram contents, without UDP and IP headers

    auto operator<=>(const gossip_traffic &) const = default;
};

/// Sends messages, piggybacking as many queued updates as fit. Every message counts against a byte budget,
/// which limits the rate of messages that can be deferred.
class gossip_sender
{
public:
    gossip_sender(const clock &time, datagram_channel &channel, const secret_key &fleetKey,
                  const member_table &members, const fact_store &facts, broadcast_queue &queue);

    void send(const endpoint &to, gossip_message message);

    /// Returns true while the budget allows messages that can be deferred.
    bool withinBudget();

    const gossip_traffic &traffic() const;
    const gossip_codec &codec() const;

private:
    const clock &m_time;
    datagram_channel &m_channel;
    gossip_codec m_codec;
    const member_table &m_members;
    const fact_store &m_facts;
    broadcast_queue &m_queue;
    gossip_traffic m_traffic;
    double m_availableBytes;
    time_point m_refilledAt;
};

/// Returns the bytes that are left in a datagram with this message.
std::size_t remainingBytes(const gossip_message &message);

} // namespace ivypier::membership
