#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Determines whether a call may run more than once.
enum class call_kind {
    idempotent, ///< may run any number of times
    at_most_once, ///< may run no more than once
    stream, ///< the answer is a stream of events; may run no more than once
    resumable_stream, ///< a stream that another upstream can resume after its last complete event
};

/// A target service of a route, and the relative share of the route's calls that it receives.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const route_target &) const = default;
};

/// Matches calls by host and path prefix, and defines how they are handled.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< path prefix; the longest match wins
    call_kind kind = call_kind::at_most_once;
    duration timeout{}; ///< maximum time that a caller waits; zero: only its own timeout applies
    duration targetLatency{}; ///< target time to the answer, or to the first event of a stream
    duration targetGap{}; ///< target for the longest gap between two events of a stream
    std::uint32_t priority = 0; ///< 0 is the highest priority
    std::vector<route_target> targets;
    std::uint32_t attempts = 1; ///< maximum number of upstreams that may run one call
    bool requiresKey = true;

    auto operator<=>(const route &) const = default;

    bool isStream() const
    {
        return kind == call_kind::stream || kind == call_kind::resumable_stream;
    }
};

/// Limits on the number of upstreams of a service that may be ordered, and their prices.
struct scaling_rule
{
    std::uint32_t minPerDomain = 0; ///< per failure domain, reclaimable and on-demand VMs together
    std::uint32_t maxPerDomain = 0; ///< counted likewise
    duration bootTime{}; ///< from the order until the new upstream serves calls
    double reclaimablePrice = 1.0; ///< as a fraction of the on-demand price
    std::map<std::string, double> domainPrices; ///< price of an upstream per second, by failure domain

    auto operator<=>(const scaling_rule &) const = default;
};

/// The capacity of one engine of a model service.
struct engine_size
{
    std::uint32_t slots = 0; ///< maximum requests in a batch
    std::uint64_t memoryTokens = 0; ///< token capacity, shared by running requests and cached prompt parts

    auto operator<=>(const engine_size &) const = default;
};

struct service
{
    std::string name;
    std::uint32_t maxConnections = 64; ///< number that one upstream accepts from all nodes
    std::optional<engine_size> engine; ///< not set for a plain service
    std::optional<scaling_rule> scaling;

    auto operator<=>(const service &) const = default;
};

/// A client that may call, with its API keys and quota.
struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
    double unitsPerSecond = 0.0; ///< quota rate; zero: no limit
    double burst = 0.0; ///< capacity of the token bucket, in units
    bool countsTokens = false; ///< a unit is a token if true, otherwise a call
    double unitsWithoutUsage = 1.0; ///< charged for a call that does not state its tokens

    auto operator<=>(const client_account &) const = default;
};

/// Limits on what callers may send.
struct caller_limits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const caller_limits &) const = default;
};

/// One version of the configuration: routes, services and accounts.
struct service_map
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    caller_limits limits;

    auto operator<=>(const service_map &) const = default;

    const service *findService(const std::string &name) const;
};

} // namespace ivypier::relay
