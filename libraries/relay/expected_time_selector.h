#pragma once

#include "base/random_source.h"
#include "relay/upstream_selector.h"
#include "relay/upstream_speed.h"

#include <array>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace ivypier::relay {

/// Selects upstreams by the expected time until the first event of the call, or until the answer of a plain
/// service. It depends on the speed of the upstream, its load and what it has to read.
///
/// Prompts with parts go to the first upstream in the rendezvous ranking of their shared parts whose expected
/// time is not much above that at a mean upstream. The overflow of an upstream thus always goes to the same
/// second. Other calls go to the better of two drawn from the own failure domain, or elsewhere if that is
/// much better. With upstreams alike this is what prefix_affinity_selector does. Docs:
/// docs/design/uneven-upstreams.md.
class expected_time_selector final : public upstream_selector
{
public:
    /// Returns the load that other nodes last reported for an upstream, in calls.
    using remote_load = std::function<double(const std::string &upstream)>;

    expected_time_selector(const clock &time, random_source &randomness, const upstream_directory &upstreams,
                           upstream_speed &speeds, std::string failureDomain, remote_load remoteLoad);

    std::optional<std::string> select(const selection_request &selection) override;
    double loadOf(const upstream &each) const override;
    std::uint64_t tokensToRead(const call &request, const upstream_record &at) override;

private:
    /// Number of upstreams of a prefix's ranking that are remembered; more are rarely excluded at once.
    static constexpr std::size_t ranking_length = 8;

    using ranking = std::vector<const upstream *>;

    struct service_upstreams
    {
        std::uint64_t revision = 0; ///< of the directory
        std::vector<const upstream *> all;
        std::vector<const upstream *> local;
        std::unordered_map<std::uint64_t, ranking> rankings; ///< by prefix
        time_point sampledAt{};
        double meanLoad = 0.0; ///< of a sample of the upstreams
        double meanSlowness = 1.0;
        double meanSlots = 1.0;
    };
    struct scored
    {
        const upstream *candidate = nullptr;
        double cost = 0.0;
    };

    service_upstreams &upstreamsOf(const std::string &service);
    const ranking &rankingOf(service_upstreams &of, std::uint64_t prefix) const;
    bool isUsable(const upstream &each, const selection_request &selection) const;
    const upstream *draw(const std::vector<const upstream *> &from, const selection_request &selection,
                         bool needsFreeSlot = false);
    const upstream *selectByPrefix(service_upstreams &from, const selection_request &selection);
    const upstream *selectByExpectedTime(service_upstreams &from, const selection_request &selection);
    const upstream *selectFromAll(const service_upstreams &from, const selection_request &selection);
    double expectedTime(const upstream &at, const selection_request &selection, double tokens);
    double expectedTime(const selection_request &selection, double tokens, double pendingTokens, double load,
                        double slots, double slowness);
    /// Returns the expected time up to which an upstream is not left for another.
    double acceptedTime(service_upstreams &of, const selection_request &selection, double tokens);
    void sampleUpstreams(service_upstreams &of);
    void keepBetter(scored &best, const upstream *candidate, double cost) const;

    const clock &m_time;
    random_source &m_random;
    const upstream_directory &m_upstreams;
    upstream_speed &m_speeds;
    std::string m_failureDomain;
    remote_load m_remoteLoad;
    std::map<std::string, service_upstreams> m_services;
};

} // namespace ivypier::relay
