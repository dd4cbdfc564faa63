#pragma once

#include "base/clock.h"

#include <optional>
#include <string>

namespace ivypier::admission {

/// Decides whether and when a failed attempt is retried. Not thread-safe: call it from tasks of one scheduler
/// only.
class retry_policy
{
public:
    virtual ~retry_policy() = default;

    /// Records the first attempt of a request, which adds to the service's retry budget.
    virtual void dispatched(const std::string &service) = 0;

    /// Returns the backoff before attempt number `attempt` (2 for the first retry), or nothing if the budget
    /// or the time `remaining` until the deadline doesn't allow one.
    virtual std::optional<duration> retryDelay(const std::string &service, unsigned attempt,
                                               duration remaining)
        = 0;
};

} // namespace ivypier::admission
