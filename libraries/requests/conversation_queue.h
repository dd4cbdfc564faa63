#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ivypier::requests {

/// Serializes the requests of each conversation in the order received. Requests handed over by another node
/// run before those received by this node.
class conversation_queue
{
public:
    /// Adds a request received by this node. Returns true when it may start immediately.
    bool enqueue(const std::string &conversation, const std::string &request);

    /// Adds a request handed over by another node. Returns true when it may start immediately.
    bool enqueueHandedOver(const std::string &conversation, const std::string &request);

    /// Removes a request. Returns the next request when that may start now.
    std::optional<std::string> dequeue(const std::string &conversation, const std::string &request);

    /// Blocks requests received by this node until release(), because another node may still have earlier
    /// ones.
    void hold(const std::string &conversation);

    /// Ends hold(). Returns the request that may start now, if one was waiting for it.
    std::optional<std::string> release(const std::string &conversation);

    /// Returns true while this node has requests of the conversation.
    bool contains(const std::string &conversation) const;

    /// Returns true when the request is at the head of its conversation's queue.
    bool isFirst(const std::string &conversation, const std::string &request) const;

private:
    struct request_queue
    {
        std::deque<std::string> requests;
        std::size_t handedOverCount = 0; ///< number of requests at the front that were handed over
        bool held = false;
    };

    std::map<std::string, request_queue> m_queues;
};

} // namespace ivypier::requests
