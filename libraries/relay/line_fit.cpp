#include "relay/line_fit.h"

#include <algorithm>

namespace ivypier::relay {

namespace {

/// Weight that the earlier samples keep with each new one: the last 300 samples count.
constexpr double retained_weight = 1.0 - 1.0 / 300.0;

} // namespace

line_fit::line_fit(double intercept, double slope, double span, double weight)
{
    sum(0.0, intercept, weight);
    sum(span, intercept + slope * span, weight);
    solve();
}

void line_fit::add(double x, double y, double weight)
{
    for (double *each : {&m_weight, &m_x, &m_y, &m_xx, &m_xy})
        *each *= 1.0 - (1.0 - retained_weight) * weight;
    sum(x, y, weight);
    solve();
}

double line_fit::at(double x) const
{
    return m_intercept + m_slope * x;
}

void line_fit::sum(double x, double y, double weight)
{
    m_weight += weight;
    m_x += weight * x;
    m_y += weight * y;
    m_xx += weight * x * x;
    m_xy += weight * x * y;
}

void line_fit::solve()
{
    const double spread = m_weight * m_xx - m_x * m_x;
    // Samples at about the same x say nothing about the slope; the last one is kept.
    if (spread > 1e-6 * m_weight * m_xx)
        m_slope = std::max((m_weight * m_xy - m_x * m_y) / spread, 0.0);
    m_intercept = (m_y - m_slope * m_x) / m_weight;
    if (m_intercept < 0.0) {
        m_intercept = 0.0;
        m_slope = m_xx > 0.0 ? m_xy / m_xx : 0.0;
    }
}

} // namespace ivypier::relay
