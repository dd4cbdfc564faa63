#include "requests/conversation_queue.h"

#include <algorithm>

namespace ivypier::requests {

bool conversation_queue::enqueue(const std::string &conversation, const std::string &request)
{
    request_queue &queue = m_queues[conversation];
    queue.requests.push_back(request);
    return queue.requests.size() == 1 && !queue.held;
}

bool conversation_queue::enqueueHandedOver(const std::string &conversation, const std::string &request)
{
    request_queue &queue = m_queues[conversation];
    const bool hasRunning = !queue.requests.empty() && !queue.held;
    // A request received here that is already running stays at the front.
    const std::size_t position
        = hasRunning ? std::max<std::size_t>(queue.handedOverCount, 1) : queue.handedOverCount;
    queue.requests.insert(queue.requests.begin() + static_cast<std::ptrdiff_t>(position), request);
    queue.handedOverCount = position + 1;
    return position == 0;
}

std::optional<std::string> conversation_queue::dequeue(const std::string &conversation,
                                                       const std::string &request)
{
    const auto found = m_queues.find(conversation);
    if (found == m_queues.end())
        return std::nullopt;
    request_queue &queue = found->second;
    const auto position = std::find(queue.requests.begin(), queue.requests.end(), request);
    if (position == queue.requests.end())
        return std::nullopt;
    const auto index = static_cast<std::size_t>(position - queue.requests.begin());
    queue.requests.erase(position);
    if (index < queue.handedOverCount)
        --queue.handedOverCount;
    if (queue.requests.empty()) {
        m_queues.erase(found);
        return std::nullopt;
    }
    const bool canStart = index == 0 && (!queue.held || queue.handedOverCount > 0);
    return canStart ? std::optional(queue.requests.front()) : std::nullopt;
}

void conversation_queue::hold(const std::string &conversation)
{
    m_queues[conversation].held = true;
}

std::optional<std::string> conversation_queue::release(const std::string &conversation)
{
    const auto found = m_queues.find(conversation);
    if (found == m_queues.end() || !found->second.held)
        return std::nullopt;
    request_queue &queue = found->second;
    queue.held = false;
    if (queue.requests.empty()) {
        m_queues.erase(found);
        return std::nullopt;
    }
    return queue.handedOverCount == 0 ? std::optional(queue.requests.front()) : std::nullopt;
}

bool conversation_queue::contains(const std::string &conversation) const
{
    return m_queues.contains(conversation);
}

bool conversation_queue::isFirst(const std::string &conversation, const std::string &request) const
{
    const auto found = m_queues.find(conversation);
    return found != m_queues.end() && !found->second.requests.empty()
        && found->second.requests.front() == request;
}

} // namespace ivypier::requests
