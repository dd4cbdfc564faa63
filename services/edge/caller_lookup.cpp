#include "caller_lookup.h"

namespace ivypier::edge {

std::vector<endpoint> addressesFor(const std::vector<membership::member> &members,
                                   const std::string &failureDomain)
{
    std::vector<endpoint> near;
    std::vector<endpoint> all;
    for (const membership::member &each : members) {
        if (each.state != membership::member_state::alive)
            continue;
        all.push_back(each.address);
        if (each.failureDomain == failureDomain)
            near.push_back(each.address);
    }
    std::vector<endpoint> &chosen = near.size() >= enough_near_nodes ? near : all;
    if (chosen.size() > lookup_addresses)
        chosen.resize(lookup_addresses);
    return chosen;
}

} // namespace ivypier::edge
