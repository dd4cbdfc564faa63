#pragma once

#include "base/clock.h"
#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace ivypier::cloud {

/// The weight store's response to a request for one delivery.
struct weight_delivery
{
    std::uint64_t bytes = 0; ///< size of the weights
    duration retryAfter{}; ///< above zero: rate limited, retry no earlier than after this time

    auto operator<=>(const weight_delivery &) const = default;

    bool granted() const
    {
        return retryAfter == duration::zero();
    }
};

/// The platform's store of model weights. It limits the rate at which it starts deliveries. Completions run
/// as tasks of the caller's scheduler.
class weight_store
{
public:
    virtual ~weight_store() = default;

    /// Requests one delivery of `name` to an engine. Fails with `not_found` when the store has no such
    /// weights.
    virtual void requestDelivery(const std::string &name, std::function<void(outcome<weight_delivery>)> done)
        = 0;
};

} // namespace ivypier::cloud
