#include "caller_lookup.h"

namespace ivypier::edge {

std::vector<endpoint> addressesFor(const std::vector<membership::member> &members,
                                   const std::string &failureDomain, const std::set<std::string> &impaired)
{
    std::vector<endpoint> local;
    std::vector<endpoint> all;
    std::vector<endpoint> others;
    for (const membership::member &each : members) {
        if (each.state != membership::member_state::alive)
            continue;
        if (impaired.contains(each.name)) {
            others.push_back(each.address);
            continue;
        }
        all.push_back(each.address);
        if (each.failureDomain == failureDomain)
            local.push_back(each.address);
    }
    std::vector<endpoint> &selected = local.size() >= min_local_nodes ? local : all.empty() ? others : all;
    if (selected.size() > max_lookup_addresses)
        selected.resize(max_lookup_addresses);
    return selected;
}

} // namespace ivypier::edge
