#pragma once

#include "base/endpoint.h"
#include "membership/membership_view.h"

#include <string>
#include <vector>

namespace ivypier::edge {

/// Most addresses in one handleRequest to a check-up.
inline constexpr std::size_t max_lookup_addresses = 64;

/// Fewest nodes of a caller's own failure domain that are enough for an handleRequest.
inline constexpr std::size_t min_local_nodes = 2;

/// The nodes that a caller in a failure domain may connect to: those of its own domain while there are enough
/// of them, otherwise all of its region.
std::vector<endpoint> addressesFor(const std::vector<membership::member> &members,
                                   const std::string &failureDomain);

} // namespace ivypier::edge
