#pragma once

#include "base/clock.h"
#include "base/endpoint.h"

#include <cstddef>
#include <map>
#include <string>

namespace ivypier::requests {

/// Splits the price of upstream VMs among the attempts that run on them. At any moment, the attempts that
/// this node runs on one upstream share its price evenly. When several nodes use the same upstream, each node
/// charges the full price to its own attempts, so the total over all nodes is an upper bound. Idle time is
/// charged to no request.
class cost_meter
{
public:
    explicit cost_meter(const clock &time);

    /// Records the start of an attempt at an upstream that costs `pricePerHour`.
    void recordStart(const std::string &attempt, const endpoint &upstream, double pricePerHour);

    /// Records the end of an attempt and returns its cost in the deployment's currency, or 0 for an unknown
    /// attempt.
    double recordEnd(const std::string &attempt);

private:
    struct upstream_accrual
    {
        double pricePerHour = 0.0;
        std::size_t running = 0;
        double costPerAttempt = 0.0; ///< cost of an attempt that has run since this accrual was created
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
