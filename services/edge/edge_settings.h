#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/settings_reader.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ivypier::edge {

/// How an edge node selects upstreams.
enum class upstream_selection {
    prefix_affinity, ///< relay::prefix_affinity_selector
    expected_time, ///< relay::expected_time_selector
};

/// Settings of an edge node.
struct edge_settings
{
    std::string name;
    std::string failureDomain;
    std::string region;
    endpoint callers; ///< listens for calls
    endpoint readiness; ///< listens for readiness probes
    endpoint lookups; ///< listens for callers' look-ups
    endpoint control; ///< listens for requests of other nodes
    endpoint metrics; ///< listens for metrics scrapes
    std::uint16_t gossipPort = 0; ///< UDP; the same on every node
    std::uint16_t fleetPort = 0; ///< UDP, for metrics exchanged between nodes; the same on every node
    std::uint16_t permitPort = 0; ///< UDP, for permits of calls to limited upstreams; the same on every node
    std::uint16_t originPort = 0; ///< UDP, for records of where streams began; the same on every node
    std::uint16_t crashPort = 0; ///< UDP, for evidence of calls that crash upstreams; the same on every node
    std::vector<endpoint> seeds; ///< control addresses of other nodes; only the hosts are used
    std::string fleetKey; ///< secret
    endpoint store;
    endpoint cloud;
    std::size_t answerBufferBytes = 0; ///< of upstreams' answers that are buffered, over all calls
    std::size_t maxDescriptors = 0; ///< file descriptors that the process may have open
    duration stopTimeout{}; ///< time between the stop signal and the kill
    duration lookupCacheDuration{}; ///< how long a caller may cache a look-up response
    duration leaseTerm{};
    duration usageWindow{};
    double retryRatio = 0.0; ///< retries per first attempt, across all nodes
    double retrySlack = 0.0; ///< retries allowed beyond the ratio per window, across all nodes
    duration retryWindow{};
    double limitTolerance = 0.0; ///< units by which an account may exceed its limit, across all nodes

    upstream_selection selection = upstream_selection::prefix_affinity;
    double exposureShare = 0.0; ///< of a service's calls that a bad version of a rollout may get at most
    double exposureTolerance = 0.0; ///< calls that it may get in addition, across all nodes
    duration rollbackTime{}; ///< time from the decisive bad answer until no call goes to the version

    /// Returns whether the deployment has rollouts. Without bounds nothing of rollouts takes effect.
    bool hasRollouts() const
    {
        return exposureShare > 0.0 && rollbackTime > duration::zero();
    }

    bool operator==(const edge_settings &) const = default;
};

/// Parses and validates the settings of an edge node. Returns either the settings or all faults found.
std::variant<edge_settings, std::vector<settings_error>> readEdgeSettings(std::string_view text);

} // namespace ivypier::edge
