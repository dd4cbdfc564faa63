#pragma once

#include "placement/mix_policy.h"

#include <optional>

namespace ivypier::placement {

struct cheapest_mix_options
{
    double startPremium = 0.1; ///< part of its price that a VM not yet running counts dearer
    bool onDemandOnly = false; ///< the baseline that leaves reclaimable VMs out
    bool surviveDomainLoss = true;

    auto operator<=>(const cheapest_mix_options &) const = default;
};

/// The cheapest mix that meetsDemand the demand after the loss of its largest failure domain.
///
/// With M the capacity of the largest domain, the rest meetsDemand the demand when the sum over the domains,
/// each counted up to M, is at least demand + M. For each M this is a choice of one capacity for each domain:
/// by dynamic programming over units of capacity when the VMs are few, by filling the cheapest offers first
/// and rounding up when they are many. Running VMs count at their price and new ones dearer, so that a small
/// difference in price moves nothing.
class cheapest_mix final : public mix_policy
{
public:
    explicit cheapest_mix(cheapest_mix_options options);

    vm_mix choose(const mix_request &request) const override;

private:
    std::optional<vm_mix> planFor(const mix_request &request, double demand) const;

    cheapest_mix_options m_options;
};

} // namespace ivypier::placement
