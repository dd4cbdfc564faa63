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

version_reserve reservedForResumption(const std::vector<const upstream *> &ready,
                                      const std::function<upstream_occupancy(const upstream &)> &occupancyOf)
{
    if (hasOneVersion(ready))
        return {};
    std::map<std::string_view, std::size_t> counts;
    bool isEachLimited = true;
    for (const upstream *each : ready) {
        ++counts[each->record.softwareVersion];
        isEachLimited = isEachLimited && occupancyOf(*each).isLimited;
    }
    version_reserve result;
    for (const upstream *each : ready) {
        if (counts[each->record.softwareVersion] > scarce_version_upstreams)
            continue;
        const upstream_occupancy occupancy = occupancyOf(*each);
        if (occupancy.isLimited || occupancy.load >= avoided_scarce_load * each->record.slots)
            result.avoided.insert(each->record.id);
        const bool isFull = occupancy.load >= closed_scarce_load * each->record.slots;
        if (isFull || (occupancy.isLimited && !isEachLimited))
            result.closed.insert(each->record.id);
    }
    return result;
}

} // namespace ivypier::relay
