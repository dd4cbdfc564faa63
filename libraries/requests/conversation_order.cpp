#include "requests/conversation_order.h"

#include "base/hash.h"

#include <optional>
#include <utility>

namespace ivypier::requests {

namespace {

/// Interval between queries to an earlier home that still has requests, and the maximum total wait for
/// earlier homes.
constexpr duration poll_interval = std::chrono::milliseconds(50);
constexpr duration max_hold_time = std::chrono::seconds(10);

/// For this time after its start, a node may receive requests of conversations that another node still
/// serves.
constexpr duration recent_start_period = std::chrono::seconds(60);

} // namespace

conversation_order::conversation_order(scheduler &tasks, const membership::membership_view &members,
                                       peer_channel &peers, std::function<void(const std::string &)> onReady)
    : m_tasks(tasks)
    , m_members(members)
    , m_peers(peers)
    , m_onReady(std::move(onReady))
    , m_startedAt(tasks.now())
{
}

bool conversation_order::enqueue(const std::string &conversation, const std::string &request)
{
    if (!m_queue.contains(conversation))
        hold(conversation);
    return m_queue.enqueue(conversation, request);
}

bool conversation_order::enqueueHandedOver(const std::string &conversation, const std::string &request)
{
    return m_queue.enqueueHandedOver(conversation, request);
}

void conversation_order::dequeue(const std::string &conversation, const std::string &request)
{
    const std::optional<std::string> next = m_queue.dequeue(conversation, request);
    if (next)
        m_onReady(*next);
}

bool conversation_order::contains(const std::string &conversation) const
{
    return m_queue.contains(conversation);
}

bool conversation_order::isFirst(const std::string &conversation, const std::string &request) const
{
    return m_queue.isFirst(conversation, request);
}

void conversation_order::hold(const std::string &conversation)
{
    std::vector<incarnation> earlier = earlierHomes(conversation);
    if (earlier.empty())
        return;
    m_queue.hold(conversation);
    awaitEarlierHomes(conversation, std::move(earlier), m_tasks.now() + max_hold_time);
}

std::vector<incarnation> conversation_order::earlierHomes(const std::string &conversation) const
{
    const membership::member self = m_members.self();
    const std::uint64_t ownWeight = rendezvousWeight(conversation, self.name);
    const bool startedRecently = m_tasks.now() - m_startedAt < recent_start_period;
    std::vector<incarnation> result;
    std::optional<std::pair<std::uint64_t, incarnation>> next;
    for (const membership::member &each : m_members.members()) {
        if (each.id == self.id)
            continue;
        const std::pair weightAndId(rendezvousWeight(conversation, each.name), each.id);
        if (weightAndId.first > ownWeight)
            result.push_back(each.id);
        else if (startedRecently && (!next || *next < weightAndId))
            next = weightAndId;
    }
    if (next)
        result.push_back(next->second);
    return result;
}

void conversation_order::awaitEarlierHomes(const std::string &conversation, std::vector<incarnation> nodes,
                                           time_point deadline)
{
    if (nodes.empty() || m_tasks.now() >= deadline) {
        const std::optional<std::string> next = m_queue.release(conversation);
        if (next)
            m_onReady(*next);
        return;
    }
    const incarnation queriedNode = nodes.back();
    m_peers.queryConversation(
        queriedNode, conversation,
        [this, conversation, nodes, queriedNode, deadline](const outcome<bool> &hasRequests) mutable {
            const bool keepWaiting
                = hasRequests ? hasRequests.value() : !isGone(queriedNode, hasRequests.error());
            if (!keepWaiting)
                nodes.pop_back();
            m_tasks.after(
                keepWaiting ? poll_interval : duration::zero(),
                [this, conversation, nodes, deadline] { awaitEarlierHomes(conversation, nodes, deadline); });
        });
}

bool conversation_order::isGone(incarnation node, const error &failure) const
{
    // A refusal means that another incarnation now runs at the address.
    if (failure.code == error_code::unavailable || failure.code == error_code::refused)
        return true;
    const auto member = m_members.find(node);
    return !member || member->state == membership::member_state::dead;
}

} // namespace ivypier::requests
