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
    static constexpr std::size_t event_limit = std::size_t{1024} * 1024;

    /// Takes the next piece; the events that it completes.
    std::vector<server_sent_event> feed(std::string_view piece);

    /// True after an event over the limit; feed() gives nothing from then on.
    bool isBroken() const;

private:
    void takeLine(std::string_view line, std::vector<server_sent_event> &completed);

    std::string m_rest;
    server_sent_event m_current;
    bool m_hasData = false;
    bool m_broken = false;
};

} // namespace ivypier::upstream
