#pragma once

#include "admission/admission_policy.h"
#include "base/random_source.h"

#include <map>

namespace ivypier::admission {

/// Random early refusal on expected time: as the moving average of a service's expected time goes from a
/// lower to an upper part of the threshold, requests are refused with a growing probability, before the
/// queue is full. A request that can't meet its own threshold is always refused.
///
/// After the random early detection of "An advanced decision model enabling two-way initiative offloading in
/// edge computing" (section 4.2), which puts the expected time to finish what is queued in place of the
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
        double thresholdRatio = 0.0; ///< moving average of expected time in thresholdRatio of the threshold
        unsigned admittedSinceRefusal = 0; ///< since the last refusal
    };

    bool refuseEarly(service_average &average);

    random_source &m_random;
    std::map<std::string, service_average> m_averages;
};

} // namespace ivypier::admission
