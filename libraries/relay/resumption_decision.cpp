#include "relay/resumption_decision.h"

#include <algorithm>

namespace ivypier::relay {

bool needsVersionLookup(const origin_lookup &found, const std::vector<route_target> &targets)
{
    return !found.origin && !found.isConflicting && targets.size() == 1;
}

resumption_decision decideResumption(const origin_lookup &found, const version_lookup &versions,
                                     const std::vector<route_target> &targets)
{
    if (found.origin) {
        const bool isTarget = std::any_of(targets.begin(), targets.end(), [&](const route_target &each) {
            return each.service == found.origin->service;
        });
        if (isTarget)
            return {.origin = found.origin, .knownBy = found.isStored ? "stored_record" : "record"};
        return {.reason = "stream_of_another_service", .isFinal = true};
    }
    if (needsVersionLookup(found, targets) && versions.onlyVersion)
        return {.origin = stream_origin{targets.front().service, *versions.onlyVersion, {}},
                .knownBy = "only_version"};
    if (needsVersionLookup(found, targets) && versions.selectedVersion)
        return {.origin = stream_origin{targets.front().service, *versions.selectedVersion, {}},
                .knownBy = "selected_version"};
    // Once all nodes have replied and the versions are known, a later lookup finds the same.
    return {.reason = "stream_origin_unknown",
            .isFinal = found.isConflicting || (found.isComplete && versions.versionCount > 0)};
}

} // namespace ivypier::relay
