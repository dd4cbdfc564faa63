#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace ivypier::relay {

/// How the events of a stream are numbered.
enum class numbering {
    consecutive, ///< each number is one more than the one before, so a missing event shows
    spaced, ///< numbers increase, as when they count the tokens of the events
};

/// Remembers how the streams of each software version of a service are numbered.
class event_numbering
{
public:
    /// Returns the numbering that was observed more often, or nothing if no stream was.
    std::optional<numbering> find(const std::string &service, const std::string &softwareVersion) const;

    /// Records the numbering of a stream that was received from its beginning.
    void record(const std::string &service, const std::string &softwareVersion, numbering observed);

private:
    struct counts
    {
        std::uint64_t consecutive = 0;
        std::uint64_t spaced = 0;
    };

    std::map<std::pair<std::string, std::string>, counts> m_counts;
};

} // namespace ivypier::relay
