#pragma once

#include "relay/call.h"
#include "relay/service_map.h"
#include "relay/upstream_directory.h"

#include <optional>
#include <set>
#include <string>

namespace ivypier::relay {

/// A request to select an upstream for a call.
struct selection_request
{
    const route *matchedRoute = nullptr;
    const call *request = nullptr;
    std::string service;
    std::set<std::string> excluded; ///< upstreams already tried for this call

    /// Returns the tokens of the prompt and the longest answer together; 1 for a call to a plain service.
    std::uint64_t work() const;
};

/// Selects the upstream for a call.
class upstream_selector
{
public:
    virtual ~upstream_selector() = default;

    /// Returns the id of the selected upstream, or nothing if no upstream is available.
    virtual std::optional<std::string> select(const selection_request &selection) = 0;
};

} // namespace ivypier::relay
