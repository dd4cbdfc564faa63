#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace ivypier::delivery {

/// The operator's order to replace the software version of a service.
struct rollout_order
{
    std::string service;
    std::string targetVersion;
    duration length{}; ///< time from the order to its deadline
    std::uint64_t rowVersion = 0; ///< version of the order's row; identifies the order
    time_point seenAt{}; ///< when this node first read the order

    auto operator<=>(const rollout_order &) const = default;
};

/// Bounds on rollouts that the deployment states in its settings.
struct rollout_limits
{
    double exposureShare = 0.1; ///< part of all calls between order and deadline
    std::uint64_t exposureTolerance = 50; ///< calls in addition to that part
    duration rollbackTime = std::chrono::seconds(5); ///< after the 50th bad response of the fleet

    auto operator<=>(const rollout_limits &) const = default;
};

} // namespace ivypier::delivery
