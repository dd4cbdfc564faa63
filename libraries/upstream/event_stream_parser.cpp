#include "upstream/event_stream_parser.h"

namespace ivypier::upstream {

std::vector<server_sent_event> event_stream_parser::feed(std::string_view chunk)
{
    std::vector<server_sent_event> completed;
    if (m_broken)
        return completed;
    m_buffer += chunk;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = m_buffer.find('\n', start);
        if (end == std::string::npos)
            break;
        std::string_view line(m_buffer.data() + start, end - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        parseLine(line, completed);
        start = end + 1;
    }
    m_buffer.erase(0, start);
    m_broken = m_buffer.size() + m_current.data.size() > max_event_bytes;
    return completed;
}

bool event_stream_parser::isBroken() const
{
    return m_broken;
}

void event_stream_parser::parseLine(std::string_view line, std::vector<server_sent_event> &completed)
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
