#pragma once

#include "base/endpoint.h"
#include "membership/membership_view.h"

#include <set>
#include <string>
#include <vector>

namespace ivypier::edge {

/// Maximum number of addresses in one look-up response.
inline constexpr std::size_t max_lookup_addresses = 64;

/// A look-up returns only nodes of the caller's own failure domain when at least this many are alive.
inline constexpr std::size_t min_local_nodes = 2;

/// Returns the nodes that a caller in a failure domain may connect to: those of its own domain while there
/// are enough of them, otherwise all nodes of its region. Nodes in `impaired`, which reach upstreams through
/// other nodes only, are left out unless there are no others.
std::vector<endpoint> addressesFor(const std::vector<membership::member> &members,
                                   const std::string &failureDomain,
                                   const std::set<std::string> &impaired = {});

} // namespace ivypier::edge
