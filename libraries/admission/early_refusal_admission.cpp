#include "admission/early_refusal_admission.h"

#include "admission/worth_threshold.h"

#include <algorithm>

namespace ivypier::admission {

namespace {

/// Weight of the newest request in the moving average.
constexpr double newest_weight = 0.05;

/// Parts of the threshold between which the probability rises.
constexpr double lower_part = 0.5;
constexpr double upper_part = 1.0;

/// Probability at the upper part.
constexpr double most_probability = 0.3;

} // namespace

early_refusal_admission::early_refusal_admission(random_source &randomness)
    : m_random(randomness)
{
}

std::optional<refusal> early_refusal_admission::admit(const admission_request &request)
{
    const double threshold = std::max(seconds(worthThreshold(request)), 1e-9);
    const double parts = seconds(request.expected) / threshold;
    service_average &average = m_averages[request.service];
    average.parts += newest_weight * (std::min(parts, 2.0) - average.parts);
    if (parts <= 1.0 && !refuseEarly(average)) {
        ++average.takenInRow;
        return std::nullopt;
    }
    average.takenInRow = 0;
    return refusal{refusal_cause::over_load, retryAfterBacklog(request, m_random)};
}

void early_refusal_admission::finished(const admission_request &)
{
}

/// RED spaces its refusals evenly: the probability grows with the requests taken since the last one.
bool early_refusal_admission::refuseEarly(service_average &average)
{
    if (average.parts < lower_part)
        return false;
    const double rise = std::min(1.0, (average.parts - lower_part) / (upper_part - lower_part));
    const double base = most_probability * rise;
    const double left = 1.0 - average.takenInRow * base;
    return left <= 0.0 || m_random.uniform() < base / left;
}

} // namespace ivypier::admission
