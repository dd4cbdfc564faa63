#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier {

enum class log_level { debug, info, warning, error };

/// Builds one line of key=value pairs and writes it to standard output, without waiting for it and within
/// bounds (log_writer.h). Values with spaces, quotes or control
/// characters are quoted and escaped, so that one event is always one line.
class log_event
{
public:
    log_event(log_level level, std::string_view event);

    log_event &with(std::string_view key, std::string_view value);
    log_event &with(std::string_view key, std::int64_t value);
    log_event &with(std::string_view key, double value);

    /// Writes the line.
    void write() const;

    /// The line without its level and time.
    const std::string &text() const;

private:
    log_level m_level;
    std::string m_event;
    std::string m_text;
};

/// Sets up the log once in a process; events below `minLevel` are dropped. Keys of every line: `time`,
/// `level`, `program`, `event`.
void configureLog(std::string_view program, log_level minLevel);

} // namespace ivypier
