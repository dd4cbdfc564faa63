#pragma once

#include "admission/retry_policy.h"
#include "base/random_source.h"

#include <map>

namespace ivypier::admission {

/// Limits a service's retries to a tenth of its requests, with full-jitter exponential backoff.
class budget_retry final : public retry_policy
{
public:
    explicit budget_retry(random_source &randomness);

    void dispatched(const std::string &service) override;
    std::optional<duration> retryDelay(const std::string &service, unsigned attempt,
                                       duration remaining) override;

private:
    random_source &m_random;
    std::map<std::string, double> m_budgets;
};

} // namespace ivypier::admission
