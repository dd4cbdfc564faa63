#pragma once

#include "relay/service_map.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::duties {

/// Upstreams of one service in one failure domain, by how they are paid for.
struct domain_capacity
{
    std::uint32_t onDemand = 0;
    std::uint32_t reclaimable = 0;

    auto operator<=>(const domain_capacity &) const = default;

    std::uint32_t total() const
    {
        return onDemand + reclaimable;
    }
};

/// Upstreams by failure domain.
using capacity_plan = std::map<std::string, domain_capacity>;

/// What is known of one service's need.
struct capacity_input
{
    relay::scaling_rule rule;
    double load = 0.0; ///< work as a number of engines that are busy all the time
    capacity_plan present; ///< upstreams that take calls now
    capacity_plan booting; ///< upstreams that were ordered and are about to be there
    bool beforeFirstCall
        = false; ///< no call has come yet: nothing has to be carried until others have booted

    bool operator==(const capacity_input &) const = default;
};

/// How many engines a load needs: a part that grows with it, and a reserve for its variation that grows with
/// its square root, so that a large fleet keeps a smaller part beforeFirstCall than a small one.
struct sizing_rule
{
    double enginesPerLoad = 1.0;
    double enginesPerRootLoad = 0.0;

    auto operator<=>(const sizing_rule &) const = default;

    double engines(double load) const;

    /// The load that needs so many engines.
    double loadFor(double engines) const;
};

/// Figures from days on the users' bench: with engines three times the load where that is 3 (nine engines),
/// and 1.6 times where it is 25.
struct capacity_options
{
    /// In normal times, so that a burst is carried until new engines have booted;
    sizing_rule normal{2.0, 1.8};
    /// while reclaimable upstreams are missing;
    sizing_rule degraded{2.0, 1.5};
    /// and right after a failure domain lost its reclaimable upstreams, until others have booted.
    sizing_rule afterDomainLoss{1.8, 0.4};
    std::uint32_t minOnDemand = 1; ///< kept for the case that all reclaimable ones go at once

    auto operator<=>(const capacity_options &) const = default;
};

/// Chooses the cheapest numbers of upstreams that carry the load, also after a failure domain lost its
/// reclaimable ones. Reclaimable upstreams that are planned and not there yet, or are not to be had, are
/// replaced by ones on demand meanwhile.
class capacity_policy
{
public:
    explicit capacity_policy(capacity_options options);

    capacity_plan choose(const capacity_input &input) const;

    /// The load under which a number of upstreams is the normal one.
    double loadFor(std::uint32_t upstreams) const;

private:
    /// A number on demand in all domains together, and a number of reclaimable ones in each domain.
    struct mix
    {
        std::uint32_t onDemand = 0;
        std::uint32_t reclaimablePerDomain = 0;
    };

    mix cheapestMix(const capacity_input &input, const std::vector<std::string> &domains) const;
    /// Those on demand that carry the load together with the given reclaimable ones.
    std::uint32_t requiredOnDemand(double load, const std::vector<std::uint32_t> &reclaimable) const;

    capacity_options m_options;
};

} // namespace ivypier::duties
