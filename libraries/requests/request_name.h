#pragma once

#include "membership/member.h"

#include <compare>
#include <cstdint>
#include <string>

namespace ivypier::requests {

using membership::incarnation;

/// Identifies a request between nodes: its key, and the fields of its ticket that determine its home and
/// witness.
struct request_name
{
    std::string key; ///< client account and ticket; unique across accounts
    incarnation home = 0;
    incarnation witness = 0; ///< 0 when there is none
    std::uint64_t epoch = 0; ///< epoch of the home when it issued the ticket

    auto operator<=>(const request_name &) const = default;
};

} // namespace ivypier::requests
