#pragma once

#include "base/clock.h"
#include "fleet/fleet_census.h"

#include <optional>

namespace ivypier::fleet {

/// Estimates the number of nodes that share the limits of the fleet. A node that has just started may see
/// only some of them, or none if it is cut off, so the census is a lower bound: the number that the fleet
/// stored in a table counts for as long as a node that vanished would.
class fleet_size
{
public:
    /// Without a stored number the membership counts as complete once another node has answered, but not
    /// before `min_discovery_time`. If the table has none because the fleet is new, it does after
    /// `discovery_timeout` in any case.
    static constexpr duration discovery_timeout = std::chrono::seconds(3);
    static constexpr duration min_discovery_time = std::chrono::seconds(1);

    /// How long the peak counts after nodes were seen last.
    static constexpr duration peak_retention = std::chrono::minutes(10);

    fleet_size(const clock &time, const membership::membership_view &members);

    /// Takes over the present members. Must be called a few times per second.
    void update(bool hasRemoteCollector);

    /// Sets the number of nodes that the fleet stored in a table, or nothing if the table has none.
    void setStored(std::optional<std::size_t> nodes);

    /// Returns the number of nodes, this one included.
    std::size_t count() const;

    /// Returns the greatest number of nodes that was known within `peak_retention`, for limits of which a
    /// smaller share costs little: nodes that were forgotten in a long cut may still use theirs.
    std::size_t peak() const;

private:
    bool isDiscovered() const;
    void updatePeak();

    const clock &m_time;
    fleet_census m_census;
    time_point m_startedAt;
    std::optional<std::size_t> m_stored;
    bool m_isTableRead = false;
    bool m_hasRemoteCollector = false;
    bool m_isDiscoveryLogged = false;
    std::size_t m_peak = 1;
    time_point m_peakSeenAt{};
};

} // namespace ivypier::fleet
