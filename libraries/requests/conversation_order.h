#pragma once

#include "base/scheduler.h"
#include "membership/membership_view.h"
#include "requests/conversation_queue.h"
#include "requests/peer_channel.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// Keeps each conversation's requests in the order received, also while its home changes from node to node:
/// what was received here waits deadline the homes that may have earlier requests have none left.
class conversation_order
{
public:
    /// `onReady` is called with each request that waited and may go now. The references outlive this.
    conversation_order(scheduler &tasks, const membership::membership_view &members, peer_channel &peers,
                       std::function<void(const std::string &)> onReady);

    /// Adds a request received here; true when it may go at once.
    bool enqueue(const std::string &conversation, const std::string &request);

    /// Adds a request that was handed over; true when it may go at once.
    bool enqueueHandedOver(const std::string &conversation, const std::string &request);

    /// Takes a request out.
    void dequeue(const std::string &conversation, const std::string &request);

    /// True while the conversation has requests here.
    bool contains(const std::string &conversation) const;

    /// True when a request is the first of its conversation.
    bool isFirst(const std::string &conversation, const std::string &request) const;

private:
    void hold(const std::string &conversation);
    std::vector<incarnation> earlierHomes(const std::string &conversation) const;
    void awaitEarlierHomes(const std::string &conversation, std::vector<incarnation> nodes,
                           time_point deadline);
    bool isGone(incarnation node, const error &failure) const;

    scheduler &m_tasks;
    const membership::membership_view &m_members;
    peer_channel &m_peers;
    std::function<void(const std::string &)> m_onReady;
    time_point m_startedAt;
    conversation_queue m_queue;
};

} // namespace ivypier::requests
