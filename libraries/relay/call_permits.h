#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ivypier::relay {

/// What a call asks of the limit of an upstream.
struct permit_request
{
    bool isContinuation = false; ///< continues a stream, which only few upstreams can do
    bool mayQueue = false; ///< wait for a permit if there is none now
    duration patience{}; ///< time after which a decision is of no use to the call

    auto operator<=>(const permit_request &) const = default;
};

/// The response to a request for a permit.
struct permit_decision
{
    bool isGranted = false;
    duration nextPermit{}; ///< if not granted: time until the next permit
    duration returnAfter{}; ///< if not granted: time after which a refused caller may well be served

    auto operator<=>(const permit_decision &) const = default;
};

/// Identifies a request for a permit that is not decided yet.
using permit_request_id = std::uint64_t;

/// Permits to send calls to upstreams that stated a limit of calls from all nodes together.
class call_permits
{
public:
    using completion = std::function<void(const permit_decision &)>;

    virtual ~call_permits() = default;

    /// Returns true when calls to this upstream need a permit.
    virtual bool isNeeded(const std::string &upstream) const = 0;

    /// Returns the refusal that still holds for new calls to this upstream, if there is one.
    virtual std::optional<permit_decision> knownRefusal(const std::string &upstream) = 0;

    /// Requests a permit to send one call. Calls `done` once, possibly before it returns, unless the request
    /// is withdrawn.
    virtual permit_request_id request(const std::string &upstream, const permit_request &details,
                                      completion done)
        = 0;

    /// Withdraws a request, since its caller has gone. Does nothing if it was decided.
    virtual void withdraw(permit_request_id id) = 0;

    /// Records whether an upstream stated a limit in an answer, and which.
    virtual void recordAnswer(const std::string &upstream, std::optional<double> callsPerSecond) = 0;
};

} // namespace ivypier::relay
