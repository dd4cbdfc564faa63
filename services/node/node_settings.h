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

/// Holds the settings of one node. Not changed after startup.
struct node_settings
{
    std::string name;
    endpoint address; ///< serves callers and other nodes
    std::string failureDomain;
    std::string region;
    std::string vm; ///< this VM's id on the platform; empty: reclaim notices are not polled
    std::string fleetKey; ///< secret shared by all nodes of the fleet
    endpoint platform;
    std::vector<endpoint> seeds;
    duration configurationInterval{};
    /// Time limit of a graceful stop by a signal or an operator; a reclaim notice sets its own.
    duration stopTimeout{};
    duration loadReportLag{}; ///< assumed age of an engine's load report when it arrives
    std::optional<http::tls_files> tls;
    std::string tlsAuthority; ///< PEM file to verify other nodes' certificates with; empty: no TLS
    /// Serves /faults, which lets tests cut this node's links; must be false in production.
    bool faultInjectionEnabled = false;

    bool operator==(const node_settings &) const = default;
};

/// Parses and validates the TOML text of a settings file. Returns the settings, or every fault found.
std::variant<node_settings, std::vector<settings_error>> readNodeSettings(std::string_view text);

} // namespace ivypier::node
