#include "relay/event_scanner.h"

#include <charconv>

namespace ivypier::relay {

namespace {

/// Returns the number in the first numeric `id:` field, if any.
std::optional<std::uint64_t> eventNumber(std::string_view event)
{
    constexpr std::string_view name = "id:";
    std::size_t lineStart = 0;
    while (lineStart < event.size()) {
        const std::size_t lineEnd = event.find('\n', lineStart);
        std::string_view line = event.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd == std::string_view::npos ? event.size() : lineEnd + 1;
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t number = 0;
        const auto [end, failure] = std::from_chars(line.data(), line.data() + line.size(), number);
        if (failure == std::errc())
            return number;
    }
    return std::nullopt;
}

/// Returns whether an event consists of comments, which upstreams send to keep a connection open.
bool isComment(std::string_view event)
{
    char previous = '\n';
    for (const char each : event) {
        const bool isLineOfComment = each == ':' || each == '\r' || each == '\n';
        if (previous == '\n' && !isLineOfComment)
            return false;
        previous = each;
    }
    return true;
}

} // namespace

event_scanner::event_scanner(std::optional<std::uint64_t> last, std::optional<numbering> known)
    : m_last(last)
    , m_numbering(last ? known.value_or(numbering::consecutive) : known)
    , m_isNew(!last)
{
}

void event_scanner::recordNumber(std::uint64_t number)
{
    if (!m_numbering)
        m_numbering = number > 1 ? numbering::spaced : numbering::consecutive;
    const bool skips = m_last && number != *m_last + 1;
    if (m_isNew && m_last && !m_observed)
        m_observed = skips ? numbering::spaced : numbering::consecutive;
    m_gap = m_gap || (skips && m_numbering == numbering::consecutive);
    m_last = number;
}

std::size_t event_scanner::nextEventEnd()
{
    while (true) {
        const std::size_t lineEnd = m_partial.find('\n', m_searchedTo);
        if (lineEnd == std::string::npos) {
            m_searchedTo = m_partial.size();
            return 0;
        }
        const std::string_view line = std::string_view(m_partial).substr(m_lineStart, lineEnd - m_lineStart);
        m_lineStart = m_searchedTo = lineEnd + 1;
        if (line.empty() || line == "\r")
            return m_lineStart;
    }
}

std::string event_scanner::feed(std::string_view bytes)
{
    if (m_foreign)
        return {};
    m_partial.append(bytes);
    std::string whole;
    std::size_t eventStart = 0;
    while (const std::size_t end = nextEventEnd()) {
        const std::string_view event = std::string_view(m_partial).substr(eventStart, end - eventStart);
        eventStart = end;
        const std::optional<std::uint64_t> number = eventNumber(event);
        if (m_isResumed && !number && !isComment(event)) {
            m_foreign = true;
            discardPartialEvent();
            return whole;
        }
        m_hasEventSinceRestart = m_hasEventSinceRestart || number.has_value();
        if (number && m_last && *number <= *m_last)
            continue;
        if (number)
            recordNumber(*number);
        whole.append(event);
    }
    m_partial.erase(0, eventStart);
    m_lineStart -= eventStart;
    m_searchedTo -= eventStart;
    return whole;
}

void event_scanner::restart()
{
    discardPartialEvent();
    m_isResumed = true;
    m_hasEventSinceRestart = m_foreign = false;
}

void event_scanner::discardPartialEvent()
{
    m_partial.clear();
    m_lineStart = m_searchedTo = 0;
}

} // namespace ivypier::relay
