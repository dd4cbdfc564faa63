#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace ivypier::placement {

/// Returns whether `self` is one of the `maxCandidates` planners that compete for a duty's lease: those
/// ranked highest by rendezvous hash. The limit keeps the planners of a large fleet from all reading every
/// lease row. `self` counts as a planner even if `planners`, which lags, does not contain it yet.
bool isCandidate(const std::string &duty, const std::string &self, const std::vector<std::string> &planners,
                 std::size_t maxCandidates);

} // namespace ivypier::placement
