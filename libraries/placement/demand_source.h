#pragma once

#include <compare>
#include <optional>
#include <string>

namespace ivypier::placement {

/// The load that callers offer to one service, over the whole fleet.
struct service_demand
{
    double requestsPerSecond = 0.0; ///< accepted and refused requests
    double tokensPerSecond = 0.0; ///< generated tokens

    auto operator<=>(const service_demand &) const = default;
};

/// Provides the current demand to the planner.
class demand_source
{
public:
    virtual ~demand_source() = default;

    /// Returns the demand as last observed; nothing when there is no recent observation.
    virtual std::optional<service_demand> observed(const std::string &service) const = 0;
};

} // namespace ivypier::placement
