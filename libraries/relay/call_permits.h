#pragma once

#include "base/clock.h"

#include <compare>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::relay {

/// The response to a request for a permit.
struct permit_decision
{
    bool isGranted = false;
    duration nextPermit{}; ///< if not granted: time until the next permit
    duration returnAfter{}; ///< if not granted: time after which a refused caller may well be served

    auto operator<=>(const permit_decision &) const = default;
};

/// Permits to send calls to upstreams that stated a limit of calls from all nodes together.
class call_permits
{
public:
    using completion = std::function<void(const permit_decision &)>;

    virtual ~call_permits() = default;

    /// Returns true when calls to this upstream need a permit.
    virtual bool isNeeded(const std::string &upstream) const = 0;

    /// Returns the refusal that still holds for calls to this upstream, if there is one.
    virtual std::optional<permit_decision> knownRefusal(const std::string &upstream) = 0;

    /// Requests a permit to send one call now. Calls `done` once, possibly before it returns.
    virtual void request(const std::string &upstream, completion done) = 0;

    /// Records whether an upstream stated a limit in an answer, and which.
    virtual void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond) = 0;
};

} // namespace ivypier::relay
