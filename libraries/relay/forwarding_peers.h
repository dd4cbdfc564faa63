#pragma once

#include "base/endpoint.h"

#include <optional>
#include <set>

namespace ivypier::relay {

/// The nodes through which this node can send calls to upstreams that it can't reach.
class forwarding_peers
{
public:
    virtual ~forwarding_peers() = default;

    /// Returns the address for calls between nodes of a node that is believed to reach the upstreams and is
    /// not in `excluded`, or nothing if there is none.
    virtual std::optional<endpoint> choose(const std::set<endpoint> &excluded) = 0;

    /// Records that a node can't be reached, or reaches no upstream itself.
    virtual void recordFailure(const endpoint &peer) = 0;
};

} // namespace ivypier::relay
