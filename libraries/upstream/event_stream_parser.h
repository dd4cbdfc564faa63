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

/// Splits a text/event-stream body, given in pieces of any size, into events.
class event_stream_parser
{
public:
    /// Longest unfinished event in bytes; a longer one marks the stream as broken.
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

    /// Takes the next chunk; the events that it completes.
    std::vector<server_sent_event> feed(std::string_view chunk);

    /// True after an event over the limit; feed() gives nothing from then on.
    bool isBroken() const;

private:
    void parseLine(std::string_view line, std::vector<server_sent_event> &completed);

    std::string m_buffer;
    server_sent_event m_current;
    bool m_hasData = false;
    bool m_broken = false;
};

} // namespace ivypier::upstream
