#pragma once

#include "cloud/cloud_service.h"

#include <compare>
#include <string>

namespace ivypier::placement {

/// A kind of VM that can be ordered. VMs of one type are interchangeable.
struct vm_type
{
    std::string failureDomain;
    std::string machineClass;
    cloud::vm_kind kind = cloud::vm_kind::reclaimable;

    auto operator<=>(const vm_type &) const = default;
};

/// A VM type with its price, its capacity and the number of VMs running.
struct vm_offer
{
    vm_type type;
    double pricePerHour = 0.0; ///< in the deployment's currency
    double requestsPerSecond = 0.0; ///< that one VM serves within the service's latency target
    std::uint32_t running = 0; ///< VMs that run or are being started
    bool startable = true; ///< false while the type is in backoff after a refusal

    auto operator<=>(const vm_offer &) const = default;
};

} // namespace ivypier::placement
