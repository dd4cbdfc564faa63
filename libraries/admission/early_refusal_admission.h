#pragma once

#include "admission/admission_policy.h"
#include "base/random_source.h"

#include <map>

namespace ivypier::admission {

/// Random early refusal based on expected time. As the moving average of a service's expected time rises from
/// a minimum to a maximum ratio of the threshold, requests are refused with growing probability, before the
/// queue is full. A request that can't meet its own threshold is always refused.
///
/// Based on the random early detection in "An advanced decision model enabling two-way initiative offloading
/// in edge computing" (section 4.2), which uses the expected time to finish the queued work instead of the
/// queue's length.
class early_refusal_admission final : public admission_policy
{
public:
    explicit early_refusal_admission(random_source &randomness);

    std::optional<refusal> admit(const admission_request &request) override;
    void finished(const admission_request &request) override;

private:
    struct service_average
    {
        double thresholdRatio = 0.0; ///< moving average of expected time divided by threshold
        unsigned admittedSinceRefusal = 0;
    };

    bool refuseEarly(service_average &average);

    random_source &m_random;
    std::map<std::string, service_average> m_averages;
};

} // namespace ivypier::admission
