#include "requests/cost_meter.h"

namespace ivypier::requests {

namespace {

constexpr double seconds_per_hour = 3600.0;

} // namespace

cost_meter::cost_meter(const clock &time)
    : m_time(time)
{
}

void cost_meter::started(const std::string &attempt, const endpoint &upstream, double pricePerHour)
{
    upstream_account &account = countUp(upstream);
    account.pricePerHour = pricePerHour;
    ++account.running;
    m_attempts[attempt] = {upstream, account.costOfEach};
}

double cost_meter::ended(const std::string &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return 0.0;
    upstream_account &account = countUp(found->second.upstream);
    const double cost = account.costOfEach - found->second.costAtStart;
    --account.running;
    if (account.running == 0)
        m_upstreams.erase(found->second.upstream);
    m_attempts.erase(found);
    return cost;
}

cost_meter::upstream_account &cost_meter::countUp(const endpoint &upstream)
{
    upstream_account &account = m_upstreams[upstream];
    const time_point now = m_time.now();
    if (account.running > 0) {
        const double price = account.pricePerHour * seconds(now - account.countedTo) / seconds_per_hour;
        account.costOfEach += price / static_cast<double>(account.running);
    }
    account.countedTo = now;
    return account;
}

} // namespace ivypier::requests
