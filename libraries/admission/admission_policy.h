#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ivypier::admission {

/// What admission has to know about a request.
struct admission_request
{
    std::string account;
    std::string service;
    std::string requestClass;
    double worth = 1.0;
    double maxWorth = 0.0; ///< of the service's classes; 0: this one's
    bool overShare = false; ///< the account uses more than its share of what is served
    duration target{}; ///< to the first token, or to a plain service's answer
    duration expected{}; ///< the router's expectation for the same
    duration unloaded{}; ///< the same if nothing else ran at the upstream, without the margin
    duration margin{}; ///< part of `expected` that allows for errors of the estimate

    auto operator<=>(const admission_request &) const = default;
};

/// Why a request is refused, as it stands in answers and metrics.
enum class refusal_cause { over_rate, over_concurrency, over_load, no_upstream, leaving, not_configured };

std::string_view name(refusal_cause cause);

/// A refusal: its cause and when to come back.
struct refusal
{
    refusal_cause cause = refusal_cause::over_load;
    duration retryAfter{};

    auto operator<=>(const refusal &) const = default;
};

/// Decides at once whether a request is taken. Only from tasks of one scheduler.
class admission_policy
{
public:
    virtual ~admission_policy() = default;

    /// Nothing when the request is taken; finished() must follow then.
    virtual std::optional<refusal> admit(const admission_request &request) = 0;

    /// A request that was taken ended.
    virtual void finished(const admission_request &request) = 0;
};

} // namespace ivypier::admission
