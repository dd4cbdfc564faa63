#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ivypier::upstream {

/// One server-sent event (HTML Living Standard, section 9.2).
struct server_sent_event
{
    std::string id;
    std::string type;
    std::string data;

    bool operator==(const server_sent_event &) const = default;
};

/// Incremental parser that splits a text/event-stream body, received in chunks of any size, into events.
class event_stream_parser
{
public:
    /// Maximum size of an unfinished event in bytes. A larger one marks the stream as broken.
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

    /// Parses the next chunk and returns the events that it completes.
    std::vector<server_sent_event> feed(std::string_view chunk);

    /// Returns whether an event exceeded max_event_bytes. From then on feed() returns no events.
    bool isBroken() const;

private:
    void parseLine(std::string_view line, std::vector<server_sent_event> &completed);

    std::string m_buffer;
    server_sent_event m_current;
    bool m_hasData = false;
    bool m_broken = false;
};

} // namespace ivypier::upstream
