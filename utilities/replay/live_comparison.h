#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "benchmark_result.h"

#include <string>
#include <vector>

namespace ivypier::replay {

/// Calls to measure: the same plain call to an upstream directly and through a node.
struct live_comparison
{
    endpoint upstream;
    endpoint node;
    std::string service; ///< its name at the node
    std::string path; ///< at the upstream, with its leading slash
    std::string body;
    std::string accountKey;
    unsigned count = 1000;

    auto operator<=>(const live_comparison &) const = default;
};

/// Calls in turns, one at a time, directly and through the node, and gives the times and what the node adds.
/// An answer other than 200 is an error.
outcome<std::vector<benchmark_result>> compareLiveCalls(const live_comparison &comparison);

} // namespace ivypier::replay
