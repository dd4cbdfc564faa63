#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// What may be done again with a call.
enum class call_kind {
    idempotent, ///< may run any number of times
    at_most_once, ///< may run once
    stream, ///< the answer is a stream of events; may run once
    resumable_stream, ///< a stream that another upstream can go on with after its last whole event
};

/// A service that a route leads to, and its part of the route's calls.
struct route_target
{
    std::string service;
    std::uint32_t weight = 1;

    auto operator<=>(const route_target &) const = default;
};

/// Which calls go to which service, and how.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; the longest that fits wins
    call_kind kind = call_kind::at_most_once;
    duration timeout{}; ///< longest time that a caller is kept waiting; zero: no bound but the caller's own
    duration targetLatency{}; ///< within which an answer (a stream: its first event) is on time
    duration targetGap{}; ///< longest pause between two events of a stream that is on time
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::vector<route_target> targets;
    std::uint32_t attempts = 1; ///< most upstreams that may run one call
    bool requiresKey = true;

    auto operator<=>(const route &) const = default;

    bool isStream() const
    {
        return kind == call_kind::stream || kind == call_kind::resumable_stream;
    }
};

/// How many upstreams of a service may be ordered, and what they cost.
struct scaling_rule
{
    std::uint32_t least = 0; ///< in each failure domain, both kinds of VM together
    std::uint32_t most = 0; ///< likewise
    duration bootTime{}; ///< from the order until a new upstream serves
    double reclaimablePrice = 1.0; ///< as a part of the price on demand
    std::map<std::string, double> domainPrices; ///< a second of an upstream, by failure domain

    auto operator<=>(const scaling_rule &) const = default;
};

/// What one engine of a model service can hold.
struct engine_size
{
    std::uint32_t slots = 0; ///< requests in one batch
    std::uint64_t memoryTokens = 0; ///< for running requests and cached prompt parts together

    auto operator<=>(const engine_size &) const = default;
};

struct service
{
    std::string name;
    std::uint32_t connections = 64; ///< that one upstream accepts from all callers together
    std::optional<engine_size> engine; ///< nothing for a plain service
    std::optional<scaling_rule> scaling;

    auto operator<=>(const service &) const = default;
};

/// Who may call, and how much.
struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< goes before the route's
    double unitsPerSecond = 0.0; ///< zero: no limit
    double burst = 0.0; ///< units beyond the rate
    bool countsTokens = false; ///< a unit is a token; otherwise a call
    double unitsWithoutUsage = 1.0; ///< of a call that names no tokens

    auto operator<=>(const client_account &) const = default;
};

/// What a caller may send.
struct caller_limits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{4} * 1024 * 1024;
    duration headerTime = std::chrono::seconds(3);
    duration idleTime = std::chrono::seconds(15);

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
