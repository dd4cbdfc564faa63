#include "requests/cost_meter.h"

namespace ivypier::requests {

namespace {

constexpr double seconds_per_hour = 3600.0;

} // namespace

cost_meter::cost_meter(const clock &time)
    : m_time(time)
{
}

void cost_meter::recordStart(const std::string &attempt, const endpoint &upstream, double pricePerHour)
{
    upstream_accrual &accrual = accrue(upstream);
    accrual.pricePerHour = pricePerHour;
    ++accrual.running;
    m_attempts[attempt] = {upstream, accrual.costPerAttempt};
}

double cost_meter::recordEnd(const std::string &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return 0.0;
    upstream_accrual &accrual = accrue(found->second.upstream);
    const double cost = accrual.costPerAttempt - found->second.costAtStart;
    --accrual.running;
    if (accrual.running == 0)
        m_upstreams.erase(found->second.upstream);
    m_attempts.erase(found);
    return cost;
}

cost_meter::upstream_accrual &cost_meter::accrue(const endpoint &upstream)
{
    upstream_accrual &accrual = m_upstreams[upstream];
    const time_point now = m_time.now();
    if (accrual.running > 0) {
        const double price = accrual.pricePerHour * seconds(now - accrual.accruedUntil) / seconds_per_hour;
        accrual.costPerAttempt += price / static_cast<double>(accrual.running);
    }
    accrual.accruedUntil = now;
    return accrual;
}

} // namespace ivypier::requests
