#include "placement/demand_estimate.h"

#include <cmath>

namespace ivypier::placement {

demand_estimate::demand_estimate(demand_estimate_options options)
    : m_options(options)
{
}

void demand_estimate::observe(time_point now, double rate)
{
    if (!m_rate) {
        m_rate = rate;
        m_observedAt = now;
        return;
    }
    const duration timeConstant = rate > *m_rate ? m_options.riseTimeConstant : m_options.fallTimeConstant;
    const double weight = 1.0 - std::exp(-seconds(now - m_observedAt) / seconds(timeConstant));
    m_rate = *m_rate + (rate - *m_rate) * weight;
    m_observedAt = now;
}

std::optional<double> demand_estimate::plannedRate() const
{
    if (!m_rate || *m_rate <= 0.0)
        return m_rate;
    const double target = *m_rate * (1.0 + m_options.headroom);
    const double base = 1.0 + m_options.roundingStep;
    return std::pow(base, std::ceil(std::log(target) / std::log(base)));
}

} // namespace ivypier::placement
