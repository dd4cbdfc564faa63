#include "admission/deadline_admission.h"

#include "admission/worth_threshold.h"

namespace ivypier::admission {

deadline_admission::deadline_admission(random_source &randomness)
    : m_random(randomness)
{
}

std::optional<refusal> deadline_admission::admit(const admission_request &request)
{
    if (request.expected <= worthThreshold(request))
        return std::nullopt;
    return refusal{refusal_cause::over_load, retryAfterBacklog(request, m_random)};
}

void deadline_admission::finished(const admission_request &)
{
}

} // namespace ivypier::admission
