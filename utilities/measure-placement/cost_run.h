#pragma once

#include "placement/cheapest_mix.h"
#include "placement/mix_policy.h"
#include "price_trace.h"

#include <cstdint>

namespace ivypier::measure {

/// Cost of a run over a trace, and how well it covered the demand.
struct cost_result
{
    double cost = 0.0; ///< after the warm-up; each VM is billed from its order to its end
    double underCapacityFraction = 0.0; ///< fraction of the time with capacity below the demand
    double unprotectedFraction = 0.0; ///< the same after the loss of the largest domain
    std::size_t started = 0;
    std::size_t refused = 0;
};

/// Runs the production planner code over a trace in virtual time.
cost_result runPlanner(const price_trace &trace, const placement::mix_policy &policy, std::uint64_t seed);

/// Returns the cost of running the cheapest mix for each period of `periodSeconds`, with the period's peak
/// demand and prices known in advance and without start times, refusals or reclaims.
double hindsightCost(const price_trace &trace, double periodSeconds);

} // namespace ivypier::measure
