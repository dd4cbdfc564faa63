#pragma once

#include <cstddef>
#include <cstdint>

namespace ivypier::measure {

/// What one active planner of one service takes.
struct scaling_result
{
    double cpuUtilization = 0.0; ///< of one core
    double memoryBytes = 0.0; ///< held beyond an empty planner
    double callsPerSecond = 0.0; ///< to the platform and the engines
    double vmListBytes = 0.0; ///< of the platform's VM list, read at every turn
};

/// Runs the planner's capacity and order code before `upstreams` runners in virtual time, with the VM list
/// and the engines' answers decoded from JSON as they come; transport is not part of it.
scaling_result measureScaling(std::size_t upstreams, std::uint64_t seed);

} // namespace ivypier::measure
