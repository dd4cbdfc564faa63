#pragma once

#include "base/random_source.h"
#include "relay/upstream_selector.h"

#include <functional>
#include <vector>

namespace ivypier::relay {

struct prefix_affinity_options
{
    /// A home with more than this times the mean load, and `slackCalls`, passes a call on to the next. At
    /// least 1.
    double loadBound = 1.4;
    double slackCalls = 3.0;

    auto operator<=>(const prefix_affinity_options &) const = default;
};

/// Sends prompts that begin with the same parts to the same upstream, as long as it does not have much more
/// to do than the others: the homes of a prefix are ranked by rendezvous hashing, the same in every node.
/// Calls without a prompt go to the one of two random upstreams that has less to do, those of the own failure
/// domain first.
class prefix_affinity_selector final : public upstream_selector
{
public:
    /// Load of other nodes at an upstream, as last heard.
    using remote_load = std::function<double(const std::string &upstream)>;

    prefix_affinity_selector(const clock &time, random_source &randomness,
                             const upstream_directory &upstreams, std::string failureDomain,
                             remote_load remoteLoad, prefix_affinity_options options = {});

    std::optional<std::string> select(const selection_request &selection) override;

private:
    std::vector<const upstream *> candidates(const selection_request &selection) const;
    const upstream *selectByPrefix(const std::vector<const upstream *> &from, std::uint64_t prefix) const;
    const upstream *selectByTwoChoices(const std::vector<const upstream *> &from);
    double loadOf(const upstream &each) const;

    const clock &m_time;
    random_source &m_random;
    const upstream_directory &m_upstreams;
    std::string m_failureDomain;
    remote_load m_remoteLoad;
    prefix_affinity_options m_options;
};

} // namespace ivypier::relay
