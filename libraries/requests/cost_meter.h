#pragma once

#include "base/clock.h"
#include "base/endpoint.h"

#include <cstddef>
#include <map>
#include <string>

namespace ivypier::requests {

/// Splits the price of upstream VMs over the attempts that run on them: at any moment, the attempts of this
/// node at one upstream share its price evenly. With several nodes before one upstream each node charges the
/// whole price to its own attempts, so that the sum is an upper bound. Idle time is charged to no request.
class cost_meter
{
public:
    explicit cost_meter(const clock &time);

    /// An attempt starts at an upstream that costs `pricePerHour`.
    void started(const std::string &attempt, const endpoint &upstream, double pricePerHour);

    /// An attempt ended; what it cost, in the deployment's currency. 0 for one that is not known.
    double ended(const std::string &attempt);

private:
    struct upstream_accrual
    {
        double pricePerHour = 0.0;
        std::size_t running = 0;
        double costPerAttempt = 0.0; ///< of an attempt that ran since the accrual was opened
        time_point accruedUntil{};
    };

    struct attempt_accrual
    {
        endpoint upstream;
        double costAtStart = 0.0;
    };

    upstream_accrual &accrue(const endpoint &upstream);

    const clock &m_time;
    std::map<endpoint, upstream_accrual> m_upstreams;
    std::map<std::string, attempt_accrual> m_attempts;
};

} // namespace ivypier::requests
