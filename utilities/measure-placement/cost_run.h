#pragma once

#include "placement/cheapest_mix.h"
#include "placement/mix_policy.h"
#include "price_trace.h"

#include <cstdint>

namespace ivypier::measure {

/// What a run over a trace cost and how it held the target.
struct cost_result
{
    double cost = 0.0; ///< of the whole trace, from order to end of each VM
    double underCapacityFraction = 0.0; ///< fraction of the time in which the VMs did not carry the demand
    double unprotectedFraction = 0.0; ///< fraction of the time in which they would not after losing a domain
    std::size_t started = 0;
    std::size_t refused = 0;
};

/// Runs the planner's own code over a trace, in virtual time.
cost_result runPlanner(const price_trace &trace, const placement::mix_policy &policy, std::uint64_t seed);

/// The cost of the cheapest mix of each period of `periodSeconds`, chosen knowing the period's peak demand
/// and its prices, with no start times, refusals or reclaims.
double hindsightCost(const price_trace &trace, double periodSeconds);

} // namespace ivypier::measure
