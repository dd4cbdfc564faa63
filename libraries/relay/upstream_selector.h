#pragma once

#include "relay/call.h"
#include "relay/service_map.h"
#include "relay/upstream_directory.h"

#include <optional>
#include <set>
#include <string>

namespace ivypier::relay {

/// A call that needs an upstream.
struct selection_request
{
    const route *matchedRoute = nullptr;
    const call *request = nullptr;
    std::string service;
    std::set<std::string> excluded; ///< upstreams that had this call already

    /// Tokens of the prompt and the answer together; 1 for a call to a plain service.
    std::uint64_t work() const;
};

/// Chooses the upstream that gets a call.
class upstream_selector
{
public:
    virtual ~upstream_selector() = default;

    /// The upstream's id; nothing when none takes calls.
    virtual std::optional<std::string> select(const selection_request &selection) = 0;
};

} // namespace ivypier::relay
