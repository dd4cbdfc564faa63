#include "relay/event_scanner.h"

#include <charconv>

namespace ivypier::relay {

namespace {

/// Returns the offset behind the empty line that ends the first event, or 0 if the event is incomplete.
std::size_t eventEnd(std::string_view text)
{
    std::size_t lineStart = 0;
    while (true) {
        const std::size_t lineEnd = text.find('\n', lineStart);
        if (lineEnd == std::string_view::npos)
            return 0;
        const std::string_view line = text.substr(lineStart, lineEnd - lineStart);
        if (line.empty() || line == "\r")
            return lineEnd + 1;
        lineStart = lineEnd + 1;
    }
}

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

} // namespace

event_scanner::event_scanner(std::optional<std::uint64_t> last)
    : m_last(last)
{
}

std::string event_scanner::feed(std::string_view bytes)
{
    m_partial.append(bytes);
    std::string whole;
    std::string_view rest = m_partial;
    while (const std::size_t end = eventEnd(rest)) {
        const std::string_view event = rest.substr(0, end);
        rest.remove_prefix(end);
        const std::optional<std::uint64_t> number = eventNumber(event);
        if (number && m_last && *number <= *m_last)
            continue;
        if (number && m_last && *number != *m_last + 1)
            m_gap = true;
        if (number)
            m_last = number;
        whole.append(event);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return whole;
}

void event_scanner::restart()
{
    m_partial.clear();
}

} // namespace ivypier::relay
