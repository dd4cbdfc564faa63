#pragma once

#include "membership/member.h"

#include <compare>
#include <cstdint>
#include <string>

namespace ivypier::requests {

using membership::incarnation;

/// A request between nodes: its key, and what its ticket says of who may speak for it.
struct request_name
{
    std::string key; ///< client account and ticket; no other account can have it
    incarnation home = 0;
    incarnation witness = 0; ///< 0: none
    std::uint64_t epoch = 0; ///< the home's own count

    auto operator<=>(const request_name &) const = default;
};

} // namespace ivypier::requests
