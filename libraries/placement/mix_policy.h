#pragma once

#include "placement/vm_type.h"

#include <compare>
#include <map>
#include <vector>

namespace ivypier::placement {

/// The demand that a service's VMs have to carry, their budget and the VMs on offer.
struct mix_request
{
    double requestsPerSecond = 0.0;
    double budgetPerHour = 0.0;
    std::vector<vm_offer> offers;

    auto operator<=>(const mix_request &) const = default;
};

/// The number of VMs of each type.
struct vm_mix
{
    std::map<vm_type, std::uint32_t> counts;
    double costPerHour = 0.0;
    double carriedRequestsPerSecond
        = 0.0; ///< the demand that the mix was planned for; may be less than requested
    bool meetsTarget = false; ///< carries the whole demand after the loss of its largest failure domain

    auto operator<=>(const vm_mix &) const = default;
};

/// Chooses a service's VMs.
class mix_policy
{
public:
    virtual ~mix_policy() = default;

    /// Returns the mix to run. If the budget or the offers don't suffice for the demand, returns the mix that
    /// carries most of it.
    virtual vm_mix choose(const mix_request &request) const = 0;
};

/// Returns the requests per second that a mix carries after the loss of its largest failure domain.
double carriedAfterDomainLoss(const mix_request &request, const vm_mix &mix);

} // namespace ivypier::placement
