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

bool log_writer::admits(const std::string &event, time_point now)
{
    const std::lock_guard lock(m_mutex);
    event_count &count = m_events[event];
    const std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
    if (count.second != second) {
        count.second = second;
        count.written = 0;
    }
    if (count.written >= event_lines_per_second) {
        ++count.leftOut;
        return false;
    }
    ++count.written;
    return true;
}

std::map<std::string, std::uint64_t> log_writer::takeLeftOut(time_point now)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
    std::map<std::string, std::uint64_t> result;
    for (auto &[event, count] : m_events) {
        if (count.leftOut == 0 || count.second == second)
            continue;
        result[event] = count.leftOut;
        count.leftOut = 0;
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
    if (m_heldBytes + line.size() + 1 > held_log_bytes) {
        flush();
        if (m_heldBytes + line.size() + 1 > held_log_bytes) {
            ++m_dropped;
            return;
        }
    }
    line += '\n';
    m_heldBytes += line.size();
    m_held.push_back(std::move(line));
    flush();
}

bool log_writer::isWritable() const
{
    pollfd asked{m_descriptor, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

void log_writer::flush()
{
    // A pipe that is writable takes PIPE_BUF bytes without waiting.
    constexpr std::size_t atOnce = 4096;
    while (!m_held.empty() && isWritable()) {
        const std::string &line = m_held.front();
        const std::size_t size = std::min(line.size() - m_partWritten, atOnce);
        const ssize_t written = ::write(m_descriptor, line.data() + m_partWritten, size);
        if (written <= 0)
            return;
        m_partWritten += static_cast<std::size_t>(written);
        m_heldBytes -= static_cast<std::size_t>(written);
        if (m_partWritten < line.size())
            continue;
        m_held.pop_front();
        m_partWritten = 0;
    }
}

} // namespace ivypier
