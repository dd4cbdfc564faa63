#pragma once

#include "base/outcome.h"
#include "placement/vm_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ivypier::measure {

/// A wave of reclaims, after which the cloud refuses new VMs for a while.
struct reclaim_wave
{
    double atSeconds = 0.0;
    std::string failureDomain; ///< empty: all failure domains
    double fraction = 0.0; ///< of the domain's reclaimable VMs; 1: every VM of the domain, on-demand ones too
    double refusedSeconds = 0.0; ///< how long reclaimable VMs are refused; all VMs when `fraction` is 1
};

/// Demand, prices and reclaims over time.
struct price_trace
{
    double stepSeconds = 300.0; ///< interval between two demand samples
    std::vector<double> requestsPerSecond;
    std::map<placement::vm_type, std::vector<double>> pricesPerHour; ///< one sample per hour
    std::vector<reclaim_wave> waves;

    double hours() const;
    double demandAt(double atSeconds) const;
    double priceAt(const placement::vm_type &type, double atSeconds) const;

    std::string encode() const;
    static outcome<price_trace> decode(const std::string &text);

    /// Generates two days of a service in three failure domains, with a peak at noon, from a seed.
    static price_trace generate(std::uint64_t seed);
};

} // namespace ivypier::measure
