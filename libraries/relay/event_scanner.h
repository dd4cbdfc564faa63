#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypier::relay {

/// Cuts a stream of server-sent events (HTML Living Standard, section 9.2) into whole events without changing
/// their bytes, and drops events that were passed on before.
class event_scanner
{
public:
    /// Longest unfinished event in bytes; a longer one marks the stream as broken.
    static constexpr std::size_t max_partial_event_bytes = std::size_t{1} << 20;

    /// Starts with the events after `last`.
    explicit event_scanner(std::optional<std::uint64_t> last = std::nullopt);

    /// Takes the next bytes; gives the bytes of the events that are whole now and are new.
    std::string feed(std::string_view bytes);

    /// Forgets an unfinished event: another upstream goes on after lastEvent().
    void restart();

    /// The number of the last whole event that was given.
    std::optional<std::uint64_t> lastEvent() const
    {
        return m_last;
    }

    /// True while bytes of an unfinished event are held.
    bool hasPartialEvent() const
    {
        return !m_partial.empty();
    }

    /// True when an event is missing between two that came.
    bool hasGap() const
    {
        return m_gap;
    }
    bool isBroken() const
    {
        return m_partial.size() > max_partial_event_bytes;
    }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_last;
    bool m_gap = false;
};

} // namespace ivypier::relay
