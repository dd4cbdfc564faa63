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

/// An upstream that requests of one service can go to.
struct candidate
{
    std::string name;
    std::string service;
    endpoint address;
    std::string failureDomain;
    std::string machineClass;
    double pricePerHour = 0.0;
    bool reportsLoad = true; ///< false: a plain service, which nobody can ask

    auto operator<=>(const candidate &) const = default;
};

/// What the router has to know about a request.
struct routing_request
{
    std::string service;
    std::string account;
    std::string conversation; ///< empty: none
    std::vector<std::string> prefixes; ///< digests of the prompt's prefixes, shortest first; empty: none
    std::vector<std::uint64_t> prefixTokens; ///< tokens up to the end of each of `prefixes`
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< the most it may generate
    std::vector<endpoint> excluded; ///< upstreams that failed this request already

    auto operator<=>(const routing_request &) const = default;
};

/// Where a request goes.
struct routing_choice
{
    candidate target;
    duration expectedFirstToken{}; ///< of a plain service: the whole answer
    std::uint64_t expectedCachedTokens = 0;
    duration unloadedFirstToken{}; ///< the same if nothing else ran there, without the margin
    duration margin{}; ///< part of expectedFirstToken that allows for errors of the estimate

    auto operator<=>(const routing_choice &) const = default;
};

/// How an attempt at an upstream ended.
enum class attempt_result { answered, cancelled, failed };

/// Chooses upstreams. Only from tasks of one scheduler.
class router
{
public:
    virtual ~router() = default;

    /// Replaces the set of upstreams; what is known about those that stay is kept.
    virtual void setCandidates(std::vector<candidate> all) = 0;

    /// Takes an upstream that leaves out of every choice from now on.
    virtual void markLeaving(const endpoint &upstream) = 0;

    /// Takes markLeaving() back: another upstream has the address now.
    virtual void markReplaced(const endpoint &upstream) = 0;

    /// The upstream for a request; `unavailable` when none is fit.
    virtual outcome<routing_choice> choose(const routing_request &request) = 0;

    /// An attempt was sent to an upstream.
    virtual void dispatched(const endpoint &upstream, const std::string &attempt,
                            const routing_request &request)
        = 0;

    /// An attempt's first token came after `elapsed`.
    virtual void firstToken(const std::string &attempt, duration elapsed) = 0;

    /// An attempt ended.
    virtual void finished(const std::string &attempt, attempt_result result) = 0;

    /// An upstream reported its load.
    virtual void loadReported(const endpoint &upstream, const upstream::engine_load &load) = 0;

    /// An upstream published cache events, in the order of their sequence.
    virtual void cacheReported(const endpoint &upstream, const std::vector<upstream::cache_event> &events)
        = 0;

    /// Upstreams whose load this node should ask for now, the most urgent first, at most `limit`.
    virtual std::vector<endpoint> upstreamsToPoll(std::size_t limit) = 0;
};

} // namespace ivypier::routing
