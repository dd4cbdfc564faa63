#include "admission/worth_threshold.h"

#include <algorithm>

namespace ivypier::admission {

namespace {

/// Part of the target that is open to a request of no worth; the rest opens in proportion to worth.
constexpr double least_worth_part = 0.5;

/// Part of its threshold that is left to an account over its share.
constexpr double over_share_part = 0.7;

/// Part of its threshold that a request may wait that takes longer than that by itself.
constexpr double most_wait_part = 0.2;

constexpr duration least_retry_after = std::chrono::milliseconds(200);

} // namespace

duration worthThreshold(const admission_request &request)
{
    const double most = std::max(request.mostWorth, request.worth);
    const double relative = most > 0.0 ? request.worth / most : 1.0;
    double part = least_worth_part + (1.0 - least_worth_part) * relative;
    if (request.overShare)
        part *= over_share_part;
    const double target = seconds(request.target);
    const double unloaded = seconds(request.unloaded);
    if (unloaded <= part * target)
        return fromSeconds(part * target);
    const double withWait = unloaded + most_wait_part * part * target;
    return fromSeconds(unloaded <= target ? std::min(withWait, target) : withWait);
}

duration retryAfterBacklog(const admission_request &request, random_source &randomness)
{
    const duration backlog = std::max(least_retry_after, request.expected - worthThreshold(request));
    return fromSeconds(seconds(backlog) * (1.0 + randomness.uniform()));
}

} // namespace ivypier::admission
