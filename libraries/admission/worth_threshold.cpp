#include "admission/worth_threshold.h"

#include <algorithm>

namespace ivypier::admission {

namespace {

/// Part of the target that is open to a request of no worth; the rest opens in proportion to worth.
constexpr double min_worth_fraction = 0.5;

/// Part of its threshold that is left to an account over its share.
constexpr double over_share_fraction = 0.7;

/// Part of its threshold that a request may wait that takes longer than that by itself.
constexpr double max_wait_fraction = 0.2;

constexpr duration min_retry_after = std::chrono::milliseconds(200);

} // namespace

duration worthThreshold(const admission_request &request)
{
    const double highestWorth = std::max(request.maxWorth, request.worth);
    const double relativeWorth = highestWorth > 0.0 ? request.worth / highestWorth : 1.0;
    double part = min_worth_fraction + (1.0 - min_worth_fraction) * relativeWorth;
    if (request.overShare)
        part *= over_share_fraction;
    const double target = seconds(request.target);
    const double unloaded = seconds(request.unloaded);
    if (unloaded <= part * target)
        return fromSeconds(part * target);
    const double maxWithWait = unloaded + max_wait_fraction * part * target;
    return fromSeconds(unloaded <= target ? std::min(maxWithWait, target) : maxWithWait);
}

duration retryAfterBacklog(const admission_request &request, random_source &randomness)
{
    const duration backlog = std::max(min_retry_after, request.expected - worthThreshold(request));
    return fromSeconds(seconds(backlog) * (1.0 + randomness.uniform()));
}

} // namespace ivypier::admission
