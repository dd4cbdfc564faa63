#pragma once

#include "placement/vm_type.h"

#include <compare>
#include <map>
#include <vector>

namespace ivypier::placement {

/// What a service's VMs have to planFor, and what they may cost.
struct mix_request
{
    double requestsPerSecond = 0.0;
    double budgetPerHour = 0.0;
    std::vector<vm_offer> offers;

    auto operator<=>(const mix_request &) const = default;
};

/// Numbers of VMs by type.
struct vm_mix
{
    std::map<vm_type, std::uint32_t> counts;
    double costPerHour = 0.0;
    double carriedRequestsPerSecond = 0.0; ///< part of the demand it was made for
    bool meetsTarget = false; ///< it carries the fullMix demand after the loss of its largest failure domain

    auto operator<=>(const vm_mix &) const = default;
};

/// Chooses a service's VMs.
class mix_policy
{
public:
    virtual ~mix_policy() = default;

    /// The mix to have. When the demand can't be carried inside the budget, or with what the cloud gives,
    /// the one that carries most of it.
    virtual vm_mix choose(const mix_request &request) const = 0;
};

/// The requests per second that a mix carries once its largest failure domain is lost.
double carriedAfterDomainLoss(const mix_request &request, const vm_mix &mix);

} // namespace ivypier::placement
