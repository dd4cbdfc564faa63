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
        m_at = now;
        return;
    }
    const duration constant = rate > *m_rate ? m_options.rise : m_options.fall;
    const double weight = 1.0 - std::exp(-seconds(now - m_at) / seconds(constant));
    m_rate = *m_rate + (rate - *m_rate) * weight;
    m_at = now;
}

std::optional<double> demand_estimate::planned() const
{
    if (!m_rate || *m_rate <= 0.0)
        return m_rate;
    const double wanted = *m_rate * (1.0 + m_options.headroom);
    const double base = 1.0 + m_options.step;
    return std::pow(base, std::ceil(std::log(wanted) / std::log(base)));
}

} // namespace ivypier::placement
