#include "admission/worth_threshold.h"

#include <algorithm>

namespace ivypier::admission {

namespace {

/// Fraction of the target that is the threshold of a request without worth; the rest is added in proportion
/// to worth.
constexpr double min_worth_fraction = 0.5;

/// Factor on the threshold of an account over its share.
constexpr double over_share_fraction = 0.7;

/// Fraction of its threshold that a request may wait if it exceeds the threshold even on an idle upstream.
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
