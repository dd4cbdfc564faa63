#pragma once

#include "base/clock.h"
#include "base/random_source.h"

namespace ivypier::relay {

/// Lower bound of Retry-After when no upstream accepted the call.
inline constexpr duration retry_after_base = std::chrono::milliseconds(250);

/// Lower bound of Retry-After when this node stops. Other nodes take the call at once; the time only spreads
/// the callers.
inline constexpr duration retry_after_stop = std::chrono::milliseconds(20);

/// Returns a random time from `base` to twice as long, so that callers that were refused together do not
/// return together.
inline duration spreadReturn(random_source &randomness, duration base)
{
    return fromSeconds(seconds(base) * (1.0 + randomness.uniform()));
}

} // namespace ivypier::relay
