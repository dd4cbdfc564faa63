#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "upstream/model_engine.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ivypier::routing {

/// An upstream that requests of one service can be routed to.
struct candidate
{
    std::string name;
    std::string service;
    endpoint address;
    std::string failureDomain;
    std::string machineClass;
    double pricePerHour = 0.0;
    bool reportsLoad = true; ///< false: a plain service, which can't be polled for load

    auto operator<=>(const candidate &) const = default;
};

/// The properties of a request that routing depends on.
struct routing_request
{
    std::string service;
    std::string account;
    std::string conversation; ///< may be empty
    std::vector<std::string> prefixes; ///< digests of the prompt's prefixes, shortest first; may be empty
    std::vector<std::uint64_t> prefixTokens; ///< length in tokens of each entry of `prefixes`
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< most tokens that it may generate
    std::vector<endpoint> excluded; ///< upstreams that have already failed this request

    auto operator<=>(const routing_request &) const = default;
};

/// The upstream chosen for a request, and the estimates behind the choice.
struct routing_choice
{
    candidate target;
    duration expectedFirstToken{}; ///< time to the first token; for a plain service, to the whole answer
    std::uint64_t expectedCachedTokens = 0;
    duration unloadedFirstToken{}; ///< `expectedFirstToken` on an idle upstream, without the margin
    duration margin{}; ///< part of `expectedFirstToken` that covers estimation errors

    auto operator<=>(const routing_choice &) const = default;
};

/// How an attempt at an upstream ended.
enum class attempt_result { answered, cancelled, failed };

/// Chooses the upstreams of requests. Not thread-safe: call it from tasks of one scheduler only.
class router
{
public:
    virtual ~router() = default;

    /// Replaces the set of upstreams and keeps the state of those in both sets.
    virtual void setCandidates(std::vector<candidate> all) = 0;

    /// Excludes a leaving upstream from all further choices.
    virtual void markLeaving(const endpoint &upstream) = 0;

    /// Reverts markLeaving(), because another upstream now has the address.
    virtual void markReplaced(const endpoint &upstream) = 0;

    /// Returns the upstream for a request, or `unavailable` if none is eligible.
    virtual outcome<routing_choice> choose(const routing_request &request) = 0;

    /// Records that an attempt was sent to an upstream.
    virtual void dispatched(const endpoint &upstream, const std::string &attempt,
                            const routing_request &request)
        = 0;

    /// Records that an attempt's first token arrived after `elapsed`.
    virtual void firstToken(const std::string &attempt, duration elapsed) = 0;

    /// Records that an attempt ended.
    virtual void finished(const std::string &attempt, attempt_result result) = 0;

    /// Records a load report of an upstream.
    virtual void loadReported(const endpoint &upstream, const upstream::engine_load &load) = 0;

    /// Records cache events of an upstream, ordered by sequence number.
    virtual void cacheReported(const endpoint &upstream, const std::vector<upstream::cache_event> &events)
        = 0;

    /// Returns up to `limit` upstreams that this node should poll for load now, most urgent first.
    virtual std::vector<endpoint> upstreamsToPoll(std::size_t limit) = 0;
};

} // namespace ivypier::routing
