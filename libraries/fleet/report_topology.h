#pragma once

#include "membership/membership_view.h"

#include <string>
#include <vector>

namespace ivypier::fleet {

/// Number of collectors of a group, which aggregate the reports of its nodes. It equals the number of
/// candidates for the lease of a duty, so that a new holder has already received earlier reports.
inline constexpr std::size_t collector_count = 3;

/// Largest fleet whose nodes all report to the same collectors. In a larger one each failure domain has its
/// own collectors, which exchange the sums of their domains.
inline constexpr std::size_t max_single_level_nodes = 100;

/// Who reports to whom, as seen by one node. Docs: docs/design/fleet-numbers.md.
struct report_topology
{
    /// The nodes that this node reports to, by rank: the collectors of its group, and in a fleet with one
    /// level also the holder of the duty.
    std::vector<membership::member> collectors;

    /// The nodes that this node sends the sums of its domain to: the collectors of the other domains and the
    /// holder. Empty unless this node is a collector in a fleet with two levels.
    std::vector<membership::member> sumsTargets;

    /// Set for the collector that ranks first in its domain: its sums include loads and work.
    bool isLeadCollector = false;

    bool isTwoLevel = false;
    std::size_t groupSize = 1; ///< number of nodes that report to the same collectors
};

/// Computes the topology from the membership: the collectors of a group are its members with the highest
/// rendezvous weights for the duty. `holder` is the incarnation that holds the duty, 0 if unknown.
report_topology computeTopology(const membership::membership_view &members, const std::string &duty,
                                membership::incarnation holder, std::size_t maxSingleLevelNodes);

} // namespace ivypier::fleet
