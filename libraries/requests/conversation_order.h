#pragma once

#include "base/scheduler.h"
#include "membership/membership_view.h"
#include "requests/conversation_queue.h"
#include "requests/peer_channel.h"

#include <functional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// Keeps the requests of each conversation in the order received, even while the conversation's home changes
/// from one node to another: requests received here wait until the earlier homes, which may still hold
/// earlier requests, have none left.
class conversation_order
{
public:
    /// `onReady` is called with the key of each waiting request that may start. The references must outlive
    /// this object.
    conversation_order(scheduler &tasks, const membership::membership_view &members, peer_channel &peers,
                       std::function<void(const std::string &)> onReady);

    /// Adds a request received by this node. Returns true when it may start immediately.
    bool enqueue(const std::string &conversation, const std::string &request);

    /// Adds a request handed over by another node. Returns true when it may start immediately.
    bool enqueueHandedOver(const std::string &conversation, const std::string &request);

    /// Removes a request and starts the next one of the conversation if that may start.
    void dequeue(const std::string &conversation, const std::string &request);

    /// Returns true while this node has requests of the conversation.
    bool contains(const std::string &conversation) const;

    /// Returns true when the request is at the head of its conversation's queue.
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
