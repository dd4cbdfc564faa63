#pragma once

#include "relay/service_map.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::duties {

/// Number of upstreams of one service in one failure domain, by purchase model.
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

/// Number of upstreams, by failure domain.
using capacity_plan = std::map<std::string, domain_capacity>;

/// Current load and capacity of one service, from which its plan is computed.
struct capacity_input
{
    relay::scaling_rule rule;
    double load = 0.0; ///< work expressed as a number of fully busy engines
    capacity_plan present; ///< upstreams that accept calls now
    capacity_plan booting; ///< upstreams that were ordered and are still booting
    /// True if no calls have arrived yet, so that on-demand upstreams need not bridge the boot time.
    bool beforeFirstCall = false;

    bool operator==(const capacity_input &) const = default;
};

/// Number of engines for a load: a part proportional to the load, and a reserve for its variation
/// proportional to its square root. A large fleet therefore keeps a smaller fraction idle than a small one.
struct sizing_rule
{
    double enginesPerLoad = 1.0;
    double enginesPerRootLoad = 0.0;

    auto operator<=>(const sizing_rule &) const = default;

    double enginesFor(double load) const;

    /// Returns the load for which `engines` engines are required.
    double loadFor(double engines) const;
};

/// Sizing rules for the states of a service. They are based on the users' benchmark, which ran engines for
/// three times the load at a load of 3 (nine engines) and for 1.6 times the load at 25.
struct capacity_options
{
    /// Used in normal operation; absorbs a burst until new engines have booted.
    sizing_rule normal{2.0, 1.8};
    /// Used while reclaimable upstreams are missing.
    sizing_rule degraded{2.0, 1.5};
    /// Minimum right after a failure domain lost its reclaimable upstreams, until replacements have booted.
    sizing_rule afterDomainLoss{1.8, 0.4};
    std::uint32_t minOnDemand = 1; ///< kept in case all reclaimable upstreams are lost at once

    auto operator<=>(const capacity_options &) const = default;
};

/// Chooses the cheapest numbers of upstreams that can handle the load even after one failure domain lost its
/// reclaimable upstreams. Planned reclaimable upstreams that are still missing, or that are unavailable, are
/// replaced by on-demand upstreams in the meantime.
class capacity_policy
{
public:
    explicit capacity_policy(capacity_options options);

    capacity_plan choose(const capacity_input &input) const;

    /// Returns the load for which `upstreams` is the normal number of upstreams.
    double loadFor(std::uint32_t upstreams) const;

private:
    /// Number of on-demand upstreams in all domains together and of reclaimable upstreams in each domain.
    struct mix
    {
        std::uint32_t onDemand = 0;
        std::uint32_t reclaimablePerDomain = 0;
    };

    mix cheapestMix(const capacity_input &input, const std::vector<std::string> &domains) const;
    /// Returns the number of on-demand upstreams needed in addition to the reclaimable upstreams of each
    /// domain.
    std::uint32_t requiredOnDemand(double load, const std::vector<std::uint32_t> &reclaimable) const;

    capacity_options m_options;
};

} // namespace ivypier::duties
