#pragma once

#include "relay/upstream_directory.h"

#include <compare>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace ivypier::relay {

/// A version with at most this many upstreams is scarce: the streams that began at it have nowhere else to
/// go.
inline constexpr std::size_t scarce_version_upstreams = 2;

/// Calls at an upstream of a scarce version, by its slots, from which on it is avoided by new calls.
inline constexpr double avoided_scarce_load = 0.7;

/// Calls at an upstream of a scarce version, by its slots, from which on no new call is sent there. The rest
/// of its queue is left to streams that go on, which are run first.
inline constexpr double closed_scarce_load = 1.5;

/// What else is known about an upstream, besides its record.
struct upstream_occupancy
{
    double load = 0.0; ///< of all nodes, in calls
    bool isLimited = false; ///< it limits the calls that it takes
};

/// The upstreams of scarce versions that are kept for streams that go on.
struct version_reserve
{
    std::set<std::string> avoided; ///< new calls are sent there only if no other upstream is left
    std::set<std::string> closed; ///< no new call is sent there

    auto operator<=>(const version_reserve &) const = default;
};

/// Returns which upstreams are reserved: none for a service with one version.
version_reserve reservedForResumption(const std::vector<const upstream *> &ready,
                                      const std::function<upstream_occupancy(const upstream &)> &occupancyOf);

} // namespace ivypier::relay
