#pragma once

#include "base/clock.h"

#include <compare>
#include <optional>

namespace ivypier::placement {

struct demand_estimate_options
{
    duration rise = std::chrono::seconds(20); ///< time constant with which it follows a rise
    duration fall = std::chrono::minutes(10); ///< time constant with which it follows a fall
    double headroom = 0.05; ///< part added to what was seen
    double step = 0.02; ///< it is rounded up to powers of 1 + this

    auto operator<=>(const demand_estimate_options &) const = default;
};

/// A rate to plan for: follows a rise soon and a fall late, so that a short lull releases nothing.
class demand_estimate
{
public:
    explicit demand_estimate(demand_estimate_options options);

    void observe(time_point now, double rate);

    /// The rate to plan for, with headroom; nothing before the first observation.
    std::optional<double> planned() const;

private:
    demand_estimate_options m_options;
    std::optional<double> m_rate;
    time_point m_at{};
};

} // namespace ivypier::placement
