#pragma once

#include "relay/service_map.h"
#include "relay/service_versions.h"
#include "relay/stream_origins.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace ivypier::relay {

/// Where a stream that a caller takes up may go on, or why it can't.
struct resumption_decision
{
    std::optional<stream_origin> origin; ///< the stream goes on at upstreams that fit it; not set: refused
    /// `record`, `stored_record`, `only_version` or `selected_version`; empty if refused.
    std::string knownBy;
    std::string reason; ///< of a refusal
    bool isFinal = false; ///< a later call would be refused, too

    auto operator<=>(const resumption_decision &) const = default;
};

/// Returns whether the decision depends on the versions of the service: no record was found, and only one
/// service can have begun the stream.
bool needsVersionLookup(const origin_lookup &found, const std::vector<route_target> &targets);

/// Decides from the records of the stream, the versions of its service and the targets of its route. What is
/// not known is never guessed.
resumption_decision decideResumption(const origin_lookup &found, const version_lookup &versions,
                                     const std::vector<route_target> &targets);

} // namespace ivypier::relay
