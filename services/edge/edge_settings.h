#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/settings_reader.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ivypier::edge {

/// The settings of one edge node. Immutable once read.
struct edge_settings
{
    std::string name;
    std::string failureDomain;
    std::string region;
    endpoint callers; ///< takes calls
    endpoint readiness; ///< tells whether calls are taken
    endpoint lookups; ///< tells callers where to connect
    endpoint control; ///< answers other nodes
    endpoint metrics; ///< counters and histograms
    std::uint16_t gossipPort = 0; ///< the same on every node
    std::uint16_t fleetPort = 0; ///< where nodes tell each other numbers, the same on every node
    std::vector<endpoint> seeds; ///< control addresses of other nodes; only their hosts count
    std::string fleetKey; ///< secret
    endpoint store;
    endpoint cloud;
    std::size_t maxDescriptors = 0; ///< that the process may have open
    duration stopTimeout{}; ///< between the signal to stop and the kill
    duration lookupCacheDuration{}; ///< how long a caller may keep an handleRequest
    duration leaseTerm{};
    duration usageWindow{};
    double retryRatio = 0.0; ///< repeats for each first sending, over all nodes
    double retrySlack = 0.0; ///< repeats beyond that in one window, over all nodes
    duration retryWindow{};

    bool operator==(const edge_settings &) const = default;
};

/// Reads and checks an edge node's settings: all of them, or every fault.
std::variant<edge_settings, std::vector<settings_error>> readEdgeSettings(std::string_view text);

} // namespace ivypier::edge
