#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace ivypier::requests {

/// Lets the requests of one conversation go one after another, in the order received. Requests that another
/// node handedOverCount over go before those received here.
class conversation_queue
{
public:
    /// Adds a request received here; true when it may go at once.
    bool enqueue(const std::string &conversation, const std::string &request);

    /// Adds a request that was handedOverCount over; true when it may go at once.
    bool enqueueHandedOver(const std::string &conversation, const std::string &request);

    /// Takes a request out; gives the next one when that may go now.
    std::optional<std::string> dequeue(const std::string &conversation, const std::string &request);

    /// Keeps the requests received here back until release(), while another node still has earlier ones.
    void hold(const std::string &conversation);

    /// Gives the request that may go now, if any waited for this.
    std::optional<std::string> release(const std::string &conversation);

    /// True while the conversation has requests here.
    bool contains(const std::string &conversation) const;

    /// True when a request is the first of its conversation.
    bool isFirst(const std::string &conversation, const std::string &request) const;

private:
    struct request_queue
    {
        std::deque<std::string> requests;
        std::size_t handedOverCount = 0; ///< the first of them, that were handedOverCount over
        bool held = false;
    };

    std::map<std::string, request_queue> m_queues;
};

} // namespace ivypier::requests
