#include "relay/version_reserve.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace ivypier::relay {

namespace {

bool hasOneVersion(const std::vector<const upstream *> &ready)
{
    return std::all_of(ready.begin(), ready.end(), [&](const upstream *each) {
        return each->record.softwareVersion == ready.front()->record.softwareVersion;
    });
}

} // namespace

std::set<std::string>
reservedForResumption(const std::vector<const upstream *> &ready,
                      const std::function<upstream_occupancy(const upstream &)> &occupancyOf)
{
    if (hasOneVersion(ready))
        return {};
    std::map<std::string_view, std::size_t> counts;
    for (const upstream *each : ready)
        ++counts[each->record.softwareVersion];
    std::set<std::string> result;
    for (const upstream *each : ready) {
        if (counts[each->record.softwareVersion] > scarce_version_upstreams)
            continue;
        const upstream_occupancy occupancy = occupancyOf(*each);
        if (occupancy.isLimited || occupancy.load >= scarce_version_load * each->record.slots)
            result.insert(each->record.id);
    }
    return result;
}

} // namespace ivypier::relay
