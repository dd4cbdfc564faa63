#pragma once

#include "base/clock.h"

#include <compare>
#include <optional>

namespace ivypier::placement {

struct demand_estimate_options
{
    duration riseTimeConstant = std::chrono::seconds(20);
    duration fallTimeConstant = std::chrono::minutes(10);
    double headroom = 0.05; ///< fraction added to the smoothed rate
    double roundingStep = 0.02; ///< the planned rate is rounded up to powers of 1 + this

    auto operator<=>(const demand_estimate_options &) const = default;
};

/// Smooths an observed rate exponentially: it follows a rise quickly and a fall slowly, so that no VM is
/// released in a short lull.
class demand_estimate
{
public:
    explicit demand_estimate(demand_estimate_options options);

    void observe(time_point now, double rate);

    /// Returns the rate to plan for, with headroom; nothing before the first observation.
    std::optional<double> plannedRate() const;

private:
    demand_estimate_options m_options;
    std::optional<double> m_rate;
    time_point m_observedAt{};
};

} // namespace ivypier::placement
