#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace ivypier::placement {

/// Whether `self` is one of the `maxCandidates` planners that watch a duty's lease: the first by rendezvous
/// hash over all planners, so that a large fleet does not read every row. `self` counts as a planner even
/// when the list, which lags, does not name it yet.
bool isCandidate(const std::string &duty, const std::string &self, const std::vector<std::string> &planners,
                 std::size_t maxCandidates);

} // namespace ivypier::placement
