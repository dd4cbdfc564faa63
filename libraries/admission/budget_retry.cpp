#include "admission/budget_retry.h"

#include <algorithm>
#include <cmath>

namespace ivypier::admission {

namespace {

/// Retries that one request adds to its service's budget.
constexpr double retries_per_request = 0.1;

/// Maximum number of retries that a service can accumulate.
constexpr double max_retry_budget = 10.0;

constexpr duration base_backoff = std::chrono::milliseconds(20);
constexpr duration max_backoff = std::chrono::seconds(2);

} // namespace

budget_retry::budget_retry(random_source &randomness)
    : m_random(randomness)
{
}

void budget_retry::dispatched(const std::string &service)
{
    double &budget = m_budgets[service];
    budget = std::min(budget + retries_per_request, max_retry_budget);
}

std::optional<duration> budget_retry::retryDelay(const std::string &service, unsigned attempt,
                                                 duration remaining)
{
    double &budget = m_budgets[service];
    if (budget < 1.0)
        return std::nullopt;
    const double maxDelay = std::min(seconds(base_backoff) * std::exp2(attempt - 2.0), seconds(max_backoff));
    const duration delay = fromSeconds(maxDelay * m_random.uniform());
    if (delay >= remaining)
        return std::nullopt;
    budget -= 1.0;
    return delay;
}

} // namespace ivypier::admission
