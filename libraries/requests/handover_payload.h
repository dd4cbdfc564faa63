#pragma once

#include "requests/incoming_request.h"
#include "routing/router.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::requests {

/// A stream that runs at an engine and that another node can take over.
struct running_stream
{
    routing::candidate target;
    std::string stream; ///< the engine's name for it

    auto operator<=>(const running_stream &) const = default;
};

/// All that a successor needs to go on with a request.
struct handover_payload
{
    incoming_request request; ///< its timeout is what remains of it
    std::vector<incarnation> previous; ///< who held it, the home first, the sender last
    bool dispatched = false; ///< an upstream has had it; one that may not be repeated is not dispatched again
    bool mayHaveRun = false; ///< an attempt ended without word whether it ran
    unsigned attempts = 0;
    std::optional<running_stream> running;
    std::vector<std::string> chunks; ///< of the answer so far
    std::vector<endpoint> excluded; ///< upstreams that failed it
    double cost = 0.0; ///< of the attempts so far, in the deployment's currency

    auto operator<=>(const handover_payload &) const = default;
};

} // namespace ivypier::requests
