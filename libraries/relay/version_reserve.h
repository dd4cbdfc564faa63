#pragma once

#include "relay/upstream_directory.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace ivypier::relay {

/// A version with at most this many upstreams is scarce: the streams that began at it have nowhere else to
/// go.
inline constexpr std::size_t scarce_version_upstreams = 2;

/// Fraction of the slots of an upstream of a scarce version up to which new calls are sent there.
inline constexpr double scarce_version_load = 0.7;

/// What else is known about an upstream, besides its record.
struct upstream_occupancy
{
    double load = 0.0; ///< of all nodes, in calls
    bool isLimited = false; ///< it limits the calls that it takes
};

/// Returns the upstreams of scarce versions that are kept for streams that go on. New calls are sent to them
/// only if no other upstream is left. Returns nothing for a service with one version.
std::set<std::string>
reservedForResumption(const std::vector<const upstream *> &ready,
                      const std::function<upstream_occupancy(const upstream &)> &occupancyOf);

} // namespace ivypier::relay
