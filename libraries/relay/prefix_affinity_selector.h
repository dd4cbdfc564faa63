#pragma once

#include "base/random_source.h"
#include "relay/upstream_selector.h"

#include <functional>
#include <vector>

namespace ivypier::relay {

struct prefix_affinity_options
{
    /// An upstream is skipped in favour of the next one in the ranking when its load exceeds the mean load
    /// times `loadBound`, plus `slackCalls`. `loadBound` must be at least 1.
    double loadBound = 1.4;
    double slackCalls = 3.0;

    auto operator<=>(const prefix_affinity_options &) const = default;
};

/// Routes prompts that share a prefix to the same upstream, unless that upstream is much more loaded than the
/// others. Rendezvous hashing ranks the upstreams for a prefix, so every node computes the same ranking.
///
/// Calls without prompt parts go to the less loaded of two randomly chosen upstreams. Upstreams in the node's
/// own failure domain that have free slots are preferred.
class prefix_affinity_selector final : public upstream_selector
{
public:
    /// Returns the load that other nodes last reported for an upstream, in calls.
    using remote_load = std::function<double(const std::string &upstream)>;

    prefix_affinity_selector(const clock &time, random_source &randomness,
                             const upstream_directory &upstreams, std::string failureDomain,
                             remote_load remoteLoad, prefix_affinity_options options = {});

    std::optional<std::string> select(const selection_request &selection) override;
    double loadOf(const upstream &each) const override;

private:
    std::vector<const upstream *> candidates(const selection_request &selection) const;
    const upstream *selectByPrefix(const std::vector<const upstream *> &from, std::uint64_t prefix) const;
    const upstream *selectByTwoChoices(const std::vector<const upstream *> &from);

    const clock &m_time;
    random_source &m_random;
    const upstream_directory &m_upstreams;
    std::string m_failureDomain;
    remote_load m_remoteLoad;
    prefix_affinity_options m_options;
};

} // namespace ivypier::relay
