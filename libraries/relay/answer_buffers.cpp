#include "relay/answer_buffers.h"

#include <algorithm>

namespace ivypier::relay {

answer_buffers::answer_buffers(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

answer_buffers::buffer::buffer(answer_buffers &owner, drop_handler onDropped)
    : m_owner(owner)
    , m_id(++owner.m_lastId)
{
    owner.m_entries[m_id].onDropped = std::move(onDropped);
}

answer_buffers::buffer::~buffer()
{
    m_owner.resize(m_id, 0);
    m_owner.m_entries.erase(m_id);
}

void answer_buffers::buffer::resize(std::size_t bytes)
{
    m_owner.resize(m_id, bytes);
    while (m_owner.m_totalBytes > m_owner.m_limitBytes)
        m_owner.dropLargest();
}

std::size_t answer_buffers::readAheadLimit() const
{
    const std::size_t share = m_limitBytes / std::max<std::size_t>(m_entries.size(), 1);
    return std::clamp(share, min_read_ahead_bytes, max_read_ahead_bytes);
}

void answer_buffers::resize(std::uint64_t id, std::size_t bytes)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return; // dropped before
    m_bySize.erase({found->second.bytes, id});
    m_totalBytes += bytes - found->second.bytes;
    found->second.bytes = bytes;
    if (bytes > 0)
        m_bySize.emplace(bytes, id);
}

void answer_buffers::dropLargest()
{
    const std::uint64_t id = m_bySize.rbegin()->second;
    resize(id, 0);
    ++m_dropped;
    const drop_handler onDropped = std::move(m_entries.extract(id).mapped().onDropped);
    onDropped();
}

} // namespace ivypier::relay
