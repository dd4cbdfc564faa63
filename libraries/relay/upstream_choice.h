#pragma once

#include "relay/call.h"
#include "relay/service_map.h"
#include "relay/upstream_directory.h"

#include <optional>
#include <set>
#include <string>

namespace ivypier::relay {

/// A call that needs an upstream.
struct choice_question
{
    const route *way = nullptr;
    const call *message = nullptr;
    std::string service;
    std::set<std::string> excluded; ///< upstreams that had this call already

    /// Tokens of the prompt and the answer together; 1 for a call to a plain service.
    std::uint64_t work() const;
};

/// Chooses the upstream that gets a call.
class upstream_choice
{
public:
    virtual ~upstream_choice() = default;

    /// The upstream's id; nothing when none takes calls.
    virtual std::optional<std::string> choose(const choice_question &question) = 0;
};

} // namespace ivypier::relay
