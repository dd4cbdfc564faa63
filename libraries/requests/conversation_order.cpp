#include "requests/conversation_order.h"

#include "base/hash.h"

#include <optional>
#include <utility>

namespace ivypier::requests {

namespace {

/// How often an earlier home is asked whether it still has a conversation, and for how long at most.
constexpr duration ask_pause = std::chrono::milliseconds(50);
constexpr duration longest_hold = std::chrono::seconds(10);

/// A node that started this recently may meet conversations that another node still answers.
constexpr duration young_node_age = std::chrono::seconds(60);

} // namespace

conversation_order::conversation_order(scheduler &tasks, const membership::membership_view &members,
                                       peer_channel &peers, std::function<void(const std::string &)> begin)
    : m_tasks(tasks)
    , m_members(members)
    , m_peers(peers)
    , m_begin(std::move(begin))
    , m_startedAt(tasks.now())
{
}

bool conversation_order::enter(const std::string &conversation, const std::string &request)
{
    if (!m_queue.contains(conversation))
        hold(conversation);
    return m_queue.enter(conversation, request);
}

bool conversation_order::enterHanded(const std::string &conversation, const std::string &request)
{
    return m_queue.enterHanded(conversation, request);
}

void conversation_order::leave(const std::string &conversation, const std::string &request)
{
    const std::optional<std::string> next = m_queue.leave(conversation, request);
    if (next)
        m_begin(*next);
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
    awaitEarlierHomes(conversation, std::move(earlier), m_tasks.now() + longest_hold);
}

std::vector<incarnation> conversation_order::earlierHomes(const std::string &conversation) const
{
    const membership::member self = m_members.self();
    const std::uint64_t own = rendezvousWeight(conversation, self.name);
    const bool young = m_tasks.now() - m_startedAt < young_node_age;
    std::vector<incarnation> result;
    std::optional<std::pair<std::uint64_t, incarnation>> next;
    for (const membership::member &each : m_members.members()) {
        if (each.id == self.id)
            continue;
        const std::pair ranked(rendezvousWeight(conversation, each.name), each.id);
        if (ranked.first > own)
            result.push_back(each.id);
        else if (young && (!next || *next < ranked))
            next = ranked;
    }
    if (next)
        result.push_back(next->second);
    return result;
}

void conversation_order::awaitEarlierHomes(const std::string &conversation, std::vector<incarnation> nodes,
                                           time_point until)
{
    if (nodes.empty() || m_tasks.now() >= until) {
        const std::optional<std::string> next = m_queue.release(conversation);
        if (next)
            m_begin(*next);
        return;
    }
    const incarnation asked = nodes.back();
    m_peers.askConversation(
        asked, conversation, [this, conversation, nodes, asked, until](const outcome<bool> &busy) mutable {
            const bool wait = busy ? busy.value() : !isGone(asked, busy.error());
            if (!wait)
                nodes.pop_back();
            m_tasks.after(wait ? ask_pause : duration::zero(), [this, conversation, nodes, until] {
                awaitEarlierHomes(conversation, nodes, until);
            });
        });
}

bool conversation_order::isGone(incarnation node, const error &failure) const
{
    // A refusal comes from another incarnation at the same address.
    if (failure.code == error_code::unavailable || failure.code == error_code::refused)
        return true;
    const auto member = m_members.find(node);
    return !member || member->state == membership::member_state::dead;
}

} // namespace ivypier::requests
