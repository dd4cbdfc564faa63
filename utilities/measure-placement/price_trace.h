#pragma once

#include "base/outcome.h"
#include "placement/vm_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::measure {

/// A moment at which the cloud takes VMs back and refuses new ones for a while.
struct reclaim_wave
{
    double atSeconds = 0.0;
    std::string failureDomain; ///< empty: all of them
    double fraction = 0.0; ///< of the reclaimable VMs there; 1: every VM of the domain
    double refusedSeconds = 0.0; ///< how long reclaimable VMs are refused there, and all when `fraction` is 1
};

/// A record of demand, prices and reclaims.
struct price_trace
{
    double stepSeconds = 300.0; ///< between two values of the demand
    std::vector<double> requestsPerSecond;
    std::map<placement::vm_type, std::vector<double>> pricesPerHour; ///< one an hour
    std::vector<reclaim_wave> waves;

    double hours() const;
    double demandAt(double atSeconds) const;
    double priceAt(const placement::vm_type &type, double atSeconds) const;

    std::string encode() const;
    static outcome<price_trace> decode(const std::string &text);

    /// Two days of a service with a noon peak in three domains, drawn from a seed.
    static price_trace generate(std::uint64_t seed);
};

} // namespace ivypier::measure
