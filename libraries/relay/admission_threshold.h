#pragma once

#include <array>
#include <cstddef>

namespace ivypier::relay {

/// Splits what an account may still use fairly over its calls when they request more.
///
/// Max-min fairness by call: each call gets the same number of weighted units, so calls up to a threshold are
/// admitted whole and larger ones with the probability threshold / size. Admitting all sizes with the same
/// probability would refuse many short calls in favour of a few long ones. The threshold is derived from the
/// sizes of the most recent calls.
class admission_threshold
{
public:
    /// Records a call that was requested, admitted or not. `weightedUnits` is what the call counts as in the
    /// comparison with others; urgent calls count as smaller than they are.
    void record(double units, double weightedUnits);

    /// Returns the probability with which a call is admitted, so that the admitted calls use `fraction` of
    /// all requested units.
    double probabilityOf(double weightedUnits, double fraction) const;

private:
    /// Number of recent calls; enough for the mix of the kinds of calls of an account.
    static constexpr std::size_t sample_count = 64;
    /// With fewer calls the sizes say too little, and all calls are treated alike.
    static constexpr std::size_t min_samples = 8;

    struct sample
    {
        double units = 0.0;
        double weightedUnits = 0.0;
    };

    std::array<sample, sample_count> m_samples{};
    std::size_t m_recorded = 0;
};

} // namespace ivypier::relay
