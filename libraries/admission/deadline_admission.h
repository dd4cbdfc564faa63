#pragma once

#include "admission/admission_policy.h"
#include "base/random_source.h"

namespace ivypier::admission {

/// Refuses a request whose expected time exceeds its threshold (see worthThreshold()).
class deadline_admission final : public admission_policy
{
public:
    explicit deadline_admission(random_source &randomness);

    std::optional<refusal> admit(const admission_request &request) override;
    void finished(const admission_request &request) override;

private:
    random_source &m_random;
};

} // namespace ivypier::admission
