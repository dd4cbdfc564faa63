#include "replay_result.h"

#include <algorithm>

namespace ivypier::replay {

void request_counts::add(const request_counts &other)
{
    offered += other.offered;
    refused += other.refused;
    failed += other.failed;
    answered += other.answered;
    inTarget += other.inTarget;
    lateByChoice += other.lateByChoice;
    firstTokenSeconds.insert(firstTokenSeconds.end(), other.firstTokenSeconds.begin(),
                             other.firstTokenSeconds.end());
    betweenTokensSeconds.insert(betweenTokensSeconds.end(), other.betweenTokensSeconds.begin(),
                                other.betweenTokensSeconds.end());
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
    return measuredSeconds > 0.0 ? static_cast<double>(total().inTarget) / measuredSeconds : 0.0;
}

double replay_result::throughput() const
{
    return measuredSeconds > 0.0 ? static_cast<double>(endedInMeasured) / measuredSeconds : 0.0;
}

double replay_result::hitRate() const
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
