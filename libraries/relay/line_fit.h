#pragma once

namespace ivypier::relay {

/// Fits a line to samples by least squares. Earlier samples lose weight with each new one.
class line_fit
{
public:
    /// Starts from a prior: the line `intercept + slope * x`, which weighs as much as `weight` samples at 0
    /// and as many at `span`.
    line_fit(double intercept, double slope, double span, double weight);

    void add(double x, double y, double weight = 1.0);

    /// Returns the fitted value at `x`. Neither the intercept nor the slope is below 0.
    double at(double x) const;

    double slope() const
    {
        return m_slope;
    }

private:
    void sum(double x, double y, double weight);
    void solve();

    double m_weight = 0.0;
    double m_x = 0.0;
    double m_y = 0.0;
    double m_xx = 0.0;
    double m_xy = 0.0;
    double m_intercept = 0.0;
    double m_slope = 0.0;
};

} // namespace ivypier::relay
