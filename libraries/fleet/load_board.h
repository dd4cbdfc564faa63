#pragma once

#include "fleet/own_fact.h"
#include "relay/upstream_directory.h"

#include <map>
#include <string>

namespace ivypier::fleet {

/// Tells the other nodes how many calls of this node are under way at each upstream, and adds up what they
/// told. Upstreams are named by a short hash; a collision makes two of them look busier, nothing worse.
class load_board
{
public:
    load_board(membership::membership_view &members, const relay::upstream_directory &upstreams);

    /// Tells the current numbers if they changed, and takes in the others'.
    void update();

    /// Calls of other nodes under way at an upstream, as last told.
    double othersLoad(const std::string &upstream) const;

private:
    void publish();

    membership::membership_view &m_members;
    const relay::upstream_directory &m_upstreams;
    own_fact m_own;
    std::map<std::string, double> m_others; ///< by the upstream's short name
};

} // namespace ivypier::fleet
