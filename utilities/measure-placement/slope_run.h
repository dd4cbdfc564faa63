#pragma once

#include <cstddef>
#include <cstdint>

namespace ivypier::measure {

/// Resources that one active planner of one service uses.
struct scaling_result
{
    double cpuUtilization = 0.0; ///< of one core
    double memoryBytes = 0.0; ///< heap in use after the warm-up, beyond that before the planner was created
    double callsPerSecond = 0.0; ///< calls to the platform and the engines
    double vmListBytes = 0.0; ///< size of the platform's VM list, which every cycle reads
};

/// Runs the planner's capacity and order code against `upstreams` runners in virtual time. The VM list and
/// the engines' responses are decoded from JSON on every read; the cost of the transport is not included.
scaling_result measureScaling(std::size_t upstreams, std::uint64_t seed);

} // namespace ivypier::measure
