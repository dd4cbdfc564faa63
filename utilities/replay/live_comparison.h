#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "benchmark_result.h"

#include <string>
#include <vector>

namespace ivypier::replay {

/// Parameters of a comparison: the same call is sent to an upstream directly and through a node.
struct live_comparison
{
    endpoint upstream;
    endpoint node;
    std::string service; ///< the upstream's service, as the node names it
    std::string path; ///< path at the upstream, with a leading slash
    std::string body;
    std::string accountKey;
    unsigned count = 1000;

    auto operator<=>(const live_comparison &) const = default;
};

/// Sends direct and relayed calls alternately, one at a time, and returns their latencies and the latency
/// that the node adds. Fails on any status other than 200.
outcome<std::vector<benchmark_result>> compareLiveCalls(const live_comparison &comparison);

} // namespace ivypier::replay
