#pragma once

#include "placement/mix_policy.h"

#include <optional>

namespace ivypier::placement {

struct cheapest_mix_options
{
    double startPremium = 0.1; ///< fraction added to the price of a VM that does not run yet
    bool onDemandOnly = false; ///< uses no reclaimable VMs; baseline for cost comparisons
    bool surviveDomainLoss = true; ///< the mix carries the demand without its largest domain

    auto operator<=>(const cheapest_mix_options &) const = default;
};

/// Chooses the cheapest mix that carries the demand after the loss of its largest failure domain.
///
/// With M the capacity of the largest domain, the other domains carry the demand if the capacities of all
/// domains, each counted up to M, sum to at least demand + M. For each M the policy chooses a capacity for
/// each domain: for few VMs by dynamic programming over units of capacity, for many VMs by filling the
/// cheapest offers first and rounding up. New VMs are priced higher than running ones, so that a small
/// difference in price does not cause VMs to be replaced.
class cheapest_mix final : public mix_policy
{
public:
    explicit cheapest_mix(cheapest_mix_options options);

    vm_mix choose(const mix_request &request) const override;

private:
    /// Returns a mix that carries `demand` requests per second; nothing when none fits the budget and the
    /// offers.
    std::optional<vm_mix> planFor(const mix_request &request, double demand) const;

    cheapest_mix_options m_options;
};

} // namespace ivypier::placement
