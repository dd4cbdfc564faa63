#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypier::admission {

/// The properties of a request that admission depends on.
struct admission_request
{
    std::string account;
    std::string service;
    std::string requestClass;
    double worth = 1.0;
    double maxWorth = 0.0; ///< highest worth among the service's request classes; 0: that of this class
    bool overShare = false; ///< the account uses more than its share of the served requests
    duration target{}; ///< latency target to the first token or, for a plain service, the answer
    duration expected{}; ///< latency that the router expects, including `margin`
    duration unloaded{}; ///< latency on an idle upstream, without `margin`
    duration margin{}; ///< part of `expected` that covers estimation errors

    auto operator<=>(const admission_request &) const = default;
};

/// Why a request is refused. The names appear in responses and metrics.
enum class refusal_cause { over_rate, over_concurrency, over_load, no_upstream, leaving, not_configured };

std::string_view name(refusal_cause cause);

/// A refusal, with its cause and the time after which the caller may retry.
struct refusal
{
    refusal_cause cause = refusal_cause::over_load;
    duration retryAfter{};

    auto operator<=>(const refusal &) const = default;
};

/// Decides immediately whether a request is admitted. Not thread-safe: call it from tasks of one scheduler
/// only.
class admission_policy
{
public:
    virtual ~admission_policy() = default;

    /// Returns nothing if the request is admitted, else the refusal. Every admitted request must be ended
    /// with finished().
    virtual std::optional<refusal> admit(const admission_request &request) = 0;

    /// Records that an admitted request ended.
    virtual void finished(const admission_request &request) = 0;
};

} // namespace ivypier::admission
