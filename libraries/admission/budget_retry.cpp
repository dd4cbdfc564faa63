#include "admission/budget_retry.h"

#include <algorithm>
#include <cmath>

namespace ivypier::admission {

namespace {

/// Repetitions earned by one request, and the most that a service can save up.
constexpr double repetitions_per_request = 0.1;
constexpr double most_saved_repetitions = 10.0;

constexpr duration first_backoff = std::chrono::milliseconds(20);
constexpr duration longest_backoff = std::chrono::seconds(2);

} // namespace

budget_retry::budget_retry(random_source &randomness)
    : m_random(randomness)
{
}

void budget_retry::dispatched(const std::string &service)
{
    double &budget = m_budgets[service];
    budget = std::min(budget + repetitions_per_request, most_saved_repetitions);
}

std::optional<duration> budget_retry::repeat(const std::string &service, unsigned attempt, duration remaining)
{
    double &budget = m_budgets[service];
    if (budget < 1.0)
        return std::nullopt;
    const double bound
        = std::min(seconds(first_backoff) * std::exp2(attempt - 2.0), seconds(longest_backoff));
    const duration pause = fromSeconds(bound * m_random.uniform());
    if (pause >= remaining)
        return std::nullopt;
    budget -= 1.0;
    return pause;
}

} // namespace ivypier::admission
