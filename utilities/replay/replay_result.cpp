#include "replay_result.h"

#include <algorithm>

namespace ivypier::replay {

void request_counts::add(const request_counts &other)
{
    offered += other.offered;
    refused += other.refused;
    failed += other.failed;
    answered += other.answered;
    withinTarget += other.withinTarget;
    admittedThoughLate += other.admittedThoughLate;
    firstTokenSeconds.insert(firstTokenSeconds.end(), other.firstTokenSeconds.begin(),
                             other.firstTokenSeconds.end());
    interTokenSeconds.insert(interTokenSeconds.end(), other.interTokenSeconds.begin(),
                             other.interTokenSeconds.end());
}

request_counts replay_result::total() const
{
    request_counts sum;
    for (const auto &[key, each] : byAccountAndClass)
        sum.add(each);
    return sum;
}

double replay_result::goodput() const
{
    return measuredSeconds > 0.0 ? static_cast<double>(total().withinTarget) / measuredSeconds : 0.0;
}

double replay_result::throughput() const
{
    return measuredSeconds > 0.0 ? static_cast<double>(completedInWindow) / measuredSeconds : 0.0;
}

double replay_result::cacheHitRate() const
{
    if (promptTokens == 0)
        return 0.0;
    return 1.0 - static_cast<double>(computedTokens) / static_cast<double>(promptTokens);
}

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0.0;
    const auto index = std::min(values.size() - 1,
                                static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

} // namespace ivypier::replay
