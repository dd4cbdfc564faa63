#pragma once

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace ivypier {

/// Writes log lines to a file descriptor without ever waiting for it: lines that it does not take at once are
/// kept up to a bound, later ones are dropped and their number is told. Of one event only so many lines are
/// written in a second; the rest is told as a number. Safe to use from any thread.
class log_writer
{
public:
    explicit log_writer(int descriptor);

    /// True when one more line of this event may be written in this second.
    bool tryAdmit(const std::string &event, time_point now);

    /// Writes a line; the line's end is added.
    void write(std::string line);

    /// Events of which lines were left out in a second that is over, and how many.
    std::map<std::string, std::uint64_t> takeSuppressed(time_point now);

    /// Lines dropped since the last call because the descriptor did not take them.
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
    std::size_t m_frontBytesWritten = 0; ///< bytes of the first held line
    std::uint64_t m_dropped = 0;
};

/// Most bytes of lines that wait for the descriptor.
inline constexpr std::size_t max_buffered_log_bytes = std::size_t{256} * 1024;

/// Most lines of one event in a second.
inline constexpr std::uint64_t max_event_lines_per_second = 40;

} // namespace ivypier
