#include "membership/gossip_sender.h"

#include <algorithm>
#include <cassert>

namespace ivypier::membership {

namespace {

/// Send rate of each node in a large fleet: two thirds of the 3 KB/s that a node may use for control traffic.
constexpr double budget_bytes_per_second = 2000.0;
/// Additional rate in a fleet of up to `small_fleet_members` members; it falls in larger ones.
constexpr double small_fleet_bytes_per_second = 8000.0;
constexpr double small_fleet_members = 16.0;
constexpr double budget_burst_bytes = 256.0 * 1024.0;
constexpr std::size_t hash_bytes = 4;

} // namespace

std::size_t remainingBytes(const gossip_message &message)
{
    std::size_t used = message_overhead_bytes;
    for (const member_update &each : message.members)
        used += encodedSize(each);
    for (const fact_update &each : message.facts)
        used += encodedSize(each);
    used += (message.memberHashes.size() + message.factHashes.size()) * hash_bytes;
    used += (message.listedMembers.size() + message.listedFacts.size()) * listed_entry_bytes;
    used += (message.requestedMembers.size() + message.requestedFacts.size()) * requested_entry_bytes;
    return used >= max_datagram_bytes ? 0 : max_datagram_bytes - used;
}

gossip_sender::gossip_sender(const clock &time, datagram_channel &channel, const secret_key &fleetKey,
                             const member_table &members, const fact_store &facts, broadcast_queue &queue)
    : m_time(time)
    , m_channel(channel)
    , m_codec(fleetKey)
    , m_members(members)
    , m_facts(facts)
    , m_queue(queue)
    , m_availableBytes(budget_burst_bytes)
    , m_refilledAt(time.now())
{
}

void gossip_sender::send(const endpoint &to, gossip_message message)
{
    message.sender = m_members.self().entry.id;
    if (message.kind == message_kind::ping) {
        message.memberHashes = {m_members.overallHash()};
        message.factHashes = {m_facts.overallHash()};
    }
    m_queue.fill(message, remainingBytes(message), m_members.liveCount());
    const std::string datagram = m_codec.encode(message);
    assert(datagram.size() <= max_datagram_bytes);
    ++m_traffic.messages;
    m_traffic.bytes += datagram.size();
    m_availableBytes -= static_cast<double>(datagram.size());
    m_channel.send(to, datagram);
}

bool gossip_sender::withinBudget()
{
    const time_point now = m_time.now();
    const double members = static_cast<double>(std::max<std::size_t>(m_members.liveCount(), 1));
    const double rate = budget_bytes_per_second
        + small_fleet_bytes_per_second * std::min(1.0, small_fleet_members / members);
    m_availableBytes = std::min(budget_burst_bytes, m_availableBytes + seconds(now - m_refilledAt) * rate);
    m_refilledAt = now;
    return m_availableBytes > 0.0;
}

const gossip_traffic &gossip_sender::traffic() const
{
    return m_traffic;
}

const gossip_codec &gossip_sender::codec() const
{
    return m_codec;
}

} // namespace ivypier::membership
