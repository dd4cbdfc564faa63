#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace ivypier {

/// Writes log lines to a file descriptor without ever blocking. Lines that can't be written at once are
/// buffered, up to `max_buffered_log_bytes`; further lines are dropped and counted. Each event is limited to
/// `max_event_lines_per_second`; suppressed lines are counted. Thread-safe.
class log_writer
{
public:
    explicit log_writer(int descriptor);

    /// Returns true and counts the line if the event is below its rate limit in this second; otherwise counts
    /// the line as suppressed.
    bool tryAdmit(const std::string &event, time_point now);

    /// Writes a line and appends the line break.
    void write(std::string line);

    /// Returns the number of suppressed lines by event, and resets it. Events with lines in the current
    /// second are left for a later call.
    std::map<std::string, std::uint64_t> takeSuppressed(time_point now);

    /// Returns the number of lines dropped since the last call because the buffer was full.
    std::uint64_t takeDropped();

private:
    struct event_count
    {
        std::int64_t second = -1;
        std::uint64_t written = 0;
        std::uint64_t suppressed = 0;
    };

    void flush();
    bool isWritable() const;

    int m_descriptor;
    std::mutex m_mutex;
    std::map<std::string, event_count> m_events;
    std::deque<std::string> m_bufferedLines;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_frontBytesWritten = 0; ///< bytes of the first buffered line that have been written
    std::uint64_t m_dropped = 0;
};

/// Maximum total size of the buffered lines.
inline constexpr std::size_t max_buffered_log_bytes = std::size_t{256} * 1024;

/// Maximum number of lines of one event per second.
inline constexpr std::uint64_t max_event_lines_per_second = 40;

} // namespace ivypier
