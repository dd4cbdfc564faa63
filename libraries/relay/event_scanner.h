#pragma once

#include "relay/event_numbering.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypier::relay {

/// Splits a stream of server-sent events (HTML Living Standard, section 9.2) into complete events without
/// changing their bytes, and drops events that were already forwarded.
class event_scanner
{
public:
    /// Maximum size of an incomplete event in bytes; a longer one marks the stream as broken.
    static constexpr std::size_t max_partial_event_bytes = std::size_t{1} << 20;

    /// Drops the events up to and including number `last`. If it is not known how the upstream numbers
    /// events, a stream that begins with a number above one is spaced, and all others are consecutive.
    explicit event_scanner(std::optional<std::uint64_t> last = std::nullopt,
                           std::optional<numbering> known = std::nullopt);

    /// Returns the numbering that the first two events of a new stream show; nothing before these.
    std::optional<numbering> observedNumbering() const
    {
        return m_observed;
    }

    /// Appends bytes to the stream. Returns the bytes of the events that are now complete and were not
    /// returned before.
    std::string feed(std::string_view bytes);

    /// Discards an incomplete event, because the stream resumes after lastEvent() from another upstream.
    void restart();

    /// Returns the number of the last complete event; initially the constructor's `last`.
    std::optional<std::uint64_t> lastEvent() const
    {
        return m_last;
    }

    /// Returns true while an incomplete event is buffered.
    bool hasPartialEvent() const
    {
        return !m_partial.empty();
    }

    /// Returns true if the numbers of consecutive events received so far skip a number.
    bool hasGap() const
    {
        return m_gap;
    }
    bool isBroken() const
    {
        return m_partial.size() > max_partial_event_bytes;
    }

    /// Returns true if the upstream at which the stream resumed sent something that is no event of it: an
    /// event without a number. That and all that follows is discarded.
    bool hasForeignText() const
    {
        return m_foreign;
    }

    /// Returns true if the stream resumed and no event has arrived since.
    bool awaitsContinuation() const
    {
        return m_isResumed && !m_hasEventSinceRestart;
    }

    /// Returns the size of the incomplete event in bytes.
    std::size_t partialEventBytes() const
    {
        return m_partial.size();
    }

private:
    std::size_t nextEventEnd();
    void recordNumber(std::uint64_t number);
    void discardPartialEvent();

    std::string m_partial;
    std::size_t m_lineStart = 0; ///< start of the last line in m_partial, which is incomplete
    std::size_t m_searchedTo = 0; ///< there is no end of a line between m_lineStart and here
    std::optional<std::uint64_t> m_last;
    std::optional<numbering> m_numbering; ///< nothing before the first event of a new stream
    std::optional<numbering> m_observed;
    bool m_isNew; ///< received from its beginning
    bool m_gap = false;
    bool m_isResumed = false;
    bool m_hasEventSinceRestart = false;
    bool m_foreign = false;
};

} // namespace ivypier::relay
