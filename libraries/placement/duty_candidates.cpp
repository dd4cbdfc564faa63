#include "placement/duty_candidates.h"

#include "base/hash.h"

namespace ivypier::placement {

bool isCandidate(const std::string &duty, const std::string &self, const std::vector<std::string> &planners,
                 std::size_t maxCandidates)
{
    const std::uint64_t ownWeight = rendezvousWeight(duty, self);
    std::size_t higherRanked = 0;
    for (const std::string &each : planners) {
        if (each == self)
            continue;
        const std::uint64_t weight = rendezvousWeight(duty, each);
        higherRanked += weight > ownWeight || (weight == ownWeight && each < self) ? 1 : 0;
    }
    return higherRanked < maxCandidates;
}

} // namespace ivypier::placement
