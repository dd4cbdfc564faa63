#include "routing/prefix_index.h"

#include <algorithm>

namespace ivypier::routing {

void prefix_index::sent(const routing_request &request, time_point now)
{
    const std::size_t count = std::min(request.prefixes.size(), request.prefixTokens.size());
    // Store the longest prefix first, so that it is the least recently used one of the prompt: engines evict
    // the end of a prompt before its beginning.
    for (std::size_t index = count; index-- > 0;)
        store(request.prefixes[index], request.prefixTokens[index], now);
}

void prefix_index::apply(const std::vector<upstream::cache_event> &events, time_point now)
{
    const bool restarted = !events.empty() && events.back().sequence < m_lastSequence;
    if (restarted) {
        dropAll();
        m_lastSequence = 0;
    }
    for (const upstream::cache_event &event : events) {
        if (event.sequence <= m_lastSequence)
            continue;
        if (m_lastSequence != 0)
            dropLeastRecent(event.sequence - m_lastSequence - 1);
        m_lastSequence = event.sequence;
        if (event.stored)
            store(event.prefix, event.tokens, time_point{});
        else
            evict(event.prefix, now);
    }
}

std::uint64_t prefix_index::cachedTokens(const routing_request &request) const
{
    for (auto prefix = request.prefixes.rbegin(); prefix != request.prefixes.rend(); ++prefix) {
        const auto found = m_entries.find(*prefix);
        if (found != m_entries.end())
            return std::min(found->second.tokens, request.promptTokens);
    }
    return 0;
}

std::size_t prefix_index::size() const
{
    return m_entries.size();
}

void prefix_index::dropLeastRecent(std::uint64_t count)
{
    for (; count > 0 && !m_recency.empty(); --count) {
        m_entries.erase(m_recency.back());
        m_recency.pop_back();
    }
}

void prefix_index::dropAll()
{
    m_entries.clear();
    m_recency.clear();
}

void prefix_index::store(const std::string &prefix, std::uint64_t tokens, time_point sentAt)
{
    const auto found = m_entries.find(prefix);
    if (found != m_entries.end()) {
        m_recency.splice(m_recency.begin(), m_recency, found->second.usePosition);
        found->second.tokens = tokens;
        found->second.sentAt = std::max(found->second.sentAt, sentAt);
        return;
    }
    m_recency.push_front(prefix);
    m_entries[prefix] = {tokens, sentAt, m_recency.begin()};
    if (m_entries.size() <= max_entries)
        return;
    m_entries.erase(m_recency.back());
    m_recency.pop_back();
}

void prefix_index::evict(const std::string &prefix, time_point now)
{
    const auto found = m_entries.find(prefix);
    if (found == m_entries.end())
        return;
    const bool recentlySent
        = found->second.sentAt != time_point{} && now - found->second.sentAt < max_event_lag;
    if (recentlySent)
        return;
    m_recency.erase(found->second.usePosition);
    m_entries.erase(found);
}

} // namespace ivypier::routing
