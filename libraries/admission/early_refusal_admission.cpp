#include "admission/early_refusal_admission.h"

#include "admission/worth_threshold.h"

#include <algorithm>

namespace ivypier::admission {

namespace {

/// Weight of the newest request in the exponential moving average.
constexpr double ewma_weight = 0.05;

/// Ratios of expected time to threshold between which the probability rises.
constexpr double min_threshold_ratio = 0.5;
constexpr double max_threshold_ratio = 1.0;

/// Refusal probability at the maximum ratio.
constexpr double max_probability = 0.3;

} // namespace

early_refusal_admission::early_refusal_admission(random_source &randomness)
    : m_random(randomness)
{
}

std::optional<refusal> early_refusal_admission::admit(const admission_request &request)
{
    const double threshold = std::max(seconds(worthThreshold(request)), 1e-9);
    const double thresholdRatio = seconds(request.expected) / threshold;
    service_average &average = m_averages[request.service];
    average.thresholdRatio += ewma_weight * (std::min(thresholdRatio, 2.0) - average.thresholdRatio);
    if (thresholdRatio <= 1.0 && !refuseEarly(average)) {
        ++average.admittedSinceRefusal;
        return std::nullopt;
    }
    average.admittedSinceRefusal = 0;
    return refusal{refusal_cause::over_load, retryAfterBacklog(request, m_random)};
}

void early_refusal_admission::finished(const admission_request &)
{
}

/// Returns true if the request should be refused early. As in RED, the probability grows with the number of
/// requests admitted since the last refusal, which spaces refusals evenly.
bool early_refusal_admission::refuseEarly(service_average &average)
{
    if (average.thresholdRatio < min_threshold_ratio)
        return false;
    const double ramp = std::min(
        1.0, (average.thresholdRatio - min_threshold_ratio) / (max_threshold_ratio - min_threshold_ratio));
    const double base = max_probability * ramp;
    const double remainder = 1.0 - average.admittedSinceRefusal * base;
    return remainder <= 0.0 || m_random.uniform() < base / remainder;
}

} // namespace ivypier::admission
