#pragma once

#include "admission/admission_policy.h"

namespace ivypier::admission {

/// Baseline policy: admits every request.
class open_admission final : public admission_policy
{
public:
    std::optional<refusal> admit(const admission_request &request) override;
    void finished(const admission_request &request) override;
};

} // namespace ivypier::admission
