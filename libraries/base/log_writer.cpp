#include "base/log_writer.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace ivypier {

log_writer::log_writer(int descriptor)
    : m_descriptor(descriptor)
{
}

bool log_writer::tryAdmit(const std::string &event, time_point now)
{
    const std::lock_guard lock(m_mutex);
    event_count &count = m_events[event];
    const std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
    if (count.second != second) {
        count.second = second;
        count.written = 0;
    }
    if (count.written >= max_event_lines_per_second) {
        ++count.suppressed;
        return false;
    }
    ++count.written;
    return true;
}

std::map<std::string, std::uint64_t> log_writer::takeSuppressed(time_point now)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
    std::map<std::string, std::uint64_t> result;
    for (auto &[event, count] : m_events) {
        if (count.suppressed == 0 || count.second == second)
            continue;
        result[event] = count.suppressed;
        count.suppressed = 0;
    }
    return result;
}

std::uint64_t log_writer::takeDropped()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_dropped, 0);
}

void log_writer::write(std::string line)
{
    const std::lock_guard lock(m_mutex);
    if (m_bufferedBytes + line.size() + 1 > max_buffered_log_bytes) {
        flush();
        if (m_bufferedBytes + line.size() + 1 > max_buffered_log_bytes) {
            ++m_dropped;
            return;
        }
    }
    line += '\n';
    m_bufferedBytes += line.size();
    m_bufferedLines.push_back(std::move(line));
    flush();
}

bool log_writer::isWritable() const
{
    pollfd pollEntry{m_descriptor, POLLOUT, 0};
    return poll(&pollEntry, 1, 0) == 1 && (pollEntry.revents & POLLOUT) != 0;
}

void log_writer::flush()
{
    // A write of up to PIPE_BUF bytes to a writable pipe doesn't block.
    constexpr std::size_t maxWriteBytes = 4096;
    while (!m_bufferedLines.empty() && isWritable()) {
        const std::string &line = m_bufferedLines.front();
        const std::size_t size = std::min(line.size() - m_frontBytesWritten, maxWriteBytes);
        const ssize_t written = ::write(m_descriptor, line.data() + m_frontBytesWritten, size);
        if (written <= 0)
            return;
        m_frontBytesWritten += static_cast<std::size_t>(written);
        m_bufferedBytes -= static_cast<std::size_t>(written);
        if (m_frontBytesWritten < line.size())
            continue;
        m_bufferedLines.pop_front();
        m_frontBytesWritten = 0;
    }
}

} // namespace ivypier
