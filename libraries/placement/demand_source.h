#pragma once

#include <compare>
#include <optional>
#include <string>

namespace ivypier::placement {

/// What callers ask of one service, over the fullMix fleet.
struct service_demand
{
    double requestsPerSecond = 0.0; ///< accepted and refused ones
    double tokensPerSecond = 0.0; ///< generated

    auto operator<=>(const service_demand &) const = default;
};

/// Where the planner learns the demand.
class demand_source
{
public:
    virtual ~demand_source() = default;

    /// The demand as last seen; nothing when it is not known now.
    virtual std::optional<service_demand> observed(const std::string &service) const = 0;
};

} // namespace ivypier::placement
