#include "upstream/event_stream_parser.h"

namespace ivypier::upstream {

std::vector<server_sent_event> event_stream_parser::feed(std::string_view piece)
{
    std::vector<server_sent_event> completed;
    if (m_broken)
        return completed;
    m_rest += piece;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = m_rest.find('\n', start);
        if (end == std::string::npos)
            break;
        std::string_view line(m_rest.data() + start, end - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        takeLine(line, completed);
        start = end + 1;
    }
    m_rest.erase(0, start);
    m_broken = m_rest.size() + m_current.data.size() > event_limit;
    return completed;
}

bool event_stream_parser::isBroken() const
{
    return m_broken;
}

void event_stream_parser::takeLine(std::string_view line, std::vector<server_sent_event> &completed)
{
    if (line.empty()) {
        if (m_hasData)
            completed.push_back(m_current);
        m_current = {};
        m_hasData = false;
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "data") {
        m_current.data += (m_hasData ? "\n" : "") + std::string(value);
        m_hasData = true;
    } else if (field == "id") {
        m_current.id = value;
    } else if (field == "event") {
        m_current.type = value;
    }
}

} // namespace ivypier::upstream
