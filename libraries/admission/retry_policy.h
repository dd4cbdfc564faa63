#pragma once

#include "base/clock.h"

#include <optional>
#include <string>

namespace ivypier::admission {

/// Decides whether and when a failed attempt is repeated. Only from tasks of one scheduler.
class retry_policy
{
public:
    virtual ~retry_policy() = default;

    /// A request of a service was dispatched for the first time; it adds to the service's retry budget.
    virtual void dispatched(const std::string &service) = 0;

    /// The pause before try number `attempt` (2 for the first repetition); nothing when the budget or the
    /// `remaining` time does not allow one.
    virtual std::optional<duration> repeat(const std::string &service, unsigned attempt, duration remaining)
        = 0;
};

} // namespace ivypier::admission
