#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ivypier {

enum class log_level { debug, info, warning, error };

/// Builds one line of key=value pairs and writes it to standard output. Writing never blocks and is
/// rate-limited (log_writer.h). Values with spaces, quotes, equals signs, backslashes or control characters
/// are quoted and escaped, so that one event is always one line.
class log_event
{
public:
    log_event(log_level level, std::string_view event);

    log_event &with(std::string_view key, std::string_view value);
    log_event &with(std::string_view key, std::int64_t value);
    log_event &with(std::string_view key, double value);

    /// Writes the line unless its level is disabled or its event is over the rate limit.
    void write() const;

    /// Returns the event's key=value pairs, without time, level and program.
    const std::string &text() const;

private:
    log_level m_level;
    std::string m_event;
    std::string m_text;
};

/// Configures the log; call it once per process. Events below `minLevel` are dropped. Every line has the keys
/// `time`, `level`, `program` and `event`.
void configureLog(std::string_view program, log_level minLevel);

} // namespace ivypier
