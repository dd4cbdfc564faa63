#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/settings_reader.h"
#include "http/server.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ivypier::node {

/// The settings of one node. Immutable once read.
struct node_settings
{
    std::string name;
    endpoint address; ///< for callers and for calls between nodes
    std::string failureDomain;
    std::string region;
    std::string vm; ///< this VM's id at the platform; empty: reclaim notices are not followed
    std::string fleetKey; ///< secret
    endpoint platform;
    std::vector<endpoint> seeds;
    duration configurationInterval{};
    duration stopTimeout{}; ///< time that a stop by signal may take; a reclaim notice gives its own
    duration loadReportLag{}; ///< age of an engine's load report when it arrives
    std::optional<http::tls_files> tls;
    std::string
        tlsAuthority; ///< PEM file that the other nodes' certificates are checked against; empty: no TLS
    bool faultInjectionEnabled = false; ///< tests may cut this node's links; never in production

    bool operator==(const node_settings &) const = default;
};

/// Reads and checks a node's settings: all of them, or every fault.
std::variant<node_settings, std::vector<settings_error>> readNodeSettings(std::string_view text);

} // namespace ivypier::node
