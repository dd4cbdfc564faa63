#include "relay/event_numbering.h"

namespace ivypier::relay {

namespace {

/// Software versions that are remembered; the platform's table lists a few at a time.
constexpr std::size_t max_versions = 256;

} // namespace

std::optional<numbering> event_numbering::find(const std::string &service,
                                               const std::string &softwareVersion) const
{
    const auto found = m_counts.find({service, softwareVersion});
    if (found == m_counts.end())
        return std::nullopt;
    return found->second.spaced > found->second.consecutive ? numbering::spaced : numbering::consecutive;
}

void event_numbering::record(const std::string &service, const std::string &softwareVersion,
                             numbering observed)
{
    if (m_counts.size() >= max_versions && !m_counts.contains({service, softwareVersion}))
        m_counts.clear();
    counts &of = m_counts[{service, softwareVersion}];
    ++(observed == numbering::spaced ? of.spaced : of.consecutive);
}

} // namespace ivypier::relay
