#include "relay/admission_threshold.h"

#include <algorithm>

namespace ivypier::relay {

void admission_threshold::record(double units, double weightedUnits)
{
    m_samples[m_recorded % sample_count] = {units, weightedUnits};
    ++m_recorded;
}

double admission_threshold::probabilityOf(double weightedUnits, double fraction) const
{
    const std::size_t count = std::min(m_recorded, sample_count);
    if (count < min_samples || fraction >= 1.0 || weightedUnits <= 0.0)
        return std::min(fraction, 1.0);
    std::array<sample, sample_count> bySize = m_samples;
    std::sort(bySize.begin(), bySize.begin() + count, [](const sample &left, const sample &right) {
        return left.weightedUnits < right.weightedUnits;
    });
    double total = 0.0;
    double ratios = 0.0; // sum of units / weighted units of the calls above the threshold
    for (std::size_t index = 0; index < count; ++index) {
        total += bySize[index].units;
        ratios += bySize[index].units / std::max(bySize[index].weightedUnits, 1e-9);
    }
    // The admitted units are the whole calls below the threshold and threshold * ratios of those above it.
    double whole = 0.0;
    for (std::size_t index = 0; index < count; ++index) {
        const sample &each = bySize[index];
        const double threshold = (fraction * total - whole) / ratios;
        if (threshold <= each.weightedUnits)
            return std::clamp(threshold / weightedUnits, 0.0, 1.0);
        whole += each.units;
        ratios = std::max(ratios - each.units / std::max(each.weightedUnits, 1e-9), 1e-9);
    }
    return 1.0;
}

} // namespace ivypier::relay
