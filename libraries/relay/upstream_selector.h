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
    std::set<std::string> avoided; ///< selected only if no other upstream is left

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

    /// Returns the load of an upstream in calls, as far as this node knows the calls of other nodes.
    virtual double loadOf(const upstream &each) const = 0;

    /// Returns the prompt tokens of a call that the upstream has to read, as far as the selector knows what
    /// it keeps. By default the shared parts count as kept at the upstream that was selected.
    virtual std::uint64_t tokensToRead(const call &request, const upstream_record &at);
};

} // namespace ivypier::relay
