#include "placement/duty_candidates.h"

#include "base/hash.h"

namespace ivypier::placement {

bool isCandidate(const std::string &duty, const std::string &self, const std::vector<std::string> &planners,
                 std::size_t most)
{
    const std::uint64_t own = rendezvousWeight(duty, self);
    std::size_t before = 0;
    for (const std::string &each : planners) {
        if (each == self)
            continue;
        const std::uint64_t weight = rendezvousWeight(duty, each);
        before += weight > own || (weight == own && each < self) ? 1 : 0;
    }
    return before < most;
}

} // namespace ivypier::placement
