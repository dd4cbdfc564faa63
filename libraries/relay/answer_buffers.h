#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace ivypier::relay {

/// Bounds the bytes of upstreams' answers that a node buffers, over all calls. When the limit is exceeded,
/// the largest buffer is dropped, so that endless answers don't take the memory of ordinary ones.
class answer_buffers
{
public:
    /// Called once, when the buffer must be dropped. It may destroy that buffer, unless it is the one whose
    /// resize() is running.
    using drop_handler = std::function<void()>;

    /// The bytes that one call buffers. They are released with this object.
    class buffer
    {
    public:
        buffer(answer_buffers &owner, drop_handler onDropped);
        ~buffer();
        buffer(const buffer &) = delete;
        buffer &operator=(const buffer &) = delete;

        /// Sets the number of buffered bytes. May drop the largest buffer, possibly this one.
        void resize(std::size_t bytes);

    private:
        answer_buffers &m_owner;
        std::uint64_t m_id;
    };

    /// Bytes that are read ahead of a caller that reads slowly: at most, and at least.
    static constexpr std::size_t max_read_ahead_bytes = std::size_t{256} * 1024;
    static constexpr std::size_t min_read_ahead_bytes = std::size_t{16} * 1024;

    explicit answer_buffers(std::size_t limitBytes);

    /// Returns how many bytes may wait for the caller of one call before reading from its upstream is paused:
    /// an equal part of the limit for each call in progress.
    std::size_t readAheadLimit() const;

    std::size_t totalBytes() const
    {
        return m_totalBytes;
    }

    /// Returns how many buffers were dropped since the start.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

private:
    struct entry
    {
        std::size_t bytes = 0;
        drop_handler onDropped;
    };

    void resize(std::uint64_t id, std::size_t bytes);
    void dropLargest();

    std::size_t m_limitBytes;
    std::size_t m_totalBytes = 0;
    std::map<std::uint64_t, entry> m_entries;
    std::set<std::pair<std::size_t, std::uint64_t>> m_bySize;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace ivypier::relay
