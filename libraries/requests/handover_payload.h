#pragma once

#include "requests/incoming_request.h"
#include "routing/router.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// Stream at an engine that another node can resume.
struct running_stream
{
    routing::candidate target;
    std::string stream; ///< id assigned by the engine

    auto operator<=>(const running_stream &) const = default;
};

/// State that a successor needs to continue a request.
struct handover_payload
{
    incoming_request request; ///< with the remaining time as its timeout
    std::vector<incarnation> previous; ///< nodes that held the request, the home first, the sender last
    bool dispatched = false; ///< sent to an upstream; if not repeatable, it must not be dispatched again
    bool mayHaveRun = false; ///< an attempt started it, or ended without proof that it did not run
    unsigned attempts = 0;
    std::optional<running_stream> running;
    std::vector<std::string> chunks; ///< answer received so far
    std::vector<endpoint> excluded; ///< upstreams on which an attempt failed
    double cost = 0.0; ///< cost of the attempts so far, in the deployment's currency

    auto operator<=>(const handover_payload &) const = default;
};

} // namespace ivypier::requests
