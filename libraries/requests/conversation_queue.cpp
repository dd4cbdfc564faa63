#include "requests/conversation_queue.h"

#include <algorithm>

namespace ivypier::requests {

bool conversation_queue::enter(const std::string &conversation, const std::string &request)
{
    waiting_line &line = m_lines[conversation];
    line.requests.push_back(request);
    return line.requests.size() == 1 && !line.held;
}

bool conversation_queue::enterHanded(const std::string &conversation, const std::string &request)
{
    waiting_line &line = m_lines[conversation];
    const bool othersRun = !line.requests.empty() && !line.held;
    // One received here that runs already stays first.
    const std::size_t place = othersRun ? std::max<std::size_t>(line.handed, 1) : line.handed;
    line.requests.insert(line.requests.begin() + static_cast<std::ptrdiff_t>(place), request);
    line.handed = place + 1;
    return place == 0;
}

std::optional<std::string> conversation_queue::leave(const std::string &conversation,
                                                     const std::string &request)
{
    const auto found = m_lines.find(conversation);
    if (found == m_lines.end())
        return std::nullopt;
    waiting_line &line = found->second;
    const auto place = std::find(line.requests.begin(), line.requests.end(), request);
    if (place == line.requests.end())
        return std::nullopt;
    const auto index = static_cast<std::size_t>(place - line.requests.begin());
    line.requests.erase(place);
    if (index < line.handed)
        --line.handed;
    if (line.requests.empty()) {
        m_lines.erase(found);
        return std::nullopt;
    }
    const bool mayGo = index == 0 && (!line.held || line.handed > 0);
    return mayGo ? std::optional(line.requests.front()) : std::nullopt;
}

void conversation_queue::hold(const std::string &conversation)
{
    m_lines[conversation].held = true;
}

std::optional<std::string> conversation_queue::release(const std::string &conversation)
{
    const auto found = m_lines.find(conversation);
    if (found == m_lines.end() || !found->second.held)
        return std::nullopt;
    waiting_line &line = found->second;
    line.held = false;
    if (line.requests.empty()) {
        m_lines.erase(found);
        return std::nullopt;
    }
    return line.handed == 0 ? std::optional(line.requests.front()) : std::nullopt;
}

bool conversation_queue::contains(const std::string &conversation) const
{
    return m_lines.contains(conversation);
}

bool conversation_queue::isFirst(const std::string &conversation, const std::string &request) const
{
    const auto found = m_lines.find(conversation);
    return found != m_lines.end() && !found->second.requests.empty()
        && found->second.requests.front() == request;
}

} // namespace ivypier::requests
