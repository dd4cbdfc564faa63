#pragma once

#include "base/clock.h"
#include "fleet/fleet_census.h"

#include <optional>

namespace ivypier::fleet {

/// Estimates the number of nodes that share the limits of the fleet. The census is a lower bound until the
/// membership has been discovered; until then the number that the fleet stored in a table counts as well.
class fleet_size
{
public:
    /// The membership counts as complete after `discovery_timeout`, or after `min_discovery_time` once a
    /// collector has answered.
    static constexpr duration discovery_timeout = std::chrono::seconds(3);
    static constexpr duration min_discovery_time = std::chrono::seconds(1);

    fleet_size(const clock &time, const membership::membership_view &members);

    /// Takes over the present members. Must be called a few times per second.
    void update(bool hasRemoteCollector);

    /// Sets the number of nodes that the fleet stored in a table.
    void setStored(std::size_t nodes);

    /// Returns the number of nodes, this one included.
    std::size_t count() const;

private:
    bool isDiscovered() const;

    const clock &m_time;
    fleet_census m_census;
    time_point m_startedAt;
    std::optional<std::size_t> m_stored;
    bool m_hasRemoteCollector = false;
    bool m_isDiscoveryLogged = false;
};

} // namespace ivypier::fleet
