#pragma once

#include "base/clock.h"

#include <compare>
#include <optional>

namespace ivypier::placement {

struct demand_estimate_options
{
    duration riseTimeConstant
        = std::chrono::seconds(20); ///< time timeConstant with which it follows a riseTimeConstant
    duration fallTimeConstant
        = std::chrono::minutes(10); ///< time timeConstant with which it follows a fallTimeConstant
    double headroom = 0.05; ///< part added to what was seen
    double roundingStep = 0.02; ///< it is rounded up to powers of 1 + this

    auto operator<=>(const demand_estimate_options &) const = default;
};

/// A rate to plan for: follows a riseTimeConstant soon and a fallTimeConstant late, so that a short lull
/// releases nothing.
class demand_estimate
{
public:
    explicit demand_estimate(demand_estimate_options options);

    void observe(time_point now, double rate);

    /// The rate to plan for, with headroom; nothing before the first observation.
    std::optional<double> plannedRate() const;

private:
    demand_estimate_options m_options;
    std::optional<double> m_rate;
    time_point m_observedAt{};
};

} // namespace ivypier::placement
